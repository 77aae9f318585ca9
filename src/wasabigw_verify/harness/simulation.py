"""All processes of a run, the fabric between them, and the record."""

import zlib
from collections.abc import Callable
from typing import Any

from wasabigw.core.cluster import ClusterState, Endpoint, FailureDomain, Service
from wasabigw.core.flows import events as e
from wasabigw.core.flows.homes import home
from wasabigw.core.flows.keys import address_number, key_fields
from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import (
    BackendServerId,
    FailureDomainId,
    FlowKey,
    Incarnation,
    NodeId,
    RegionId,
    Revision,
    ServiceId,
)
from wasabigw.core.states import FlowLimit, NodeState, Protocol
from wasabigw_verify import record as r
from wasabigw_verify.harness.backend_servers import BackendServer
from wasabigw_verify.harness.balancers import Balancer
from wasabigw_verify.harness.callers import Callers
from wasabigw_verify.harness.disks import Disk, make_initial_disks
from wasabigw_verify.harness.environment import BalancerProcess
from wasabigw_verify.harness.network import Network
from wasabigw_verify.harness.packets import Packet
from wasabigw_verify.harness.steps import Step, StepParticipants
from wasabigw_verify.harness.voters import Voter

DOMAINS = tuple(FailureDomainId(name) for name in ("recife", "fortaleza", "salvador"))
SEATS, COURSES = ServiceId("seats"), ServiceId("courses")
VOTERS = tuple(NodeId(f"voter-{letter}") for letter in "abc")
ROUTE_WITHDRAWAL_DELAY = 1.0
"""Seconds for which the fabric still sends packets to a stopped balancer."""
CONNECTIVITY_CHECK_INTERVAL = 0.1
"""Seconds between two checks of which balancers can reach a majority of the voters."""
DIGEST_INTERVAL = 8
"""Number of revisions after which the copies of all nodes are compared again."""

StepHandler = Callable[[Step, StepParticipants], None]


def make_services() -> dict[ServiceId, Service]:
    """One service with short requests limited by slots, and one with long flows."""
    limits = {SEATS: FlowLimit.SLOTS, COURSES: FlowLimit.CONNECTIONS}
    return {
        name: Service(
            name, Endpoint(f"10.0.0.{number}", 80), Protocol.TCP, DOMAINS, limits[name]
        )
        for number, name in enumerate(limits, 1)
    }


class Simulation:
    """All processes of a run and the state that they share.

    :param on_step: called at each step, before the step takes effect.
    :param services: services of the run, by default those of :func:`make_services`.
    :ivar problems: failures that are not violations of promises.
    """

    alive = True

    def __init__(
        self,
        seed: int,
        on_step: StepHandler,
        services: dict[ServiceId, Service] | None = None,
        domains: tuple[FailureDomainId, ...] = DOMAINS,
    ) -> None:
        self.network = Network(seed)
        self.record: list[r.Entry] = []
        self.services = services or make_services()
        self._service_at = {
            address_number(service.endpoint.address): name
            for name, service in self.services.items()
        }
        self.disks: dict[NodeId, Disk] = make_initial_disks(VOTERS)
        self.voters: dict[NodeId, Voter] = {}
        self.balancers: dict[NodeId, Balancer] = {}
        self.backend_servers: dict[BackendServerId, BackendServer] = {}
        self.drops: dict[Any, int] = {}
        self.problems: list[str] = []
        self.domain_of: dict[str, FailureDomainId] = dict(
            zip(VOTERS, domains, strict=True)
        )
        self._on_step = on_step
        self._last_number = 0
        self.callers = Callers(self)
        self._stopped: list[Balancer] = []
        self._disconnected: set[NodeId] = set()
        self.network.call_every(
            "observer", self, CONNECTIVITY_CHECK_INTERVAL, self._record_connectivity
        )
        for domain in domains:
            self.domain_of[f"callers-{domain}"] = domain

    def next_number(self) -> int:
        """Number that is unique in the run."""
        self._last_number += 1
        return self._last_number

    def add(self, entry: r.Entry) -> None:
        """Append an entry to the record."""
        self.record.append(entry)

    def hosts_in(self, domain: FailureDomainId) -> frozenset[str]:
        """Names of all hosts in a failure domain."""
        return frozenset(p for p, where in self.domain_of.items() if where == domain)

    # Steps

    def report_step(self, step: Step, participants: StepParticipants) -> None:
        """Report that a process reached a step."""
        self._on_step(step, participants)

    def report_proposal(self) -> None:
        """Report that a change reached a voter."""
        leader = self.leader()
        self.report_step(Step.CHANGE_PROPOSED, StepParticipants(voter=leader))

    def report_packet_step(self, packet: Packet, balancer: BalancerProcess) -> None:
        """Report the step of a packet that reached its first balancer."""
        event = packet.event
        backend_server = getattr(event, "backend_server", None)
        if backend_server is None:
            session = self.callers.sessions.get(event.flow)
            backend_server = session.backend_server if session else None
        participants = StepParticipants(
            balancer.name,
            None,
            backend_server or balancer.mapped_backend_server(packet),
        )
        match event:
            case e.FlowOpened():
                self.report_step(Step.FLOW_OPENING, participants)
            case e.FlowData():
                self.report_step(Step.REQUEST_SENT, participants)
            case e.AnswerData():
                self.report_step(Step.ANSWER_UNDER_WAY, participants)
            case e.FlowClosing():
                self.report_step(Step.FLOW_CLOSING, participants)

    def record_applied(
        self, node: NodeId, revision: Revision, state: ClusterState
    ) -> None:
        """Record that a node applied the log up to a revision."""
        digest = 0
        if revision % DIGEST_INTERVAL == 0:
            digest = zlib.crc32(repr(state).encode())
        applied = r.RevisionApplied(self.network.now, node, revision, digest)
        self.add(applied)

    # Voters

    def start_voter(self, node: NodeId) -> None:
        """Start a voter from its disk."""
        if node not in self.voters:
            self.voters[node] = Voter(self, node, self.disks[node])

    def crash_voter(self, node: NodeId) -> None:
        """Stop a voter without notice."""
        voter = self.voters.pop(node, None)
        if voter is not None:
            voter.alive = False

    def replace_disk(self, node: NodeId) -> None:
        """Replace the disk of a voter with an empty one."""
        name = Incarnation(f"{node}-disk-{self.next_number()}")
        self.disks[node] = Disk(name)

    def admitted_disk_count(self) -> int:
        """Number of voters whose disk is admitted, so that it counts for majorities."""
        return sum(disk.vote.admitted for disk in self.disks.values())

    def _reaches_majority(self, host: str) -> bool:
        counted = [n for n in self.voters if self.disks[n].vote.admitted]
        reachable = [n for n in counted if self.network.is_reachable_both_ways(host, n)]
        return any(
            one != other and self.network.is_reachable_both_ways(one, other)
            for one in reachable
            for other in reachable
        )

    def _record_connectivity(self) -> None:
        now = self.network.now
        self._disconnected &= self.balancers.keys()
        for name in self.balancers:
            # A process that stands still can't learn of anything either.
            is_frozen = self.network.frozen_until.get(name, 0.0) > now
            disconnected = is_frozen or not self._reaches_majority(name)
            if disconnected and name not in self._disconnected:
                self._disconnected.add(name)
                self.add(r.NodeDisconnected(now, name))
            elif not disconnected and name in self._disconnected:
                self._disconnected.discard(name)
                self.add(r.NodeReconnected(now, name))

    def leader(self) -> NodeId | None:
        """Voter that holds the leader lease, if any."""
        leaders = [name for name, voter in self.voters.items() if voter.is_leader]
        return leaders[0] if leaders else None

    # Balancers

    def start_balancer(self, name: NodeId, domain: FailureDomainId) -> None:
        """Start a balancer, for the first time or again."""
        if name in self.balancers:
            return
        self.domain_of[name] = domain
        self.add(r.NodeStarted(self.network.now, name, domain))
        self.balancers[name] = Balancer(self, name, domain)

    def stop_balancer(self, name: NodeId, planned: bool) -> None:
        """Stop a balancer.

        :param planned: whether it was stopped on request.
        """
        balancer = self.balancers.pop(name, None)
        if balancer is None:
            return
        balancer.alive = False
        balancer.stopped_at = self.network.now
        self._stopped.append(balancer)
        self.add(r.NodeStopped(self.network.now, name, planned))

    def stop_drained(self, balancer: BalancerProcess) -> None:
        """Stop a balancer that has completed its hand-over."""

        def stop() -> None:
            if self.balancers.get(balancer.name) is balancer:
                self.stop_balancer(balancer.name, True)

        self.network.call_later(1.0, stop)

    def busiest_home(self) -> NodeId:
        """Balancer, not draining, that is the home of most backend servers."""
        home_counts = {
            name: sum(home(b.state.homes, s) == name for s in self.backend_servers)
            for name, b in self.balancers.items()
            if b.state.cluster.nodes[name].state is not NodeState.DRAINING
        }
        return max(home_counts, key=lambda name: home_counts[name])

    # Fabric

    def reachable_balancers(
        self, host: str, domain: FailureDomainId | None = None
    ) -> list[Any]:
        """Balancers to which the fabric can send packets from a host."""
        now = self.network.now
        recently_stopped = [
            b for b in self._stopped if now - b.stopped_at < ROUTE_WITHDRAWAL_DELAY
        ]
        return [
            balancer
            for balancer in (*self.balancers.values(), *recently_stopped)
            if not self.network.is_blocked(host, balancer.name)
            and domain in (None, balancer.node.failure_domain)
        ]

    def send_via_fabric(self, host: str, packet: Packet) -> None:
        """Send a packet to a random balancer."""
        targets = self.reachable_balancers(host)
        if targets:
            balancer = self.network.random.choice(targets)
            self.network.send(
                host, balancer.name, lambda: self._deliver(balancer, packet)
            )

    def _deliver(self, balancer: Balancer, packet: Packet) -> None:
        if balancer.alive:
            balancer.receive(packet)

    def to_backend_server(
        self, via: BalancerProcess, target: Target, packet: Packet
    ) -> None:
        """Send a packet to the backend server at an address."""
        service = self.service_of(packet.event.flow)
        for server in self.backend_servers.values():
            address = f"{server.endpoint.address}"
            if address_number(address) == target.address and server.alive:
                self.network.send(
                    via.name, server.name, _delivery(server, packet, via, service)
                )

    def to_caller(self, via: BalancerProcess, packet: Packet) -> None:
        """Send an answer to the caller of its flow."""
        session = self.callers.sessions.get(packet.event.flow)
        if session is not None:
            self.network.send(
                via.name, session.host, lambda: self.callers.receive(packet)
            )

    def send_reset(self, via: BalancerProcess, packet: Packet) -> None:
        """Send a reset to the sender of a packet."""
        flow = packet.event.flow
        session = self.callers.sessions.get(flow)
        backend_server = getattr(packet.event, "backend_server", None)
        if backend_server is not None:
            server = self.backend_servers[backend_server]
            self.network.send(via.name, server.name, lambda: server.reset(flow))
        elif session is not None:
            self.network.send(
                via.name, session.host, lambda: self.callers.fail_flow(session)
            )

    def service_of(self, flow: FlowKey) -> ServiceId:
        """Service to which a flow was opened."""
        return self._service_at[key_fields(flow)[3]]

    def add_backend_server(
        self, name: str, service: ServiceId, domain: FailureDomainId, slots: int
    ) -> BackendServer:
        """Start a backend server."""
        number = len(self.backend_servers) + 1
        backend = BackendServerId(name)
        self.domain_of[name] = domain
        self.backend_servers[backend] = BackendServer(
            self, backend, service, domain, number, slots
        )
        return self.backend_servers[backend]


def failure_domains() -> tuple[FailureDomain, ...]:
    """The failure domains of a run."""
    return tuple(FailureDomain(name, RegionId("br")) for name in DOMAINS)


def _delivery(
    server: BackendServer, packet: Packet, via: BalancerProcess, service: ServiceId
) -> Callable[[], None]:
    return lambda: server.receive(packet, via, service) if server.alive else None
