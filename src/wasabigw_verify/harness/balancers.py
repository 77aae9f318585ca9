"""Balancers: the decisions of the product on the simulated network."""

from dataclasses import replace
from typing import Any

from wasabigw.core import backend_home, reachability
from wasabigw.core.buckets import bucket_of
from wasabigw.core.cluster import Endpoint, Node
from wasabigw.core.commands import ChangeRequest
from wasabigw.core.copying import copy_state
from wasabigw.core.flows import decisions as d
from wasabigw.core.flows import events as e
from wasabigw.core.flows.admission_port import HomeAdmission
from wasabigw.core.flows.diversion import apply_reachability
from wasabigw.core.flows.forwarding import Forwarding
from wasabigw.core.flows.handover import Handover
from wasabigw.core.flows.routing import handle
from wasabigw.core.flows.state import make_state
from wasabigw.core.flows.transfer import is_drained
from wasabigw.core.home_events import (
    AnnouncementReceived,
    HomeTick,
    ReplyToAnnouncement,
)
from wasabigw.core.ids import FailureDomainId, Incarnation, NodeId, Seconds
from wasabigw.core.log_messages import Announcement, AnnouncementAccepted, LogBatch
from wasabigw.core.timing import REFRESH_SAMPLE
from wasabigw.tasks.log_application import LogApplication
from wasabigw.tasks.messages import LogReceived
from wasabigw.tasks.packet_task import MAINTENANCE_PERIOD, PING_PERIOD
from wasabigw_verify.harness.control_clients import LogFollower, ReportSender
from wasabigw_verify.harness.environment import Environment
from wasabigw_verify.harness.packets import Packet
from wasabigw_verify.harness.steps import Step, StepParticipants
from wasabigw_verify.harness.voters import callback_mailbox

HANDOVER_ATTEMPTS = 3
HANDOVER_RETRY_INTERVAL = 1.0


class Balancer:
    """A running balancer."""

    def __init__(
        self, simulation: Environment, name: NodeId, domain: FailureDomainId
    ) -> None:
        self.simulation = simulation
        self.alive = True
        self.drained = False
        self.stopped_at = 0.0
        endpoint = Endpoint("127.0.0.1", 6081)
        incarnation = Incarnation(f"{name}-{simulation.next_number()}")
        self.node = Node(name, domain, endpoint, endpoint, incarnation)
        self.home = backend_home.make_home_state(name)
        self.state = make_state(name, domain, HomeAdmission(self.home))
        self._log = LogApplication(
            self.state, self.home, callback_mailbox(self._record_applied)
        )
        self.log_follower = LogFollower(simulation, self)
        self.reporter = ReportSender(simulation, self)
        self._packet_count = 0
        network = simulation.network
        network.call_every(name, self, MAINTENANCE_PERIOD, self._maintain)
        network.call_every(name, self, PING_PERIOD, self._send_pings)
        network.call_later(0.0, lambda: network.dispatch(name, self.log_follower.poll))

    @property
    def name(self) -> NodeId:
        """Id of the node."""
        return self.node.id

    @property
    def now(self) -> Seconds:
        """Time of the run."""
        return self.simulation.network.now

    # Log

    def apply_batch(self, batch: LogBatch, sent_at: Seconds) -> None:
        """Apply the answer to a log poll."""
        if batch.snapshot is not None:
            batch = replace(batch, snapshot=copy_state(batch.snapshot))
        if any(isinstance(entry.command, ChangeRequest) for entry in batch.entries):
            self.simulation.report_step(
                Step.CHANGE_APPLIED, StepParticipants(balancer=self.name)
            )
        if not self.alive:
            return
        for decision in self._log.apply(LogReceived(batch, sent_at), self.now):
            self._execute(decision, None)

    def _record_applied(self, _: Any) -> None:
        state = self.state
        if state.view.confirmed:
            self.simulation.record_applied(
                self.name, state.cluster.revision, state.cluster
            )

    # Timers

    def _maintain(self) -> None:
        decisions: list[Any] = [*backend_home.handle(HomeTick(self.now), self.home)]
        decisions += handle(e.TimerTick(self.now), self.state)
        for decision in decisions:
            self._execute(decision, None)
        if is_drained(self.state) and not self.drained:
            self.drained = True
            self.simulation.report_step(
                Step.HANDOVER_ENDED, StepParticipants(balancer=self.name)
            )
            self.simulation.stop_drained(self)

    def _send_pings(self) -> None:
        nodes = tuple(self.state.cluster.nodes.values())
        due = reachability.PingDue(
            nodes, self.simulation.network.random.random(), self.now
        )
        for ping in reachability.handle(due, self.state.reachability):
            self._send_ping(ping.node, ping.sequence)

    def _send_ping(self, to: NodeId, sequence: int) -> None:
        network = self.simulation.network

        def answer() -> None:
            if to in self.simulation.balancers:
                network.send(to, self.name, lambda: self._receive_ping_reply(sequence))

        network.send(self.name, to, answer)

    def _receive_ping_reply(self, sequence: int) -> None:
        answered = reachability.PingAnswered(sequence, self.now)
        reachability.handle(answered, self.state.reachability)
        apply_reachability(self.state, self.now)

    # Announcements

    def announce(self, announcement: Announcement) -> Any:
        """Handle an announcement and return the answer to the backend server."""
        received = AnnouncementReceived(announcement, self.now)
        outcome = None
        for decision in backend_home.handle(received, self.home):
            if isinstance(decision, ReplyToAnnouncement):
                outcome = decision.outcome
            else:
                self._execute(decision, None)
        if isinstance(outcome, AnnouncementAccepted):
            name, boot_id = announcement.id, announcement.boot_id
            handle(e.BackendServerRenewed(name, boot_id, self.now), self.state)
        return outcome

    # Packets

    def receive(self, packet: Packet) -> None:
        """Handle a packet from the fabric."""
        self.simulation.report_packet_step(packet, self)
        if not self.alive:
            return
        event = replace(packet.event, now=self.now)
        if isinstance(event, e.FlowData | e.AnswerData):
            self._packet_count += 1
            event = replace(event, sampled=self._packet_count % REFRESH_SAMPLE == 0)
        routed = event if self._is_routable(event) else e.UnknownDestination(self.now)
        for decision in handle(routed, self.state):
            self._execute(decision, Packet(event, packet.content))

    def receive_forwarded(
        self, sender: NodeId, forwarding: Forwarding, packet: Packet
    ) -> None:
        """Handle a packet that another balancer forwarded."""
        event = replace(packet.event, now=self.now)
        if not self.alive or not self._is_routable(event):
            return
        if sender not in self.state.cluster.nodes:
            return
        for decision in handle(e.Forwarded(sender, forwarding, event), self.state):
            self._execute(decision, Packet(event, packet.content))

    def _is_routable(self, event: e.CallerEvent | e.AnswerEvent) -> bool:
        if isinstance(event, e.FlowOpened | e.FlowData | e.FlowClosing):
            return event.service in self.state.routes.services
        return event.backend_server in self.state.routes.targets

    # Decisions

    def _execute(self, decision: Any, packet: Packet | None) -> None:
        match decision:
            case d.SendToBackend(target):
                assert packet is not None
                self.simulation.to_backend_server(self, target, packet)
            case d.ReturnToCaller():
                assert packet is not None
                self.simulation.to_caller(self, packet)
            case d.ForwardToNode(node, forwarding):
                assert packet is not None
                self._forward(node, forwarding, packet)
            case d.Refuse():
                assert packet is not None
                self.simulation.send_reset(self, packet)
            case d.Drop(reason):
                self.simulation.drops[reason] = self.simulation.drops.get(reason, 0) + 1
            case d.SendBinding(node):
                self._send_binding(node, decision)
            case d.SendReports(reports):
                self.reporter.add(reports)
            case d.SendHandover(node, handover):
                self.simulation.report_step(
                    Step.HANDOVER_BEGUN, StepParticipants(balancer=self.name)
                )
                self._hand_over(node, handover, HANDOVER_ATTEMPTS)
            case _:
                raise TypeError(f"unsupported decision type: {type(decision).__name__}")

    def _forward(self, node: NodeId, forwarding: Forwarding, packet: Packet) -> None:
        def deliver() -> None:
            other = self.simulation.balancers.get(node)
            if other is not None:
                other.receive_forwarded(self.name, forwarding, packet)

        self.simulation.network.send(self.name, node, deliver)

    def _send_binding(self, node: NodeId, sent: d.SendBinding) -> None:
        service = self.simulation.service_of(sent.flow)

        def deliver() -> None:
            other = self.simulation.balancers.get(node)
            if other is not None:
                binding = e.BindingReceived(
                    self.name,
                    sent.flow,
                    service,
                    sent.backend_index,
                    sent.lifetime,
                    other.now,
                )
                handle(binding, other.state)

        self.simulation.network.send(self.name, node, deliver)

    def _hand_over(self, node: NodeId, handover: Handover, attempts: int) -> None:
        acknowledged = False

        def acknowledge() -> None:
            nonlocal acknowledged
            acknowledged = True

        def deliver() -> None:
            other = self.simulation.balancers.get(node)
            if other is None:
                return
            handle(e.HandoverReceived(handover, other.now), other.state)
            self.simulation.network.send(node, self.name, acknowledge, True)

        def retry() -> None:
            self.simulation.network.close_connections(self.name, node)
            if not acknowledged and self.alive and attempts > 1:
                self._hand_over(node, handover, attempts - 1)

        self.simulation.network.send(self.name, node, deliver, True)
        self.simulation.network.call_later(HANDOVER_RETRY_INTERVAL, retry)

    def mapped_backend_server(self, packet: Packet) -> Any:
        """Backend server to which the bucket table of this balancer maps a flow."""
        service = self.simulation.service_of(packet.event.flow)
        table = self.state.cluster.buckets.get(service)
        return table.current[bucket_of(packet.event.flow)] if table else None
