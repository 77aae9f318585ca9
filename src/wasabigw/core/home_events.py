"""Events that a home of backend servers handles, and its decisions."""

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
    """Open flows counted by this node or handed over by the previous home.

    :param overflow_flows: open flows that were passed to OVERFLOW candidates.
    """

    backend_server: BackendServerId
    open_flows: int
    overflow_flows: int


HomeEvent = AnnouncementReceived | HomeTick | HomesChanged | FlowsCounted


@dataclass(frozen=True, slots=True)
class ReplyToAnnouncement:
    """Reply to the announcing backend server."""

    outcome: AnnouncementOutcome


@dataclass(frozen=True, slots=True)
class SendReports:
    """Send reports to the leader."""

    reports: tuple[Report, ...]


HomeDecision = ReplyToAnnouncement | SendReports
