"""Distribution of new flows over failure domains by demand and capacity as counted.

Without current load figures :mod:`wasabigw.core.tags.locality` alone decides.
"""

from collections.abc import Mapping

from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId
from wasabigw.core.load.figures import ServiceFigures
from wasabigw.core.load.reporting import recent_arrivals
from wasabigw.core.tags.crossing import (
    DomainLoad,
    crossing_shares,
    damped_shares,
)
from wasabigw.core.tags.locality import Shares
from wasabigw.core.tags.state import TagState


def demand_shares(
    service: ServiceId,
    base: Shares,
    previous: Shares,
    capacities: Mapping[FailureDomainId, float],
    state: TagState,
    elapsed: Seconds,
) -> Shares:
    """Shares of the new flows that arrive here.

    :param base: shares by slots alone; of both, those count that keep less at home.
    :param previous: shares until now; empty if there were none.
    :param capacities: slots of usable backend servers in each failure domain that may
        serve callers of this one, weighted by speed.
    :param elapsed: time since the previous shares were computed.
    """
    home = state.failure_domain
    if home not in capacities or not any(capacities.values()):
        return base
    loads = domain_loads(service, capacities, state)
    is_crossing = previous.get(home, 1.0) < 1.0
    wanted = crossing_shares(home, loads, is_crossing)
    if base.get(home, 0.0) < wanted[home]:
        return base
    usable = {name: part for name, part in previous.items() if name in capacities}
    return damped_shares(usable or {home: 1.0}, wanted, elapsed)


def domain_loads(
    service: ServiceId,
    capacities: Mapping[FailureDomainId, float],
    state: TagState,
) -> dict[FailureDomainId, DomainLoad]:
    """Load of each failure domain: what other balancers report, and own counts."""
    nothing = ServiceFigures(service, state.failure_domain, 0, 0, 0)
    in_flight = {
        name: state.known_load.services.get((service, name), nothing).in_flight
        for name in capacities
    }
    arrivals = {
        name: state.known_load.services.get((service, name), nothing).arrivals
        for name in capacities
    }
    for server in state.pools.get(service, ()):
        name = server.registration.failure_domain
        if name in in_flight:
            in_flight[name] += server.counts.in_flight
    arrivals[state.failure_domain] += recent_arrivals(service, state)
    return {
        name: DomainLoad(capacity, in_flight[name], arrivals[name])
        for name, capacity in capacities.items()
    }
