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
MAX_ATTEMPTS = 30
DATAGRAM_RETRY = Seconds(0.6)
MAX_DATAGRAM_TRIES = 25
REQUEST_TIMEOUT = Seconds(20.0)
"""Time for an answer beyond the time over which it is spread."""
FIRST_PORT = 20_000
START = Seconds(0.0)


class RequestOutcome(Enum):
    """What a caller saw of a request."""

    ANSWERED = "answered"
    WRONG_ANSWER = "wrong-answer"
    FLOW_BROKEN = "flow-broken"
    TIMED_OUT = "timed-out"
    NOT_SERVED = "not-served"


class FlowOutcome(Enum):
    """What a caller saw of a flow."""

    COMPLETE = "complete"
    REFUSED = "refused"
    SHED = "shed"
    BROKEN = "broken"
    FAILED = "failed"


@dataclass(slots=True)
class _Flow:
    """A flow that is open.

    :param tries: datagrams that were sent for the current request.
    """

    plan: FlowPlan
    requests: list[Request]
    attempt: int
    began: Seconds
    established: bool = False
    asked_at: Seconds = START
    received: bytearray = field(default_factory=bytearray)
    header: AnswerHeader | None = None
    parts: dict[int, bytes] = field(default_factory=dict)
    tries: int = 0
    ended: bool = False


@dataclass(frozen=True, slots=True)
class _Due:
    at: Seconds
    plan: FlowPlan
    requests: list[Request]
    attempt: int


class CallerApplication(Application):
    """Opens the flows of a plan and writes a record for each request and flow.

    :param address: inner address of the caller.
    :param request_timeout: time for an answer beyond that over which it is spread.
    :param done: set when every request has an outcome.
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
        self._due: list[_Due] = []
        self._flows: dict[FlowId, _Flow] = {}
        self._next_port = FIRST_PORT
        self._failures = 0

    @property
    def failures(self) -> int:
        """Requests that were not answered exactly, and flows that broke."""
        return self._failures

    def tick(self, host: Host, now: Seconds) -> None:
        """Open the flows that are due, and repeat or give up requests."""
        self._now = now
        if self._started is None:
            self._started = now
            self._due = [
                _Due(Seconds(now + plan.start), plan, list(plan.requests), 1)
                for plan in self._plans
            ]
        ready = [due for due in self._due if due.at <= now]
        self._due = [due for due in self._due if due.at > now]
        for due in ready:
            self._open(host, due)
        for flow, state in list(self._flows.items()):
            self._check_time(host, flow, state)
        if not self._due and not self._flows:
            self._done.set()

    def opened(self, host: Host, flow: FlowId) -> None:
        """Send the first request."""
        state = self._flows[flow]
        state.established = True
        self._ask(host, flow, state)

    def received(self, host: Host, flow: FlowId, data: bytes) -> None:
        """Collect answers, and send the next request after each."""
        state = self._flows.get(flow)
        if state is None:
            return
        state.received += data
        while not state.ended and self._take_answer(host, flow, state):
            pass

    def peer_closed(self, host: Host, flow: FlowId) -> None:
        """Close as well; a missing answer counts as a broken flow."""
        state = self._flows.get(flow)
        if state is not None:
            self._end(host, flow, state, FlowOutcome.BROKEN)

    def closed(self, host: Host, flow: FlowId, reason: tcp.CloseReason) -> None:
        """Retry a refused connection; otherwise the flow broke."""
        state = self._flows.get(flow)
        if state is None:
            return
        if not state.established:
            self._end(host, flow, state, FlowOutcome.REFUSED)
        else:
            self._end(host, flow, state, FlowOutcome.BROKEN)

    def datagram_received(self, host: Host, flow: FlowId, payload: bytes) -> None:
        """Collect the parts of an answer."""
        state = self._flows.get(flow)
        line, _, data = payload.partition(b"\n")
        match exchange.decode_answer(line):
            case Success(header) if state is not None:
                self._part_arrived(host, flow, state, header, data)
            case _:
                return

    def unreachable(self, host: Host, flow: FlowId) -> None:
        """No backend server took the flow; try again with another."""
        state = self._flows.get(flow)
        if state is not None and state.plan.target.protocol is Protocol.UDP:
            self._end(host, flow, state, FlowOutcome.REFUSED)

    def message_received(self, host: Host, message: object) -> None:
        """Nothing is posted to a caller."""
        raise TypeError(f"no message for a caller: {message!r}")

    def _open(self, host: Host, due: _Due) -> None:
        self._now = host.now
        local = Endpoint(self._address, self._next_port)
        self._next_port += 1
        flow = FlowId(local, due.plan.target.endpoint)
        state = _Flow(due.plan, due.requests, due.attempt, self._now)
        self._flows[flow] = state
        if due.plan.traced and due.attempt == 1:
            context = start_trace(self._generator)
            record_span(self._records, SpanName(self._name, "open"), None, context)
            host.trace(flow, context)
        if due.plan.target.protocol is Protocol.TCP:
            host.connect(flow)
        else:
            self._ask(host, flow, state)

    def _ask(self, host: Host, flow: FlowId, state: _Flow) -> None:
        request = state.requests[0]
        state.asked_at = self._now
        line = exchange.encode_line(request)
        if state.plan.target.protocol is Protocol.TCP:
            host.send(flow, line)
        else:
            state.tries += 1
            host.send_datagram(flow, line)

    def _take_answer(self, host: Host, flow: FlowId, state: _Flow) -> bool:
        if state.header is None:
            line = exchange.take_line(state.received)
            if line is None:
                return False
            match exchange.decode_answer(line):
                case Success(header):
                    state.header = header
                case _:
                    self._answered(host, flow, state, None, b"")
                    return False
        if state.header is None or len(state.received) < state.header.size:
            return False
        header, state.header = state.header, None
        body = bytes(state.received[: header.size])
        del state.received[: header.size]
        self._answered(host, flow, state, header, body)
        return True

    def _part_arrived(
        self,
        host: Host,
        flow: FlowId,
        state: _Flow,
        header: AnswerHeader,
        data: bytes,
    ) -> None:
        if header.id != state.requests[0].id:
            return
        state.parts[header.part] = data
        needed = max(1, -(-header.size // exchange.PART_SIZE))
        if len(state.parts) == needed:
            body = b"".join(state.parts[part] for part in sorted(state.parts))
            self._answered(host, flow, state, header, body)

    def _answered(
        self,
        host: Host,
        flow: FlowId,
        state: _Flow,
        header: AnswerHeader | None,
        body: bytes,
    ) -> None:
        if header is not None and header.status is AnswerStatus.SHED:
            self._end(host, flow, state, FlowOutcome.SHED)
            return
        self._now = host.now
        request = state.requests.pop(0)
        right = header is not None and is_right(request, header, body)
        outcome = RequestOutcome.ANSWERED if right else RequestOutcome.WRONG_ANSWER
        server = header.server if header is not None else None
        self._record_request(request, state, outcome, server)
        if state.requests:
            self._ask(host, flow, state)
        else:
            self._end(host, flow, state, FlowOutcome.COMPLETE)

    def _check_time(self, host: Host, flow: FlowId, state: _Flow) -> None:
        if not state.requests:
            return
        waiting = state.plan.target.protocol is Protocol.TCP
        if not waiting and self._now - state.asked_at >= DATAGRAM_RETRY:
            if state.tries < MAX_DATAGRAM_TRIES:
                self._ask(host, flow, state)
            else:
                self._end(host, flow, state, FlowOutcome.FAILED)
            return
        limit = self._request_timeout + state.requests[0].spread
        if state.established and self._now - state.asked_at > limit:
            self._end(host, flow, state, FlowOutcome.FAILED)

    def _end(
        self, host: Host, flow: FlowId, state: _Flow, outcome: FlowOutcome
    ) -> None:
        self._now = host.now
        state.ended = True
        self._flows.pop(flow, None)
        if state.plan.target.protocol is Protocol.TCP and state.established:
            host.finish(flow)
        self._record_flow(flow, state, outcome)
        not_run = outcome in (FlowOutcome.REFUSED, FlowOutcome.SHED)
        if not_run and state.attempt < MAX_ATTEMPTS:
            at = Seconds(self._now + RETRY_DELAY)
            retry = _Due(at, state.plan, state.requests, state.attempt + 1)
            self._due.append(retry)
            return
        for request in state.requests:
            self._record_request(request, state, _REQUEST_OUTCOMES[outcome], None)

    def _record_request(
        self,
        request: Request,
        state: _Flow,
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

    def _record_flow(self, flow: FlowId, state: _Flow, outcome: FlowOutcome) -> None:
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


def is_right(request: Request, header: AnswerHeader, body: bytes) -> bool:
    """Whether an answer is exactly the one that the request asked for."""
    expected = exchange.expected_body(request)
    digest = exchange.digest_of(expected)
    return (
        header.id == request.id
        and header.size == request.size
        and header.digest == digest
        and body == expected
    )


def request_ids(plans: Sequence[FlowPlan]) -> list[RequestId]:
    """Ids of all requests of a plan."""
    return [request.id for plan in plans for request in plan.requests]
