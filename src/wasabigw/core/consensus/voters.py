"""The set of voters, as determined by the log.

A ``VoterAdmitted`` entry adds a voter and a ``VoterRemoved`` entry removes one. At most
one such change is uncommitted at any time, and majorities before and after it overlap,
as in the single-server membership changes of Raft (Ongaro, dissertation, section 4.1).
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from wasabigw.core.cluster import VoterPlace
from wasabigw.core.commands import (
    Command,
    ReportBatch,
    VoterAdmitted,
    VoterPlaced,
    VoterRemoved,
)
from wasabigw.core.ids import Incarnation, NodeId
from wasabigw.core.log_messages import LogEntry


@dataclass(frozen=True, slots=True)
class VoterSet:
    """The voters after the last entry of the log.

    :param members: admitted incarnation of each voter.
    :param pending: voter whose admission or removal is not known to be committed yet.
    :param is_addition: whether the pending change adds a voter.
    """

    members: Mapping[NodeId, Incarnation]
    pending: NodeId | None = None
    is_addition: bool = False

    def is_majority(self, voters: set[NodeId]) -> bool:
        """Whether voters, each with its admitted incarnation, form a majority."""
        return len(voters) >= _majority(len(self.members))

    def counts(self, name: NodeId, incarnation: Incarnation, admitted: bool) -> bool:
        """Whether votes and acknowledgements of a voter count towards a majority.

        A voter whose disk was replaced counts only once it knows that its admission is
        committed, because its earlier incarnation may have voted or acknowledged
        something else. An added voter has no earlier incarnation and counts at once: a
        leader that restarts before the admission is committed could otherwise never be
        elected again while another voter is down.

        :param admitted: whether the voter knows that its admission is committed.
        """
        if self.members.get(name) != incarnation:
            return False
        return admitted or (self.is_addition and name == self.pending)


def latest_voters(
    committed: Mapping[NodeId, Incarnation], uncommitted: Iterable[LogEntry]
) -> VoterSet:
    """Voters after the last entry of a log.

    :param committed: voters after the last entry known to be committed.
    :param uncommitted: entries that follow it.
    """
    members = dict(committed)
    pending: NodeId | None = None
    is_addition = False
    for entry in uncommitted:
        for change in voter_changes(entry.command):
            pending = change.voter
            is_addition = (
                isinstance(change, VoterAdmitted) and change.voter not in members
            )
            apply_voter_change(change, members)
    return VoterSet(members, pending, is_addition)


def apply_voter_change(
    change: VoterAdmitted | VoterRemoved, members: dict[NodeId, Incarnation]
) -> None:
    """Apply a change to a map of the voters."""
    if isinstance(change, VoterAdmitted):
        members[change.voter] = change.incarnation
    elif members.get(change.voter) == change.incarnation:
        del members[change.voter]


def voter_changes(command: Command) -> list[VoterAdmitted | VoterRemoved]:
    """Changes of the voters in a command."""
    if not isinstance(command, ReportBatch):
        return []
    return [r for r in command.reports if isinstance(r, VoterAdmitted | VoterRemoved)]


def apply_voter_places(command: Command, places: dict[NodeId, VoterPlace]) -> None:
    """Apply a command to a map of the places of voters."""
    if not isinstance(command, ReportBatch):
        return
    for report in command.reports:
        if isinstance(report, VoterRemoved):
            places.pop(report.voter, None)
        elif isinstance(report, VoterAdmitted | VoterPlaced) and report.place:
            places[report.voter] = report.place


def admissions(command: Command) -> list[VoterAdmitted]:
    """Admissions in a command."""
    return [c for c in voter_changes(command) if isinstance(c, VoterAdmitted)]


def _majority(count: int) -> int:
    return count // 2 + 1
