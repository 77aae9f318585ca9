"""Events that the voter decides on.

``jitter`` is a uniform random number in [0, 1) from which election timeouts are
computed.
"""

from dataclasses import dataclass

from wasabigw.core.commands import Command
from wasabigw.core.consensus.messages import Envelope, Snapshot
from wasabigw.core.ids import NodeId, Seconds


@dataclass(frozen=True, slots=True)
class ClockTick:
    """Time has passed."""

    now: Seconds
    jitter: float


@dataclass(frozen=True, slots=True)
class EnvelopeReceived:
    """A request or an answer of another voter arrived."""

    envelope: Envelope
    now: Seconds
    jitter: float


@dataclass(frozen=True, slots=True)
class Proposed:
    """Commands to append together; only a leader accepts them."""

    commands: tuple[Command, ...]
    now: Seconds


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The owner of the replicated state made a snapshot of it."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class SeedsChanged:
    """The settings name other control VMs than before.

    :param seeds: all that they name, without this one.
    """

    seeds: tuple[NodeId, ...]


VoterEvent = ClockTick | EnvelopeReceived | Proposed | SnapshotTaken | SeedsChanged
