"""Messages that carry load figures between tasks."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.load.figures import LoadReport, LoadSums
from wasabigw.core.load.table import ArrivedBalancer
from wasabigw.runtime.mailbox import Mailbox


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A report to send with the next poll.

    :param made_at: when its figures were counted.
    """

    report: LoadReport
    made_at: Seconds


@dataclass(frozen=True, slots=True)
class ReportLoadTo:
    """Tells the packet task who sends its reports."""

    mailbox: Mailbox[Any]


class SumsOutcome(Enum):
    """What a source returned for a report."""

    RECEIVED = "received"
    ABSENT = "absent"
    """None; the source has none yet, or is of an earlier version."""
    MALFORMED = "malformed"
    NO_RESPONSE = "no response"


@dataclass(frozen=True, slots=True)
class ReportAnswered:
    """A poll with a report has ended.

    :param sums: sums of the other balancers, if received.
    :param received_at: when the response was received.
    :param size: bytes of the report and of the sums, as encoded.
    """

    outcome: SumsOutcome
    received_at: Seconds
    size: int
    sums: LoadSums | None = None


@dataclass(frozen=True, slots=True)
class ExchangeLoadThrough:
    """Tells the relay task who asks other relays for their sums."""

    mailbox: Mailbox[Any]


@dataclass(frozen=True, slots=True)
class PollPeers:
    """Asks other relays for their sums once.

    :param at: when the round was requested.
    :param arrived: balancers that may have reported to one of them before.
    """

    peers: tuple[Endpoint, ...]
    at: Seconds
    arrived: tuple[ArrivedBalancer, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Sums of the reports that another relay received directly.

    :param size: bytes of the request and of the response.
    """

    peer: Endpoint
    sums: LoadSums
    received_at: Seconds
    size: int
