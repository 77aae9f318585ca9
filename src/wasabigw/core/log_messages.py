"""Messages between the leader, the balancers and the backend servers."""

from dataclasses import dataclass

from wasabigw.core.cluster import (
    NO_REVISION,
    Applied,
    ClusterState,
    Endpoint,
    Node,
    Refusal,
)
from wasabigw.core.commands import Command, Report
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    FailureDomainId,
    Incarnation,
    NodeId,
    RequestId,
    Revision,
    Seconds,
    ServiceId,
    Term,
)
from wasabigw.core.states import BackendServerState


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the replicated log."""

    revision: Revision
    term: Term
    command: Command


@dataclass(frozen=True, slots=True)
class LogPoll:
    """Request of a balancer for new entries; also serves as its heartbeat.

    :param applied: last revision that the balancer has applied.
    :param wait: how long the leader may hold the poll while there are no new entries.
    """

    node: Node
    applied: Revision
    wait: Seconds


@dataclass(frozen=True, slots=True)
class LogBatch:
    """Response to a poll: committed entries in order, or a snapshot and later entries.

    :param fresh_for: remaining time of the view lease when the response is sent; the
        lease starts at the leader's last contact with a majority.
    :param committed: last revision that the leader knows to be committed.
    :param settled: last revision that the leader has known to be committed for at
        least ``SETTLE_TIME``.
    """

    term: Term
    committed: Revision
    fresh_for: Seconds
    entries: tuple[LogEntry, ...] = ()
    snapshot: ClusterState | None = None
    settled: Revision = NO_REVISION


@dataclass(frozen=True, slots=True)
class NotLeader:
    """The voter can't answer with the current state.

    :param leader: API endpoint of the leader, if one is known.
    """

    leader: Endpoint | None


@dataclass(frozen=True, slots=True)
class ReportRequest:
    """Reports from a balancer.

    :param report_id: identical in every retry.
    """

    report_id: RequestId
    node: NodeId
    incarnation: Incarnation
    reports: tuple[Report, ...]


ChangeOutcome = Applied | Refusal | NotLeader


@dataclass(frozen=True, slots=True)
class NodeProgress:
    """Replication progress of a balancer.

    :param silent_for: seconds since its last poll.
    """

    node: NodeId
    failure_domain: FailureDomainId
    applied: Revision
    silent_for: Seconds
    in_force: bool


@dataclass(frozen=True, slots=True)
class InForce:
    """Whether a revision is in force on every registered balancer."""

    revision: Revision
    in_force: bool
    nodes: tuple[NodeProgress, ...]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load as reported by a backend server; it may be outdated or wrong."""

    open_connections: int = 0
    busy_slots: int = 0
    healthy: bool = True


@dataclass(frozen=True, slots=True)
class Announcement:
    """Request of a backend server to register or to renew its lease."""

    id: BackendServerId
    service: ServiceId
    failure_domain: FailureDomainId
    endpoint: Endpoint
    boot_id: BootId
    state: BackendServerState
    slots: int
    connections: int
    load: LoadReport = LoadReport()


@dataclass(frozen=True, slots=True)
class AnnouncementAccepted:
    """The home balancer of the backend server granted the lease."""

    lease: Seconds
    home: NodeId


@dataclass(frozen=True, slots=True)
class AnnouncementRedirected:
    """Another balancer is the home balancer and must get the announcement."""

    home: NodeId
    api: Endpoint


@dataclass(frozen=True, slots=True)
class AnnouncementRefused:
    """The announcement was refused.

    :param message: description of the problem and how to correct it.
    :param retry_after: seconds until a retry may succeed; ``None`` if none can.
    """

    message: str
    retry_after: Seconds | None


AnnouncementOutcome = (
    AnnouncementAccepted | AnnouncementRedirected | AnnouncementRefused
)


@dataclass(frozen=True, slots=True)
class BootAnnouncement:
    """Announcement of a backend server that is addressed by its tag.

    :param started_at: start time of the boot in Unix milliseconds of its own clock.
    :param cold_for: remaining time of the cold start, in which it takes few new flows.
    :param sequence: increases with each announcement of a boot.
    """

    id: BackendServerId
    service: ServiceId
    failure_domain: FailureDomainId
    endpoint: Endpoint
    started_at: int
    slots: int
    draining: bool
    cold_for: Seconds
    sequence: int


@dataclass(frozen=True, slots=True)
class BootDeparture:
    """A backend server that is addressed by its tag announces its shutdown."""

    id: BackendServerId


@dataclass(frozen=True, slots=True)
class RegistrationBatch:
    """Calls of backend servers that another control VM forwards to the leader."""

    announcements: tuple[BootAnnouncement, ...] = ()
    departures: tuple[BootDeparture, ...] = ()
