"""State changes while one command is applied: bucket tables and endpoints."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from wasabigw.core import buckets
from wasabigw.core.cluster import (
    BackendServer,
    BucketTable,
    Candidate,
    ClusterState,
    Endpoint,
    Quarantine,
    endpoint_key,
)
from wasabigw.core.ids import (
    BackendServerId,
    BucketNumber,
    FailureDomainId,
    Revision,
    ServiceId,
)
from wasabigw.core.states import (
    BackendServerState,
    CandidateReason,
    FailureDomainState,
    FlowLimit,
)
from wasabigw.core.timing import FULL_STEP

_SERVING = (BackendServerState.COLD, BackendServerState.READY)


@dataclass(slots=True)
class Transition:
    """Application of one command to the replicated state.

    :param affected_services: services whose bucket tables are recomputed at the end.
    """

    state: ClusterState
    revision: Revision
    affected_services: set[ServiceId] = field(default_factory=set)
    _owner_by_endpoint: dict[str, ServiceId] | None = None

    def owner_of(self, endpoint: Endpoint) -> ServiceId | None:
        """Service that uses an endpoint, itself or through a backend server."""
        if self._owner_by_endpoint is None:
            self._owner_by_endpoint = _endpoint_owners(self.state)
        return self._owner_by_endpoint.get(endpoint_key(endpoint))

    def register(self, backend_server: BackendServer) -> None:
        """Add or replace a backend server whose endpoint passed the checks."""
        key = endpoint_key(backend_server.endpoint)
        self.state.backend_servers[backend_server.id] = backend_server
        self.state.quarantine.pop(key, None)
        self.affected_services.add(backend_server.service)
        if self._owner_by_endpoint is not None:
            self._owner_by_endpoint[key] = backend_server.service

    def deregister(self, backend_server: BackendServer) -> None:
        """Remove a backend server, end its flows and quarantine its endpoint."""
        del self.state.backend_servers[backend_server.id]
        self.quarantine(backend_server.endpoint, backend_server.service)
        self.mark_departed(backend_server)
        self.affected_services.add(backend_server.service)

    def mark_departed(self, backend_server: BackendServer) -> None:
        """Mark a backend server as departed wherever it is a candidate."""
        table = self.state.buckets.get(backend_server.service)
        if table is not None:
            buckets.mark_departed(table, backend_server.id, self.revision)

    def quarantine(self, endpoint: Endpoint, service: ServiceId) -> None:
        """Reserve a released endpoint, so that no other service uses it yet."""
        key = endpoint_key(endpoint)
        self.state.quarantine[key] = Quarantine(endpoint, service, self.revision)
        if self._owner_by_endpoint is not None:
            self._owner_by_endpoint.pop(key, None)

    def remove_service(self, service: ServiceId) -> None:
        """Remove a service with its backend servers and its bucket table."""
        for backend_server in list(self.state.backend_servers.values()):
            if backend_server.service == service:
                self.deregister(backend_server)
        self.quarantine(self.state.services.pop(service).endpoint, service)
        self.state.buckets.pop(service, None)

    def mark_failure_domain_affected(self, failure_domain: FailureDomainId) -> None:
        """Mark the services with backend servers in a failure domain as affected."""
        self.affected_services.update(
            backend_server.service
            for backend_server in self.state.backend_servers.values()
            if backend_server.failure_domain == failure_domain
        )

    def finish(self) -> None:
        """Recompute the bucket tables of the affected services."""
        by_service: dict[ServiceId, list[BackendServer]] = {
            service: []
            for service in self.affected_services
            if service in self.state.services
        }
        if not by_service:
            return
        for backend_server in self.state.backend_servers.values():
            if backend_server.service in by_service:
                by_service[backend_server.service].append(backend_server)
        for service in sorted(by_service):
            self._assign(service, by_service[service])

    def _assign(self, service: ServiceId, members: list[BackendServer]) -> None:
        table = self.state.buckets.setdefault(service, buckets.empty_table())
        weights = {member.id: weight(member, self.state) for member in members}
        alive = {
            member.id
            for member in members
            if in_service(member.failure_domain, self.state)
        }
        assignment = buckets.assign_buckets(table.current, weights)
        buckets.move_buckets(table, assignment, self.revision, alive)
        _add_overflow_candidates(table, members, weights, self.revision)


def in_service(failure_domain: FailureDomainId, state: ClusterState) -> bool:
    """Whether a failure domain is in service; an unknown one is not."""
    known = state.failure_domains.get(failure_domain)
    return known is not None and known.state is FailureDomainState.IN_SERVICE


LARGEST_LIMIT = 2**1000
"""Limit from which on a weight would overflow.

An older version may have accepted a larger one. Smaller ones give the same weights as
in every version, because voters of two versions have to hold the same state.
"""


def weight(backend_server: BackendServer, state: ClusterState) -> float:
    """Relative share of the new flows of its service that a backend server takes.

    :returns: more than 0 for each serving backend server, even with one slot at the
        first step, so that a service whose backend servers are all cold still works.
    """
    service = state.services.get(backend_server.service)
    if service is None or backend_server.state not in _SERVING:
        return 0.0
    if backend_server.failure_domain not in service.failure_domains:
        return 0.0
    if not in_service(backend_server.failure_domain, state):
        return 0.0
    by_slots = service.limit_by is FlowLimit.SLOTS
    limit = backend_server.slots if by_slots else backend_server.connections
    limit = min(limit, LARGEST_LIMIT)
    return max(1, limit) * max(1, backend_server.step) / FULL_STEP


def _endpoint_owners(state: ClusterState) -> dict[str, ServiceId]:
    owners = {
        endpoint_key(service.endpoint): service.id
        for service in state.services.values()
    }
    for backend_server in state.backend_servers.values():
        owners[endpoint_key(backend_server.endpoint)] = backend_server.service
    return owners


def _add_overflow_candidates(
    table: BucketTable,
    members: Iterable[BackendServer],
    weights: dict[BackendServerId, float],
    revision: Revision,
) -> None:
    """Add an OVERFLOW candidate to each bucket of an overloaded backend server."""
    overloaded = {member.id for member in members if member.overloaded}
    if not overloaded:
        return
    receivers = [
        name for name, share in weights.items() if share > 0 and name not in overloaded
    ]
    for index, current in enumerate(table.current):
        if current not in overloaded:
            continue
        bucket = BucketNumber(index)
        others = table.others.get(bucket, [])
        if any(_takes_overflow(candidate, receivers) for candidate in others):
            continue
        listed = {candidate.backend_server for candidate in others}
        # A FORMER candidate keeps its reason, which determines where new flows go
        # during SETTLE_TIME.
        free = [name for name in receivers if name not in listed]
        if free:
            chosen = _highest_scoring(free, bucket)
            candidate = Candidate(chosen, CandidateReason.OVERFLOW, revision)
            buckets.add_candidate(table, bucket, candidate)


def _takes_overflow(candidate: Candidate, receivers: list[BackendServerId]) -> bool:
    """Whether a candidate takes overflow flows; a draining one does not."""
    overflow = candidate.reason is CandidateReason.OVERFLOW
    return overflow and candidate.backend_server in receivers


def _highest_scoring(
    names: Iterable[BackendServerId], bucket: BucketNumber
) -> BackendServerId:
    return max(names, key=lambda name: (buckets.score(bucket, name), name))
