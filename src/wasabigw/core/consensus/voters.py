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
    :param added: voter that the last admission added, committed or not; ``None``
        if the last admission replaced a data directory.
    """

    members: Mapping[NodeId, Incarnation]
    pending: NodeId | None = None
    added: NodeId | None = None

    def is_majority(self, voters: set[NodeId]) -> bool:
        """Whether voters, each with its counted incarnation, are a majority.

        Until the next admission, a majority without the voter that was added
        last is enough too: it learns of its admission only after the commit and
        takes no part before, so a first voter that lost its leadership in
        between could never be elected again. Both majorities overlap.
        """
        if self.is_strict_majority(voters):
            return True
        if self.added is None:
            return False
        return len(voters - {self.added}) >= _majority(len(self.members) - 1)

    def is_strict_majority(self, voters: set[NodeId]) -> bool:
        """Whether voters are a majority of all, with the one that was added last."""
        return len(voters) >= _majority(len(self.members))


def electorate(
    committed: Mapping[NodeId, Incarnation],
    added: NodeId | None,
    uncommitted: Iterable[LogEntry],
) -> Electorate:
    """Voters after the uncommitted end of a log.

    :param committed: voters after the last entry known to be committed.
    :param added: voter that the last committed admission added.
    """
    members = dict(committed)
    pending: NodeId | None = None
    for entry in uncommitted:
        for admission in admissions(entry.command):
            pending = admission.voter
            added = added_by(admission, members)
            members[admission.voter] = admission.incarnation
    return Electorate(members, pending, added)


def admissions(command: Command) -> list[VoterAdmitted]:
    """Admissions that a command contains."""
    if not isinstance(command, ReportBatch):
        return []
    return [r for r in command.reports if isinstance(r, VoterAdmitted)]


def added_by(
    admission: VoterAdmitted, members: Mapping[NodeId, Incarnation]
) -> NodeId | None:
    """Voter that an admission adds; ``None`` if it replaces a data directory."""
    return None if admission.voter in members else admission.voter


def _majority(count: int) -> int:
    return count // 2 + 1
