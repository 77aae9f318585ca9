"""Whether a service is short of room, by what its callers need.

The expected delay of an opening has two parts: the time in the queue of a backend
server, and the time that rejections by full ones cost before one has a place. A service
is short when this delay exceeds a part of the latency objective of its callers and
backend servers reject requests, or reject so many that callers run out of tries. Queues
alone are no evidence: requests that are on their way over a slow link count as in
flight, so that the queues seem long then.

A service is no longer short when the delay has been far below that for a while and the
demand fits. Without the second condition, limits that work would end themselves.
"""

from wasabigw.core.declaration import Listener
from wasabigw.core.ids import Seconds
from wasabigw.core.load.figures import REPORT_INTERVAL
from wasabigw.core.rates import recent_rate
from wasabigw.core.requirements import MAX_PRIORITY, Priority
from wasabigw.core.tags.admission.admission_state import (
    ServiceAdmission,
    ShortageCause,
    ShortageChange,
)
from wasabigw.core.tags.admission.capacity_share import capacity_of
from wasabigw.core.tags.admission.rejections import (
    are_short_answers_unusual,
    learn_usual_share,
    rejected_share,
    rejection_time,
)
from wasabigw.core.tags.admission.room import room_of
from wasabigw.core.tags.choice.plans import Room
from wasabigw.core.tags.choice.spare_servers import update_spare_servers
from wasabigw.core.tags.state import TagState

DELAY_SHARE = 0.25
"""Share of the latency objective that an opening may wait for its request to start.

The rest is for the request itself, and for a second try if the first one is rejected.
"""
ROOM_SHARE = 0.5
"""Share of the tolerable delay below which a short service has room again."""
ROOM_TIME = REPORT_INTERVAL
"""Time for which a short service must have room, so that newer figures confirm it."""
MAX_ROOM_TIME = Seconds(5.0)
"""Time with room after which a shortage ends even if the demand seems not to fit.

The capacity is an estimate, and may be too low.
"""
MIN_REJECTED_SHARE = 0.15
"""Share of rejected requests from which backend servers are full."""
PROBE_FACTOR = 1.25
"""Requests that are sent for each one that is answered while a service is short.

What exceeds 1 fills the room that becomes free. A fifth is rejected then, which costs
an urgent caller with three tries less than one request in a hundred.
"""
MIN_CAPACITY_SHARE = 0.5
"""Share of the capacity by figures that is used at least; these are old estimates."""
LOSING_REJECTED_SHARE = 0.25
"""Share of rejected requests from which further tries no longer make up for them.

One in four rejections costs a caller with three tries more than one request in a
hundred, which never gets an answer. Rejections are known at once, and the queues that
cause them only with the next figures.
"""
UPDATE_INTERVAL = Seconds(0.1)
"""Time between two updates of a service."""
LISTENER_TTL = Seconds(30.0)
"""Time after the latest opening at a listener for which its callers count.

Requirements of listeners that nobody uses must not make a service short.
"""


def update_shortage(control: ServiceAdmission, state: TagState, now: Seconds) -> None:
    """Update whether a service is short, unless that was done just before."""
    elapsed = Seconds(now - control.updated_at)
    if elapsed < UPDATE_INTERVAL:
        return
    control.updated_at = now
    room = room_of(control.id, state, now)
    tolerable = _tolerable_delay(control, state, now)
    if room is None or tolerable is None:
        cause = ShortageCause.NO_FIGURES if room is None else ShortageCause.NO_CALLERS
        _end_shortage(control, cause, room, state, now)
        return
    control.tolerable = tolerable
    control.most_urgent = min(_priorities(control, state, now), default=MAX_PRIORITY)
    if room.utilization <= 1.0:
        learn_usual_share(control.answers, elapsed, now)
    rejected = control.rejected = rejected_share(control.answers, now)
    by_rejections = rejected / (1.0 - rejected) * rejection_time(control.answers, now)
    # One slow backend server makes the mean wait long while the others have room.
    by_queues = room.wait if room.utilization > 1.0 else 0.0
    control.delay = Seconds(by_queues + by_rejections)
    is_short = control.short_since is not None
    is_slow = control.delay > tolerable and rejected >= MIN_REJECTED_SHARE
    if not is_short and (is_slow or rejected >= LOSING_REJECTED_SHARE):
        is_rejecting = by_rejections >= by_queues
        cause = ShortageCause.REJECTIONS if is_rejecting else ShortageCause.QUEUES
        control.short_since = now
        _record_change(control, cause, room, state, now)
    if control.short_since is not None:
        _update_capacity(control, room, state, now)
        _check_room(control, room, state, now)


def rate_on_open_flows(control: ServiceAdmission, now: Seconds) -> float:
    """Requests a second on open flows, which can't be held back.

    Those that are rejected take no capacity.
    """
    rate = recent_rate(control.requests, now) - recent_rate(control.admitted, now)
    return max(rate, 0.0) * (1.0 - control.rejected)


def _update_capacity(
    control: ServiceAdmission, room: Room, state: TagState, now: Seconds
) -> None:
    """Update what this balancer may send to a short service."""
    rate, accepted = room.service_rate, 1.0 - control.rejected
    if not are_short_answers_unusual(control.answers):
        # Rejections count as answers then, so that figures show too high a rate.
        rate *= accepted
    by_figures = capacity_of(control, rate, state, now)
    by_answers = PROBE_FACTOR * (recent_rate(control.answers.all, now) * accepted)
    control.capacity = max(by_answers, MIN_CAPACITY_SHARE * by_figures)
    update_spare_servers(control, rate, state, now)


def _check_room(
    control: ServiceAdmission, room: Room, state: TagState, now: Seconds
) -> None:
    """End a shortage if the service has had room for long enough."""
    has_room = (
        control.delay < ROOM_SHARE * control.tolerable
        and control.rejected < MIN_REJECTED_SHARE
    ) or control.rejected < ROOM_SHARE * MIN_REJECTED_SHARE
    if not has_room:
        control.room_since = None
        return
    if control.room_since is None:
        control.room_since = now
    needed = ROOM_TIME if _demand_fits(control, now) else MAX_ROOM_TIME
    if now - control.room_since >= needed:
        _end_shortage(control, ShortageCause.ROOM, room, state, now)


def _demand_fits(control: ServiceAdmission, now: Seconds) -> bool:
    openings = sum(recent_rate(a, now) for a in control.arrivals.values())
    return openings + rate_on_open_flows(control, now) <= control.capacity


def _end_shortage(
    control: ServiceAdmission,
    cause: ShortageCause,
    room: Room | None,
    state: TagState,
    now: Seconds,
) -> None:
    if control.short_since is not None:
        _record_change(control, cause, room, state, now)
    control.short_since = control.room_since = None
    control.spare = frozenset()
    control.has_idle_server = False


def _record_change(
    control: ServiceAdmission,
    cause: ShortageCause,
    room: Room | None,
    state: TagState,
    now: Seconds,
) -> None:
    since = control.short_since
    state.admission.changes.append(
        ShortageChange(
            control.id,
            cause in (ShortageCause.QUEUES, ShortageCause.REJECTIONS),
            cause,
            control.delay,
            control.tolerable,
            room.utilization if room is not None else 0.0,
            control.rejected,
            Seconds(now - state.known_load.measured_at),
            Seconds(now - since if since is not None else 0.0),
        )
    )


def _used(control: ServiceAdmission, state: TagState, now: Seconds) -> list[Listener]:
    """Listeners of a service at which callers opened flows recently."""
    for key, opened_at in list(control.listeners.items()):
        if now - opened_at >= LISTENER_TTL or key not in state.listeners:
            del control.listeners[key]
    return [state.listeners[key] for key in control.listeners]


def _priorities(
    control: ServiceAdmission, state: TagState, now: Seconds
) -> set[Priority]:
    """Priorities of the callers of a service."""
    return {
        listener.requirements.priority
        for listener in _used(control, state, now)
        if listener.requirements is not None
    }


def _tolerable_delay(
    control: ServiceAdmission, state: TagState, now: Seconds
) -> Seconds | None:
    """Shortest delay that any callers of a service can bear; ``None`` without any."""
    delays = [
        DELAY_SHARE
        * min(listener.requirements.latency_objective, listener.request_timeout)
        for listener in _used(control, state, now)
        if listener.requirements is not None
    ]
    return Seconds(min(delays)) if delays else None
