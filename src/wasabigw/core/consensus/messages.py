"""Messages between voters.

Every message travels in an :class:`Envelope`. A request is answered in the
response of the same HTTP exchange, so a voter has at most one answer per request.
"""

from dataclasses import dataclass

from wasabigw.core.cluster import ClusterState, VoterPlace
from wasabigw.core.ids import Incarnation, NodeId, Revision, Seconds, Term
from wasabigw.core.log_messages import LogEntry

NO_TERM = Term(0)
"""Term before the first election."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Replicated state at one revision, in place of the entries up to it.

    :param term: term of the entry at ``revision``.
    :param state: never changed after the snapshot was taken.
    """

    revision: Revision
    term: Term
    state: ClusterState


@dataclass(frozen=True, slots=True)
class PreVoteRequest:
    """Asks whether an election could succeed, without starting a term."""

    candidate_term: Term
    last_revision: Revision
    last_term: Term


@dataclass(frozen=True, slots=True)
class PreVoteResponse:
    """Answer to a pre-vote; binds nobody."""

    candidate_term: Term
    granted: bool


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for the vote in the term of the envelope."""

    last_revision: Revision
    last_term: Term


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """Vote in the term of the envelope, durable if granted."""

    granted: bool


@dataclass(frozen=True, slots=True)
class AnswerMark:
    """When a follower sent an answer, by its own clock.

    The leader returns the latest one, from which the follower knows how old the
    leader's request is at most.

    :param process: start of the follower's process, which tells it from an earlier
        one whose clock had another origin.
    """

    process: Seconds
    at: Seconds


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries that follow a revision; without entries, a heartbeat.

    :param committed: commit index of the leader.
    :param sent_at: leader's time, returned unchanged in the answer.
    :param fresh_for: rest of the view lease when the request was sent.
    :param answered: latest mark that the leader has from the receiver.
    """

    previous_revision: Revision
    previous_term: Term
    entries: tuple[LogEntry, ...]
    committed: Revision
    sent_at: Seconds
    fresh_for: Seconds = Seconds(0.0)  # noqa: RUF009 - a NewType of float
    answered: AnswerMark | None = None


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Replaces the log of a follower that is too far behind."""

    snapshot: Snapshot
    sent_at: Seconds


@dataclass(frozen=True, slots=True)
class AppendResponse:
    """Answer to :class:`AppendRequest` and :class:`SnapshotRequest`.

    :param matched: the log is durable and equals the leader's up to here.
    :param retry_after: without success, revision to continue after.
    :param place: of the sender, unless the replicated state has it.
    """

    success: bool
    matched: Revision
    retry_after: Revision
    sent_at: Seconds
    mark: AnswerMark | None = None
    place: VoterPlace | None = None


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A voter with a new data directory asks to be admitted.

    :param committed: revision up to which it knows the committed log.
    :param place: ``None`` if the settings of all voters name it.
    """

    committed: Revision
    place: VoterPlace | None = None


@dataclass(frozen=True, slots=True)
class AdmissionResponse:
    """Whether an admission was appended, or what proves that one is committed.

    :param snapshot: present if the entries do not reach back far enough.
    :param entries: committed entries that follow.
    :param voters: places of the voters, which may have the leader among them.
    """

    accepted: bool
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()
    voters: tuple[tuple[NodeId, VoterPlace], ...] = ()


Body = (
    PreVoteRequest
    | PreVoteResponse
    | VoteRequest
    | VoteResponse
    | AppendRequest
    | SnapshotRequest
    | AppendResponse
    | AdmissionRequest
    | AdmissionResponse
)


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its sender.

    :param incarnation: of the sender's data directory, so that a voter whose
        disk was replaced is not taken for its predecessor.
    :param admitted: whether the sender knows that its admission is committed.
    :param term: current term of the sender.
    """

    sender: NodeId
    incarnation: Incarnation
    admitted: bool
    term: Term
    body: Body
