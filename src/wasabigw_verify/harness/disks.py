"""Simulated disks of control voters."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from wasabigw.core.cluster import ClusterState
from wasabigw.core.consensus.effects import VoteRecord
from wasabigw.core.consensus.messages import NO_TERM, Snapshot
from wasabigw.core.ids import Incarnation, NodeId, Revision, Term
from wasabigw.core.log_messages import LogEntry


class WriteFault(Enum):
    """Fault of the next write; the process crashes with it."""

    TORN = "torn"
    NOT_SYNCED = "not-synced"


@dataclass(slots=True)
class Disk:
    """Durable state of a voter.

    :param is_full: whether writes fail, while the process goes on.
    """

    incarnation: Incarnation
    vote: VoteRecord = field(default_factory=VoteRecord)
    snapshot: Snapshot = field(
        default_factory=lambda: Snapshot(Revision(0), NO_TERM, ClusterState())
    )
    entries: list[LogEntry] = field(default_factory=list)
    fault: WriteFault | None = None
    is_full: bool = False


def make_initial_disks(names: Sequence[NodeId]) -> dict[NodeId, Disk]:
    """Disks of voters that are all admitted, with an empty log."""
    incarnations = {name: Incarnation(f"{name}-disk-1") for name in names}
    state = ClusterState(revision=Revision(1), voters=incarnations)
    snapshot = Snapshot(Revision(1), Term(1), state)
    vote = VoteRecord(Term(1), admitted=True)
    return {
        n: Disk(incarnation, vote, snapshot) for n, incarnation in incarnations.items()
    }
