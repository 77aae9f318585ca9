"""Messages between the leader, the balancers that follow the log, and homes."""

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
    """A balancer asks for entries after a revision; also its heartbeat.

    :param applied: last revision that it has applied.
    :param wait: how long the leader may hold the poll if there is nothing new.
    """

    node: Node
    applied: Revision
    wait: Seconds


@dataclass(frozen=True, slots=True)
class LogBatch:
    """Answer to a poll: committed entries in order, or a snapshot before them.

    :param fresh_for: rest of the view lease at the time of the answer, counted
        from the leader's last contact with a majority.
    :param committed: last committed revision that the leader knows.
    :param settled: last revision that the leader has known to be committed for
        ``SETTLE_TIME``.
    """

    term: Term
    committed: Revision
    fresh_for: Seconds
    entries: tuple[LogEntry, ...] = ()
    snapshot: ClusterState | None = None
    settled: Revision = NO_REVISION


@dataclass(frozen=True, slots=True)
class NotLeader:
    """The voter can't answer as current.

    :param leader: API endpoint of the leader, if one is known.
    """

    leader: Endpoint | None


@dataclass(frozen=True, slots=True)
class ReportRequest:
    """Reports of a balancer.

    :param report_id: the same for each repetition.
    """

    report_id: RequestId
    node: NodeId
    incarnation: Incarnation
    reports: tuple[Report, ...]


ChangeOutcome = Applied | Refusal | NotLeader


@dataclass(frozen=True, slots=True)
class NodeProgress:
    """How far a balancer has applied the log.

    :param silent_for: seconds since its last poll.
    """

    node: NodeId
    failure_domain: FailureDomainId
    applied: Revision
    silent_for: Seconds
    in_force: bool


@dataclass(frozen=True, slots=True)
class InForce:
    """Whether a revision is in force on every balancer that is alive."""

    revision: Revision
    in_force: bool
    nodes: tuple[NodeProgress, ...]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a backend server says of its own load; it may lag or mislead."""

    open_connections: int = 0
    busy_slots: int = 0
    healthy: bool = True


@dataclass(frozen=True, slots=True)
class Announcement:
    """A backend server announces itself or renews its lease."""

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
    """The lease was granted by the home of the backend server."""

    lease: Seconds
    home: NodeId


@dataclass(frozen=True, slots=True)
class AnnouncementRedirected:
    """Another balancer is the home; announce there."""

    home: NodeId
    api: Endpoint


@dataclass(frozen=True, slots=True)
class AnnouncementRefused:
    """The announcement was not accepted.

    :param message: what was wrong and what to do.
    :param retry_after: seconds until another try can help; ``None`` if none can.
    """

    message: str
    retry_after: Seconds | None


AnnouncementOutcome = (
    AnnouncementAccepted | AnnouncementRedirected | AnnouncementRefused
)


@dataclass(frozen=True, slots=True)
class BootAnnouncement:
    """A backend server that is reached by its tag announces itself.

    :param started_at: start of the boot in Unix milliseconds of its own clock.
    :param cold_for: how long it bears only a few new flows from now on.
    :param sequence: grows with each announcement of a boot.
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
    """A backend server that is reached by its tag says that it ends now."""

    id: BackendServerId


@dataclass(frozen=True, slots=True)
class RegistrationBatch:
    """Calls of backend servers that another control VM passes to the leader."""

    announcements: tuple[BootAnnouncement, ...] = ()
    departures: tuple[BootDeparture, ...] = ()
