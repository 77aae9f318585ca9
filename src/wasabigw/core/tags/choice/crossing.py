"""Shares of the new flows of a failure domain that go to others because it is busy.

Traffic between failure domains costs money, so flows stay at home until callers would
wait there. Then all failure domains of a region fill up to one level: those above it
send their excess to those below it, in proportion to the room that each has. All
balancers compute this from the same figures, so that together they send what fits.
"""

from collections.abc import Mapping
from math import exp
from typing import NamedTuple

from wasabigw.core.ids import FailureDomainId, Seconds
from wasabigw.core.tags.choice.locality import Shares

WAIT_UTILIZATION = 0.8
"""Requests in flight for each slot from which callers wait noticeably."""
STAY_UTILIZATION = 0.4
"""Utilization below which flows return home; lower, so that shares don't swing."""
DAMPING_TIME = Seconds(0.5)
"""Time constant of changes of the shares."""
MAX_EXCESS = 1.25
"""Factor above the common level from which a busier failure domain gets no flows.

Its arrivals are few, so its backend servers must be slow or hold long requests.
"""
MIN_SHARE = 0.01
"""Share below which no flows cross; damping alone would never reach 0."""


class DomainLoad(NamedTuple):
    """Load of the backend servers of a service in one failure domain.

    :param capacity: slots, weighted by speed.
    :param in_flight: requests that they have not answered.
    :param arrivals: openings of callers of this failure domain, wherever they went.
    """

    capacity: float
    in_flight: float
    arrivals: float


def demand_shares(
    home: FailureDomainId,
    by_slots: Shares,
    previous: Shares,
    loads: Mapping[FailureDomainId, DomainLoad],
    elapsed: Seconds,
) -> Shares:
    """Shares of the new flows of ``home`` by slots, or by demand if fewer stay then.

    :param by_slots: shares by :mod:`wasabigw.core.tags.choice.locality`.
    :param previous: shares until now; empty if there were none.
    :param loads: as in :func:`crossing_shares`; without ``home`` if it has no backend
        server.
    :param elapsed: time since the previous shares were computed.
    """
    if home not in loads:
        return by_slots
    wanted = crossing_shares(home, loads, previous.get(home, 1.0) < 1.0)
    if by_slots.get(home, 0.0) < wanted[home]:
        return by_slots
    usable = {name: share for name, share in previous.items() if name in loads}
    return damped_shares(usable or {home: 1.0}, wanted, elapsed)


def crossing_shares(
    home: FailureDomainId,
    loads: Mapping[FailureDomainId, DomainLoad],
    is_crossing: bool,
) -> Shares:
    """Shares of the new flows of ``home`` that callers gain from.

    :param loads: failure domains that may serve each other's callers.
    :param is_crossing: whether flows of ``home`` go elsewhere at present.
    """
    stay = {home: 1.0}
    own = loads[home]
    limit = STAY_UTILIZATION if is_crossing else WAIT_UTILIZATION
    arrivals = sum(load.arrivals for load in loads.values())
    if arrivals <= 0 or own.in_flight < limit * own.capacity:
        return stay
    in_flight = sum(load.in_flight for load in loads.values())
    capacity = sum(load.capacity for load in loads.values())
    level = max(in_flight / capacity, WAIT_UTILIZATION)
    # Requests in flight of the callers of each failure domain.
    demand = {
        name: in_flight * load.arrivals / arrivals for name, load in loads.items()
    }
    surplus = {
        name: level * load.capacity - demand[name] for name, load in loads.items()
    }
    rooms = {
        name: room
        for name, room in surplus.items()
        if room > 0 and not _is_busier(loads[name], own, level)
    }
    excess = sum(-room for room in surplus.values() if room < 0)
    if surplus[home] >= 0 or not rooms:
        return stay
    room = sum(rooms.values())
    moved = -surplus[home] / demand[home] * min(room / excess, 1.0)
    shares = {name: moved * part / room for name, part in rooms.items()}
    return {home: 1.0 - moved, **shares}


def damped_shares(previous: Shares, wanted: Shares, elapsed: Seconds) -> Shares:
    """Shares on their way from the previous ones to the wanted ones.

    Failure domains that are in neither have none; small shares are left out.
    """
    weight = 1.0 - exp(-elapsed / DAMPING_TIME)
    shares = {
        name: _part(previous, name)
        + weight * (_part(wanted, name) - _part(previous, name))
        for name in {**previous, **wanted}
    }
    kept = {
        name: share
        for name, share in shares.items()
        if share >= MIN_SHARE or _part(wanted, name) >= MIN_SHARE
    }
    total = sum(kept.values())
    return {name: share / total for name, share in kept.items()}


def _is_busier(load: DomainLoad, own: DomainLoad, level: float) -> bool:
    """Whether a failure domain is busier than the own one and than arrivals explain."""
    utilization = load.in_flight / load.capacity
    return utilization > max(own.in_flight / own.capacity, MAX_EXCESS * level)


def _part(shares: Shares, name: FailureDomainId) -> float:
    return shares.get(name, 0.0)
