"""Messages between the tasks of a balancer."""

from dataclasses import dataclass
from enum import Enum

from wasabigw.core.cluster import Endpoint
from wasabigw.core.flows.handover import Handover
from wasabigw.core.home_events import SendReports as SendReports
from wasabigw.core.ids import (
    BackendServerId,
    BucketNumber,
    FailureDomainId,
    NodeId,
    Revision,
    Seconds,
    ServiceId,
)
from wasabigw.core.log_messages import Announcement, AnnouncementOutcome, LogBatch
from wasabigw.core.states import CandidateReason, Protocol
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import Tick


@dataclass(frozen=True, slots=True)
class LogReceived:
    """A log poll was answered.

    :param sent_at: when the poll was sent, by the clock of this process.
    """

    batch: LogBatch
    sent_at: Seconds


@dataclass(frozen=True, slots=True)
class AppliedRevision:
    """The packet task has applied a log batch and is at this revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class BeginDrain:
    """The process will stop: register as draining with the next poll."""


@dataclass(frozen=True, slots=True)
class AnnouncementRequest:
    """Request to handle the announcement of a backend server."""

    announcement: Announcement
    reply: Mailbox[AnnouncementOutcome]


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Request for the state of this balancer."""

    reply: Mailbox["BalancerStatus"]


@dataclass(frozen=True, slots=True)
class FlowRequest:
    """Request for the path of a flow."""

    protocol: Protocol
    caller: Endpoint
    service: Endpoint
    reply: Mailbox["FlowPath | FlowUnknown"]


@dataclass(frozen=True, slots=True)
class HandoverRequest:
    """Request to take over flow records from a draining balancer."""

    handover: Handover
    reply: Mailbox["HandoverTaken"]


@dataclass(frozen=True, slots=True)
class HandoverTaken:
    """The flow records whose new home is this balancer were taken over."""

    backend_server: BackendServerId


@dataclass(frozen=True, slots=True)
class LocalOutRequest:
    """Request to take the failure domain of this balancer out of service locally."""

    reply: Mailbox["LocalOutDone"]


@dataclass(frozen=True, slots=True)
class LocalOutDone:
    """The balancer no longer sends packets to its failure domain."""

    failure_domain: FailureDomainId


@dataclass(frozen=True, slots=True)
class SendHandoverRequest:
    """Flow records to be sent to the API of another balancer."""

    to: Endpoint
    handover: Handover


class PacketDropReason(Enum):
    """Why the packet task dropped a packet, other than by a decision on its flow."""

    TTL_EXPIRED = "ttl-expired"
    FRAGMENT = "fragment"
    ICMP_ECHO = "icmp-echo"
    ICMP_OF_UNKNOWN_FLOW = "icmp-of-unknown-flow"
    CONTRADICTORY_FLAGS = "contradictory-flags"
    UNKNOWN_SENDER = "unknown-sender"
    UNKNOWN_NODE = "unknown-node"
    SEND_FAILED = "send-failed"


@dataclass(frozen=True, slots=True)
class PacketCounts:
    """Packets since the process started.

    :param direct: packets that the fast path rewrote and sent.
    :param refused: refused packets by reason.
    :param dropped: dropped packets by reason, including the causes of malformed ones.
    """

    received: int
    direct: int
    to_backend: int
    to_caller: int
    forwarded: int
    bindings_sent: int
    refused: dict[str, int]
    dropped: dict[str, int]


@dataclass(frozen=True, slots=True)
class BalancerStatus:
    """State of a balancer.

    :param fresh: whether the view lease has not expired.
    :param drained: whether it is draining and has handed over all flow records.
    :param records: number of flow records.
    :param homes: number of backend servers whose home it is.
    :param out_locally: failure domains taken out of service at this balancer only.
    :param unreachable: failure domains that do not answer pings.
    """

    node: NodeId
    revision: Revision
    fresh: bool
    drained: bool
    records: int
    cached_bindings: int
    homes: int
    out_locally: tuple[FailureDomainId, ...]
    unreachable: tuple[FailureDomainId, ...]
    packets: PacketCounts


@dataclass(frozen=True, slots=True)
class FlowCandidate:
    """A backend server that may hold a flow.

    :param reason: ``None`` for the current candidate.
    """

    backend_server: BackendServerId
    reason: CandidateReason | None
    home: NodeId | None


@dataclass(frozen=True, slots=True)
class FlowPath:
    """Path of the packets of a flow, as seen by a balancer.

    :param recorded: backend server in its flow records, which it has as a home or as a
        backup.
    :param cached: backend server in its binding cache.
    """

    service: ServiceId
    bucket: BucketNumber
    candidates: tuple[FlowCandidate, ...]
    recorded: BackendServerId | None
    cached: BackendServerId | None


@dataclass(frozen=True, slots=True)
class FlowUnknown:
    """The service of the flow is unknown at this balancer."""

    message: str


@dataclass(frozen=True, slots=True)
class HopSpan:
    """One hop of a traced packet.

    :param started: nanoseconds since the epoch, like ``ended``.
    :param outcome: class name of the decision at this hop.
    :param reason: reason of the decision, if it has one.
    """

    trace_id: bytes
    span_id: bytes
    parent_span_id: bytes | None
    node: NodeId
    started: int
    ended: int
    outcome: str
    reason: str | None = None


PacketTaskMessage = (
    LogReceived
    | AnnouncementRequest
    | StatusRequest
    | FlowRequest
    | HandoverRequest
    | LocalOutRequest
    | Tick
)
