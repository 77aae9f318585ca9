"""Simulation of balancers that exchange decisions instead of packets."""

import random
from collections.abc import Callable, Mapping
from copy import deepcopy
from dataclasses import dataclass, field, replace

from wasabigw.core import buckets, reachability
from wasabigw.core.admission import AdmissionVerdict
from wasabigw.core.cluster import (
    BackendServer,
    Candidate,
    ClusterState,
    Endpoint,
    FailureDomain,
    Node,
    Service,
)
from wasabigw.core.cold_start import OpeningResult
from wasabigw.core.commands import CandidatesAdded, CandidatesReleased
from wasabigw.core.flows import decisions as d
from wasabigw.core.flows import events as e
from wasabigw.core.flows.homes import home
from wasabigw.core.flows.keys import address_number, flow_key
from wasabigw.core.flows.routing import handle
from wasabigw.core.flows.state import BalancerState, make_state
from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    BucketNumber,
    FailureDomainId,
    FlowKey,
    Incarnation,
    NodeId,
    RegionId,
    Revision,
    Seconds,
    ServiceId,
)
from wasabigw.core.states import (
    BackendServerState,
    CandidateReason,
    FailureDomainState,
    NodeState,
    Protocol,
)
from wasabigw.core.timing import ANNOUNCE_LEASE, FULL_STEP, VIEW_LEASE

DOMAINS = tuple(FailureDomainId(name) for name in ("recife", "fortaleza", "salvador"))
SEATS, COURSES = ServiceId("seats"), ServiceId("courses")
Mutation = Callable[[ClusterState, Revision], None]


class FakeAdmission:
    """Admission with a limit, announcement leases and takeover waits."""

    def __init__(self, limit: int = 10_000) -> None:
        self.limit = limit
        self.open: dict[BackendServerId, int] = {}
        self.leases: dict[BackendServerId, tuple[ServiceId, Seconds, Seconds]] = {}
        self.observed: list[OpeningResult] = []
        self.answered: list[BackendServerId] = []

    def announce(self, name: BackendServerId, service: ServiceId, now: Seconds) -> None:
        lease = self.leases.get(name)
        if lease is None or now - lease[2] >= ANNOUNCE_LEASE:
            lease = (service, now, now)
        self.leases[name] = (service, lease[1], now)

    def admit(self, backend_server: BackendServerId, now: Seconds) -> AdmissionVerdict:
        lease = self.leases.get(backend_server)
        if lease is None or now - lease[2] >= ANNOUNCE_LEASE:
            return AdmissionVerdict.NOT_ANNOUNCED
        if now - lease[1] < VIEW_LEASE:
            return AdmissionVerdict.TAKEOVER_WAIT
        if self.open.get(backend_server, 0) >= self.limit:
            return AdmissionVerdict.AT_LIMIT
        self.open[backend_server] = self.open.get(backend_server, 0) + 1
        return AdmissionVerdict.ADMITTED

    def release(self, backend_server: BackendServerId, now: Seconds) -> None:
        self.open[backend_server] = max(0, self.open.get(backend_server, 0) - 1)

    def may_send(
        self, backend_server: BackendServerId, service: ServiceId, now: Seconds
    ) -> bool:
        lease = self.leases.get(backend_server)
        if lease is None:
            return False
        return lease[0] == service and now - lease[2] < ANNOUNCE_LEASE

    def observe(
        self,
        backend_server: BackendServerId,
        result: OpeningResult,
        latency: Seconds,
        now: Seconds,
    ) -> None:
        self.observed.append(result)

    def observe_answer(self, backend_server: BackendServerId, now: Seconds) -> None:
        self.answered.append(backend_server)

    def count_open(
        self, backend_server: BackendServerId, open_flows: int, overflow_flows: int
    ) -> None:
        present = self.open.get(backend_server, 0)
        self.open[backend_server] = max(present, open_flows)


def initial_cluster(protocol: Protocol = Protocol.TCP) -> ClusterState:
    """Two services and three failure domains, without backend servers."""
    state = ClusterState()
    for domain in DOMAINS:
        state.failure_domains[domain] = FailureDomain(domain, RegionId("br"))
    for number, name in enumerate((SEATS, COURSES), 1):
        endpoint = Endpoint(f"10.0.0.{number}", 80)
        state.services[name] = Service(name, endpoint, protocol, DOMAINS)
        state.buckets[name] = buckets.empty_table()
    return state


def reassign(state: ClusterState, revision: Revision) -> None:
    """Recompute the bucket tables, as the replicated state does."""
    for service, table in state.buckets.items():
        members = [b for b in state.backend_servers.values() if b.service == service]
        serving = {
            b.id
            for b in members
            if state.failure_domains[b.failure_domain].state
            is FailureDomainState.IN_SERVICE
        }
        weights = {
            b.id: b.step / FULL_STEP
            for b in members
            if b.id in serving and b.state is BackendServerState.READY
        }
        assignment = buckets.assign_buckets(table.current, weights)
        buckets.move_buckets(table, assignment, revision, serving)


def add_backend(name: str, index: int, service: ServiceId, step: int = 8) -> Mutation:
    """A backend server registers."""

    def mutate(state: ClusterState, revision: Revision) -> None:
        backend = BackendServerId(name)
        state.backend_servers[backend] = BackendServer(
            backend,
            index,
            service,
            DOMAINS[index % len(DOMAINS)],
            Endpoint(f"10.1.0.{index}", 8080),
            BootId(name),
            4,
            2000,
            BackendServerState.READY,
            step,
        )
        reassign(state, revision)

    return mutate


def set_step(name: str, step: int) -> Mutation:
    """A backend server reaches a ramp step."""

    def mutate(state: ClusterState, revision: Revision) -> None:
        backend = BackendServerId(name)
        known = state.backend_servers[backend]
        state.backend_servers[backend] = replace(known, step=step)
        reassign(state, revision)

    return mutate


def drain_backend(name: str) -> Mutation:
    """A backend server drains."""

    def mutate(state: ClusterState, revision: Revision) -> None:
        backend = BackendServerId(name)
        known = state.backend_servers[backend]
        drained = replace(known, state=BackendServerState.DRAINING)
        state.backend_servers[backend] = drained
        reassign(state, revision)

    return mutate


def remove_backend(name: str) -> Mutation:
    """The lease of a backend server ended."""

    def mutate(state: ClusterState, revision: Revision) -> None:
        known = state.backend_servers.pop(BackendServerId(name))
        table = state.buckets[known.service]
        buckets.mark_departed(table, known.id, revision)
        reassign(state, revision)

    return mutate


def restart_backend(name: str) -> Mutation:
    """A backend server announces a new boot and starts its ramp again."""

    def mutate(state: ClusterState, revision: Revision) -> None:
        backend = BackendServerId(name)
        known = state.backend_servers[backend]
        state.backend_servers[backend] = replace(
            known, boot_id=BootId(f"{known.boot_id}-again"), step=1
        )
        reassign(state, revision)

    return mutate


def set_domain(domain: FailureDomainId, to: FailureDomainState) -> Mutation:
    """A failure domain is taken out of service or brought back."""

    def mutate(state: ClusterState, revision: Revision) -> None:
        known = state.failure_domains[domain]
        state.failure_domains[domain] = replace(known, state=to)
        reassign(state, revision)

    return mutate


def set_node(name: str, domain: FailureDomainId, state_: NodeState) -> Mutation:
    """A balancer registers or drains."""

    def mutate(state: ClusterState, revision: Revision) -> None:
        node = NodeId(name)
        endpoint = Endpoint("127.0.0.1", 6081)
        incarnation = Incarnation(name)
        state.nodes[node] = Node(node, domain, endpoint, endpoint, incarnation, state_)

    return mutate


def remove_node(name: str) -> Mutation:
    """A balancer is removed after it stopped responding."""

    def mutate(state: ClusterState, revision: Revision) -> None:
        state.nodes.pop(NodeId(name), None)

    return mutate


def released(report: CandidatesReleased) -> Mutation:
    """A home released candidates."""

    def mutate(state: ClusterState, revision: Revision) -> None:
        buckets.release_candidates(
            state.buckets[report.service],
            report.backend_server,
            report.buckets,
            report.up_to,
        )

    return mutate


def added(report: CandidatesAdded) -> Mutation:
    """A home reports flows in buckets that its backend server is no candidate of."""

    def mutate(state: ClusterState, revision: Revision) -> None:
        candidate = Candidate(report.backend_server, report.reason, revision)
        for bucket in report.buckets:
            buckets.add_candidate(state.buckets[report.service], bucket, candidate)

    return mutate


def add_candidate(service: ServiceId, name: str, reason: CandidateReason) -> Mutation:
    """A backend server becomes a candidate of each bucket."""

    def mutate(state: ClusterState, revision: Revision) -> None:
        table = state.buckets[service]
        for number, current in enumerate(table.current):
            if current != name:
                backend = BackendServerId(name)
                candidate = Candidate(backend, reason, revision)
                buckets.add_candidate(table, BucketNumber(number), candidate)

    return mutate


@dataclass(slots=True)
class Balancer:
    """A balancer with its own copy of the log."""

    state: BalancerState
    cluster: ClusterState
    admission: FakeAdmission
    applied: int = 0
    cut_off: bool = False


@dataclass(slots=True)
class Flow:
    """A caller's flow.

    :param at: backend server that accepted it.
    """

    key: FlowKey
    service: ServiceId
    at: BackendServerId | None = None
    delivered: int = 0
    waiting_since: float | None = None


@dataclass(slots=True)
class Simulation:
    """Balancers, their log, and the faults that were observed."""

    seed: int
    protocol: Protocol = Protocol.TCP
    now: float = 1000.0
    log: list[tuple[float, Mutation]] = field(default_factory=list)
    balancers: dict[NodeId, Balancer] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    drops: dict[d.DropReason, int] = field(default_factory=dict)
    refusals: dict[d.RefusalReason, int] = field(default_factory=dict)
    reports: int = 0
    hops: int = 0
    limit: int = 10_000
    max_lag: float = 1.5
    partitioned: set[NodeId] = field(default_factory=set)
    callers_inside: bool = False
    draws: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self.draws = random.Random(self.seed)

    def time(self) -> Seconds:
        return Seconds(self.now)

    def commit(self, mutation: Mutation) -> None:
        self.log.append((self.now, mutation))

    def start_balancer(self, name: str, domain: FailureDomainId) -> None:
        node = NodeId(name)
        admission = FakeAdmission(self.limit)
        state = make_state(node, domain, admission)
        cluster = initial_cluster(self.protocol)
        self.balancers[node] = Balancer(state, cluster, admission)
        self.commit(set_node(name, domain, NodeState.UP))
        self.poll(self.balancers[node], 0.0)

    def poll(self, balancer: Balancer, lag: float) -> None:
        """Apply what the leader had committed ``lag`` seconds ago."""
        if balancer.cut_off:
            return
        available = sum(committed <= self.now - lag for committed, _ in self.log)
        while balancer.applied < available:
            mutation = self.log[balancer.applied][1]
            balancer.applied += 1
            revision = Revision(balancer.applied)
            mutation(balancer.cluster, revision)
            balancer.cluster.revision = revision
            handle(e.LogApplied(balancer.cluster, self.time()), balancer.state)
        if balancer.applied == available:
            sent_at = Seconds(self.now - lag)
            revision = Revision(available)
            event = e.ViewConfirmed(sent_at, VIEW_LEASE, revision, self.time())
            handle(event, balancer.state)

    def load_snapshot(self, balancer: Balancer, source: Balancer) -> None:
        """Replace the applied state of a balancer by that of another one."""
        balancer.cluster = deepcopy(source.cluster)
        balancer.applied = source.applied
        event = e.LogApplied(balancer.cluster, self.time(), snapshot=True)
        handle(event, balancer.state)

    def step(self, seconds: float) -> None:
        """Advance the time; each balancer polls with a random delay and ticks."""
        self.now += seconds
        self.ping()
        for balancer in list(self.balancers.values()):
            self.poll(balancer, self.draws.uniform(0, self.max_lag))
            for decision in handle(e.TimerTick(self.time()), balancer.state):
                self.execute_from_tick(decision)
        self.announce()

    def announce(self) -> None:
        """Renew each backend server at all balancers that act as its home."""
        for balancer in self.balancers.values():
            for backend in balancer.cluster.backend_servers.values():
                if home(balancer.state.homes, backend.id) != balancer.state.node:
                    continue
                balancer.admission.announce(backend.id, backend.service, self.time())
                event = e.BackendServerRenewed(backend.id, backend.boot_id, self.time())
                handle(event, balancer.state)

    def execute_from_tick(self, decision: d.Decision) -> None:
        if isinstance(decision, d.SendReports):
            self.reports += len(decision.reports)
            for report in decision.reports:
                if isinstance(report, CandidatesAdded):
                    self.commit(added(report))
                else:
                    assert isinstance(report, CandidatesReleased)
                    self.commit(released(report))
        elif isinstance(decision, d.SendHandover):
            receiver = self.balancers.get(decision.node)
            if receiver is not None:
                event = e.HandoverReceived(decision.handover, self.time())
                handle(event, receiver.state)

    def any_balancer(self) -> Balancer:
        return self.draws.choice(
            [
                balancer
                for node, balancer in self.balancers.items()
                if not self.partitioned
                or (node in self.partitioned) == self.callers_inside
            ]
        )

    def partition(self, domain: FailureDomainId) -> None:
        """Partition off a failure domain; callers reach only the other side."""
        for node, balancer in self.balancers.items():
            if balancer.state.failure_domain == domain:
                self.partitioned.add(node)
                balancer.cut_off = True

    def heal(self) -> None:
        """End the partition."""
        for node in self.partitioned:
            self.balancers[node].cut_off = False
        self.partitioned.clear()

    def ping(self) -> None:
        """Ping all failure domains; pings across a partition are not answered."""
        for node, balancer in self.balancers.items():
            nodes = tuple(balancer.cluster.nodes.values())
            due = reachability.PingDue(nodes, self.draws.random(), self.time())
            state = balancer.state.reachability
            for ping in reachability.handle(due, state):
                if (ping.node in self.partitioned) == (node in self.partitioned):
                    answered = reachability.PingAnswered(ping.sequence, self.time())
                    reachability.handle(answered, state)

    def carry(self, event: e.CallerEvent | e.AnswerEvent) -> d.Disposition | None:
        """Deliver an event to a random balancer and follow it to the last decision."""
        return self.follow(self.any_balancer(), event)

    def follow(
        self, balancer: Balancer, event: e.CallerEvent | e.AnswerEvent | e.Forwarded
    ) -> d.Disposition | None:
        """Decision of the last balancer; ``None`` if the packet was lost."""
        self.hops += 1
        first, *others = handle(event, balancer.state)
        for decision in others:
            assert isinstance(decision, d.SendBinding)
            self.bind(balancer, decision)
        assert not isinstance(first, (d.SendBinding, d.SendReports, d.SendHandover))
        if isinstance(first, d.ForwardToNode):
            following = self.balancers.get(first.node)
            inner = event.event if isinstance(event, e.Forwarded) else event
            cut = (first.node in self.partitioned) != (
                balancer.state.node in self.partitioned
            )
            if following is None or cut:
                return None
            sender = balancer.state.node
            return self.follow(following, e.Forwarded(sender, first.forwarding, inner))
        if isinstance(first, d.Drop):
            self.drops[first.reason] = self.drops.get(first.reason, 0) + 1
        if isinstance(first, d.Refuse):
            self.refusals[first.reason] = self.refusals.get(first.reason, 0) + 1
        return first

    def bind(self, balancer: Balancer, decision: d.SendBinding) -> None:
        receiver = self.balancers.get(decision.node)
        service = self.service_of(decision.flow)
        if receiver is not None and service is not None:
            event = e.BindingReceived(
                balancer.state.node,
                decision.flow,
                service,
                decision.backend_index,
                decision.lifetime,
                self.time(),
            )
            handle(event, receiver.state)

    def service_of(self, flow: FlowKey) -> ServiceId | None:
        return SEATS if flow[10] == 1 else COURSES

    def make_flow(self, service: ServiceId) -> Flow:
        caller = 0x0A090000 + self.draws.randrange(1 << 16)
        number = 1 if service == SEATS else 2
        address = address_number(f"10.0.0.{number}")
        port = self.draws.randrange(1024, 65536)
        return Flow(flow_key(self.protocol.value, caller, port, address, 80), service)

    def open(self, flow: Flow) -> bool:
        """Send an opening packet; true if a backend server has accepted the flow."""
        decided = self.carry(e.FlowOpened(flow.key, flow.service, self.time()))
        if not isinstance(decided, d.SendToBackend):
            return False
        self.check_service(flow, decided.target)
        answer = e.AnswerOpened(flow.key, decided.target.id, self.time())
        if isinstance(self.carry(answer), d.ReturnToCaller):
            flow.at = decided.target.id
        return flow.at is not None

    def send(self, flow: Flow) -> d.Disposition | None:
        """Send data on an open flow and check which backend server gets it."""
        sampled = self.draws.random() < 1 / 32
        event = e.FlowData(flow.key, flow.service, self.time(), sampled)
        decided = self.carry(event)
        if isinstance(decided, d.SendToBackend):
            self.check_service(flow, decided.target)
            if decided.target.id != flow.at:
                self.faults.append(
                    f"{self.now:.1f}: flow at {flow.at} sent to {decided.target.id}"
                )
            flow.delivered += 1
            flow.waiting_since = None
        elif isinstance(decided, d.Refuse):
            self.faults.append(f"{self.now:.1f}: flow at {flow.at}: {decided.reason}")
        elif flow.waiting_since is None:
            flow.waiting_since = self.now
        return decided

    def check_service(self, flow: Flow, target: Target) -> None:
        if target.service != flow.service:
            self.faults.append(f"{flow.service} packet sent to {target.service}")


def make_simulation(
    seed: int,
    nodes_per_domain: int = 2,
    sizes: Mapping[ServiceId, int] | None = None,
    protocol: Protocol = Protocol.TCP,
) -> Simulation:
    """Balancers in three failure domains, and settled backend servers."""
    sim = Simulation(seed, protocol)
    sim.max_lag = 0.0
    for number in range(nodes_per_domain * len(DOMAINS)):
        sim.start_balancer(f"n{number}", DOMAINS[number % len(DOMAINS)])
    index = 1
    for service, size in (sizes or {SEATS: 7, COURSES: 3}).items():
        for _ in range(size):
            sim.commit(add_backend(f"b{index}", index, service))
            index += 1
    for _ in range(8):
        sim.step(1.0)
    sim.max_lag = 1.49
    return sim
