"""Backend servers with free slots while their service is short of room.

Openings follow the shares of failure domains, which adapt to a surge too late. If the
backend servers of a failure domain are full, others may have free slots, and openings
go to these first, as many as they can answer. All balancers see the same ones by
figures of the same age, so each sends its share only.
"""

from collections import defaultdict
from collections.abc import Collection, Sequence

from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId
from wasabigw.core.rates import refill, take_token
from wasabigw.core.requirements import Priority
from wasabigw.core.tags.admission.admission_state import ServiceAdmission
from wasabigw.core.tags.admission.capacity_share import (
    eligible_servers,
    spare_capacity_of,
)
from wasabigw.core.tags.liveness.domain_suspicion import suspicion_against
from wasabigw.core.tags.state import Server, TagState


def update_spare_servers(
    control: ServiceAdmission, service_rate: float, state: TagState, now: Seconds
) -> None:
    """Update which backend servers of a service have free slots by the figures.

    :param service_rate: requests a second that the backend servers can answer to which
        this balancer sends.
    """
    unnamed: dict[FailureDomainId, list[Server]] = defaultdict(list)
    spare: set[Server] = set()
    free_slots, control.has_idle_server = 0.0, False
    for server in eligible_servers(control.id, state, now):
        if suspicion_against(server, state) is not None:
            # It answers nothing, so that it seems idle.
            continue
        figures = state.known_load.servers.get(server.registration.tag)
        if figures is None:
            unnamed[server.registration.failure_domain].append(server)
        elif figures.in_flight + server.counts.in_flight < server.slots:
            spare.add(server)
            free_slots += server.slots - figures.in_flight
            control.has_idle_server |= figures.in_flight == 0
    for domain, servers in unnamed.items():
        mean = _mean_in_flight(control.id, domain, servers, state)
        free = sum(max(server.slots - mean, 0.0) for server in servers)
        if free > 0:
            spare.update(servers)
            free_slots += free
        # If the mean is below 1, at least one of them has no request.
        control.has_idle_server |= mean < 1
    control.spare = frozenset(server.registration.tag for server in spare)
    capacity = spare_capacity_of(control, service_rate, free_slots, state, now)
    refill(control.spare_bucket, capacity, now)


def has_spare_room(control: ServiceAdmission, priority: Priority, now: Seconds) -> bool:
    """Whether this balancer has free slots for openings of a priority.

    It has none if more urgent ones need all of its share, or if that is used up.
    """
    bucket = control.spare_bucket
    refill(bucket, bucket.rate, now)
    more_urgent = control.more_urgent_rate(priority, now)
    return bool(control.spare) and bucket.tokens >= 1.0 and bucket.rate > more_urgent


def busy_servers(
    service: ServiceId,
    priority: Priority,
    avoided: Collection[Server],
    state: TagState,
    now: Seconds,
) -> set[Server]:
    """Backend servers that an opening passes over for those with free slots.

    :param avoided: those that it should not go to for other reasons.
    :returns: an empty set if there are no free slots for it.
    """
    control = state.admission.services.get(service)
    if control is None or control.short_since is None:
        return set()
    if not has_spare_room(control, priority, now):
        return set()
    pool = state.pools.get(service, ())
    busy = {server for server in pool if server.registration.tag not in control.spare}
    if all(server in avoided or server in busy for server in pool):
        return set()
    take_token(control.spare_bucket)
    return busy


def _mean_in_flight(
    service: ServiceId,
    domain: FailureDomainId,
    servers: Sequence[Server],
    state: TagState,
) -> float:
    """Mean number of requests at the backend servers that the figures don't name."""
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
