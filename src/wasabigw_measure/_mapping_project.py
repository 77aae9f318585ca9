"""The project's own decisions: replicated state and :mod:`wasabigw.core.flows`.

Each balancer has its own copy of the replicated state and applies the log entries of
a view when the view arrives. Packets are passed as events, without encoding.
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
    PacketOutcome,
    Scheme,
    balancer_crashed,
    count_entries,
    process_packet,
    propose_entries,
    view_applied,
    view_committed,
)
from wasabigw_measure._mapping_world import (
    FAILURE_DOMAINS,
    Balancer,
    Flow,
    PacketKind,
    View,
    World,
    failure_domain_of,
)

SERVICE = ServiceId("service")
REGION = RegionId("region")
CONNECTIONS = 100_000
SLOTS = 100
_SERVICE_ENDPOINT = Endpoint("198.51.100.1", 443)
_NODE_ENDPOINT = Endpoint("127.0.0.1", 6081)


class UnlimitedAdmission:
    """Admission of flows by announcement lease only.

    Capacity limits would add refusals that the other schemes do not have.
    """

    def __init__(self) -> None:
        self._leases: dict[BackendServerId, tuple[Seconds, Seconds]] = {}

    def announce(self, backend_server: BackendServerId, now: Seconds) -> None:
        """Renew the announcement lease of a backend server."""
        since, last = self._leases.get(backend_server, (now, now))
        if now - last >= ANNOUNCE_LEASE:
            since = now
        self._leases[backend_server] = (since, now)

    def admit(self, backend_server: BackendServerId, now: Seconds) -> AdmissionVerdict:
        """Admit a flow if the backend server has been announced for a view lease."""
        lease = self._leases.get(backend_server)
        if lease is None or now - lease[1] >= ANNOUNCE_LEASE:
            return AdmissionVerdict.NOT_ANNOUNCED
        if now - lease[0] < VIEW_LEASE:
            return AdmissionVerdict.TAKEOVER_WAIT
        return AdmissionVerdict.ADMITTED

    def may_send(
        self, backend_server: BackendServerId, service: ServiceId, now: Seconds
    ) -> bool:
        """Whether the announcement lease is valid."""
        lease = self._leases.get(backend_server)
        return lease is not None and now - lease[1] < ANNOUNCE_LEASE

    def release(self, backend_server: BackendServerId, now: Seconds) -> None:
        """Ignore the end of a flow."""

    def observe(
        self,
        backend_server: BackendServerId,
        result: OpeningResult,
        latency: Seconds,
        now: Seconds,
    ) -> None:
        """Ignore the result of an opening."""

    def observe_answer(self, backend_server: BackendServerId, now: Seconds) -> None:
        """Ignore an answer."""

    def count_open(
        self, backend_server: BackendServerId, open_flows: int, overflow_flows: int
    ) -> None:
        """Ignore the number of open flows."""


@dataclass(slots=True)
class _SimulatedBalancer:
    """State of a balancer, its copy of the replicated state, and its admission.

    :param packets: number of packets received from the fabric.
    """

    state: BalancerState
    cluster: ClusterState
    admission: UnlimitedAdmission
    packets: int = 0


@dataclass(slots=True)
class ProjectDecisions(Scheme):
    """State of all balancers.

    :param commands: commands of each view, by revision of the view.
    :param leader: replicated state with all commands applied.
    :param proposals: reports that the next view contains.
    """

    commands: list[tuple[Command, ...]] = field(default_factory=list)
    leader: ClusterState = field(default_factory=ClusterState)
    balancers: dict[NodeId, _SimulatedBalancer] = field(default_factory=dict)
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
    service = Service(SERVICE, _SERVICE_ENDPOINT, Protocol.TCP, FAILURE_DOMAINS)
    domains = tuple(
        FailureDomain(failure_domain, REGION) for failure_domain in FAILURE_DOMAINS
    )
    change = ReplaceConfiguration((service,), domains)
    return ChangeRequest(RequestId("first"), Revision(0), change)


def _node(node: NodeId, world: World) -> Node:
    failure_domain = world.balancers[node].failure_domain
    return Node(node, failure_domain, _NODE_ENDPOINT, _NODE_ENDPOINT, Incarnation(node))


def _server_up(server: BackendServerId) -> BackendServerUp:
    return BackendServerUp(
        server,
        SERVICE,
        failure_domain_of(server),
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
    """Unique endpoint from the name of an initial or a joined backend server."""
    kind, _, number = server.rpartition("-")
    network = 1 if kind == "joined" else 0
    return Endpoint(f"10.2.{network}.{int(number) + 1}", 8080)


@view_applied.register
def _(scheme: ProjectDecisions, balancer: Balancer, world: World) -> None:
    at = balancer.applied[balancer.revision]
    simulated = scheme.balancers.get(balancer.node)
    if simulated is None:
        simulated = _add_balancer(scheme, balancer)
        joined_later = balancer.revision > 0
        if not joined_later:
            # A view that is confirmed before the first entry lets the initial
            # balancers know that no flow is older than they are.
            confirmed = e.ViewConfirmed(at, VIEW_LEASE, Revision(0), at)
            handle(confirmed, simulated.state)
        handle(
            e.LogApplied(simulated.cluster, at, snapshot=joined_later), simulated.state
        )
        return
    _confirm_view(simulated, balancer, world, at)
    for command in scheme.commands[balancer.revision]:
        apply(command, Revision(simulated.cluster.revision + 1), simulated.cluster)
        handle(e.LogApplied(simulated.cluster, at), simulated.state)


def _add_balancer(scheme: ProjectDecisions, balancer: Balancer) -> _SimulatedBalancer:
    admission = UnlimitedAdmission()
    state = make_state(balancer.node, balancer.failure_domain, admission)
    simulated = _SimulatedBalancer(state, deepcopy(scheme.leader), admission)
    scheme.balancers[balancer.node] = simulated
    return simulated


def _confirm_view(
    simulated: _SimulatedBalancer, balancer: Balancer, world: World, now: Seconds
) -> None:
    """Confirm the view up to the oldest entry that the balancer has not applied."""
    sent_at = now
    if balancer.pending:
        sent_at = min(now, world.views[balancer.pending[0][1]].committed_at)
    revision = simulated.cluster.revision
    handle(e.ViewConfirmed(sent_at, VIEW_LEASE, revision, now), simulated.state)


@process_packet.register
def _(
    scheme: ProjectDecisions,
    flow: Flow,
    kind: PacketKind,
    balancer: Balancer,
    world: World,
) -> PacketOutcome:
    simulated = scheme.balancers[balancer.node]
    simulated.packets += 1
    sampled = simulated.packets % REFRESH_SAMPLE == 0
    event = _caller_event(flow, kind, sampled, world.now)
    executor = _Trip(scheme, world)
    outcome = executor.process(balancer, event)
    if outcome.server is not None and kind is not PacketKind.MIDDLE:
        _send_answer(executor, flow, kind, outcome.server)
    return outcome


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


def _send_answer(
    executor: "_Trip", flow: Flow, kind: PacketKind, server: BackendServerId
) -> None:
    """Send the backend server's opening or closing answer through a random balancer."""
    world = executor.world
    alive = [b for b in world.balancers.values() if b.alive]
    balancer = world.generator.choice(alive)
    if kind is PacketKind.OPENING:
        executor.process(balancer, e.AnswerOpened(flow.key, server, world.now))
    else:
        executor.process(balancer, e.AnswerClosing(flow.key, server, world.now))


@dataclass(slots=True)
class _Trip:
    """Path of an event through balancers, whose decisions it executes and counts."""

    scheme: ProjectDecisions
    world: World
    forwards: int = 0
    control_bytes: int = 0

    def process(
        self, balancer: Balancer, event: e.CallerEvent | e.AnswerEvent | e.Forwarded
    ) -> PacketOutcome:
        """Let a balancer handle an event, and execute its decisions."""
        simulated = self.scheme.balancers[balancer.node]
        _confirm_view(simulated, balancer, self.world, self.world.now)
        disposition, *other_decisions = handle(event, simulated.state)
        for other in other_decisions:
            self.execute(other, balancer)
        if isinstance(disposition, d.ForwardToNode):
            return self.forward(disposition, balancer, event)
        server = (
            disposition.target.id if isinstance(disposition, d.SendToBackend) else None
        )
        return PacketOutcome(
            server,
            self.forwards,
            max(0, self.forwards - 1),
            self.control_bytes,
            reset=isinstance(disposition, d.Refuse),
        )

    def forward(
        self,
        decision: d.ForwardToNode,
        balancer: Balancer,
        event: e.CallerEvent | e.AnswerEvent | e.Forwarded,
    ) -> PacketOutcome:
        """Forward the packet; it is lost if the other balancer has crashed."""
        self.forwards += 1
        other = self.world.balancers.get(decision.node)
        if other is None or not other.alive:
            queries = max(0, self.forwards - 1)
            return PacketOutcome(None, self.forwards, queries, self.control_bytes)
        inner = event.event if isinstance(event, e.Forwarded) else event
        forwarded = e.Forwarded(balancer.node, decision.forwarding, inner)
        return self.process(other, forwarded)

    def execute(self, decision: d.Decision, balancer: Balancer) -> None:
        """Execute a decision other than the disposition of the packet."""
        _execute(decision, balancer, self)


@singledispatch
def _execute(decision: d.Decision, balancer: Balancer, executor: _Trip) -> None:
    raise TypeError(f"unsupported decision type: {type(decision).__name__}")


@_execute.register
def _(decision: d.SendBinding, balancer: Balancer, executor: _Trip) -> None:
    executor.control_bytes += BINDING_FRAME_BYTES
    receiver = executor.world.balancers.get(decision.node)
    if receiver is None or not receiver.alive:
        return
    event = e.BindingReceived(
        balancer.node,
        decision.flow,
        SERVICE,
        decision.backend_index,
        decision.lifetime,
        executor.world.now,
    )
    handle(event, executor.scheme.balancers[decision.node].state)


@_execute.register
def _(decision: d.SendReports, balancer: Balancer, executor: _Trip) -> None:
    executor.scheme.proposals += decision.reports


@_execute.register
def _(decision: d.SendHandover, balancer: Balancer, executor: _Trip) -> None:
    executor.control_bytes += len(messages.encode(decision.handover))
    receiver = executor.world.balancers.get(decision.node)
    if receiver is not None and receiver.alive:
        event = e.HandoverReceived(decision.handover, executor.world.now)
        handle(event, executor.scheme.balancers[decision.node].state)


@balancer_crashed.register
def _(scheme: ProjectDecisions, node: NodeId) -> None:
    scheme.balancers.pop(node, None)


@count_entries.register
def _(scheme: ProjectDecisions) -> int:
    """Flow records and cached bindings, including those of ended flows."""
    return sum(
        len(simulated.state.records.records) + len(simulated.state.cache.entries)
        for simulated in scheme.balancers.values()
    )


@propose_entries.register
def _(scheme: ProjectDecisions, world: World) -> int:
    """Run the periodic work of each balancer; its reports become a log entry."""
    executor = _Trip(scheme, world)
    for balancer in world.balancers.values():
        if balancer.alive:
            _run_periodic_work(executor, balancer)
    if not scheme.proposals:
        return 0
    batch = ReportBatch(tuple(scheme.proposals))
    return len(messages.encode(LogEntry(Revision(1000), Term(1), batch)))


def _run_periodic_work(executor: _Trip, balancer: Balancer) -> None:
    now = executor.world.now
    simulated = executor.scheme.balancers[balancer.node]
    _confirm_view(simulated, balancer, executor.world, now)
    for server in simulated.cluster.backend_servers.values():
        if home(simulated.state.homes, server.id) == balancer.node:
            simulated.admission.announce(server.id, now)
            event = e.BackendServerRenewed(server.id, server.boot_id, now)
            handle(event, simulated.state)
    for decision in handle(e.TimerTick(now), simulated.state):
        executor.execute(decision, balancer)
