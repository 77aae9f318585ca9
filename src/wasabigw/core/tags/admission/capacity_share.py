"""Share of the work of a service's backend servers that one balancer may send."""

from collections import Counter
from collections.abc import Iterable, Mapping, Set

from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId
from wasabigw.core.load.figures import COUNT_WINDOW
from wasabigw.core.rates import recent_rate
from wasabigw.core.tags.admission.admission_state import ServiceAdmission
from wasabigw.core.tags.choice.locality import eligible_slots, traffic_shares
from wasabigw.core.tags.choice.planning import current_plan
from wasabigw.core.tags.state import Server, TagState


def capacity_of(
    control: ServiceAdmission, service_rate: float, state: TagState, now: Seconds
) -> float:
    """Requests a second that this balancer may send, so that all send what fits.

    :param service_rate: requests a second that the backend servers can answer to which
        this balancer sends.
    """
    home = state.failure_domain
    usable, receiving = _slots(control.id, state, now)
    if receiving <= {home}:
        # Other failure domains send nothing here while they have backend servers.
        return service_rate * _share(control, {home}, state, now)
    rate = service_rate * sum(usable.values()) / sum(usable[d] for d in receiving)
    return rate * _share(control, usable.keys() | {home}, state, now)


def spare_capacity_of(
    control: ServiceAdmission,
    service_rate: float,
    free_slots: float,
    state: TagState,
    now: Seconds,
) -> float:
    """Requests a second that this balancer may send to free slots.

    :param service_rate: as for :func:`capacity_of`.
    :param free_slots: those in all failure domains.
    """
    usable, receiving = _slots(control.id, state, now)
    slots = sum(usable[domain] for domain in receiving)
    if slots == 0:
        return 0.0
    domains = usable.keys() | {state.failure_domain}
    share = _share(control, domains, state, now)
    return service_rate * free_slots / slots * share


def _slots(
    service: ServiceId, state: TagState, now: Seconds
) -> tuple[Mapping[FailureDomainId, int], Set[FailureDomainId]]:
    """Slots by failure domain, and the ones to which this balancer sends."""
    home = state.failure_domain
    usable = _eligible_slots(usable_servers(service, state, now), state)
    if not usable:
        return {}, set()
    by_slots = traffic_shares(home, usable, state.regions).keys()
    by_demand = current_plan(service, state, now).turns.domains.shares.keys()
    return usable, (by_slots | by_demand) & usable.keys()


def eligible_servers(service: ServiceId, state: TagState, now: Seconds) -> list[Server]:
    """Usable backend servers of the own region, or of all if it has none."""
    servers = usable_servers(service, state, now)
    domains = _eligible_slots(servers, state)
    return [s for s in servers if s.registration.failure_domain in domains]


def _eligible_slots(
    servers: Iterable[Server], state: TagState
) -> Mapping[FailureDomainId, int]:
    slots: Counter[FailureDomainId] = Counter()
    for server in servers:
        slots[server.registration.failure_domain] += server.slots
    return eligible_slots(state.failure_domain, slots, state.regions)


def usable_servers(service: ServiceId, state: TagState, now: Seconds) -> list[Server]:
    """Warm backend servers of a service that answer."""
    pool = state.pools.get(service, ())
    return [server for server in pool if server.is_usable(now)]


def _share(
    control: ServiceAdmission,
    domains: Set[FailureDomainId],
    state: TagState,
    now: Seconds,
) -> float:
    """Share of this balancer in the arrivals at all balancers of failure domains.

    One arrival is added for each balancer, so that one keeps a share when its arrivals
    stop for a moment; the shares of all balancers add up to 1.
    """
    known = state.known_load
    others = sum(
        figures.arrivals
        for (name, domain), figures in known.services.items()
        if name == control.id and domain in domains
    )
    all_domains = state.regions.keys() | domains
    balancers = 1 + known.balancers * len(domains) / len(all_domains)
    arrivals = (*control.arrivals.values(), control.other_arrivals)
    own = COUNT_WINDOW * sum(recent_rate(a, now) for a in arrivals)
    return (own + 1) / (own + others + balancers)
