"""The set of voters and their places, as determined by the log.

A ``VoterAdmitted`` entry adds a voter and a ``VoterRemoved`` entry removes one. At most
one such change is uncommitted at any time, and majorities before and after it overlap,
as in the single-server membership changes of Raft (Ongaro, dissertation, section 4.1).
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from wasabigw.core.cluster import NO_REVISION, VoterPlace
from wasabigw.core.commands import Command, ReportBatch, VoterAdmitted
from wasabigw.core.ids import Incarnation, NodeId, Revision, Term
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.voter_reports import VoterChange, VoterReport, apply_voter_report


@dataclass(frozen=True, slots=True)
class VoterSet:
    """The voters after the last entry of the log.

    :param members: admitted incarnation of each voter.
    :param places: places of the voters, as far as the log contains them.
    :param pending: voter whose admission or removal is not known to be committed yet.
    :param is_addition: whether the pending change adds a voter.
    """

    members: Mapping[NodeId, Incarnation]
    places: Mapping[NodeId, VoterPlace]
    pending: NodeId | None = None
    is_addition: bool = False

    def is_majority(self, voters: set[NodeId]) -> bool:
        """Whether voters, each with its admitted incarnation, form a majority."""
        return len(voters) >= _majority(len(self.members))

    def counts(self, name: NodeId, incarnation: Incarnation, admitted: bool) -> bool:
        """Whether votes and acknowledgements of a voter count towards a majority.

        A voter whose disk was replaced counts only once it knows that its admission is
        committed, because its earlier incarnation may have voted or acknowledged
        something else. An added voter has no earlier incarnation and counts while its
        admission is pending: a leader that restarts before the admission is committed
        could otherwise never be elected again while another voter is down.

        :param admitted: whether the voter knows that its admission is committed.
        """
        if self.members.get(name) != incarnation:
            return False
        return admitted or (self.is_addition and name == self.pending)


def latest_voters(
    committed: Mapping[NodeId, Incarnation],
    places: Mapping[NodeId, VoterPlace],
    uncommitted: Iterable[LogEntry],
) -> VoterSet:
    """Voters after the last entry of a log.

    :param committed: voters after the last entry known to be committed.
    :param places: places of the voters after that entry.
    :param uncommitted: entries that follow it.
    """
    members = dict(committed)
    latest_places = dict(places)
    pending: NodeId | None = None
    is_addition = False
    for entry in uncommitted:
        for report in voter_reports(entry.command):
            if isinstance(report, VoterChange):
                pending = report.voter
                is_addition = (
                    isinstance(report, VoterAdmitted) and report.voter not in members
                )
            apply_voter_report(report, members, latest_places)
    return VoterSet(members, latest_places, pending, is_addition)


def implied_commit(uncommitted: Iterable[LogEntry], term: Term | None) -> Revision:
    """Revision up to which a change of the voters shows that a log is committed.

    A leader proposes a change only after an entry of its own term and the previous
    change are committed.

    :param uncommitted: entries that are not known to be committed.
    :param term: term of the entry before them.
    :returns: :data:`NO_REVISION` if the entries contain no change.
    """
    implied = NO_REVISION
    last_change = NO_REVISION
    term_began = NO_REVISION
    for entry in uncommitted:
        if entry.term != term:
            term = entry.term
            term_began = entry.revision
        if any(isinstance(r, VoterChange) for r in voter_reports(entry.command)):
            implied = max(term_began, last_change)
            last_change = entry.revision
    return implied


def voter_reports(command: Command) -> list[VoterReport]:
    """Reports on voters in a command."""
    if not isinstance(command, ReportBatch):
        return []
    return [report for report in command.reports if isinstance(report, VoterReport)]


def _majority(count: int) -> int:
    return count // 2 + 1
