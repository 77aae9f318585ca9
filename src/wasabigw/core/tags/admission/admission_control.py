"""Admission of openings by what the backend servers can serve in time.

While a service is short of room (:mod:`wasabigw.core.tags.admission.shortage`),
openings of less urgent listeners are limited to what urgent demand and the requests on
open flows leave, and to a guaranteed share at least. Openings wait for that for a short
time, in which callers neither notice nor send a copy. Priorities at the entry are those
of DAGOR (Zhou and others, "Overload control for scaling WeChat microservices", 2018);
the limit by the room that backend servers have is that of Breakwater (Cho and others,
2020).

A refusal costs a caller one of its few tries within a millisecond, so that all of them
may be lost before there is room. An opening without an answer is sent again by the
caller, which is another chance, but its request may become late, and callers that wait
keep the service short. A shortage is expected to last as long again as it has lasted.
While that is less than the latency objective, openings that can't be held get no
answer; afterwards they are refused, so that their callers know at once.
"""

from enum import Enum

from wasabigw.core.declaration import Listener
from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.rates import (
    RecentSum,
    add_recent,
    take_token,
    time_to_tokens,
)
from wasabigw.core.requirements import Priority, Requirements
from wasabigw.core.retry_budget import count_request, take_retry
from wasabigw.core.tags.admission.admission_state import (
    AdmissionCount,
    AdmissionKey,
    ListenerAddress,
    ServiceAdmission,
)
from wasabigw.core.tags.admission.held_openings import (
    HeldOpening,
    Rank,
    add_held,
    held_before,
    next_deadline,
    pop_expired,
    pop_held,
    ranks_of,
    remove_held,
)
from wasabigw.core.tags.admission.pacing import fits, refilled_bucket
from wasabigw.core.tags.admission.rejections import (
    record_rejected_caller,
    take_further_try,
)
from wasabigw.core.tags.admission.shortage import DELAY_SHARE, update_shortage
from wasabigw.core.tags.choice.spare_servers import has_spare_room
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import Flow, TagState

MAX_HOLD_TIME = Seconds(0.12)
"""Longest time for which an opening is held; callers send a copy after 0.2 s."""
COPY_AGES = (Seconds(0.0), Seconds(0.2), Seconds(0.6))
"""Time from the first copy of an opening to each copy."""
RELEASE_INTERVAL = Seconds(0.005)
"""Minimum pause between two releases, which limits the wake-ups of the task."""


class AdmissionOutcome(Enum):
    """What becomes of an opening."""

    ADMIT = "admit"
    HOLD = "hold"
    REFUSE = "refuse"
    UNANSWERED = "unanswered"
    """It gets no answer, and the copy that its caller sends is decided anew."""


def admit(
    packet: FlowPacket,
    listener: Listener,
    service: ServiceId,
    state: TagState,
    now: Seconds,
    waited: Seconds,
    may_refuse: bool,
) -> AdmissionOutcome:
    """Decide whether an opening is sent to a backend server now.

    :param waited: time that the packet spent in the receive buffer.
    :param may_refuse: whether a reset is known to end no flow.
    """
    requirements = listener.requirements
    if requirements is None or not state.features.admission_control:
        _record_other_arrival(packet, service, state, now)
        return AdmissionOutcome.ADMIT
    control = state.admission.services.setdefault(service, ServiceAdmission(service))
    is_further_try = _record_arrival(packet, requirements.priority, control, state, now)
    update_shortage(control, state, now)
    if not _is_limited(control, state):
        outcome = AdmissionOutcome.ADMIT
    else:
        opening = make_held_opening(packet, listener, service, waited, now)
        outcome = _limit(opening, listener, control, state, now, is_further_try)
        if outcome is AdmissionOutcome.REFUSE and not may_refuse:
            outcome = AdmissionOutcome.UNANSWERED
    if outcome is AdmissionOutcome.REFUSE:
        record_rejected_caller(packet.flow, state, now)
    _count_outcome(outcome, service, requirements.priority, control, state, now)
    return outcome


def hold_opening(opening: HeldOpening, state: TagState) -> HeldOpening | None:
    """Hold an opening.

    :returns: the opening that has no place any more, which may be this one.
    """
    dropped = add_held(state.admission.held, opening)
    if dropped is not None:
        _count(dropped, AdmissionCount.EXPIRED, state)
    return dropped


def make_held_opening(
    packet: FlowPacket,
    listener: Listener,
    service: ServiceId,
    waited: Seconds,
    now: Seconds,
) -> HeldOpening:
    """Opening of a listener with requirements as it would be held from now on."""
    requirements = listener.requirements
    assert requirements is not None
    age = COPY_AGES[min(packet.repeat, len(COPY_AGES) - 1)] + waited
    is_late = age >= requirements.latency_objective
    longest = MAX_HOLD_TIME if is_late else _hold_time(requirements)
    deadline = Seconds(now + max(longest - waited, 0.0))
    rank = Rank(requirements.priority, is_late)
    return HeldOpening(packet, b"", service, rank, waited, now, deadline)


def is_held(flow: FlowId, state: TagState) -> bool:
    """Whether the opening of a flow is held."""
    return flow in state.admission.held.flows


def release_openings(state: TagState, now: Seconds) -> list[HeldOpening]:
    """Remove and return the held openings that are sent to backend servers now."""
    held = state.admission.held
    released: list[HeldOpening] = []
    for service in list(held.queues):
        control = state.admission.services[service]
        update_shortage(control, state, now)
        for rank in ranks_of(held, service):
            while rank in held.queues.get(service, ()) and _may_leave(
                rank.priority, control, state, now
            ):
                released.append(pop_held(held, service, rank))
    for opening in released:
        add_recent(state.admission.services[opening.service].admitted, now)
        _count(opening, AdmissionCount.RELEASED, state)
    return released


def expire_openings(state: TagState, now: Seconds) -> list[HeldOpening]:
    """Remove and return the held openings that have waited for too long."""
    expired = pop_expired(state.admission.held, now)
    for opening in expired:
        _count(opening, AdmissionCount.EXPIRED, state)
    return expired


def abandon_opening(flow: FlowId, state: TagState) -> None:
    """Remove the held opening of a flow whose caller has given up."""
    opening = remove_held(state.admission.held, flow)
    if opening is not None:
        _count(opening, AdmissionCount.ABANDONED, state)


def time_to_release_held(state: TagState, now: Seconds) -> Seconds | None:
    """Time until held openings should be looked at; ``None`` if there are none."""
    held = state.admission.held
    deadline = next_deadline(held)
    if deadline is None:
        return None
    due = deadline - now
    for service, ranks in held.queues.items():
        buckets = state.admission.services[service].buckets
        for rank in ranks:
            bucket = buckets.get(rank.priority)
            if bucket is not None:
                passed = now - bucket.updated_at
                due = min(due, time_to_tokens(bucket, 1.0) - passed)
    return Seconds(max(due, RELEASE_INTERVAL))


def record_request(flow: Flow, state: TagState, now: Seconds) -> None:
    """Count a request that begins, on a new flow or an open one."""
    control = state.admission.services.get(flow.server.registration.service)
    if control is not None:
        add_recent(control.requests, now)


def update_services(state: TagState, now: Seconds) -> None:
    """Update which services are short, and remove those that no callers use."""
    services, held = state.admission.services, state.admission.held
    for service, control in list(services.items()):
        update_shortage(control, state, now)
        if not control.listeners and service not in held.queues:
            del services[service]


def _record_arrival(
    packet: FlowPacket,
    priority: Priority,
    control: ServiceAdmission,
    state: TagState,
    now: Seconds,
) -> bool:
    """Count an opening, but not its copies.

    :returns: whether it is a further try of a caller that was rejected.
    """
    flow = packet.flow
    control.listeners[ListenerAddress(flow.listener, flow.listener_port)] = now
    if packet.repeat > 0:
        return False
    add_recent(control.arrivals.setdefault(priority, RecentSum()), now)
    if take_further_try(flow, state, now):
        return True
    count_request(control.retries, now)
    return False


def _record_other_arrival(
    packet: FlowPacket, service: ServiceId, state: TagState, now: Seconds
) -> None:
    """Count an opening that is not limited, but is part of the demand."""
    control = state.admission.services.get(service)
    if control is not None and packet.repeat == 0:
        add_recent(control.other_arrivals, now)


def _is_limited(control: ServiceAdmission, state: TagState) -> bool:
    return (
        state.features.admission_control
        and control.short_since is not None
        and not control.has_idle_server
        and not state.admission.is_draining
    )


def _may_leave(
    priority: Priority, control: ServiceAdmission, state: TagState, now: Seconds
) -> bool:
    """Whether a held opening of a priority leaves now; takes its token if so."""
    if not _is_limited(control, state) or fits(priority, control, now):
        return True
    return take_token(refilled_bucket(priority, control, now))


def _limit(
    opening: HeldOpening,
    listener: Listener,
    control: ServiceAdmission,
    state: TagState,
    now: Seconds,
    is_further_try: bool,
) -> AdmissionOutcome:
    """Decide on an opening while its service is short."""
    service, rank = opening.service, opening.rank
    if fits(rank.priority, control, now):
        return AdmissionOutcome.ADMIT
    if has_spare_room(control, rank.priority, now):
        return AdmissionOutcome.ADMIT
    if is_further_try:
        _count(opening, AdmissionCount.FURTHER_TRY, state)
        if not take_retry(control.retries, now):
            _count(opening, AdmissionCount.NO_RETRY_BUDGET, state)
            return _reject(listener, control, now)
    held = state.admission.held
    before = held_before(held, service, rank, opening.packet.flow.caller)
    bucket = refilled_bucket(rank.priority, control, now)
    if before == 0 and take_token(bucket):
        return AdmissionOutcome.ADMIT
    if now + time_to_tokens(bucket, before + 1.0) <= opening.deadline:
        return AdmissionOutcome.HOLD
    return _reject(listener, control, now)


def _reject(
    listener: Listener, control: ServiceAdmission, now: Seconds
) -> AdmissionOutcome:
    assert control.short_since is not None
    requirements = listener.requirements
    assert requirements is not None
    if now - control.short_since >= requirements.latency_objective:
        return AdmissionOutcome.REFUSE
    return AdmissionOutcome.UNANSWERED


def _hold_time(requirements: Requirements) -> Seconds:
    """Time for which an opening is held, so that its objective can still be met."""
    return Seconds(min(MAX_HOLD_TIME, DELAY_SHARE * requirements.latency_objective))


def _count_outcome(
    outcome: AdmissionOutcome,
    service: ServiceId,
    priority: Priority,
    control: ServiceAdmission,
    state: TagState,
    now: Seconds,
) -> None:
    if outcome is AdmissionOutcome.ADMIT:
        add_recent(control.admitted, now)
    key = AdmissionKey(service, priority, _COUNTS[outcome])
    state.admission.counts[key] += 1


def _count(opening: HeldOpening, event: AdmissionCount, state: TagState) -> None:
    key = AdmissionKey(opening.service, opening.rank.priority, event)
    state.admission.counts[key] += 1


_COUNTS = {
    AdmissionOutcome.ADMIT: AdmissionCount.ADMITTED,
    AdmissionOutcome.HOLD: AdmissionCount.HELD,
    AdmissionOutcome.REFUSE: AdmissionCount.REFUSED,
    AdmissionOutcome.UNANSWERED: AdmissionCount.UNANSWERED,
}
