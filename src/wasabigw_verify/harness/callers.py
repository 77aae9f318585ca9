"""Callers, and the front end that handles their requests.

Each caller sends several requests one after the other on one flow. The front end
drives ``core/requests.py``; it can't choose the backend server of a new flow.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from wasabigw.core import request_events as q
from wasabigw.core import requests
from wasabigw.core.flows import events as e
from wasabigw.core.flows.keys import address_number, flow_key
from wasabigw.core.ids import BackendServerId, FlowKey, RequestId, Seconds, ServiceId
from wasabigw.core.states import Protocol
from wasabigw_verify import record as r
from wasabigw_verify.harness.environment import Environment
from wasabigw_verify.harness.packets import (
    ANSWER_PARTS,
    AnswerPart,
    Packet,
    RequestPayload,
)

RETRANSMIT_INTERVAL = 1.0
FLOW_TIMEOUT = 15.0
"""Seconds without an answer after which a caller considers its flow lost."""
REQUEST_DEADLINE = 10.0
TICK_PERIOD = 0.5


class SessionState(Enum):
    """State of the flow of a caller."""

    OPENING = "opening"
    OPEN = "open"
    CLOSING = "closing"
    ENDED = "ended"


@dataclass(slots=True)
class Session:
    """A caller and its flow.

    :param pauses: pauses before each of the remaining requests.
    :param current: request in progress and its attempt.
    :param unanswered: packet without a complete answer, and when it was sent or the
        latest part of its answer arrived.
    :param received_parts: indices of the parts of the current answer.
    """

    caller: str
    host: str
    service: ServiceId
    flow: FlowKey
    pauses: list[float]
    started: float
    state: SessionState = SessionState.OPENING
    established: bool = False
    backend_server: BackendServerId | None = None
    answered: int = 0
    request_count: int = 0
    current: tuple[RequestId, int] | None = None
    unanswered: tuple[Packet, float] | None = None
    received_parts: set[int] = field(default_factory=set)


class Callers:
    """All callers and their front end."""

    alive = True
    closing = False
    """Whether callers start no further requests."""

    def __init__(self, simulation: Environment) -> None:
        self.simulation = simulation
        self.sessions: dict[FlowKey, Session] = {}
        self.all_sessions: list[Session] = []
        self._request_table = requests.RequestTable()
        self._session_of_request: dict[RequestId, Session] = {}
        simulation.network.call_every("callers", self, TICK_PERIOD, self._tick)

    def start(self, host: str, service: ServiceId, pauses: list[float]) -> Session:
        """Open a flow and send a first request; each pause precedes another one."""
        caller = f"caller-{self.simulation.next_number()}"
        flow = self._new_flow(service)
        session = Session(caller, host, service, flow, pauses, self._now())
        self.sessions[session.flow] = session
        self.all_sessions.append(session)
        self._start_request(session)
        return session

    def receive(self, packet: Packet) -> None:
        """Handle an answer of a backend server."""
        event = packet.event
        session = self.sessions.get(event.flow)
        if session is None or session.state is SessionState.ENDED:
            return
        match event:
            case e.AnswerOpened(flow, backend_server):
                self._opened(session, flow, backend_server)
            case e.AnswerData() if isinstance(packet.content, AnswerPart):
                self._handle_part(session, packet.content)
            case e.AnswerClosing(reset=True):
                self.fail_flow(session)
            case e.AnswerClosing() if session.state is SessionState.CLOSING:
                self._mark_ended(session)
                self.simulation.add(r.FlowClosed(self._now(), session.flow))

    def fail_flow(self, session: Session) -> None:
        """Handle a flow that was reset or timed out."""
        if session.state is SessionState.ENDED:
            return
        closing = session.state is SessionState.CLOSING
        self._mark_ended(session)
        if session.established and not closing:
            self.simulation.add(r.FlowLost(self._now(), session.flow))
        if session.current is not None:
            request, attempt = session.current
            sent = session.established
            event = q.FlowClosed(request, attempt, sent, self._now())
            self._decide(event)

    def _now(self) -> Seconds:
        return self.simulation.network.now

    def _new_flow(self, service: ServiceId) -> FlowKey:
        number = self.simulation.next_number()
        endpoint = self.simulation.services[service].endpoint
        port = 1024 + number % 60_000
        address = address_number(endpoint.address)
        host_number = self.simulation.network.random.randrange(1 << 16)
        caller = 0x0A090000 + host_number
        return flow_key(Protocol.TCP.value, caller, port, address, endpoint.port)

    def _opened(self, session: Session, flow: FlowKey, backend_server: Any) -> None:
        if session.state is not SessionState.OPENING:
            return
        session.state = SessionState.OPEN
        session.established = True
        session.backend_server = backend_server
        session.unanswered = None
        self.simulation.add(r.FlowEstablished(self._now(), flow, backend_server))
        self._send_request(session)

    # Requests

    def _start_request(self, session: Session) -> None:
        number = self.simulation.next_number()
        request = RequestId(f"request-{number}")
        idempotent = number % 2 == 0
        now = self._now()
        self._session_of_request[request] = session
        sent = r.RequestSent(now, request, session.caller, idempotent, session.flow)
        self.simulation.add(sent)
        deadline = Seconds(now + REQUEST_DEADLINE)
        self._decide(q.RequestArrived(request, idempotent, idempotent, deadline, now))

    def _decide(self, event: Any) -> None:
        for decision in requests.handle(event, self._request_table):
            self._execute(decision)

    def _execute(self, decision: q.RequestDecision) -> None:
        now = self._now()
        match decision:
            case q.ForwardRequest(request, attempt, backend_server):
                self._forward(request, attempt, backend_server is not None)
            case q.RefuseRequest(request, not_run):
                self.simulation.add(r.RequestRefused(now, request, not_run))
                self._finish(request)
            case q.ReportUnknownOutcome(request):
                self.simulation.add(r.RequestRefused(now, request, False))
                self._finish(request)
            case q.DeliverResponse(request, parts):
                payload = RequestPayload(0, request, 0)
                exact = parts == tuple(
                    AnswerPart(payload, i).data for i in range(ANSWER_PARTS)
                )
                caller = self._session_of_request[request].caller
                self.simulation.add(r.AnswerDelivered(now, request, caller, exact))
                self._session_of_request[request].answered += 1
                self._finish(request)
            case _:
                pass

    def _forward(
        self, request: RequestId, attempt: int, is_retry_on_same_server: bool
    ) -> None:
        session = self._session_of_request[request]
        session.current = (request, attempt)
        if session.state is SessionState.OPEN:
            self._send_request(session)
        elif session.state is SessionState.OPENING:
            event = e.FlowOpened(session.flow, session.service, Seconds(0.0))
            self._send(session, Packet(event))
        elif is_retry_on_same_server:
            # A retry on the same backend server is not possible, since a new flow may
            # reach another one.
            session.current = None
            self._decide(q.FlowClosed(request, attempt, False, self._now()))
        else:
            self._reopen(session)

    def _reopen(self, session: Session) -> None:
        session.flow = self._new_flow(session.service)
        self.sessions[session.flow] = session
        session.state = SessionState.OPENING
        session.established = False
        event = e.FlowOpened(session.flow, session.service, Seconds(0.0))
        self._send(session, Packet(event))

    def _send_request(self, session: Session) -> None:
        if session.current is None:
            self._close(session)
            return
        request, attempt = session.current
        session.request_count += 1
        session.received_parts.clear()
        payload = RequestPayload(session.request_count, request, attempt)
        backend_server = session.backend_server
        assert backend_server is not None
        self._decide(q.RequestForwarded(request, attempt, backend_server, self._now()))
        event = e.FlowData(session.flow, session.service, Seconds(0.0))
        self._send(session, Packet(event, payload))

    def _handle_part(self, session: Session, part: AnswerPart) -> None:
        now = self._now()
        payload = part.payload
        if session.unanswered is not None and session.unanswered[0].content == payload:
            session.received_parts.add(part.index)
            session.unanswered = (session.unanswered[0], now)
            if len(session.received_parts) == ANSWER_PARTS:
                session.unanswered = None
        self._decide(
            q.ResponsePart(payload.request, payload.attempt, part.index, part.data, now)
        )
        if part.index == ANSWER_PARTS - 1:
            done = q.ResponseComplete(
                payload.request, payload.attempt, ANSWER_PARTS, now
            )
            self._decide(done)

    def _finish(self, request: RequestId) -> None:
        session = self._session_of_request[request]
        if session.current is None or session.current[0] != request:
            return
        session.current = None
        if session.state is not SessionState.OPEN:
            return
        if session.unanswered is not None:
            # The answer is still in transit, so this flow carries no further request.
            session.pauses.clear()
        elif session.pauses and not self.closing:
            pause = session.pauses.pop(0)
            self.simulation.network.call_later(
                pause, lambda: self._start_next_request(session)
            )
        else:
            self._close(session)

    def _start_next_request(self, session: Session) -> None:
        if session.state is not SessionState.OPEN or session.current is not None:
            return
        if self.closing:
            self._close(session)
        else:
            self._start_request(session)

    # Packets

    def _close(self, session: Session) -> None:
        session.state = SessionState.CLOSING
        event = e.FlowClosing(session.flow, session.service, Seconds(0.0))
        self._send(session, Packet(event))

    def _mark_ended(self, session: Session) -> None:
        session.state = SessionState.ENDED
        session.unanswered = None

    def _send(self, session: Session, packet: Packet) -> None:
        session.unanswered = (packet, self._now())
        self._transmit(session, packet)

    def _transmit(self, session: Session, packet: Packet) -> None:
        if session.unanswered is None or session.unanswered[0] is not packet:
            if session.state is SessionState.OPEN and session.current is None:
                self._close_if_idle(session)
            return
        if self._now() - session.unanswered[1] > FLOW_TIMEOUT:
            self.fail_flow(session)
            return
        self.simulation.send_via_fabric(session.host, packet)
        self.simulation.network.call_later(
            RETRANSMIT_INTERVAL, lambda: self._transmit(session, packet)
        )

    def _close_if_idle(self, session: Session) -> None:
        if not session.pauses and session.unanswered is None:
            self._close(session)

    def _tick(self) -> None:
        self._decide(q.Tick(self._now()))
