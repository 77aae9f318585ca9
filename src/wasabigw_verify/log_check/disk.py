"""Durable state of a voter, as an immutable value."""

from dataclasses import dataclass, replace

from wasabigw.core.cluster import ClusterState, VoterPlace
from wasabigw.core.consensus.effects import VoteRecord
from wasabigw.core.consensus.messages import NO_TERM, Snapshot
from wasabigw.core.ids import Incarnation, NodeId, Revision, Term
from wasabigw.core.log_messages import LogEntry

FIRST_REVISION = Revision(1)
"""Revision of the snapshot that the founders write."""
FOUNDING_TERM = Term(1)
"""Term of that snapshot."""


@dataclass(frozen=True, slots=True)
class Disk:
    """Contents of a data directory."""

    incarnation: Incarnation
    vote: VoteRecord
    snapshot: Snapshot
    entries: tuple[LogEntry, ...] = ()

    @property
    def last_revision(self) -> Revision:
        """Revision of the last entry, or of the snapshot."""
        return self.entries[-1].revision if self.entries else self.snapshot.revision

    def save_vote(self, record: VoteRecord) -> "Disk":
        """Disk with another vote record."""
        return replace(self, vote=record)

    def append(self, entries: tuple[LogEntry, ...]) -> "Disk":
        """Disk whose log is replaced from the first of the entries on."""
        first = entries[0].revision
        kept = tuple(entry for entry in self.entries if entry.revision < first)
        return replace(self, entries=kept + entries)

    def save_snapshot(self, snapshot: Snapshot) -> "Disk":
        """Disk with a newer snapshot, without the entries that it replaces."""
        kept = tuple(e for e in self.entries if e.revision > snapshot.revision)
        return replace(self, snapshot=snapshot, entries=kept)

    def install_snapshot(self, snapshot: Snapshot) -> "Disk":
        """Disk whose log and state are replaced by a snapshot."""
        return replace(self, snapshot=snapshot, entries=())


def make_empty_disk(incarnation: Incarnation, is_successor: bool) -> Disk:
    """Disk of a control VM that has never been admitted.

    :param is_successor: whether the control VM was added to a running cluster.
    """
    empty = Snapshot(Revision(0), NO_TERM, ClusterState())
    return Disk(incarnation, VoteRecord(is_successor=is_successor), empty)


def make_founder_disk(
    node: NodeId,
    voters: dict[NodeId, Incarnation],
    places: dict[NodeId, VoterPlace],
) -> Disk:
    """Disk of a voter that founds the cluster together with all of the voters."""
    state = ClusterState(FIRST_REVISION, voters=voters, voter_places=places)
    snapshot = Snapshot(FIRST_REVISION, FOUNDING_TERM, state)
    return Disk(voters[node], VoteRecord(FOUNDING_TERM, admitted=True), snapshot)


def first_incarnation(node: NodeId) -> Incarnation:
    """Incarnation of the first data directory of a control VM."""
    return Incarnation(f"{node}1")


def next_incarnation(incarnation: Incarnation) -> Incarnation:
    """Incarnation of the data directory that follows another one of a control VM."""
    return Incarnation(f"{incarnation}+")
