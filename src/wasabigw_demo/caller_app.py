"""Application of the caller stand-in: opens flows and checks each answer."""

import random
import threading
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from returns.result import Success

from wasabigw.core.cluster import Endpoint, endpoint_key
from wasabigw.core.ids import RequestId, Seconds
from wasabigw.core.states import Protocol
from wasabigw_demo import exchange, tcp
from wasabigw_demo.exchange import AnswerHeader, AnswerStatus, Request
from wasabigw_demo.host import Application, FlowId, Host
from wasabigw_demo.plan import FlowPlan
from wasabigw_demo.records import RecordKind, RecordWriter
from wasabigw_demo.spans import SpanName, record_span, start_trace

RETRY_DELAY = Seconds(0.5)
"""Delay before a refused or shed flow is opened again."""
MAX_ATTEMPTS = 30
DATAGRAM_RETRY_INTERVAL = Seconds(0.6)
MAX_DATAGRAMS = 25
REQUEST_TIMEOUT = Seconds(20.0)
"""Time for an answer, in addition to the period over which it is sent."""
FIRST_PORT = 20_000
INITIAL_TIME = Seconds(0.0)


class RequestOutcome(Enum):
    """Outcome of a request for its caller."""

    ANSWERED = "answered"
    WRONG_ANSWER = "wrong-answer"
    FLOW_BROKEN = "flow-broken"
    TIMED_OUT = "timed-out"
    NOT_SERVED = "not-served"


class FlowOutcome(Enum):
    """Outcome of an attempt to use a flow, for its caller."""

    COMPLETE = "complete"
    REFUSED = "refused"
    SHED = "shed"
    BROKEN = "broken"
    FAILED = "failed"


@dataclass(slots=True)
class _FlowState:
    """State of an open flow.

    :param requests: requests that have not been answered yet.
    :param parts: received parts of the current UDP answer by number.
    :param sent_datagrams: datagrams that were sent for the current request.
    """

    plan: FlowPlan
    requests: list[Request]
    attempt: int
    began: Seconds
    established: bool = False
    request_sent_at: Seconds = INITIAL_TIME
    received: bytearray = field(default_factory=bytearray)
    header: AnswerHeader | None = None
    parts: dict[int, bytes] = field(default_factory=dict)
    sent_datagrams: int = 0
    ended: bool = False


@dataclass(frozen=True, slots=True)
class _ScheduledFlow:
    at: Seconds
    plan: FlowPlan
    requests: list[Request]
    attempt: int


class CallerApplication(Application):
    """Opens planned flows and writes a record of each request and flow.

    :param address: inner address of the caller.
    :param request_timeout: time for an answer, in addition to the period over which it
        is sent.
    :param done: set once every request has an outcome.
    """

    def __init__(
        self,
        name: str,
        address: str,
        plans: Sequence[FlowPlan],
        records: RecordWriter,
        seed: int,
        done: threading.Event,
        request_timeout: Seconds = REQUEST_TIMEOUT,
    ) -> None:
        self._name = name
        self._address = address
        self._records = records
        self._done = done
        self._request_timeout = request_timeout
        self._generator = random.Random(f"{seed}:{name}:trace")
        self._plans = list(plans)
        self._started: Seconds | None = None
        self._now = Seconds(0.0)
        self._schedule: list[_ScheduledFlow] = []
        self._flows: dict[FlowId, _FlowState] = {}
        self._next_port = FIRST_PORT
        self._failures = 0

    @property
    def failures(self) -> int:
        """Number of requests without a correct answer plus broken or failed flows."""
        return self._failures

    def tick(self, host: Host, now: Seconds) -> None:
        """Open the flows that are scheduled, and resend requests or time them out."""
        self._now = now
        if self._started is None:
            self._started = now
            self._schedule = [
                _ScheduledFlow(Seconds(now + plan.start), plan, list(plan.requests), 1)
                for plan in self._plans
            ]
        ready = [scheduled for scheduled in self._schedule if scheduled.at <= now]
        self._schedule = [
            scheduled for scheduled in self._schedule if scheduled.at > now
        ]
        for scheduled in ready:
            self._open_flow(host, scheduled)
        for flow, state in list(self._flows.items()):
            self._check_timeout(host, flow, state)
        if not self._schedule and not self._flows:
            self._done.set()

    def opened(self, host: Host, flow: FlowId) -> None:
        """Send the first request."""
        state = self._flows[flow]
        state.established = True
        self._send_request(host, flow, state)

    def received(self, host: Host, flow: FlowId, data: bytes) -> None:
        """Process complete answers, and send the next request after each."""
        state = self._flows.get(flow)
        if state is None:
            return
        state.received += data
        while not state.ended and self._process_answer(host, flow, state):
            pass

    def peer_closed(self, host: Host, flow: FlowId) -> None:
        """Close the flow too; it counts as broken, as requests are unanswered."""
        state = self._flows.get(flow)
        if state is not None:
            self._end_flow(host, flow, state, FlowOutcome.BROKEN)

    def closed(self, host: Host, flow: FlowId, reason: tcp.CloseReason) -> None:
        """Retry a flow that was never established; any other counts as broken."""
        state = self._flows.get(flow)
        if state is None:
            return
        if not state.established:
            self._end_flow(host, flow, state, FlowOutcome.REFUSED)
        else:
            self._end_flow(host, flow, state, FlowOutcome.BROKEN)

    def datagram_received(self, host: Host, flow: FlowId, payload: bytes) -> None:
        """Collect a part of a UDP answer."""
        state = self._flows.get(flow)
        line, _, data = payload.partition(b"\n")
        match exchange.decode_answer(line):
            case Success(header) if state is not None:
                self._part_received(host, flow, state, header, data)
            case _:
                return

    def unreachable(self, host: Host, flow: FlowId) -> None:
        """Open a UDP flow again that no backend server accepted."""
        state = self._flows.get(flow)
        if state is not None and state.plan.target.protocol is Protocol.UDP:
            self._end_flow(host, flow, state, FlowOutcome.REFUSED)

    def message_received(self, host: Host, message: object) -> None:
        """Reject all messages; callers expect none."""
        raise TypeError(f"unknown message for a caller: {message!r}")

    def _open_flow(self, host: Host, scheduled: _ScheduledFlow) -> None:
        self._now = host.now
        local = Endpoint(self._address, self._next_port)
        self._next_port += 1
        flow = FlowId(local, scheduled.plan.target.endpoint)
        state = _FlowState(
            scheduled.plan, scheduled.requests, scheduled.attempt, self._now
        )
        self._flows[flow] = state
        if scheduled.plan.traced and scheduled.attempt == 1:
            context = start_trace(self._generator)
            record_span(self._records, SpanName(self._name, "open"), None, context)
            host.trace(flow, context)
        if scheduled.plan.target.protocol is Protocol.TCP:
            host.connect(flow)
        else:
            self._send_request(host, flow, state)

    def _send_request(self, host: Host, flow: FlowId, state: _FlowState) -> None:
        request = state.requests[0]
        state.request_sent_at = self._now
        line = exchange.encode_line(request)
        if state.plan.target.protocol is Protocol.TCP:
            host.send(flow, line)
        else:
            state.sent_datagrams += 1
            host.send_datagram(flow, line)

    def _process_answer(self, host: Host, flow: FlowId, state: _FlowState) -> bool:
        if state.header is None:
            line = exchange.pop_line(state.received)
            if line is None:
                return False
            match exchange.decode_answer(line):
                case Success(header):
                    state.header = header
                case _:
                    self._finish_request(host, flow, state, None, b"")
                    return False
        if state.header is None or len(state.received) < state.header.size:
            return False
        header, state.header = state.header, None
        body = bytes(state.received[: header.size])
        del state.received[: header.size]
        self._finish_request(host, flow, state, header, body)
        return True

    def _part_received(
        self,
        host: Host,
        flow: FlowId,
        state: _FlowState,
        header: AnswerHeader,
        data: bytes,
    ) -> None:
        if header.id != state.requests[0].id:
            return
        state.parts[header.part] = data
        part_count = max(1, -(-header.size // exchange.PART_SIZE))
        if len(state.parts) == part_count:
            body = b"".join(state.parts[part] for part in sorted(state.parts))
            self._finish_request(host, flow, state, header, body)

    def _finish_request(
        self,
        host: Host,
        flow: FlowId,
        state: _FlowState,
        header: AnswerHeader | None,
        body: bytes,
    ) -> None:
        if header is not None and header.status is AnswerStatus.SHED:
            self._end_flow(host, flow, state, FlowOutcome.SHED)
            return
        self._now = host.now
        request = state.requests.pop(0)
        correct = header is not None and is_correct(request, header, body)
        outcome = RequestOutcome.ANSWERED if correct else RequestOutcome.WRONG_ANSWER
        server = header.server if header is not None else None
        self._record_request(request, state, outcome, server)
        if state.requests:
            self._send_request(host, flow, state)
        else:
            self._end_flow(host, flow, state, FlowOutcome.COMPLETE)

    def _check_timeout(self, host: Host, flow: FlowId, state: _FlowState) -> None:
        if not state.requests:
            return
        is_tcp = state.plan.target.protocol is Protocol.TCP
        if not is_tcp and self._now - state.request_sent_at >= DATAGRAM_RETRY_INTERVAL:
            if state.sent_datagrams < MAX_DATAGRAMS:
                self._send_request(host, flow, state)
            else:
                self._end_flow(host, flow, state, FlowOutcome.FAILED)
            return
        limit = self._request_timeout + state.requests[0].spread
        if state.established and self._now - state.request_sent_at > limit:
            self._end_flow(host, flow, state, FlowOutcome.FAILED)

    def _end_flow(
        self, host: Host, flow: FlowId, state: _FlowState, outcome: FlowOutcome
    ) -> None:
        self._now = host.now
        state.ended = True
        self._flows.pop(flow, None)
        if state.plan.target.protocol is Protocol.TCP and state.established:
            host.finish(flow)
        self._record_flow(flow, state, outcome)
        not_run = outcome in (FlowOutcome.REFUSED, FlowOutcome.SHED)
        # A refused or shed request was not run, so that a retry is always safe.
        if not_run and state.attempt < MAX_ATTEMPTS:
            at = Seconds(self._now + RETRY_DELAY)
            retry = _ScheduledFlow(at, state.plan, state.requests, state.attempt + 1)
            self._schedule.append(retry)
            return
        for request in state.requests:
            self._record_request(request, state, _REQUEST_OUTCOMES[outcome], None)

    def _record_request(
        self,
        request: Request,
        state: _FlowState,
        outcome: RequestOutcome,
        server: str | None,
    ) -> None:
        if outcome is not RequestOutcome.ANSWERED:
            self._failures += 1
        self._records.write(
            RecordKind.REQUEST,
            id=request.id,
            flow=state.plan.name,
            flow_kind=state.plan.kind.value,
            size=request.size,
            idempotent=request.idempotent,
            outcome=outcome.value,
            server=server,
            attempts=state.attempt,
            seconds=round(self._now - state.began, 3),
        )

    def _record_flow(
        self, flow: FlowId, state: _FlowState, outcome: FlowOutcome
    ) -> None:
        if outcome in (FlowOutcome.BROKEN, FlowOutcome.FAILED):
            self._failures += 1
        self._records.write(
            RecordKind.FLOW,
            flow=state.plan.name,
            caller=endpoint_key(flow.local),
            service=state.plan.target.name,
            requests=len(state.plan.requests),
            flow_kind=state.plan.kind.value,
            outcome=outcome.value,
            established=state.established,
            attempt=state.attempt,
            unanswered=[request.id for request in state.requests],
            opened_at=state.began,
            began=round(state.began - (self._started or 0.0), 3),
            seconds=round(self._now - state.began, 3),
        )


_REQUEST_OUTCOMES = {
    FlowOutcome.BROKEN: RequestOutcome.FLOW_BROKEN,
    FlowOutcome.FAILED: RequestOutcome.TIMED_OUT,
    FlowOutcome.REFUSED: RequestOutcome.NOT_SERVED,
    FlowOutcome.SHED: RequestOutcome.NOT_SERVED,
}


def is_correct(request: Request, header: AnswerHeader, body: bytes) -> bool:
    """Whether an answer matches its request in every byte."""
    expected = exchange.expected_body(request)
    digest = exchange.body_digest(expected)
    return (
        header.id == request.id
        and header.size == request.size
        and header.digest == digest
        and body == expected
    )


def request_ids(plans: Sequence[FlowPlan]) -> list[RequestId]:
    """Ids of all requests of planned flows."""
    return [request.id for plan in plans for request in plan.requests]
