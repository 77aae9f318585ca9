"""Effects of a decision, to be executed in order.

An effect that persists something must be durable before the next effect is executed, so
that a vote or an acknowledgement is never sent before the state that it depends on.
"""

from dataclasses import dataclass

from wasabigw.core.consensus.messages import NO_TERM, Envelope, Snapshot
from wasabigw.core.ids import Incarnation, NodeId, Term
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.states import MissingVoteReason, StopOutcome, VoterRole


@dataclass(frozen=True, slots=True)
class VoteRecord:
    """State of elections that a voter must keep across restarts.

    :param candidate: candidate that got the vote in ``term``.
    :param candidate_incarnation: incarnation of that candidate.
    :param admitted: whether the admission of this voter is known to be committed.
    :param is_successor: whether this control VM was added to a running cluster and has
        not taken the place of a voter yet.
    """

    term: Term = NO_TERM
    candidate: NodeId | None = None
    candidate_incarnation: Incarnation | None = None
    admitted: bool = False
    is_successor: bool = False


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Persist the vote record."""

    record: VoteRecord


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Persist entries, replacing all stored ones from the first revision on."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Persist a snapshot of committed entries; older snapshots may be removed."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Persist a snapshot of another voter, and replace log and state by it."""

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
    """Answer the request in the event that caused this effect."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """Report a new role of the voter, or a new leader."""

    role: VoterRole
    term: Term
    leader: NodeId | None


@dataclass(frozen=True, slots=True)
class MissingVote:
    """A vote or pre-vote that a candidate does not have, and why."""

    voter: NodeId
    reason: MissingVoteReason


@dataclass(frozen=True, slots=True)
class ElectionFailed:
    """Report that a candidate got no majority within the election timeout.

    :param votes: number of votes that it has.
    :param voters: number of voters after the last entry of its log.
    """

    term: Term
    votes: int
    voters: int
    missing: tuple[MissingVote, ...]


@dataclass(frozen=True, slots=True)
class StopWithoutStandby:
    """Report that this leader can't replace a voter that is about to stop."""

    voter: NodeId


@dataclass(frozen=True, slots=True)
class StopReady:
    """Let the process stop, which was requested before."""

    outcome: StopOutcome


Effect = (
    SaveVote
    | AppendEntries
    | SaveSnapshot
    | InstallSnapshot
    | ApplyEntries
    | SendMessage
    | AnswerMessage
    | RoleChanged
    | ElectionFailed
    | StopWithoutStandby
    | StopReady
)
