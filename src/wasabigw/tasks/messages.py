"""Messages between the tasks of a balancer."""

from dataclasses import dataclass
from typing import Any

from wasabigw.core.cluster import Endpoint
from wasabigw.core.commands import Report
from wasabigw.core.ids import FailureDomainId, Revision, Seconds
from wasabigw.core.log_messages import Announcement, AnnouncementOutcome, LogBatch
from wasabigw.core.states import Protocol
from wasabigw.runtime.mailbox import Mailbox


@dataclass(frozen=True, slots=True)
class LogReceived:
    """The leader answered a log poll.

    :param sent_at: when the poll was sent; the view lease counts from there.
    """

    batch: LogBatch
    sent_at: Seconds


@dataclass(frozen=True, slots=True)
class AppliedRevision:
    """The packet task has handled a log batch and is at this revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class SendReports:
    """Reports for the leader."""

    reports: tuple[Report, ...]


@dataclass(frozen=True, slots=True)
class AnnouncementRequest:
    """A backend server announces itself."""

    announcement: Announcement
    reply: Mailbox[AnnouncementOutcome]


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Asks for the status; the reply is a dataclass."""

    reply: Mailbox[Any]


@dataclass(frozen=True, slots=True)
class FlowRequest:
    """Asks which way a flow takes; the reply is a dataclass."""

    protocol: Protocol
    caller: Endpoint
    service: Endpoint
    reply: Mailbox[Any]


@dataclass(frozen=True, slots=True)
class HandoverRequest:
    """Records of a balancer that drains; the reply is a dataclass."""

    handover: Any
    reply: Mailbox[Any]


@dataclass(frozen=True, slots=True)
class LocalOutRequest:
    """Takes the failure domain of this balancer out of service here."""

    reply: Mailbox["LocalOutDone"]


@dataclass(frozen=True, slots=True)
class LocalOutDone:
    """The balancer sends nothing more to its failure domain."""

    failure_domain: FailureDomainId
