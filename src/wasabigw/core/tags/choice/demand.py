"""Load of failure domains: what other balancers report, and own counts."""

from collections.abc import Mapping

from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId
from wasabigw.core.load.figures import ServiceFigures
from wasabigw.core.load.reporting import recent_arrivals
from wasabigw.core.tags.choice.crossing import DomainLoad
from wasabigw.core.tags.choice.locality import Shares
from wasabigw.core.tags.state import TagState


def domain_loads(
    service: ServiceId,
    capacities: Mapping[FailureDomainId, float],
    state: TagState,
) -> dict[FailureDomainId, DomainLoad]:
    """Load of the backend servers of a service in each failure domain.

    :param capacities: slots of usable backend servers in each failure domain that may
        serve callers of the own one, weighted by speed.
    """
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
    if state.failure_domain in arrivals:
        arrivals[state.failure_domain] += recent_arrivals(service, state)
    return {
        name: DomainLoad(capacity, in_flight[name], arrivals[name])
        for name, capacity in capacities.items()
    }


def shares_in_force(state: TagState, now: Seconds) -> dict[ServiceId, Shares]:
    """Shares of new flows for each service that is sent by load figures."""
    if not state.known_load.is_current(now):
        return {}
    return {service: plan.turns.domains.shares for service, plan in state.plans.items()}
