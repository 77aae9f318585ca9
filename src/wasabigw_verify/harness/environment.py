"""Interfaces between the processes of a run and the simulation."""

from collections.abc import Mapping
from typing import Any, Protocol

from wasabigw.core.cluster import ClusterState, Node, Service
from wasabigw.core.flows.forwarding import Forwarding
from wasabigw.core.flows.state import BalancerState
from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import FailureDomainId, NodeId, Revision, Seconds, ServiceId
from wasabigw.core.log_messages import Announcement, LogBatch
from wasabigw.tasks.voter_calls import VoterMessage
from wasabigw_verify import record as r
from wasabigw_verify.harness.disks import Disk
from wasabigw_verify.harness.network import Network
from wasabigw_verify.harness.packets import Packet
from wasabigw_verify.harness.steps import Step, StepParticipants


class BalancerProcess(Protocol):
    """A running balancer."""

    alive: bool
    node: Node
    state: BalancerState

    @property
    def name(self) -> NodeId:
        """Id of the node."""

    @property
    def now(self) -> Seconds:
        """Time of the run."""

    def apply_batch(self, batch: LogBatch, sent_at: Seconds) -> None:
        """Apply the answer to a log poll."""

    def announce(self, announcement: Announcement) -> Any:
        """Handle an announcement and return the answer to the backend server."""

    def receive_forwarded(
        self, sender: NodeId, forwarding: Forwarding, packet: Packet
    ) -> None:
        """Handle a packet that another balancer forwarded."""

    def mapped_backend_server(self, packet: Packet) -> Any:
        """Backend server to which the bucket table of this balancer maps a flow."""


class VoterProcess(Protocol):
    """A running control voter."""

    def receive(self, message: VoterMessage) -> None:
        """Handle a message as the thread of the voter task does."""


class Environment(Protocol):
    """Simulation as seen by one process; implemented by :class:`Simulation`."""

    network: Network
    services: dict[ServiceId, Service]
    disks: dict[NodeId, Disk]
    drops: dict[Any, int]
    problems: list[str]

    @property
    def balancers(self) -> Mapping[NodeId, BalancerProcess]:
        """Running balancers."""

    @property
    def voters(self) -> Mapping[NodeId, VoterProcess]:
        """Running voters."""

    def next_number(self) -> int:
        """Number that is unique in the run."""

    def add(self, entry: r.Entry) -> None:
        """Append an entry to the record."""

    def report_step(self, step: Step, participants: StepParticipants) -> None:
        """Report that a process reached a step."""

    def report_proposal(self) -> None:
        """Report that a change reached a voter."""

    def report_packet_step(self, packet: Packet, balancer: BalancerProcess) -> None:
        """Report the step of a packet that reached its first balancer."""

    def record_applied(
        self, node: NodeId, revision: Revision, state: ClusterState
    ) -> None:
        """Record that a node applied the log up to a revision."""

    def crash_voter(self, node: NodeId) -> None:
        """Stop a voter without notice."""

    def stop_drained(self, balancer: BalancerProcess) -> None:
        """Stop a balancer that has completed its hand-over."""

    def reachable_balancers(
        self, host: str, domain: FailureDomainId | None = None
    ) -> list[Any]:
        """Balancers to which the fabric can send packets from a host."""

    def send_via_fabric(self, host: str, packet: Packet) -> None:
        """Send a packet to a random balancer."""

    def to_backend_server(
        self, via: BalancerProcess, target: Target, packet: Packet
    ) -> None:
        """Send a packet to the backend server at an address."""

    def to_caller(self, via: BalancerProcess, packet: Packet) -> None:
        """Send an answer to the caller of its flow."""

    def send_reset(self, via: BalancerProcess, packet: Packet) -> None:
        """Send a reset to the sender of a packet."""

    def service_of(self, flow: Any) -> ServiceId:
        """Service to which a flow was opened."""
