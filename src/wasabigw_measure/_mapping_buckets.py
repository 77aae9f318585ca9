"""The scheme of docs/design.md: stable buckets, home balancers and a view lease.

Bucket tables and homes are those of the project (:mod:`wasabigw.core.buckets`,
:mod:`wasabigw.core.placement`); the handling of packets follows sections 4.2 to
4.4 of the page.
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
    Carried,
    Scheme,
    balancer_lost,
    carry,
    entries,
    flow_ended,
    proposes_change,
    view_applied,
    view_committed,
)
from wasabigw_measure._mapping_world import (
    Balancer,
    Flow,
    PacketKind,
    View,
    World,
    zone_of,
)

BINDING_FRAME_BYTES = 96
"""Outer IPv4 and UDP, Geneve, the BINDING option, inner IPv4 and TCP headers."""
SERVICE = ServiceId("service")
_NO_ENDPOINT = Endpoint("0.0.0.0", 0)
_TAKES_OVER_AFTER = Seconds(ANNOUNCE_INTERVAL + VIEW_LEASE)


@dataclass(slots=True)
class FlowRecord:
    """Record of a flow at a home."""

    server: BackendServerId
    bucket: BucketNumber
    last_seen: Seconds


@dataclass(slots=True)
class Home:
    """State of one balancer.

    :param since: when it became home of a backend server by its own view.
    :param previous: home of that backend server before.
    """

    records: dict[FlowKey, FlowRecord] = field(default_factory=dict)
    cache: dict[FlowKey, tuple[BackendServerId, Seconds]] = field(default_factory=dict)
    since: dict[BackendServerId, Seconds] = field(default_factory=dict)
    previous: dict[BackendServerId, NodeId | None] = field(default_factory=dict)
    packets: int = 0


@dataclass(slots=True)
class TimedTable(BucketTable):
    """Bucket table with the revision of the last move of each bucket."""

    moved_at: dict[BucketNumber, Revision] = field(default_factory=dict)


def _empty_table() -> TimedTable:
    return TimedTable(buckets.empty_table().current)


@dataclass(slots=True)
class StableBuckets(Scheme):
    """State of all balancers.

    :param tables: bucket table at each revision.
    :param releases: candidates that the next commit releases.
    """

    tables: list[TimedTable] = field(default_factory=list)
    homes: defaultdict[NodeId, Home] = field(default_factory=lambda: defaultdict(Home))
    releases: list[CandidatesReleased] = field(default_factory=list)
    known_homes: dict[tuple[BackendServerId, tuple[NodeId, ...]], NodeId] = field(
        default_factory=dict
    )


@dataclass(slots=True)
class _Trip:
    """A packet on its way between balancers."""

    flow: Flow
    kind: PacketKind
    origin: Balancer
    bucket: BucketNumber
    forwards: int = 0
    queries: int = 0


def home_in(
    scheme: StableBuckets, server: BackendServerId, view: View, world: World
) -> NodeId:
    """Home of a backend server in a view."""
    key = (server, view.nodes)
    if key not in scheme.known_homes:
        nodes = [
            Node(
                node,
                world.balancers[node].zone,
                _NO_ENDPOINT,
                _NO_ENDPOINT,
                Incarnation(node),
            )
            for node in view.nodes
        ]
        home = select_home(server, zone_of(server), nodes)
        assert home is not None
        scheme.known_homes[key] = home
    return scheme.known_homes[key]


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
    home = scheme.homes[balancer.node]
    at = balancer.applied[view.revision]
    table = scheme.tables[view.revision]
    for server in _named_in(table):
        if home_in(scheme, server, view, world) != balancer.node:
            home.since.pop(server, None)
        elif server not in home.since:
            home.since[server] = Seconds(at)
            home.previous[server] = _home_before(scheme, server, view, world)


def _named_in(table: BucketTable) -> set[BackendServerId]:
    named = {server for server in table.current if server is not None}
    for others in table.others.values():
        named.update(candidate.backend_server for candidate in others)
    return named


def _home_before(
    scheme: StableBuckets, server: BackendServerId, view: View, world: World
) -> NodeId | None:
    """Newest other home; ``None`` for a backend server that is new itself."""
    mine = home_in(scheme, server, view, world)
    for older in world.views[view.revision - 1 :: -1] if view.revision else []:
        if server not in _named_in(scheme.tables[older.revision]):
            return None
        if (home := home_in(scheme, server, older, world)) != mine:
            return home
    return None


@carry.register
def _(
    scheme: StableBuckets,
    flow: Flow,
    kind: PacketKind,
    balancer: Balancer,
    world: World,
) -> Carried:
    state = scheme.homes[balancer.node]
    state.packets += 1
    table = scheme.tables[balancer.revision]
    bucket = BucketNumber(flow.hash % BUCKETS_PER_SERVICE)
    current = table.current[bucket]
    assert current is not None
    sampled = state.packets % REFRESH_SAMPLE == 0
    if kind is PacketKind.MIDDLE and world.is_fresh(balancer) and not sampled:
        if bucket not in table.others:
            return Carried(current)
        cached = state.cache.get(flow.key)
        if cached is not None and cached[1] > world.now:
            return Carried(cached[0])
    trip = _Trip(flow, kind, balancer, bucket)
    home = home_in(scheme, current, world.view_of(balancer), world)
    return _at_home(scheme, trip, home, world)


def _reach(trip: _Trip, source: NodeId, to: NodeId, world: World) -> Balancer | None:
    if source != to:
        trip.forwards += 1
    balancer = world.balancers.get(to)
    return balancer if balancer is not None and balancer.alive else None


def _at_home(scheme: StableBuckets, trip: _Trip, node: NodeId, world: World) -> Carried:
    home = _reach(trip, trip.origin.node, node, world)
    if home is None:
        return _dropped(trip)
    record = _record_at(scheme, trip.flow, node, world)
    if record is not None:
        return _deliver(scheme, trip, home, record.server, world)
    if trip.kind is PacketKind.OPENING:
        return _open(scheme, trip, home, world)
    return _resolve(scheme, trip, home, world)


def _record_at(
    scheme: StableBuckets, flow: Flow, node: NodeId, world: World
) -> FlowRecord | None:
    record = scheme.homes[node].records.get(flow.key)
    if record is None or world.now - record.last_seen > FLOW_IDLE_TIMEOUT:
        return None
    return record


def _open(scheme: StableBuckets, trip: _Trip, home: Balancer, world: World) -> Carried:
    table = scheme.tables[home.revision]
    server = table.current[trip.bucket]
    assert server is not None
    moved = table.moved_at.get(trip.bucket)
    others = table.others.get(trip.bucket, [])
    settling = moved is not None and (
        world.now - home.applied.get(moved, Seconds(0.0)) < SETTLE_TIME
    )
    if settling and others:
        server = others[0].backend_server
    admitting = _reach(
        trip,
        home.node,
        home_in(scheme, server, world.view_of(home), world),
        world,
    )
    if admitting is None or not _may_admit(scheme, admitting, server, world):
        return _dropped(trip)
    return _deliver(scheme, trip, admitting, server, world)


def _may_admit(
    scheme: StableBuckets, home: Balancer, server: BackendServerId, world: World
) -> bool:
    state = scheme.homes[home.node]
    since = state.since.get(server)
    if since is None:
        return False
    is_first = state.previous.get(server) is None
    took_over = is_first or world.now - since >= _TAKES_OVER_AFTER
    if world.is_fresh(home):
        return took_over
    # With a stale view only the lease of the backend server counts, which renews
    # it at its home.
    real = home_in(scheme, server, world.committed, world)
    return took_over and real == home.node


def _resolve(
    scheme: StableBuckets, trip: _Trip, home: Balancer, world: World
) -> Carried:
    """Ask the homes of all candidates, then decide by elimination (4.3)."""
    table = scheme.tables[home.revision]
    others = table.others.get(trip.bucket, [])
    current = table.current[trip.bucket]
    assert current is not None
    candidates = [current, *(other.backend_server for other in others)]
    incomplete: list[tuple[BackendServerId, Balancer]] = []
    for server in candidates:
        place = home_in(scheme, server, world.view_of(home), world)
        asked = home
        if place != home.node:
            trip.queries += 1
            reached = _reach(trip, asked.node, place, world)
            if reached is None:
                return _dropped(trip)
            asked = reached
        found, complete = _ask(scheme, trip, asked, server, world)
        if found is not None:
            return _deliver(scheme, trip, asked, found, world)
        if not world.is_fresh(asked):
            return _dropped(trip)
        if not complete:
            incomplete.append((server, asked))
    if len(incomplete) == 1:
        server, place_of_server = incomplete[0]
        return _deliver(scheme, trip, place_of_server, server, world)
    if incomplete:
        return _dropped(trip)
    server = others[0].backend_server if others else current
    return _deliver(scheme, trip, home, server, world)


def _ask(
    scheme: StableBuckets,
    trip: _Trip,
    home: Balancer,
    server: BackendServerId,
    world: World,
) -> tuple[BackendServerId | None, bool]:
    """Server of the flow if a home or its previous home knows it.

    :returns: also whether an "unknown" of that home is proof.
    """
    record = _record_at(scheme, trip.flow, home.node, world)
    if record is not None:
        return record.server, True
    state = scheme.homes[home.node]
    if server not in state.since:
        return None, False
    previous = state.previous.get(server)
    complete = previous is None
    complete = complete or world.now - state.since[server] >= FLOW_IDLE_TIMEOUT
    if previous is None:
        return None, True
    trip.queries += 1
    other = _reach(trip, home.node, previous, world)
    if other is None:
        return None, complete
    record = _record_at(scheme, trip.flow, previous, world)
    if record is not None:
        return record.server, True
    return None, complete or _was_complete(scheme, previous, server, world)


def _was_complete(
    scheme: StableBuckets, node: NodeId, server: BackendServerId, world: World
) -> bool:
    state = scheme.homes[node]
    if server not in state.previous:
        # It has not yet learned that it was the home.
        return False
    if state.previous[server] is None:
        return True
    since = state.since.get(server)
    return since is not None and world.now - since >= FLOW_IDLE_TIMEOUT


def _deliver(
    scheme: StableBuckets,
    trip: _Trip,
    home: Balancer,
    server: BackendServerId,
    world: World,
) -> Carried:
    """Deliver through the home of the backend server, which records the flow.

    A record that only another balancer refreshes would expire at the home, which
    would then take the flow for unknown.
    """
    owner = home_in(scheme, server, world.view_of(home), world)
    reached = _reach(trip, home.node, owner, world)
    if reached is None:
        return _dropped(trip)
    home = reached
    key = trip.flow.key
    record = FlowRecord(server, trip.bucket, world.now)
    scheme.homes[home.node].records[key] = record
    control = 0
    if trip.kind is PacketKind.MIDDLE and home.node != trip.origin.node:
        table = scheme.tables[trip.origin.revision]
        if trip.bucket in table.others or not world.is_fresh(trip.origin):
            until = Seconds(world.now + BINDING_LIFETIME)
            scheme.homes[trip.origin.node].cache[key] = (server, until)
            control = BINDING_FRAME_BYTES
    return Carried(server, trip.forwards, trip.queries, control)


def _dropped(trip: _Trip) -> Carried:
    return Carried(None, trip.forwards, trip.queries)


@balancer_lost.register
def _(scheme: StableBuckets, node: NodeId) -> None:
    scheme.homes.pop(node, None)


@flow_ended.register
def _(scheme: StableBuckets, flow: Flow) -> None:
    for home in scheme.homes.values():
        home.records.pop(flow.key, None)
        home.cache.pop(flow.key, None)


@entries.register
def _(scheme: StableBuckets) -> int:
    return sum(len(home.records) + len(home.cache) for home in scheme.homes.values())


@proposes_change.register
def _(scheme: StableBuckets, world: World) -> int:
    """Release candidates whose complete home has no flow of the bucket."""
    table = scheme.tables[-1]
    named: defaultdict[BackendServerId, list[BucketNumber]] = defaultdict(list)
    for bucket, others in table.others.items():
        for candidate in others:
            named[candidate.backend_server].append(bucket)
    for server, numbers in named.items():
        home = world.balancers[home_in(scheme, server, world.committed, world)]
        released = _releasable(scheme, home, server, numbers, world)
        if released:
            up_to = Revision(world.committed.revision)
            scheme.releases.append(
                CandidatesReleased(SERVICE, server, tuple(released), up_to)
            )
    if not scheme.releases:
        return 0
    batch = ReportBatch(tuple(scheme.releases))
    entry = LogEntry(Revision(world.committed.revision + 1), Term(1), batch)
    return len(messages.encode(entry))


def _releasable(
    scheme: StableBuckets,
    home: Balancer,
    server: BackendServerId,
    numbers: list[BucketNumber],
    world: World,
) -> list[BucketNumber]:
    state = scheme.homes[home.node]
    since = state.since.get(server)
    if not home.alive or home.pending or since is None:
        return []
    changed = state.previous.get(server) is not None
    if changed and world.now - since < FLOW_IDLE_TIMEOUT:
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
    table: TimedTable, bucket: BucketNumber, home: Balancer, world: World
) -> bool:
    """Whether new flows no longer go to the former backend server."""
    moved = home.applied.get(table.moved_at.get(bucket, Revision(0)), Seconds(0.0))
    return world.now - moved > SETTLE_TIME + VIEW_LEASE
