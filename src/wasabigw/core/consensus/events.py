"""Events that a voter handles.

``jitter`` is a uniform random number in [0, 1) that randomizes the election timeout.
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
    """A request or an answer from another voter was received."""

    envelope: Envelope
    now: Seconds
    jitter: float


@dataclass(frozen=True, slots=True)
class Proposed:
    """Commands to append together; ignored unless this voter is the leader."""

    commands: tuple[Command, ...]
    now: Seconds


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The owner of the replicated state has taken a snapshot of it."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class SeedsChanged:
    """The control VMs that the settings name have changed.

    :param seeds: all control VMs that they name, except for this one.
    """

    seeds: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process is to stop; ``StopReady`` tells when it may."""

    now: Seconds


VoterEvent = (
    ClockTick
    | EnvelopeReceived
    | Proposed
    | SnapshotTaken
    | SeedsChanged
    | StopRequested
)
