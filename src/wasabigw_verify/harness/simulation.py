"""All processes of a run, what happens between them, and the record."""

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
from wasabigw_verify.harness.disks import Disk, founding_disks
from wasabigw_verify.harness.network import Network
from wasabigw_verify.harness.packets import Packet
from wasabigw_verify.harness.steps import Focus, Step
from wasabigw_verify.harness.surroundings import BalancerProcess
from wasabigw_verify.harness.voters import Voter

DOMAINS = tuple(FailureDomainId(name) for name in ("recife", "fortaleza", "salvador"))
SEATS, COURSES = ServiceId("seats"), ServiceId("courses")
VOTERS = tuple(NodeId(f"voter-{letter}") for letter in "abc")
FABRIC_LAG = 1.0
"""Seconds for which the fabric still sends packets to a balancer that is gone."""
CONTACT_INTERVAL = 0.1
"""Seconds between two checks of which balancers reach a majority of the voters."""
DIGEST_INTERVAL = 8
"""Each so many revisions, the copies of all nodes are compared."""

StepHandler = Callable[[Step, Focus], None]


def make_services() -> dict[ServiceId, Service]:
    """One service of short requests with slots, one of long flows."""
    limits = {SEATS: FlowLimit.SLOTS, COURSES: FlowLimit.CONNECTIONS}
    return {
        name: Service(
            name, Endpoint(f"10.0.0.{number}", 80), Protocol.TCP, DOMAINS, limits[name]
        )
        for number, name in enumerate(limits, 1)
    }


class Simulation:
    """State of a run outside the processes.

    :param on_step: told of each step before it takes effect.
    :param services: served ones; those of :func:`make_services` if ``None``.
    :param problems: what went wrong and no promise speaks of.
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
        self.disks: dict[NodeId, Disk] = founding_disks(VOTERS)
        self.voters: dict[NodeId, Voter] = {}
        self.balancers: dict[NodeId, Balancer] = {}
        self.backend_servers: dict[BackendServerId, BackendServer] = {}
        self.drops: dict[Any, int] = {}
        self.problems: list[str] = []
        self.domain_of: dict[str, FailureDomainId] = dict(
            zip(VOTERS, domains, strict=True)
        )
        self._on_step = on_step
        self._number = 0
        self.callers = Callers(self)
        self._gone: list[Balancer] = []
        self._cut_off: set[NodeId] = set()
        self.network.every("observer", self, CONTACT_INTERVAL, self._note_contact)
        for domain in domains:
            self.domain_of[f"callers-{domain}"] = domain

    def next_number(self) -> int:
        """Number that no other thing of the run has."""
        self._number += 1
        return self._number

    def add(self, entry: r.Entry) -> None:
        """Add to the record."""
        self.record.append(entry)

    def places(self, domain: FailureDomainId) -> frozenset[str]:
        """Everything in a failure domain."""
        return frozenset(p for p, where in self.domain_of.items() if where == domain)

    # Steps

    def reached(self, step: Step, focus: Focus) -> None:
        """A process reached a step."""
        self._on_step(step, focus)

    def reached_proposal(self) -> None:
        """A change reached a voter."""
        leader = self.leader()
        self.reached(Step.CHANGE_PROPOSED, Focus(voter=leader))

    def note_packet_step(self, packet: Packet, balancer: BalancerProcess) -> None:
        """A packet reached its first balancer."""
        event = packet.event
        backend_server = getattr(event, "backend_server", None)
        if backend_server is None:
            session = self.callers.sessions.get(event.flow)
            backend_server = session.backend_server if session else None
        focus = Focus(
            balancer.name, None, backend_server or balancer.current_of(packet)
        )
        match event:
            case e.FlowOpened():
                self.reached(Step.FLOW_OPENING, focus)
            case e.FlowData():
                self.reached(Step.REQUEST_SENT, focus)
            case e.AnswerData():
                self.reached(Step.ANSWER_UNDER_WAY, focus)
            case e.FlowClosing():
                self.reached(Step.FLOW_CLOSING, focus)

    def note_applied(
        self, node: NodeId, revision: Revision, state: ClusterState
    ) -> None:
        """Record what a node has applied."""
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
        """End a voter at once."""
        voter = self.voters.pop(node, None)
        if voter is not None:
            voter.alive = False

    def empty_disk(self, node: NodeId) -> None:
        """Replace the disk of a voter by an empty one."""
        name = Incarnation(f"{node}-disk-{self.next_number()}")
        self.disks[node] = Disk(name)

    def admitted_disks(self) -> int:
        """Voters that still have what they acknowledged."""
        return sum(disk.vote.admitted for disk in self.disks.values())

    def _reaches_majority(self, place: str) -> bool:
        counted = [n for n in self.voters if self.disks[n].vote.admitted]
        reached = [n for n in counted if self.network.is_joined(place, n)]
        return any(
            one != other and self.network.is_joined(one, other)
            for one in reached
            for other in reached
        )

    def _note_contact(self) -> None:
        now = self.network.now
        self._cut_off &= self.balancers.keys()
        for name in self.balancers:
            # A process that stands still can't learn of anything either.
            is_frozen = self.network.frozen.get(name, 0.0) > now
            cut = is_frozen or not self._reaches_majority(name)
            if cut and name not in self._cut_off:
                self._cut_off.add(name)
                self.add(r.NodeCutOff(now, name))
            elif not cut and name in self._cut_off:
                self._cut_off.discard(name)
                self.add(r.NodeReconnected(now, name))

    def leader(self) -> NodeId | None:
        """Voter that may answer as the leader."""
        found = [name for name, voter in self.voters.items() if voter.is_leader]
        return found[0] if found else None

    # Balancers

    def start_balancer(self, name: NodeId, domain: FailureDomainId) -> None:
        """Start a balancer, for the first time or again."""
        if name in self.balancers:
            return
        self.domain_of[name] = domain
        self.add(r.NodeStarted(self.network.now, name, domain))
        self.balancers[name] = Balancer(self, name, domain)

    def stop_balancer(self, name: NodeId, planned: bool) -> None:
        """End a balancer."""
        balancer = self.balancers.pop(name, None)
        if balancer is None:
            return
        balancer.alive = False
        balancer.died_at = self.network.now
        self._gone.append(balancer)
        self.add(r.NodeStopped(self.network.now, name, planned))

    def stop_drained(self, balancer: BalancerProcess) -> None:
        """Stop a balancer that has handed everything over."""

        def stop() -> None:
            if self.balancers.get(balancer.name) is balancer:
                self.stop_balancer(balancer.name, True)

        self.network.call_later(1.0, stop)

    def busiest_home(self) -> NodeId:
        """Balancer that does not drain and is the home of most backend servers."""
        found = {
            name: sum(home(b.state.homes, s) == name for s in self.backend_servers)
            for name, b in self.balancers.items()
            if b.state.cluster.nodes[name].state is not NodeState.DRAINING
        }
        return max(found, key=lambda name: found[name])

    # Fabric

    def fabric_of(self, place: str, domain: FailureDomainId | None = None) -> list[Any]:
        """Balancers to which the fabric sends what comes from a place."""
        now = self.network.now
        gone = [b for b in self._gone if now - b.died_at < FABRIC_LAG]
        return [
            balancer
            for balancer in (*self.balancers.values(), *gone)
            if not self.network.is_cut(place, balancer.name)
            and domain in (None, balancer.node.failure_domain)
        ]

    def spray(self, place: str, packet: Packet) -> None:
        """Send a packet to any balancer."""
        found = self.fabric_of(place)
        if found:
            balancer = self.network.random.choice(found)
            self.network.send(
                place, balancer.name, lambda: self._arrive(balancer, packet)
            )

    def _arrive(self, balancer: Balancer, packet: Packet) -> None:
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
                    via.name, server.name, _receive(server, packet, via, service)
                )

    def to_caller(self, via: BalancerProcess, packet: Packet) -> None:
        """Send an answer to its caller."""
        session = self.callers.sessions.get(packet.event.flow)
        if session is not None:
            self.network.send(
                via.name, session.place, lambda: self.callers.receive(packet)
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
                via.name, session.place, lambda: self.callers.lose(session)
            )

    def service_of(self, flow: FlowKey) -> ServiceId:
        """Service that a flow was opened to."""
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


def _receive(
    server: BackendServer, packet: Packet, via: BalancerProcess, service: ServiceId
) -> Callable[[], None]:
    return lambda: server.receive(packet, via, service) if server.alive else None
