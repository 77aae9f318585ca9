"""The scheme of docs/design.md: stable buckets, home balancers and a view lease.

Bucket tables and homes come from :mod:`wasabigw.core.buckets` and
:mod:`wasabigw.core.placement`; packets are processed as in sections 4.2 to 4.4 of
docs/design.md.
"""

from collections import defaultdict
from copy import deepcopy
from dataclasses import dataclass, field

from wasabigw.codec import messages
from wasabigw.core import buckets
from wasabigw.core.cluster import BucketTable, Endpoint, Node
from wasabigw.core.commands import CandidatesReleased, ReportBatch
from wasabigw.core.ids import (
    BackendServerId,
    BucketNumber,
    FlowKey,
    Incarnation,
    NodeId,
    Revision,
    Seconds,
    ServiceId,
    Term,
)
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.placement import select_home
from wasabigw.core.timing import (
    ANNOUNCE_INTERVAL,
    BINDING_LIFETIME,
    BUCKETS_PER_SERVICE,
    FLOW_IDLE_TIMEOUT,
    REFRESH_SAMPLE,
    SETTLE_TIME,
    VIEW_LEASE,
)
from wasabigw_measure._mapping_scheme import (
    PacketOutcome,
    Scheme,
    balancer_crashed,
    count_entries,
    flow_ended,
    process_packet,
    propose_entries,
    view_applied,
    view_committed,
)
from wasabigw_measure._mapping_world import (
    Balancer,
    Flow,
    PacketKind,
    View,
    World,
    failure_domain_of,
)

BINDING_FRAME_BYTES = 96
"""Outer IPv4, UDP and Geneve headers, BINDING option, inner IPv4 and TCP headers."""
SERVICE = ServiceId("service")
_NO_ENDPOINT = Endpoint("0.0.0.0", 0)
_TAKEOVER_WAIT = Seconds(ANNOUNCE_INTERVAL + VIEW_LEASE)


@dataclass(slots=True)
class FlowRecord:
    """Record of a flow at a home."""

    server: BackendServerId
    bucket: BucketNumber
    last_seen: Seconds


@dataclass(slots=True)
class BalancerState:
    """State of one balancer.

    :param home_since: time at which it became the home of a backend server, by its
        own view.
    :param previous_homes: home of that backend server before, if there was one.
    :param packets: number of packets received from the fabric.
    """

    records: dict[FlowKey, FlowRecord] = field(default_factory=dict)
    cache: dict[FlowKey, tuple[BackendServerId, Seconds]] = field(default_factory=dict)
    home_since: dict[BackendServerId, Seconds] = field(default_factory=dict)
    previous_homes: dict[BackendServerId, NodeId | None] = field(default_factory=dict)
    packets: int = 0


@dataclass(slots=True)
class TrackedBucketTable(BucketTable):
    """Bucket table with the revision of the last move of each bucket."""

    moved_at: dict[BucketNumber, Revision] = field(default_factory=dict)


def _empty_table() -> TrackedBucketTable:
    return TrackedBucketTable(buckets.empty_table().current)


@dataclass(slots=True)
class StableBuckets(Scheme):
    """State of all balancers.

    :param tables: bucket table at each revision.
    :param releases: releases of candidates that the next view contains.
    :param home_cache: home of a backend server by the nodes of a view.
    """

    tables: list[TrackedBucketTable] = field(default_factory=list)
    balancers: defaultdict[NodeId, BalancerState] = field(
        default_factory=lambda: defaultdict(BalancerState)
    )
    releases: list[CandidatesReleased] = field(default_factory=list)
    home_cache: dict[tuple[BackendServerId, tuple[NodeId, ...]], NodeId] = field(
        default_factory=dict
    )


@dataclass(slots=True)
class _PacketInTransit:
    """A packet that balancers forward to each other.

    :param origin: balancer that received it from the fabric.
    """

    flow: Flow
    kind: PacketKind
    origin: Balancer
    bucket: BucketNumber
    forwards: int = 0
    queries: int = 0


def home_in_view(
    scheme: StableBuckets, server: BackendServerId, view: View, world: World
) -> NodeId:
    """Home of a backend server in a view."""
    key = (server, view.nodes)
    if key not in scheme.home_cache:
        nodes = [
            Node(
                node,
                world.balancers[node].failure_domain,
                _NO_ENDPOINT,
                _NO_ENDPOINT,
                Incarnation(node),
            )
            for node in view.nodes
        ]
        home = select_home(server, failure_domain_of(server), nodes)
        assert home is not None
        scheme.home_cache[key] = home
    return scheme.home_cache[key]


@view_committed.register
def _(scheme: StableBuckets, view: View, world: World) -> None:
    revision = Revision(view.revision)
    table = deepcopy(scheme.tables[-1]) if scheme.tables else _empty_table()
    before = list(table.current)
    weights = dict.fromkeys(view.accepting, 1.0)
    assignment = buckets.assign_buckets(table.current, weights)
    alive = {server for other in world.views for server in other.accepting}
    buckets.move_buckets(table, assignment, revision, alive)
    for number, server in enumerate(table.current):
        if server != before[number]:
            table.moved_at[BucketNumber(number)] = revision
    for release in scheme.releases:
        buckets.release_candidates(
            table, release.backend_server, release.buckets, release.up_to
        )
    scheme.releases = []
    scheme.tables.append(table)


@view_applied.register
def _(scheme: StableBuckets, balancer: Balancer, world: World) -> None:
    view = world.view_of(balancer)
    state = scheme.balancers[balancer.node]
    at = balancer.applied[view.revision]
    table = scheme.tables[view.revision]
    for server in _candidates_in(table):
        if home_in_view(scheme, server, view, world) != balancer.node:
            state.home_since.pop(server, None)
        elif server not in state.home_since:
            state.home_since[server] = Seconds(at)
            state.previous_homes[server] = _previous_home(scheme, server, view, world)


def _candidates_in(table: BucketTable) -> set[BackendServerId]:
    candidates = {server for server in table.current if server is not None}
    for others in table.others.values():
        candidates.update(candidate.backend_server for candidate in others)
    return candidates


def _previous_home(
    scheme: StableBuckets, server: BackendServerId, view: View, world: World
) -> NodeId | None:
    """Home before the current one; ``None`` for a backend server that is new."""
    own_home = home_in_view(scheme, server, view, world)
    for older in world.views[view.revision - 1 :: -1] if view.revision else []:
        if server not in _candidates_in(scheme.tables[older.revision]):
            return None
        if (home := home_in_view(scheme, server, older, world)) != own_home:
            return home
    return None


@process_packet.register
def _(
    scheme: StableBuckets,
    flow: Flow,
    kind: PacketKind,
    balancer: Balancer,
    world: World,
) -> PacketOutcome:
    state = scheme.balancers[balancer.node]
    state.packets += 1
    table = scheme.tables[balancer.revision]
    bucket = BucketNumber(flow.hash % BUCKETS_PER_SERVICE)
    current = table.current[bucket]
    assert current is not None
    sampled = state.packets % REFRESH_SAMPLE == 0
    if kind is PacketKind.MIDDLE and world.is_fresh(balancer) and not sampled:
        if bucket not in table.others:
            return PacketOutcome(current)
        cached = state.cache.get(flow.key)
        if cached is not None and cached[1] > world.now:
            return PacketOutcome(cached[0])
    packet = _PacketInTransit(flow, kind, balancer, bucket)
    home = home_in_view(scheme, current, world.view_of(balancer), world)
    return _handle_at_home(scheme, packet, home, world)


def _forward(
    packet: _PacketInTransit, source: NodeId, to: NodeId, world: World
) -> Balancer | None:
    if source != to:
        packet.forwards += 1
    balancer = world.balancers.get(to)
    return balancer if balancer is not None and balancer.alive else None


def _handle_at_home(
    scheme: StableBuckets, packet: _PacketInTransit, node: NodeId, world: World
) -> PacketOutcome:
    home = _forward(packet, packet.origin.node, node, world)
    if home is None:
        return _dropped(packet)
    record = _find_record(scheme, packet.flow, node, world)
    if record is not None:
        return _deliver(scheme, packet, home, record.server, world)
    if packet.kind is PacketKind.OPENING:
        return _open_flow(scheme, packet, home, world)
    return _resolve_unknown_flow(scheme, packet, home, world)


def _find_record(
    scheme: StableBuckets, flow: Flow, node: NodeId, world: World
) -> FlowRecord | None:
    record = scheme.balancers[node].records.get(flow.key)
    if record is None or world.now - record.last_seen > FLOW_IDLE_TIMEOUT:
        return None
    return record


def _open_flow(
    scheme: StableBuckets, packet: _PacketInTransit, home: Balancer, world: World
) -> PacketOutcome:
    table = scheme.tables[home.revision]
    server = table.current[packet.bucket]
    assert server is not None
    moved = table.moved_at.get(packet.bucket)
    others = table.others.get(packet.bucket, [])
    settling = moved is not None and (
        world.now - home.applied.get(moved, Seconds(0.0)) < SETTLE_TIME
    )
    if settling and others:
        server = others[0].backend_server
    admitting = _forward(
        packet,
        home.node,
        home_in_view(scheme, server, world.view_of(home), world),
        world,
    )
    if admitting is None or not _may_admit(scheme, admitting, server, world):
        return _dropped(packet)
    return _deliver(scheme, packet, admitting, server, world)


def _may_admit(
    scheme: StableBuckets, home: Balancer, server: BackendServerId, world: World
) -> bool:
    state = scheme.balancers[home.node]
    home_since = state.home_since.get(server)
    if home_since is None:
        return False
    is_first = state.previous_homes.get(server) is None
    took_over = is_first or world.now - home_since >= _TAKEOVER_WAIT
    if world.is_fresh(home):
        return took_over
    # With a stale view only the lease of the backend server counts, and the backend
    # server renews it at its actual home.
    actual_home = home_in_view(scheme, server, world.latest_view, world)
    return took_over and actual_home == home.node


def _resolve_unknown_flow(
    scheme: StableBuckets, packet: _PacketInTransit, home: Balancer, world: World
) -> PacketOutcome:
    """Query the homes of all candidates, then decide by elimination (section 4.3)."""
    table = scheme.tables[home.revision]
    others = table.others.get(packet.bucket, [])
    current = table.current[packet.bucket]
    assert current is not None
    candidates = [current, *(other.backend_server for other in others)]
    incomplete: list[tuple[BackendServerId, Balancer]] = []
    for server in candidates:
        home_id = home_in_view(scheme, server, world.view_of(home), world)
        queried = home
        if home_id != home.node:
            packet.queries += 1
            reached = _forward(packet, queried.node, home_id, world)
            if reached is None:
                return _dropped(packet)
            queried = reached
        server_found, complete = _query_home(scheme, packet, queried, server, world)
        if server_found is not None:
            return _deliver(scheme, packet, queried, server_found, world)
        if not world.is_fresh(queried):
            return _dropped(packet)
        if not complete:
            incomplete.append((server, queried))
    if len(incomplete) == 1:
        server, server_home = incomplete[0]
        return _deliver(scheme, packet, server_home, server, world)
    if incomplete:
        return _dropped(packet)
    server = others[0].backend_server if others else current
    return _deliver(scheme, packet, home, server, world)


def _query_home(
    scheme: StableBuckets,
    packet: _PacketInTransit,
    home: Balancer,
    server: BackendServerId,
    world: World,
) -> tuple[BackendServerId | None, bool]:
    """Look up a flow at a home and at its previous home.

    :returns: backend server of the flow if one of them knows it, and whether the
        records of the home are complete, so that an unknown flow is not at the server.
    """
    record = _find_record(scheme, packet.flow, home.node, world)
    if record is not None:
        return record.server, True
    state = scheme.balancers[home.node]
    if server not in state.home_since:
        return None, False
    previous_home = state.previous_homes.get(server)
    complete = previous_home is None
    complete = complete or world.now - state.home_since[server] >= FLOW_IDLE_TIMEOUT
    if previous_home is None:
        return None, True
    packet.queries += 1
    other = _forward(packet, home.node, previous_home, world)
    if other is None:
        return None, complete
    record = _find_record(scheme, packet.flow, previous_home, world)
    if record is not None:
        return record.server, True
    return None, complete or _was_complete(scheme, previous_home, server, world)


def _was_complete(
    scheme: StableBuckets, node: NodeId, server: BackendServerId, world: World
) -> bool:
    state = scheme.balancers[node]
    if server not in state.previous_homes:
        # That balancer has not yet applied the view that made it the home.
        return False
    if state.previous_homes[server] is None:
        return True
    home_since = state.home_since.get(server)
    return home_since is not None and world.now - home_since >= FLOW_IDLE_TIMEOUT


def _deliver(
    scheme: StableBuckets,
    packet: _PacketInTransit,
    home: Balancer,
    server: BackendServerId,
    world: World,
) -> PacketOutcome:
    """Deliver a packet through the home of the backend server, which records the flow.

    If only another balancer refreshed its record, the record of the home would expire
    and the home would treat the flow as unknown.
    """
    owner = home_in_view(scheme, server, world.view_of(home), world)
    reached = _forward(packet, home.node, owner, world)
    if reached is None:
        return _dropped(packet)
    home = reached
    key = packet.flow.key
    record = FlowRecord(server, packet.bucket, world.now)
    scheme.balancers[home.node].records[key] = record
    control = 0
    if packet.kind is PacketKind.MIDDLE and home.node != packet.origin.node:
        table = scheme.tables[packet.origin.revision]
        if packet.bucket in table.others or not world.is_fresh(packet.origin):
            until = Seconds(world.now + BINDING_LIFETIME)
            scheme.balancers[packet.origin.node].cache[key] = (server, until)
            control = BINDING_FRAME_BYTES
    return PacketOutcome(server, packet.forwards, packet.queries, control)


def _dropped(packet: _PacketInTransit) -> PacketOutcome:
    return PacketOutcome(None, packet.forwards, packet.queries)


@balancer_crashed.register
def _(scheme: StableBuckets, node: NodeId) -> None:
    scheme.balancers.pop(node, None)


@flow_ended.register
def _(scheme: StableBuckets, flow: Flow) -> None:
    for home in scheme.balancers.values():
        home.records.pop(flow.key, None)
        home.cache.pop(flow.key, None)


@count_entries.register
def _(scheme: StableBuckets) -> int:
    return sum(
        len(home.records) + len(home.cache) for home in scheme.balancers.values()
    )


@propose_entries.register
def _(scheme: StableBuckets, world: World) -> int:
    """Release candidates whose home has complete records and no flow of the bucket."""
    table = scheme.tables[-1]
    candidates: defaultdict[BackendServerId, list[BucketNumber]] = defaultdict(list)
    for bucket, others in table.others.items():
        for candidate in others:
            candidates[candidate.backend_server].append(bucket)
    for server, numbers in candidates.items():
        home = world.balancers[home_in_view(scheme, server, world.latest_view, world)]
        released = _releasable_buckets(scheme, home, server, numbers, world)
        if released:
            up_to = Revision(world.latest_view.revision)
            scheme.releases.append(
                CandidatesReleased(SERVICE, server, tuple(released), up_to)
            )
    if not scheme.releases:
        return 0
    batch = ReportBatch(tuple(scheme.releases))
    entry = LogEntry(Revision(world.latest_view.revision + 1), Term(1), batch)
    return len(messages.encode(entry))


def _releasable_buckets(
    scheme: StableBuckets,
    home: Balancer,
    server: BackendServerId,
    numbers: list[BucketNumber],
    world: World,
) -> list[BucketNumber]:
    state = scheme.balancers[home.node]
    home_since = state.home_since.get(server)
    if not home.alive or home.pending or home_since is None:
        return []
    changed = state.previous_homes.get(server) is not None
    if changed and world.now - home_since < FLOW_IDLE_TIMEOUT:
        return []
    table = scheme.tables[-1]
    used = {
        record.bucket for record in state.records.values() if record.server == server
    }
    return [
        bucket
        for bucket in numbers
        if bucket not in used and _has_settled(table, bucket, home, world)
    ]


def _has_settled(
    table: TrackedBucketTable, bucket: BucketNumber, home: Balancer, world: World
) -> bool:
    """Whether no new flow of a bucket can reach its former backend server any more."""
    moved = home.applied.get(table.moved_at.get(bucket, Revision(0)), Seconds(0.0))
    return world.now - moved > SETTLE_TIME + VIEW_LEASE
