"""Messages between voters.

Every message is sent in an :class:`Envelope`. A request is answered in the response of
the same HTTP exchange, so there is at most one answer per request.
"""

from dataclasses import dataclass

from wasabigw.core.cluster import ClusterState, VoterPlace
from wasabigw.core.ids import Incarnation, NodeId, Revision, Seconds, Term
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.states import ReplacementStatus

NO_TERM = Term(0)
"""Term before the first election."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Replicated state at a revision, which replaces the entries up to it.

    :param term: term of the entry at ``revision``.
    :param state: must not be changed after the snapshot was taken.
    """

    revision: Revision
    term: Term
    state: ClusterState


@dataclass(frozen=True, slots=True)
class PreVoteRequest:
    """Asks whether an election could succeed, without starting a new term."""

    candidate_term: Term
    last_revision: Revision
    last_term: Term


@dataclass(frozen=True, slots=True)
class PreVoteResponse:
    """Answer to a pre-vote request; not binding."""

    candidate_term: Term
    granted: bool


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests the vote in the term of the envelope.

    :param is_transfer: whether the leader of the previous term has given up its
        leadership, so that its lease does not forbid the vote.
    """

    last_revision: Revision
    last_term: Term
    is_transfer: bool = False


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """Vote in the term of the envelope, durable if granted."""

    granted: bool


@dataclass(frozen=True, slots=True)
class AnswerMark:
    """Time at which a follower sent an answer, by its own clock.

    The leader returns the latest mark, which gives the follower an upper bound for the
    age of the leader's request.

    :param process: when the follower's process started, which distinguishes it from an
        earlier process whose clock had another origin.
    """

    process: Seconds
    at: Seconds


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries that follow a revision; without entries, a heartbeat.

    :param committed: commit index of the leader.
    :param sent_at: time at the leader, returned unchanged in the answer.
    :param fresh_for: remaining view lease when the request was sent.
    :param answered: latest mark that the leader has from the recipient.
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
    """Replaces the log of a follower that lacks entries removed from the leader's."""

    snapshot: Snapshot
    sent_at: Seconds


@dataclass(frozen=True, slots=True)
class AppendResponse:
    """Answer to :class:`AppendRequest` and :class:`SnapshotRequest`.

    :param matched: revision up to which the log is durable and equal to the leader's.
    :param retry_after: revision to continue after if ``success`` is false.
    :param place: place of the sender, unless the replicated state already has it.
    """

    success: bool
    matched: Revision
    retry_after: Revision
    sent_at: Seconds
    mark: AnswerMark | None = None
    place: VoterPlace | None = None


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Request of a voter with a new data directory to be admitted.

    :param committed: revision up to which it holds the committed log.
    :param place: place of the voter; ``None`` if the settings of all voters name it.
    :param is_successor: whether it was added to a running cluster and has not taken the
        place of a voter yet.
    """

    committed: Revision
    place: VoterPlace | None = None
    is_successor: bool = False


@dataclass(frozen=True, slots=True)
class AdmissionResponse:
    """Whether an admission was appended, or the log that contains a committed one.

    :param snapshot: snapshot, if the entries do not go back far enough.
    :param entries: committed entries that follow.
    :param voters: places of the known voters, where the leader may be found.
    """

    accepted: bool
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()
    voters: tuple[tuple[NodeId, VoterPlace], ...] = ()


@dataclass(frozen=True, slots=True)
class StopNotice:
    """Tells the leader that the process of the sender is about to stop.

    The sender repeats it until a standby has taken its place, or none can.

    :param committed: revision up to which it holds the committed log.
    """

    committed: Revision
    place: VoterPlace | None = None


@dataclass(frozen=True, slots=True)
class StopNoticeResponse:
    """Whether the sender of a :class:`StopNotice` is being replaced."""

    status: ReplacementStatus


@dataclass(frozen=True, slots=True)
class TransferRequest:
    """Asks a voter to stand for election at once.

    The sender leads in the term of the envelope until it sends this request.
    """


@dataclass(frozen=True, slots=True)
class TransferResponse:
    """Whether the recipient of a :class:`TransferRequest` stands for election."""

    accepted: bool


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
    | StopNotice
    | StopNoticeResponse
    | TransferRequest
    | TransferResponse
)


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its sender.

    :param incarnation: incarnation of the sender's data directory, which distinguishes
        a voter whose disk was replaced from the earlier one of the same name.
    :param admitted: whether the sender knows that its admission is committed.
    :param term: current term of the sender.
    """

    sender: NodeId
    incarnation: Incarnation
    admitted: bool
    term: Term
    body: Body
