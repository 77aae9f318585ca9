"""Rules for whole requests: forward, retry, refuse, deliver or drop.

The rules are independent of packets and HTTP. A front end translates its events into
those of :mod:`wasabigw.core.request_events` and executes the decisions. If it must not
repeat a request after a crash, it writes a :class:`JournalEntry` durably before it
executes :class:`ForwardRequest`.
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
"""Limit on active requests; further requests are refused as not run."""
MAX_ENDED = 200_000
"""Limit on active and remembered requests; at the limit, new requests are refused."""
ENDED_RETENTION = Seconds(10.0)
"""How long a request id is remembered after its deadline.

A request whose deadline passed longer ago may be a repetition that is no longer
recognised, so it is refused as a repeated id.
"""
RESTORED_RETENTION = Seconds(600.0)
"""How long ids from the journal are remembered.

The journal holds no deadlines, since monotonic time is only valid in one process.
"""
MAX_PARTS = 4096
MAX_RESPONSE_BYTES = 16 * 2**20
MAX_BUFFERED_BYTES = 64 * 2**20
"""Limits on the parts and bytes of one response, and on the bytes of all responses."""


@dataclass(slots=True)
class ActiveRequest:
    """A request that has no outcome yet.

    :param attempt: number of the latest attempt.
    :param backend_server: backend server that got any data; retries go there too.
    :param may_have_run: whether an earlier attempt may have run.
    :param total: number of response parts; ``None`` until it is known.
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
    """Requests of one front end; owned by the task that calls these rules.

    :param ended: requests whose outcome the caller knows; the value tells whether an
        attempt that is reported later must be cancelled at its backend server.
    :param deadlines: heap of the deadlines of active requests.
    :param expiry: heap of the times at which ended requests are removed.
    :param buffered: total bytes of the buffered response parts.
    """

    active: dict[RequestId, ActiveRequest] = field(default_factory=dict)
    ended: dict[RequestId, bool] = field(default_factory=dict)
    deadlines: list[tuple[Seconds, RequestId]] = field(default_factory=list)
    expiry: list[tuple[Seconds, RequestId]] = field(default_factory=list)
    budget: RetryBudget = field(default_factory=RetryBudget)
    buffered: int = 0


@singledispatch
def handle(event: RequestEvent, state: RequestTable) -> list[RequestDecision]:
    """Update the table for an event and return the decisions to execute."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


def journal(state: RequestTable) -> tuple[JournalEntry, ...]:
    """Journal entries that a restart needs, in no particular order."""
    active = [
        JournalEntry(request.id, request.stage) for request in state.active.values()
    ]
    ended = [JournalEntry(request_id, RequestStage.ENDED) for request_id in state.ended]
    return (*active, *ended)


@handle.register
def _(event: RequestArrived, state: RequestTable) -> list[RequestDecision]:
    if event.id in state.active:
        return []
    if event.id in state.ended or event.now > event.deadline + ENDED_RETENTION:
        return [RefuseRequest(event.id, False, RefusalReason.REPEATED_ID)]
    if event.now >= event.deadline:
        return _refuse_new(event, RefusalReason.DEADLINE_PASSED, state)
    if len(state.active) >= MAX_ACTIVE or not _has_room(event.now, state):
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
    request = _active_attempt(event.id, event.attempt, state)
    if request is None:
        return _drop_response(event.id, event.attempt, state)
    request.stage = RequestStage.SENT
    received = request.parts.get(event.index)
    if received is not None:
        return [] if received == event.data else _abort(request, state)
    if not _is_within_limits(request, event, state):
        return _abort(request, state)
    request.parts[event.index] = event.data
    request.size += len(event.data)
    state.buffered += len(event.data)
    return _deliver_if_complete(request, state)


@handle.register
def _(event: ResponseComplete, state: RequestTable) -> list[RequestDecision]:
    request = _active_attempt(event.id, event.attempt, state)
    if request is None:
        return _drop_response(event.id, event.attempt, state)
    request.stage = RequestStage.SENT
    wrong_total = request.total not in (None, event.parts)
    beyond_total = any(index >= event.parts for index in request.parts)
    if wrong_total or beyond_total or not 0 <= event.parts <= MAX_PARTS:
        return _abort(request, state)
    request.total = event.parts
    return _deliver_if_complete(request, state)


@handle.register
def _(event: RequestCancelled, state: RequestTable) -> list[RequestDecision]:
    request = state.active.get(event.id)
    if request is None:
        return []
    _end(request, state, cancel=True)
    return [CancelAtBackend(request.id, request.attempt, request.backend_server)]


@handle.register
def _(event: BackendRefused, state: RequestTable) -> list[RequestDecision]:
    request = _active_attempt(event.id, event.attempt, state)
    # A refusal after the response has begun is inconsistent and ignored.
    if request is None or request.parts or request.total is not None:
        return []
    return _retry_or_refuse(request, RefusalReason.SHED, event.now, state)


@handle.register
def _(event: FlowClosed, state: RequestTable) -> list[RequestDecision]:
    request = _active_attempt(event.id, event.attempt, state)
    if request is None or request.total is not None:
        # Parts of a complete response may still arrive.
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
    _remove_expired(event.now, state)
    decisions: list[RequestDecision] = []
    while state.deadlines and state.deadlines[0][0] <= event.now:
        _, request_id = heapq.heappop(state.deadlines)
        request = state.active.get(request_id)
        if request is not None:
            decisions += _abort(request, state)
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
        _store_ended(
            entry.id, Seconds(event.now + RESTORED_RETENTION), state, cancel=True
        )
        if entry.stage is not RequestStage.ENDED:
            decisions.append(ReportUnknownOutcome(entry.id))
    return decisions


def _refuse_new(
    event: RequestArrived, reason: RefusalReason, state: RequestTable
) -> list[RequestDecision]:
    _store_ended(
        event.id, Seconds(event.deadline + ENDED_RETENTION), state, cancel=False
    )
    return [RefuseRequest(event.id, True, reason)]


def _forward(request: ActiveRequest, now: Seconds) -> ForwardRequest:
    remaining = Seconds(request.deadline - now)
    return ForwardRequest(
        request.id, request.attempt, request.backend_server, remaining
    )


def _active_attempt(
    request_id: RequestId, attempt: int, state: RequestTable
) -> ActiveRequest | None:
    """Active request if ``attempt`` is its latest attempt."""
    request = state.active.get(request_id)
    return request if request is not None and request.attempt == attempt else None


def _drop_response(
    request_id: RequestId, attempt: int, state: RequestTable
) -> list[RequestDecision]:
    """Drop a late response, which shows that its attempt was sent."""
    request = state.active.get(request_id)
    if request is not None:
        request.may_have_run = True
    return [DropResponse(request_id, attempt)]


def _is_within_limits(
    request: ActiveRequest, part: ResponsePart, state: RequestTable
) -> bool:
    part_limit = MAX_PARTS if request.total is None else request.total
    return (
        0 <= part.index < part_limit
        and request.size + len(part.data) <= MAX_RESPONSE_BYTES
        and state.buffered + len(part.data) <= MAX_BUFFERED_BYTES
    )


def _deliver_if_complete(
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
    """Handle an attempt that certainly was not run."""
    if _may_retry(request, now, state):
        return [_next_attempt(request, now, state)]
    _end(request, state, cancel=reason is RefusalReason.NOT_SENT)
    if request.may_have_run:
        return [ReportUnknownOutcome(request.id)]
    return [RefuseRequest(request.id, True, reason)]


def _may_retry(request: ActiveRequest, now: Seconds, state: RequestTable) -> bool:
    """Whether to retry; a request that is not idempotent is never retried."""
    return (
        request.idempotent and now < request.deadline and take_retry(state.budget, now)
    )


def _next_attempt(
    request: ActiveRequest, now: Seconds, state: RequestTable
) -> ForwardRequest:
    _discard_parts(request, state)
    request.attempt += 1
    request.stage = RequestStage.MAY_BE_SENT
    return _forward(request, now)


def _abort(request: ActiveRequest, state: RequestTable) -> list[RequestDecision]:
    """End a request that may have run but gets no response."""
    _end(request, state, cancel=True)
    return [
        CancelAtBackend(request.id, request.attempt, request.backend_server),
        ReportUnknownOutcome(request.id),
    ]


def _end(request: ActiveRequest, state: RequestTable, *, cancel: bool) -> None:
    """Move a request from the active to the ended ones.

    :param cancel: whether to cancel an attempt that is reported later.
    """
    _discard_parts(request, state)
    del state.active[request.id]
    until = Seconds(request.deadline + ENDED_RETENTION)
    _store_ended(request.id, until, state, cancel=cancel)


def _store_ended(
    request_id: RequestId, until: Seconds, state: RequestTable, *, cancel: bool
) -> None:
    if len(state.ended) < MAX_ENDED:
        state.ended[request_id] = cancel
        heapq.heappush(state.expiry, (until, request_id))


def _discard_parts(request: ActiveRequest, state: RequestTable) -> None:
    state.buffered -= request.size
    request.parts, request.size, request.total = {}, 0, None


def _has_room(now: Seconds, state: RequestTable) -> bool:
    """Whether one more request id can be remembered."""
    _remove_expired(now, state)
    return len(state.active) + len(state.ended) < MAX_ENDED


def _remove_expired(now: Seconds, state: RequestTable) -> None:
    while state.expiry and state.expiry[0][0] < now:
        _, request_id = heapq.heappop(state.expiry)
        state.ended.pop(request_id, None)
