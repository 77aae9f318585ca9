"""Effects of a decision, to be executed in order.

Effects that persist must be durable before the next effect is executed; a vote
or an acknowledgement therefore never leaves before the state it depends on.
"""

from dataclasses import dataclass

from wasabigw.core.consensus.messages import NO_TERM, Envelope, Snapshot
from wasabigw.core.ids import Incarnation, NodeId, Term
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.states import VoterRole


@dataclass(frozen=True, slots=True)
class VoteRecord:
    """What a voter must remember of elections across restarts.

    :param candidate_incarnation: incarnation of the candidate voted for.
    :param admitted: whether the admission of this voter is committed.
    """

    term: Term = NO_TERM
    candidate: NodeId | None = None
    candidate_incarnation: Incarnation | None = None
    admitted: bool = False


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Persist the vote record."""

    record: VoteRecord


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Persist entries, after removal of all from the first one's revision on."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Persist a snapshot of committed entries; old ones may be removed."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Persist a leader's snapshot, drop the log, replace the replicated state."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Apply committed entries to the replicated state."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a request to another voter."""

    recipient: NodeId
    envelope: Envelope


@dataclass(frozen=True, slots=True)
class AnswerMessage:
    """Answer the request that the event contained."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """The voter has a new role or follows another leader."""

    role: VoterRole
    term: Term
    leader: NodeId | None


Effect = (
    SaveVote
    | AppendEntries
    | SaveSnapshot
    | InstallSnapshot
    | ApplyEntries
    | SendMessage
    | AnswerMessage
    | RoleChanged
)
