"""What the parts of a run see of each other and of the simulation round them."""

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
        """Answer to a backend server."""

    def receive_forwarded(
        self, sender: NodeId, forwarding: Forwarding, packet: Packet
    ) -> None:
        """Decide on a packet from another balancer."""

    def mapped_backend_server(self, packet: Packet) -> Any:
        """Backend server to which the tables of this balancer map a flow."""


class VoterProcess(Protocol):
    """A running control voter."""

    def receive(self, message: VoterMessage) -> None:
        """Handle a message as the thread of the task does."""


class Environment(Protocol):
    """State of a run outside one process; :class:`Simulation` is one."""

    network: Network
    services: dict[ServiceId, Service]
    disks: dict[NodeId, Disk]
    drops: dict[Any, int]
    problems: list[str]

    @property
    def balancers(self) -> Mapping[NodeId, BalancerProcess]:
        """Those that run."""

    @property
    def voters(self) -> Mapping[NodeId, VoterProcess]:
        """Those that run."""

    def next_number(self) -> int:
        """Number that no other thing of the run has."""

    def add(self, entry: r.Entry) -> None:
        """Add to the record."""

    def report_step(self, step: Step, participants: StepParticipants) -> None:
        """Report a step."""

    def report_proposal(self) -> None:
        """Report that a change is proposed."""

    def report_packet_step(self, packet: Packet, balancer: BalancerProcess) -> None:
        """A packet reached its first balancer."""

    def record_applied(
        self, node: NodeId, revision: Revision, state: ClusterState
    ) -> None:
        """Record what a node has applied."""

    def crash_voter(self, node: NodeId) -> None:
        """End a voter at once."""

    def stop_drained(self, balancer: BalancerProcess) -> None:
        """Stop a balancer that has handed everything over."""

    def reachable_balancers(
        self, host: str, domain: FailureDomainId | None = None
    ) -> list[Any]:
        """Balancers to which the fabric sends what comes from a place."""

    def send_via_fabric(self, host: str, packet: Packet) -> None:
        """Send a packet to any balancer."""

    def to_backend_server(
        self, via: BalancerProcess, target: Target, packet: Packet
    ) -> None:
        """Send a packet to the backend server at an address."""

    def to_caller(self, via: BalancerProcess, packet: Packet) -> None:
        """Send an answer to its caller."""

    def send_reset(self, via: BalancerProcess, packet: Packet) -> None:
        """Send a reset to the sender of a packet."""

    def service_of(self, flow: Any) -> ServiceId:
        """Service that a flow was opened to."""
