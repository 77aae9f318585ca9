"""Bucket tables of one revision, prepared for the packet path.

The tables are updated after each log entry. The compiled tables that the packet path
reads are built when a service is first used after a change.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from wasabigw.core.buckets import score
from wasabigw.core.cluster import (
    NO_REVISION,
    BackendServer,
    BucketTable,
    Candidate,
    ClusterState,
    Service,
)
from wasabigw.core.differences import changed_keys, removed_keys
from wasabigw.core.flows.keys import endpoint_number, number_of
from wasabigw.core.flows.moves import MoveHistory, record_move, start_from_snapshot
from wasabigw.core.flows.targets import (
    Prepare,
    Target,
    is_current,
    make_target,
    prepare_nothing,
)
from wasabigw.core.ids import (
    BackendServerId,
    BucketNumber,
    FailureDomainId,
    Revision,
    Seconds,
    ServiceId,
)
from wasabigw.core.states import (
    BackendServerState,
    CandidateReason,
    FailureDomainState,
    Protocol,
)
from wasabigw.core.timing import BUCKETS_PER_SERVICE


@dataclass(frozen=True, slots=True)
class OtherCandidate:
    """A candidate of a bucket besides the current one.

    :param target: ``None`` if it is no longer usable and its flows have ended.
    """

    backend_server: BackendServerId
    target: Target | None
    reason: CandidateReason
    revision: Revision


@dataclass(frozen=True, slots=True)
class BucketRoute:
    """Candidates that may own the flows of a bucket.

    :param current: backend server for new flows, if it is usable.
    :param others: further candidates, newest first.
    :param live: all usable candidates, the current one first.
    :param diverted: gets the new flows while the failure domain of ``current`` is
        unreachable.
    """

    current: Target | None
    others: tuple[OtherCandidate, ...]
    live: tuple[Target, ...]
    diverted: Target | None = None

    @property
    def has_departed(self) -> bool:
        """Whether a candidate is no longer usable and its flows have ended."""
        return any(other.target is None for other in self.others)

    def candidate(self, index: int) -> Target | None:
        """Usable candidate with the given index."""
        for target in self.live:
            if target.index == index:
                return target
        return None


@dataclass(slots=True, eq=False)
class ServiceRoute:
    """Bucket table of a service.

    :param direct: for each bucket its only candidate, ``None`` if there are several
        or none; empty until compiled.
    :param candidate_since: when this balancer applied each candidate besides the
        current one.
    :param source: table of the replicated state that ``current`` and ``others`` were
        copied from.
    :param source_version: version of ``source`` at that time.
    """

    id: ServiceId
    number: int
    protocol: Protocol
    current: list[BackendServerId | None]
    others: dict[BucketNumber, list[Candidate]]
    moves: MoveHistory
    direct: list[Target | None] = field(default_factory=list)
    buckets: dict[BucketNumber, BucketRoute] = field(default_factory=dict)
    candidate_since: dict[tuple[BucketNumber, BackendServerId, Revision], Seconds] = (
        field(default_factory=dict)
    )
    source: BucketTable | None = None
    source_version: int = 0


@dataclass(slots=True)
class RoutingTable:
    """Services and backend servers by address and by id.

    :param applied_servers: backend servers of the last update. Entries of the
        replicated state are replaced and never changed in place, so that a
        comparison finds the changed ones.
    :param applied_services: services of the last update.
    :param in_service: failure domains that may get packets.
    :param unreachable: failure domains that do not answer pings.
    :param healing: failure domains that have answered again for a short time only;
        the log may not yet list the candidates that their flows were diverted to.
    """

    services: dict[ServiceId, ServiceRoute] = field(default_factory=dict)
    by_endpoint: dict[int, ServiceRoute] = field(default_factory=dict)
    targets: dict[BackendServerId, Target] = field(default_factory=dict)
    by_service: dict[ServiceId, dict[BackendServerId, Target]] = field(
        default_factory=dict
    )
    by_index: dict[int, Target] = field(default_factory=dict)
    by_backend_endpoint: dict[int, Target] = field(default_factory=dict)
    prepare: Prepare = prepare_nothing
    applied_servers: dict[BackendServerId, BackendServer] = field(default_factory=dict)
    applied_services: dict[ServiceId, Service] = field(default_factory=dict)
    in_service: frozenset[FailureDomainId] = frozenset()
    unreachable: frozenset[FailureDomainId] = frozenset()
    healing: frozenset[FailureDomainId] = frozenset()


def update_routes(
    table: RoutingTable,
    cluster: ClusterState,
    out_locally: set[FailureDomainId],
    now: Seconds,
    snapshot: bool,
    moved_at: Seconds | None = None,
) -> list[Target]:
    """Update the table to the revision of the replicated state.

    :param snapshot: the bucket moves before this revision are unknown.
    :param moved_at: latest time at which the buckets moved; ``now`` by default.
    :returns: targets that are no longer valid.
    """
    invalid = _update_targets(table, cluster, out_locally)
    affected = {target.service for target in invalid}
    for name in table.services.keys() - cluster.services.keys():
        del table.by_endpoint[table.services.pop(name).number]
    for name in changed_keys(cluster.services, table.applied_services):
        _update_service(table, cluster.services[name])
    for route, buckets in _outdated(table, cluster, snapshot):
        moved = now if moved_at is None else moved_at
        _update_buckets(route, buckets, now, snapshot, moved)
    table.applied_services = dict(cluster.services)
    for name in affected & table.services.keys():
        clear_compiled(table.services[name])
    return invalid


def _update_targets(
    table: RoutingTable, cluster: ClusterState, out_locally: set[FailureDomainId]
) -> list[Target]:
    in_service = frozenset(
        domain.id
        for domain in cluster.failure_domains.values()
        if domain.state is FailureDomainState.IN_SERVICE
    ).difference(out_locally)
    registered = cluster.backend_servers
    changed = changed_keys(registered, table.applied_servers)
    gone = removed_keys(registered, table.applied_servers, changed)
    invalid = [_discard(table, name) for name in gone if name in table.targets]
    if in_service != table.in_service:
        changed = list(registered)
    else:
        changed += _servers_of_changed_services(table, cluster)
    for backend_server in map(registered.__getitem__, changed):
        invalid += _update_target(table, backend_server, cluster, in_service)
    table.applied_servers = dict(registered)
    table.in_service = in_service
    return invalid


def _servers_of_changed_services(
    table: RoutingTable, cluster: ClusterState
) -> list[BackendServerId]:
    """Backend servers whose service was added, changed or removed."""
    seen, services = table.applied_services, cluster.services
    changed = set(changed_keys(services, seen)) | (seen.keys() - services.keys())
    if not changed:
        return []
    servers = cluster.backend_servers.values()
    return [server.id for server in servers if server.service in changed]


def _update_target(
    table: RoutingTable,
    backend_server: BackendServer,
    cluster: ClusterState,
    in_service: frozenset[FailureDomainId],
) -> list[Target]:
    """Update a target; returns the previous one if it is no longer valid."""
    service = cluster.services.get(backend_server.service)
    known = table.targets.get(backend_server.id)
    usable = backend_server.failure_domain in in_service
    if service is None:
        return [] if known is None else [_discard(table, known.id)]
    if known is not None and is_current(known, backend_server, service, usable):
        _update_serving(table, known, backend_server, service)
        return []
    invalid = [] if known is None else [_discard(table, known.id)]
    target = make_target(backend_server, service, usable, table.prepare)
    target.serving = _serves(backend_server, service)
    _add(table, target)
    route = table.services.get(target.service)
    if route is not None:
        clear_compiled(route)
    return invalid


def _serves(backend_server: BackendServer, service: Service) -> bool:
    states = (BackendServerState.COLD, BackendServerState.READY)
    allowed = backend_server.failure_domain in service.failure_domains
    return allowed and backend_server.state in states


def _update_serving(
    table: RoutingTable, target: Target, backend_server: BackendServer, service: Service
) -> None:
    serving = _serves(backend_server, service)
    if serving != target.serving:
        target.serving = serving
        route = table.services.get(service.id)
        if route is not None:
            clear_compiled(route)


def set_reachability(
    table: RoutingTable,
    unreachable: frozenset[FailureDomainId],
    healing: frozenset[FailureDomainId],
) -> None:
    """Apply the results of the pings; they may change the tables of all services."""
    if (unreachable, healing) == (table.unreachable, table.healing):
        return
    table.unreachable = unreachable
    table.healing = healing
    for route in table.services.values():
        clear_compiled(route)


def _add(table: RoutingTable, target: Target) -> None:
    table.targets[target.id] = target
    table.by_service.setdefault(target.service, {})[target.id] = target
    table.by_index[target.index] = target
    number = endpoint_number(target.protocol, target.address, target.port)
    table.by_backend_endpoint[number] = target


def _discard(table: RoutingTable, name: BackendServerId) -> Target:
    target = table.targets.pop(name)
    target.usable = False
    members = table.by_service[target.service]
    del members[name]
    if not members:
        del table.by_service[target.service]
    number = endpoint_number(target.protocol, target.address, target.port)
    # The address or the index may have been assigned to another backend server since.
    if table.by_index.get(target.index) is target:
        del table.by_index[target.index]
    if table.by_backend_endpoint.get(number) is target:
        del table.by_backend_endpoint[number]
    return target


def _update_service(table: RoutingTable, service: Service) -> None:
    number = number_of(service.endpoint, service.protocol)
    route = table.services.get(service.id)
    if route is not None and route.number != number:
        del table.by_endpoint[route.number]
        route = None
    if route is None:
        route = ServiceRoute(
            service.id,
            number,
            service.protocol,
            [None] * BUCKETS_PER_SERVICE,
            {},
            MoveHistory(),
        )
        table.services[service.id] = route
    table.by_endpoint[number] = route


def _outdated(
    table: RoutingTable, cluster: ClusterState, snapshot: bool
) -> list[tuple[ServiceRoute, BucketTable]]:
    """Routes whose source table has changed; all routes after a snapshot."""
    routes = table.services
    return [
        (route, buckets)
        for name, buckets in cluster.buckets.items()
        if (route := routes.get(name)) is not None
        and (
            snapshot
            or route.source is not buckets
            or route.source_version != buckets.version
        )
    ]


def _update_buckets(
    route: ServiceRoute,
    table: BucketTable,
    now: Seconds,
    snapshot: bool,
    moved_at: Seconds,
) -> None:
    route.source = table
    route.source_version = table.version
    if snapshot:
        start_from_snapshot(route.moves, table, moved_at)
    elif route.current != table.current:
        for index, former in enumerate(route.current):
            if former != table.current[index]:
                record_move(route.moves, BucketNumber(index), former, moved_at)
    if route.current != table.current:
        route.current = list(table.current)
        clear_compiled(route)
    if route.others != table.others:
        route.others = {bucket: list(found) for bucket, found in table.others.items()}
        _update_candidate_times(route, now)
        clear_compiled(route)


def _update_candidate_times(route: ServiceRoute, now: Seconds) -> None:
    route.candidate_since = {
        key: route.candidate_since.get(key, now)
        for bucket, found in route.others.items()
        for key in ((bucket, c.backend_server, c.revision) for c in found)
    }


def clear_compiled(route: ServiceRoute) -> None:
    """Discard the compiled tables, so that they are rebuilt when next used."""
    route.direct = []
    route.buckets = {}


def compile_direct(table: RoutingTable, route: ServiceRoute) -> Sequence[Target | None]:
    """Compile, for each bucket with a single candidate, that candidate."""
    direct: list[Target | None] = []
    for index, name in enumerate(route.current):
        target = table.targets.get(name) if name is not None else None
        is_only = BucketNumber(index) not in route.others
        usable = target is not None and target.usable and target.service == route.id
        certain = usable and not _may_be_diverted(table, target)
        direct.append(target if is_only and certain else None)
    route.direct = direct
    return direct


def _may_be_diverted(table: RoutingTable, target: Target | None) -> bool:
    """Whether another failure domain may have flows of the target's buckets.

    A failure domain that does not answer pings may have diverted flows of any bucket
    without an entry in the log, and packets of these flows may arrive here before its
    first answer.
    """
    return target is not None and bool(table.healing or table.unreachable)


def bucket_route(
    table: RoutingTable, route: ServiceRoute, bucket: BucketNumber
) -> BucketRoute:
    """All candidates of a bucket, compiled on first use."""
    compiled = route.buckets.get(bucket)
    if compiled is None:
        compiled = _compile_bucket(table, route, bucket)
        route.buckets[bucket] = compiled
    return compiled


def _compile_bucket(
    table: RoutingTable, route: ServiceRoute, bucket: BucketNumber
) -> BucketRoute:
    current = _usable(table, route, route.current[bucket])
    others = tuple(
        OtherCandidate(
            candidate.backend_server,
            None
            if candidate.reason is CandidateReason.DEPARTED
            else _usable(table, route, candidate.backend_server),
            candidate.reason,
            candidate.revision,
        )
        for candidate in route.others.get(bucket, ())
    )
    diverted = None
    avoided = table.unreachable | table.healing
    if current is not None and current.failure_domain in avoided:
        diverted = _diversion_target(table, route, bucket)
    if diverted is not None and diverted.id not in {o.backend_server for o in others}:
        reason = CandidateReason.DIVERTED
        others += (OtherCandidate(diverted.id, diverted, reason, NO_REVISION),)
    live = [] if current is None else [current]
    live.extend(other.target for other in others if other.target is not None)
    return BucketRoute(current, others, tuple(live), diverted)


def _diversion_target(
    table: RoutingTable, route: ServiceRoute, bucket: BucketNumber
) -> Target | None:
    """The next reachable backend server in the rendezvous order of the bucket."""
    choices = [
        target
        for target in table.by_service.get(route.id, {}).values()
        if target.usable
        and target.serving
        and target.failure_domain not in table.unreachable | table.healing
    ]
    if not choices:
        return None
    return max(choices, key=lambda target: (score(bucket, target.id), target.id))


def _usable(
    table: RoutingTable, route: ServiceRoute, name: BackendServerId | None
) -> Target | None:
    target = table.targets.get(name) if name is not None else None
    if target is None or not target.usable or target.service != route.id:
        return None
    return target
