"""Which voters count, as the log says.

A voter is admitted by a ``VoterAdmitted`` entry. Only one admission is
uncommitted at any time, and majorities before and after it overlap, as in the
single-server membership changes of Raft (Ongaro, dissertation, section 4.1).
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from wasabigw.core.commands import Command, ReportBatch, VoterAdmitted
from wasabigw.core.ids import Incarnation, NodeId
from wasabigw.core.log_messages import LogEntry


@dataclass(frozen=True, slots=True)
class Electorate:
    """Voters as of the end of the log.

    :param members: incarnation that counts, for each voter.
    :param pending: voter whose admission is not yet known to be committed.
    :param grows: whether the pending voter is an additional one.
    """

    members: Mapping[NodeId, Incarnation]
    pending: NodeId | None = None
    grows: bool = False

    def is_majority(self, voters: set[NodeId]) -> bool:
        """Whether voters, each with its counted incarnation, are a majority.

        While an additional voter is pending, a majority of the others is
        enough: otherwise a leader that restarts between the two could neither
        commit the admission nor be elected.
        """
        if len(voters) >= _majority(len(self.members)):
            return True
        others = voters - {self.pending} if self.pending else voters
        return self.grows and len(others) >= _majority(len(self.members) - 1)


def electorate(
    committed: Mapping[NodeId, Incarnation], uncommitted: Iterable[LogEntry]
) -> Electorate:
    """Voters after the uncommitted end of a log.

    :param committed: voters after the last entry known to be committed.
    """
    members = dict(committed)
    pending: NodeId | None = None
    grows = False
    for entry in uncommitted:
        for admission in admissions(entry.command):
            pending = admission.voter
            grows = admission.voter not in members
            members[admission.voter] = admission.incarnation
    return Electorate(members, pending, grows)


def admissions(command: Command) -> list[VoterAdmitted]:
    """Admissions that a command contains."""
    if not isinstance(command, ReportBatch):
        return []
    return [r for r in command.reports if isinstance(r, VoterAdmitted)]


def _majority(count: int) -> int:
    return count // 2 + 1
