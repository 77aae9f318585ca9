"""The project's own decisions: replicated state and :mod:`wasabigw.core.flows`.

Each balancer has its copy of the replicated state, to which the entries are
applied when the balancer sees them. Packets are events; nothing is encoded.
"""

from copy import deepcopy
from dataclasses import dataclass, field
from functools import singledispatch

from wasabigw.codec import messages
from wasabigw.core.admission import AdmissionVerdict
from wasabigw.core.apply import apply
from wasabigw.core.cluster import (
    ClusterState,
    Endpoint,
    FailureDomain,
    Node,
    Service,
)
from wasabigw.core.cold_start import OpeningResult
from wasabigw.core.commands import (
    BackendServerDraining,
    BackendServerStep,
    BackendServerUp,
    ChangeRequest,
    Command,
    NodeDown,
    NodeUp,
    ReplaceConfiguration,
    Report,
    ReportBatch,
)
from wasabigw.core.flows import decisions as d
from wasabigw.core.flows import events as e
from wasabigw.core.flows.homes import home
from wasabigw.core.flows.routing import handle
from wasabigw.core.flows.state import BalancerState, make_state
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    Incarnation,
    NodeId,
    RegionId,
    RequestId,
    Revision,
    Seconds,
    ServiceId,
    Term,
)
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.states import BackendServerState, Protocol
from wasabigw.core.timing import (
    ANNOUNCE_LEASE,
    FULL_STEP,
    REFRESH_SAMPLE,
    VIEW_LEASE,
)
from wasabigw_measure._mapping_buckets import BINDING_FRAME_BYTES
from wasabigw_measure._mapping_scheme import (
    Carried,
    Scheme,
    balancer_lost,
    carry,
    entries,
    proposes_change,
    view_applied,
    view_committed,
)
from wasabigw_measure._mapping_world import (
    ZONES,
    Balancer,
    Flow,
    PacketKind,
    View,
    World,
    zone_of,
)

SERVICE = ServiceId("service")
REGION = RegionId("region")
CONNECTIONS = 100_000
SLOTS = 100
_SERVICE_ENDPOINT = Endpoint("198.51.100.1", 443)
_NODE_ENDPOINT = Endpoint("127.0.0.1", 6081)


class AnnouncedAdmission:
    """Admits flows of announced backend servers without any other limit.

    Capacity limits would add refusals that the other schemes do not have.
    """

    def __init__(self) -> None:
        self._leases: dict[BackendServerId, tuple[Seconds, Seconds]] = {}

    def announce(self, backend_server: BackendServerId, now: Seconds) -> None:
        """Renew the lease of a backend server."""
        since, last = self._leases.get(backend_server, (now, now))
        if now - last >= ANNOUNCE_LEASE:
            since = now
        self._leases[backend_server] = (since, now)

    def admit(self, backend_server: BackendServerId, now: Seconds) -> AdmissionVerdict:
        """Admit a flow unless the backend server is new here."""
        lease = self._leases.get(backend_server)
        if lease is None or now - lease[1] >= ANNOUNCE_LEASE:
            return AdmissionVerdict.NOT_ANNOUNCED
        if now - lease[0] < VIEW_LEASE:
            return AdmissionVerdict.TAKEOVER_WAIT
        return AdmissionVerdict.ADMITTED

    def may_send(
        self, backend_server: BackendServerId, service: ServiceId, now: Seconds
    ) -> bool:
        """Whether the lease is valid."""
        lease = self._leases.get(backend_server)
        return lease is not None and now - lease[1] < ANNOUNCE_LEASE

    def release(self, backend_server: BackendServerId, now: Seconds) -> None:
        """Nothing is counted."""

    def observe(
        self,
        backend_server: BackendServerId,
        result: OpeningResult,
        latency: Seconds,
        now: Seconds,
    ) -> None:
        """Nothing is learned from openings."""

    def count_open(
        self, backend_server: BackendServerId, open_flows: int, overflow_flows: int
    ) -> None:
        """Nothing is counted."""


@dataclass(slots=True)
class _Copy:
    """A balancer's state, its copy of the replicated state, and its admission."""

    state: BalancerState
    cluster: ClusterState
    admission: AnnouncedAdmission
    packets: int = 0


@dataclass(slots=True)
class ProjectDecisions(Scheme):
    """State of all balancers.

    :param commands: entries of each view, in the order of the views.
    :param leader: replicated state with all entries.
    :param proposals: reports that the next view carries.
    """

    commands: list[tuple[Command, ...]] = field(default_factory=list)
    leader: ClusterState = field(default_factory=ClusterState)
    copies: dict[NodeId, _Copy] = field(default_factory=dict)
    proposals: list[Report] = field(default_factory=list)


@view_committed.register
def _(scheme: ProjectDecisions, view: View, world: World) -> None:
    before = world.views[view.revision - 1] if view.revision else None
    reports = _reports_between(before, view, world) + scheme.proposals
    scheme.proposals = []
    commands: list[Command] = [] if before else [_configuration()]
    commands.append(ReportBatch(tuple(reports)))
    for command in commands:
        apply(command, Revision(scheme.leader.revision + 1), scheme.leader)
    scheme.commands.append(tuple(commands))


def _reports_between(before: View | None, view: View, world: World) -> list[Report]:
    old_nodes = set(before.nodes) if before else set()
    old_servers = set(before.accepting) if before else set()
    reports: list[Report] = [
        NodeUp(_node(node, world)) for node in view.nodes if node not in old_nodes
    ]
    reports += [
        NodeDown(node, Incarnation(node)) for node in sorted(old_nodes - {*view.nodes})
    ]
    for server in view.accepting:
        if server not in old_servers:
            reports += [
                _server_up(server),
                BackendServerStep(server, BootId(server), FULL_STEP),
            ]
    reports += [_draining(server) for server in sorted(old_servers - {*view.accepting})]
    return reports


def _configuration() -> ChangeRequest:
    service = Service(SERVICE, _SERVICE_ENDPOINT, Protocol.TCP, ZONES)
    domains = tuple(FailureDomain(zone, REGION) for zone in ZONES)
    change = ReplaceConfiguration((service,), domains)
    return ChangeRequest(RequestId("first"), Revision(0), change)


def _node(node: NodeId, world: World) -> Node:
    zone = world.balancers[node].zone
    return Node(node, zone, _NODE_ENDPOINT, _NODE_ENDPOINT, Incarnation(node))


def _server_up(server: BackendServerId) -> BackendServerUp:
    return BackendServerUp(
        server,
        SERVICE,
        zone_of(server),
        _endpoint_of(server),
        BootId(server),
        SLOTS,
        CONNECTIONS,
        BackendServerState.READY,
        FULL_STEP,
    )


def _draining(server: BackendServerId) -> BackendServerDraining:
    return BackendServerDraining(server, BootId(server), BackendServerState.DRAINING)


def _endpoint_of(server: BackendServerId) -> Endpoint:
    """Endpoint from the name: servers of the start and those that join differ."""
    kind, _, number = server.rpartition("-")
    network = 1 if kind == "joined" else 0
    return Endpoint(f"10.2.{network}.{int(number) + 1}", 8080)


@view_applied.register
def _(scheme: ProjectDecisions, balancer: Balancer, world: World) -> None:
    at = balancer.applied[balancer.revision]
    copy = scheme.copies.get(balancer.node)
    if copy is None:
        copy = _first_copy(scheme, balancer)
        joins = balancer.revision > 0
        if not joins:
            # The first balancers know that no flow is older than they are.
            first = e.ViewConfirmed(at, VIEW_LEASE, Revision(0), at)
            handle(first, copy.state)
        handle(e.LogApplied(copy.cluster, at, snapshot=joins), copy.state)
        return
    _confirm(copy, balancer, world, at)
    for command in scheme.commands[balancer.revision]:
        apply(command, Revision(copy.cluster.revision + 1), copy.cluster)
        handle(e.LogApplied(copy.cluster, at), copy.state)


def _first_copy(scheme: ProjectDecisions, balancer: Balancer) -> _Copy:
    admission = AnnouncedAdmission()
    state = make_state(balancer.node, balancer.zone, admission)
    copy = _Copy(state, deepcopy(scheme.leader), admission)
    scheme.copies[balancer.node] = copy
    return copy


def _confirm(copy: _Copy, balancer: Balancer, world: World, now: Seconds) -> None:
    """Confirm the view up to the oldest entry that the balancer has not seen."""
    sent_at = now
    if balancer.pending:
        sent_at = min(now, world.views[balancer.pending[0][1]].committed)
    revision = copy.cluster.revision
    handle(e.ViewConfirmed(sent_at, VIEW_LEASE, revision, now), copy.state)


@carry.register
def _(
    scheme: ProjectDecisions,
    flow: Flow,
    kind: PacketKind,
    balancer: Balancer,
    world: World,
) -> Carried:
    copy = scheme.copies[balancer.node]
    copy.packets += 1
    sampled = copy.packets % REFRESH_SAMPLE == 0
    event = _caller_event(flow, kind, sampled, world.now)
    trip = _Trip(scheme, world)
    carried = trip.follow(balancer, event)
    if carried.server is not None and kind is not PacketKind.MIDDLE:
        _answer(trip, flow, kind, carried.server)
    return carried


def _caller_event(
    flow: Flow, kind: PacketKind, sampled: bool, now: Seconds
) -> e.CallerEvent:
    match kind:
        case PacketKind.OPENING:
            return e.FlowOpened(flow.key, SERVICE, now)
        case PacketKind.MIDDLE:
            return e.FlowData(flow.key, SERVICE, now, sampled)
        case PacketKind.CLOSING:
            return e.FlowClosing(flow.key, SERVICE, now)


def _answer(
    trip: "_Trip", flow: Flow, kind: PacketKind, server: BackendServerId
) -> None:
    """The backend server accepts or closes the flow, through some balancer."""
    world = trip.world
    alive = [b for b in world.balancers.values() if b.alive]
    balancer = world.generator.choice(alive)
    if kind is PacketKind.OPENING:
        trip.follow(balancer, e.AnswerOpened(flow.key, server, world.now))
    else:
        trip.follow(balancer, e.AnswerClosing(flow.key, server, world.now))


@dataclass(slots=True)
class _Trip:
    """A packet on its way between balancers."""

    scheme: ProjectDecisions
    world: World
    forwards: int = 0
    control_bytes: int = 0

    def follow(
        self, balancer: Balancer, event: e.CallerEvent | e.AnswerEvent | e.Forwarded
    ) -> Carried:
        """Let a balancer decide, and follow its decision."""
        copy = self.scheme.copies[balancer.node]
        _confirm(copy, balancer, self.world, self.world.now)
        first, *others = handle(event, copy.state)
        for other in others:
            self.execute(other, balancer)
        if isinstance(first, d.ForwardToNode):
            return self.forward(first, balancer, event)
        server = first.target.id if isinstance(first, d.SendToBackend) else None
        return Carried(
            server,
            self.forwards,
            max(0, self.forwards - 1),
            self.control_bytes,
            reset=isinstance(first, d.Refuse),
        )

    def forward(
        self,
        decision: d.ForwardToNode,
        balancer: Balancer,
        event: e.CallerEvent | e.AnswerEvent | e.Forwarded,
    ) -> Carried:
        """Pass the packet on; it is lost if the other balancer has crashed."""
        self.forwards += 1
        other = self.world.balancers.get(decision.node)
        if other is None or not other.alive:
            queries = max(0, self.forwards - 1)
            return Carried(None, self.forwards, queries, self.control_bytes)
        inner = event.event if isinstance(event, e.Forwarded) else event
        passed = e.Forwarded(balancer.node, decision.forwarding, inner)
        return self.follow(other, passed)

    def execute(self, decision: d.Decision, balancer: Balancer) -> None:
        """Carry out a decision beside the disposition of the packet."""
        _execute(decision, balancer, self)


@singledispatch
def _execute(decision: d.Decision, balancer: Balancer, trip: _Trip) -> None:
    raise TypeError(f"unsupported decision type: {type(decision).__name__}")


@_execute.register
def _(decision: d.SendBinding, balancer: Balancer, trip: _Trip) -> None:
    trip.control_bytes += BINDING_FRAME_BYTES
    receiver = trip.world.balancers.get(decision.node)
    if receiver is None or not receiver.alive:
        return
    event = e.BindingReceived(
        balancer.node,
        decision.flow,
        SERVICE,
        decision.backend_index,
        decision.lifetime,
        trip.world.now,
    )
    handle(event, trip.scheme.copies[decision.node].state)


@_execute.register
def _(decision: d.SendReports, balancer: Balancer, trip: _Trip) -> None:
    trip.scheme.proposals += decision.reports


@_execute.register
def _(decision: d.SendHandover, balancer: Balancer, trip: _Trip) -> None:
    trip.control_bytes += len(messages.encode(decision.handover))
    receiver = trip.world.balancers.get(decision.node)
    if receiver is not None and receiver.alive:
        event = e.HandoverReceived(decision.handover, trip.world.now)
        handle(event, trip.scheme.copies[decision.node].state)


@balancer_lost.register
def _(scheme: ProjectDecisions, node: NodeId) -> None:
    scheme.copies.pop(node, None)


@entries.register
def _(scheme: ProjectDecisions) -> int:
    """Records and bindings, also those of flows that have ended and linger."""
    return sum(
        len(copy.state.records.records) + len(copy.state.cache.entries)
        for copy in scheme.copies.values()
    )


@proposes_change.register
def _(scheme: ProjectDecisions, world: World) -> int:
    """Announcements and periodic work of each balancer; reports become an entry."""
    trip = _Trip(scheme, world)
    for balancer in world.balancers.values():
        if balancer.alive:
            _tick(trip, balancer)
    if not scheme.proposals:
        return 0
    batch = ReportBatch(tuple(scheme.proposals))
    return len(messages.encode(LogEntry(Revision(1000), Term(1), batch)))


def _tick(trip: _Trip, balancer: Balancer) -> None:
    now = trip.world.now
    copy = trip.scheme.copies[balancer.node]
    _confirm(copy, balancer, trip.world, now)
    for server in copy.cluster.backend_servers.values():
        if home(copy.state.homes, server.id) == balancer.node:
            copy.admission.announce(server.id, now)
            event = e.BackendServerRenewed(server.id, server.boot_id, now)
            handle(event, copy.state)
    for decision in handle(e.TimerTick(now), copy.state):
        trip.execute(decision, balancer)
