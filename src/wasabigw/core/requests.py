"""Rules for whole requests: forward, retry, refuse, deliver or drop.

They know neither packets nor HTTP; a front end turns its own events into those
of :mod:`wasabigw.core.request_events` and carries out the decisions. A front end
that must not repeat a request after a crash writes a :class:`JournalEntry`
durably before it carries out :class:`ForwardRequest`.
"""

import heapq
from dataclasses import dataclass, field
from functools import singledispatch

from wasabigw.core.ids import BackendServerId, RequestId, Seconds
from wasabigw.core.request_events import (
    BackendRefused,
    CancelAtBackend,
    DeliverResponse,
    DropResponse,
    FlowClosed,
    ForwardRequest,
    JournalEntry,
    NodeRestarted,
    RefusalReason,
    RefuseRequest,
    ReportUnknownOutcome,
    RequestArrived,
    RequestCancelled,
    RequestDecision,
    RequestEvent,
    RequestForwarded,
    RequestStage,
    ResponseComplete,
    ResponsePart,
    RestoredFromDisk,
    Tick,
)
from wasabigw.core.retry_budget import RetryBudget, count_request, take_retry

MAX_ACTIVE = 20_000
"""Requests without an outcome; further ones are refused as not run."""
MAX_ENDED = 200_000
"""Ended requests that are remembered; if all are recent, new ones are refused."""
ENDED_KEPT = Seconds(10.0)
"""How long an id is remembered after its deadline.

An arrival whose deadline passed longer ago may repeat an id that is forgotten.
"""
RESTORED_KEPT = Seconds(600.0)
"""How long ids from the disk are remembered; their deadlines have no clock."""
MAX_PARTS = 4096
MAX_ANSWER_BYTES = 16 * 2**20
MAX_BUFFERED_BYTES = 64 * 2**20
"""Limits on the parts of one response and on those of all responses."""


@dataclass(slots=True)
class ActiveRequest:
    """A request without an outcome.

    :param attempt: number of the latest forward.
    :param backend_server: where anything was sent; later attempts go there too.
    :param may_have_run: an earlier attempt may have run.
    :param total: number of parts, once it is known.
    """

    id: RequestId
    idempotent: bool
    repeatable: bool
    deadline: Seconds
    attempt: int = 1
    stage: RequestStage = RequestStage.MAY_BE_SENT
    backend_server: BackendServerId | None = None
    may_have_run: bool = False
    parts: dict[int, bytes] = field(default_factory=dict)
    size: int = 0
    total: int | None = None


@dataclass(slots=True)
class RequestTable:
    """Requests of one front end; owned by the task that drives these rules.

    :param ended: requests whose caller had an answer of some kind; the value tells
        whether the backend server must hear that its response is not needed.
    :param deadlines: heap of the deadlines of active requests.
    :param expiry: heap of the times at which ended requests are forgotten.
    :param buffered: bytes of all parts that wait.
    """

    active: dict[RequestId, ActiveRequest] = field(default_factory=dict)
    ended: dict[RequestId, bool] = field(default_factory=dict)
    deadlines: list[tuple[Seconds, RequestId]] = field(default_factory=list)
    expiry: list[tuple[Seconds, RequestId]] = field(default_factory=list)
    budget: RetryBudget = field(default_factory=RetryBudget)
    buffered: int = 0


@singledispatch
def handle(event: RequestEvent, state: RequestTable) -> list[RequestDecision]:
    """Decisions that follow from an event."""
    raise TypeError(f"no rule for the event {type(event).__name__}")


def journal(state: RequestTable) -> tuple[JournalEntry, ...]:
    """What must be on disk to restart from, in no particular order."""
    active = [
        JournalEntry(request.id, request.stage) for request in state.active.values()
    ]
    ended = [JournalEntry(name, RequestStage.ENDED) for name in state.ended]
    return (*active, *ended)


@handle.register
def _(event: RequestArrived, state: RequestTable) -> list[RequestDecision]:
    if event.id in state.active:
        return []
    if event.id in state.ended or event.now > event.deadline + ENDED_KEPT:
        return [RefuseRequest(event.id, False, RefusalReason.REPEATED_ID)]
    if event.now >= event.deadline:
        return _refuse_new(event, RefusalReason.DEADLINE_PASSED, state)
    if len(state.active) >= MAX_ACTIVE or not _room_for_ended(event.now, state):
        return [RefuseRequest(event.id, True, RefusalReason.TABLE_FULL)]
    count_request(state.budget, event.now)
    request = ActiveRequest(
        event.id, event.idempotent, event.repeatable, event.deadline
    )
    state.active[event.id] = request
    heapq.heappush(state.deadlines, (event.deadline, event.id))
    return [_forward(request, event.now)]


@handle.register
def _(event: RequestForwarded, state: RequestTable) -> list[RequestDecision]:
    request = state.active.get(event.id)
    if request is None:
        if not state.ended.get(event.id, False):
            return []
        return [CancelAtBackend(event.id, event.attempt, event.backend_server)]
    request.backend_server = request.backend_server or event.backend_server
    if event.attempt == request.attempt:
        request.stage = RequestStage.SENT
    else:
        request.may_have_run = True
    return []


@handle.register
def _(event: ResponsePart, state: RequestTable) -> list[RequestDecision]:
    request = _awaiting(event.id, event.attempt, state)
    if request is None:
        return _drop_answer(event.id, event.attempt, state)
    request.stage = RequestStage.SENT
    known = request.parts.get(event.index)
    if known is not None:
        return [] if known == event.data else _give_up(request, state)
    if not _fits(request, event, state):
        return _give_up(request, state)
    request.parts[event.index] = event.data
    request.size += len(event.data)
    state.buffered += len(event.data)
    return _deliver_if_whole(request, state)


@handle.register
def _(event: ResponseComplete, state: RequestTable) -> list[RequestDecision]:
    request = _awaiting(event.id, event.attempt, state)
    if request is None:
        return _drop_answer(event.id, event.attempt, state)
    request.stage = RequestStage.SENT
    wrong_total = request.total not in (None, event.parts)
    too_many = any(index >= event.parts for index in request.parts)
    if wrong_total or too_many or not 0 <= event.parts <= MAX_PARTS:
        return _give_up(request, state)
    request.total = event.parts
    return _deliver_if_whole(request, state)


@handle.register
def _(event: RequestCancelled, state: RequestTable) -> list[RequestDecision]:
    request = state.active.get(event.id)
    if request is None:
        return []
    _end(request, state, cancel=True)
    return [CancelAtBackend(request.id, request.attempt, request.backend_server)]


@handle.register
def _(event: BackendRefused, state: RequestTable) -> list[RequestDecision]:
    request = _awaiting(event.id, event.attempt, state)
    # A response that has begun contradicts the refusal.
    if request is None or request.parts or request.total is not None:
        return []
    return _retry_or_refuse(request, RefusalReason.SHED, event.now, state)


@handle.register
def _(event: FlowClosed, state: RequestTable) -> list[RequestDecision]:
    request = _awaiting(event.id, event.attempt, state)
    if request is None or request.total is not None:
        # Parts of a complete response may still be on the way.
        return []
    if not event.sent and request.stage is RequestStage.MAY_BE_SENT:
        return _retry_or_refuse(request, RefusalReason.NOT_SENT, event.now, state)
    request.may_have_run = True
    if request.repeatable and _may_retry(request, event.now, state):
        return [_next_attempt(request, event.now, state)]
    _end(request, state, cancel=True)
    return [ReportUnknownOutcome(request.id)]


@handle.register
def _(event: Tick, state: RequestTable) -> list[RequestDecision]:
    _forget_ended(event.now, state)
    decisions: list[RequestDecision] = []
    while state.deadlines and state.deadlines[0][0] <= event.now:
        _, name = heapq.heappop(state.deadlines)
        request = state.active.get(name)
        if request is not None:
            decisions += _give_up(request, state)
    return decisions


@handle.register
def _(event: NodeRestarted, state: RequestTable) -> list[RequestDecision]:
    decisions: list[RequestDecision] = []
    for request in list(state.active.values()):
        _end(request, state, cancel=True)
        decisions.append(ReportUnknownOutcome(request.id))
    return decisions


@handle.register
def _(event: RestoredFromDisk, state: RequestTable) -> list[RequestDecision]:
    decisions: list[RequestDecision] = []
    for entry in event.entries:
        if entry.id in state.active or entry.id in state.ended:
            continue
        _remember(entry.id, Seconds(event.now + RESTORED_KEPT), state, cancel=True)
        if entry.stage is not RequestStage.ENDED:
            decisions.append(ReportUnknownOutcome(entry.id))
    return decisions


def _refuse_new(
    event: RequestArrived, reason: RefusalReason, state: RequestTable
) -> list[RequestDecision]:
    _remember(event.id, Seconds(event.deadline + ENDED_KEPT), state, cancel=False)
    return [RefuseRequest(event.id, True, reason)]


def _forward(request: ActiveRequest, now: Seconds) -> ForwardRequest:
    remaining = Seconds(request.deadline - now)
    return ForwardRequest(
        request.id, request.attempt, request.backend_server, remaining
    )


def _awaiting(
    request_id: RequestId, attempt: int, state: RequestTable
) -> ActiveRequest | None:
    """Request whose latest attempt an event belongs to."""
    request = state.active.get(request_id)
    return request if request is not None and request.attempt == attempt else None


def _drop_answer(
    request_id: RequestId, attempt: int, state: RequestTable
) -> list[RequestDecision]:
    """Drop a response that is late; it shows that its attempt was sent."""
    request = state.active.get(request_id)
    if request is not None:
        request.may_have_run = True
    return [DropResponse(request_id, attempt)]


def _fits(request: ActiveRequest, part: ResponsePart, state: RequestTable) -> bool:
    last = MAX_PARTS if request.total is None else request.total
    return (
        0 <= part.index < last
        and request.size + len(part.data) <= MAX_ANSWER_BYTES
        and state.buffered + len(part.data) <= MAX_BUFFERED_BYTES
    )


def _deliver_if_whole(
    request: ActiveRequest, state: RequestTable
) -> list[RequestDecision]:
    if request.total is None or len(request.parts) < request.total:
        return []
    parts = tuple(request.parts[index] for index in range(request.total))
    _end(request, state, cancel=False)
    return [DeliverResponse(request.id, parts)]


def _retry_or_refuse(
    request: ActiveRequest, reason: RefusalReason, now: Seconds, state: RequestTable
) -> list[RequestDecision]:
    """The latest attempt was certainly not run."""
    if _may_retry(request, now, state):
        return [_next_attempt(request, now, state)]
    _end(request, state, cancel=reason is RefusalReason.NOT_SENT)
    if request.may_have_run:
        return [ReportUnknownOutcome(request.id)]
    return [RefuseRequest(request.id, True, reason)]


def _may_retry(request: ActiveRequest, now: Seconds, state: RequestTable) -> bool:
    """A request that is not idempotent is forwarded once, whatever happens."""
    return (
        request.idempotent and now < request.deadline and take_retry(state.budget, now)
    )


def _next_attempt(
    request: ActiveRequest, now: Seconds, state: RequestTable
) -> ForwardRequest:
    _drop_parts(request, state)
    request.attempt += 1
    request.stage = RequestStage.MAY_BE_SENT
    return _forward(request, now)


def _give_up(request: ActiveRequest, state: RequestTable) -> list[RequestDecision]:
    """End a request that may have run and will get no response."""
    _end(request, state, cancel=True)
    return [
        CancelAtBackend(request.id, request.attempt, request.backend_server),
        ReportUnknownOutcome(request.id),
    ]


def _end(request: ActiveRequest, state: RequestTable, *, cancel: bool) -> None:
    """End a request.

    :param cancel: a forward that is reported later is to be cancelled.
    """
    _drop_parts(request, state)
    del state.active[request.id]
    until = Seconds(request.deadline + ENDED_KEPT)
    _remember(request.id, until, state, cancel=cancel)


def _remember(
    name: RequestId, until: Seconds, state: RequestTable, *, cancel: bool
) -> None:
    if len(state.ended) < MAX_ENDED:
        state.ended[name] = cancel
        heapq.heappush(state.expiry, (until, name))


def _drop_parts(request: ActiveRequest, state: RequestTable) -> None:
    state.buffered -= request.size
    request.parts, request.size, request.total = {}, 0, None


def _room_for_ended(now: Seconds, state: RequestTable) -> bool:
    """Whether the outcome of one more request can be remembered."""
    _forget_ended(now, state)
    return len(state.active) + len(state.ended) < MAX_ENDED


def _forget_ended(now: Seconds, state: RequestTable) -> None:
    while state.expiry and state.expiry[0][0] < now:
        _, name = heapq.heappop(state.expiry)
        state.ended.pop(name, None)
