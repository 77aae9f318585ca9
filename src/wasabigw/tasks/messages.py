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
    """The leader answered a log poll.

    :param sent_at: when the poll was sent, by the clock of this process.
    """

    batch: LogBatch
    sent_at: Seconds


@dataclass(frozen=True, slots=True)
class AppliedRevision:
    """The packet task has handled a log batch and is at this revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class AnnouncementRequest:
    """A backend server announces itself through the HTTP server."""

    announcement: Announcement
    reply: Mailbox[AnnouncementOutcome]


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Asks for the state of this balancer."""

    reply: Mailbox["BalancerStatus"]


@dataclass(frozen=True, slots=True)
class FlowRequest:
    """Asks which way the packets of a flow take."""

    protocol: Protocol
    caller: Endpoint
    service: Endpoint
    reply: Mailbox["FlowPath | FlowUnknown"]


@dataclass(frozen=True, slots=True)
class HandoverRequest:
    """A draining balancer hands over records."""

    handover: Handover
    reply: Mailbox["HandoverTaken"]


@dataclass(frozen=True, slots=True)
class HandoverTaken:
    """The records were taken over, as far as this balancer is their new home."""

    backend_server: BackendServerId


@dataclass(frozen=True, slots=True)
class LocalOutRequest:
    """Takes the failure domain of this balancer out of service here."""

    reply: Mailbox["LocalOutDone"]


@dataclass(frozen=True, slots=True)
class LocalOutDone:
    """The balancer sends nothing more to its failure domain."""

    failure_domain: FailureDomainId


@dataclass(frozen=True, slots=True)
class HandoverOut:
    """Records to send to the API of another balancer."""

    to: Endpoint
    handover: Handover


class PacketDropReason(Enum):
    """Why a packet was dropped before a decision about its flow, or after it."""

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

    :param direct: decided by the tables of this balancer alone.
    :param dropped: by reason, also the causes of malformed packets.
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

    :param drained: it drains and has handed over all records.
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
    """What a balancer knows of a flow.

    :param recorded: backend server in its records, as a home or a backup.
    :param cached: backend server that a home has told it.
    """

    service: ServiceId
    bucket: BucketNumber
    candidates: tuple[FlowCandidate, ...]
    recorded: BackendServerId | None
    cached: BackendServerId | None


@dataclass(frozen=True, slots=True)
class FlowUnknown:
    """There is no such service at this balancer."""

    message: str


@dataclass(frozen=True, slots=True)
class HopSpan:
    """One hop of a traced packet.

    :param started: nanoseconds since the epoch.
    :param outcome: decision of this hop and its reason, if it has one.
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
