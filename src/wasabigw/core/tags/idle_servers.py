"""Idle backend servers of a service that is short of room.

Where openings go follows from shares that are made for usual demand. If the backend
servers of a failure domain are full, others may have no request at all; openings go to
these first, as many as they can answer. All balancers see the same ones by figures of
the same age, so each sends its share only.
"""

from collections import defaultdict
from collections.abc import Collection, Sequence

from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId
from wasabigw.core.rates import refill, take_token
from wasabigw.core.tags.admission_state import ServiceAdmission
from wasabigw.core.tags.capacity_share import idle_capacity_of, usable_servers
from wasabigw.core.tags.state import Server, TagState


def update_idle_servers(
    control: ServiceAdmission, service_rate: float, state: TagState, now: Seconds
) -> None:
    """Update which backend servers of a service have no request by the figures.

    :param service_rate: requests a second that the backend servers can answer to which
        this balancer sends.
    """
    unnamed: dict[FailureDomainId, list[Server]] = defaultdict(list)
    idle: set[Server] = set()
    for server in usable_servers(control.id, state, now):
        if _is_suspected(server, state):
            # It answers nothing, so that it seems idle.
            continue
        figures = state.known_load.servers.get(server.registration.tag)
        if figures is None:
            unnamed[server.registration.failure_domain].append(server)
        elif figures.in_flight == 0 and server.counts.in_flight < server.slots:
            # Requests of this balancer are newer than the figures, and limited here.
            idle.add(server)
    slots = float(sum(server.slots for server in idle))
    for domain, servers in unnamed.items():
        idle_share = 1.0 - _mean_in_flight(control.id, domain, servers, state)
        if idle_share > 0:
            idle.update(servers)
            slots += idle_share * sum(server.slots for server in servers)
    control.idle = frozenset(server.registration.tag for server in idle)
    control.idle_capacity = idle_capacity_of(control, service_rate, slots, state, now)


def busy_servers(
    service: ServiceId, avoided: Collection[Server], state: TagState, now: Seconds
) -> set[Server]:
    """Backend servers that an opening passes over for idle ones.

    :param avoided: those that it should not go to for other reasons.
    :returns: an empty set if there is no idle one, or if these get enough already.
    """
    control = state.admission.services.get(service)
    if control is None or control.short_since is None or not control.idle:
        return set()
    pool = state.pools.get(service, ())
    busy = {server for server in pool if server.registration.tag not in control.idle}
    if all(server in avoided or server in busy for server in pool):
        return set()
    refill(control.idle_bucket, control.idle_capacity, now)
    return busy if take_token(control.idle_bucket) else set()


def _is_suspected(server: Server, state: TagState) -> bool:
    """Whether all backend servers of its failure domain seem to have failed."""
    boot = server.registration
    suspicion = state.suspicions.get((boot.service, boot.failure_domain))
    return suspicion is not None and boot.tag in suspicion.suspected


def _mean_in_flight(
    service: ServiceId,
    domain: FailureDomainId,
    servers: Sequence[Server],
    state: TagState,
) -> float:
    """Mean number of requests at the backend servers that the figures don't name.

    If it is below 1, at least one of them has none.
    """
    known = state.known_load
    total = known.services.get((service, domain))
    if total is None:
        others = 0
    else:
        named = (
            known.servers[server.registration.tag].in_flight
            for server in state.pools.get(service, ())
            if server.registration.failure_domain == domain
            and server.registration.tag in known.servers
        )
        others = max(total.in_flight - sum(named), 0)
    own = sum(server.counts.in_flight for server in servers)
    return (others + own) / len(servers)
