"""Events and decisions of the home of backend servers."""

from dataclasses import dataclass

from wasabigw.core.cluster import ClusterState
from wasabigw.core.commands import Report
from wasabigw.core.ids import BackendServerId, Seconds
from wasabigw.core.log_messages import Announcement, AnnouncementOutcome


@dataclass(frozen=True, slots=True)
class AnnouncementReceived:
    """A backend server announced itself to this node."""

    announcement: Announcement
    now: Seconds


@dataclass(frozen=True, slots=True)
class HomeTick:
    """Time has passed."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class HomesChanged:
    """The node's copy of the replicated state advanced."""

    cluster: ClusterState
    now: Seconds


@dataclass(frozen=True, slots=True)
class FlowsCounted:
    """Open flows by the records of this node or handed over by the last home.

    :param overflow_flows: those that were passed to OVERFLOW candidates.
    """

    backend_server: BackendServerId
    open_flows: int
    overflow_flows: int


HomeEvent = AnnouncementReceived | HomeTick | HomesChanged | FlowsCounted


@dataclass(frozen=True, slots=True)
class ReplyToAnnouncement:
    """Answer to the backend server."""

    outcome: AnnouncementOutcome


@dataclass(frozen=True, slots=True)
class SendReports:
    """Reports for the leader."""

    reports: tuple[Report, ...]


HomeDecision = ReplyToAnnouncement | SendReports
