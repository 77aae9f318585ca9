"""State of a voter, owned by the voter task."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from wasabigw.core.cluster import NO_REVISION, VoterPlace
from wasabigw.core.consensus.effects import RoleChanged, SaveVote, VoteRecord
from wasabigw.core.consensus.log import ReplicatedLog
from wasabigw.core.consensus.messages import (
    AnswerMark,
    Body,
    Envelope,
    PreVoteRequest,
    Snapshot,
    VoteRequest,
)
from wasabigw.core.consensus.voters import VoterSet, latest_voters
from wasabigw.core.ids import Incarnation, NodeId, Revision, Seconds, Term
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.states import MissingVoteReason, StopOutcome, VoterRole
from wasabigw.core.timing import ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN

NEVER = Seconds(float("-inf"))


@dataclass(slots=True)
class Progress:
    """Replication progress of another voter or of a standby, as the leader knows it.

    :param next_after: revision after which the next entries are sent.
    :param incarnation: incarnation in its last answer; an answer with another one
        resets the progress.
    :param matched: revision up to which its log is known to equal the leader's.
    :param last_contact: when the latest request that it acknowledged was sent.
    :param awaiting_since: when the request in flight was sent.
    :param mark: mark of its latest answer.
    :param asked_at: when it last requested admission.
    :param place: place in its latest admission request, if any.
    :param heard_before: when it was last heard of before this leadership; the begin of
        the leadership if that is not known.
    :param stop_noticed_at: when it last announced that its process will stop.
    :param is_successor: whether it was added to a running cluster, to take the place of
        a voter of its failure domain.
    """

    next_after: Revision
    incarnation: Incarnation | None = None
    admitted: bool = False
    matched: Revision = NO_REVISION
    last_contact: Seconds = NEVER
    awaiting_since: Seconds | None = None
    mark: AnswerMark | None = None
    asked_at: Seconds = NEVER
    place: VoterPlace | None = None
    heard_before: Seconds = NEVER
    stop_noticed_at: Seconds = NEVER
    is_successor: bool = False


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Requested stop of the process, which may wait for a standby.

    :param was_voter: whether this control VM was a voter when the stop was requested.
    :param heard_at: when a leader last answered a notice of the stop.
    :param notice_at: when the next notice is due.
    :param is_passing: whether this leader takes no more commands, so that it can give
        up its leadership once the last one is committed.
    :param passed_at: when this voter gave up its leadership.
    :param outcome: why the process may stop; ``None`` while it has to wait.
    """

    requested_at: Seconds
    was_voter: bool
    heard_at: Seconds
    notice_at: Seconds
    is_passing: bool = False
    passed_at: Seconds | None = None
    outcome: StopOutcome | None = None


@dataclass(frozen=True, slots=True)
class HeardLeader:
    """A leader of this or an earlier term, and when it was last heard of."""

    node: NodeId
    heard_at: Seconds


@dataclass(frozen=True, slots=True)
class SentVoteRequest:
    """Request of a candidate, which it repeats until it is answered."""

    body: PreVoteRequest | VoteRequest
    sent_at: Seconds


@dataclass(slots=True)
class VoterState:
    """A voter of the replicated log.

    :param seeds: other control VMs that the settings name.
    :param log: entries that are durable once the effects are executed.
    :param committed: commit index: entries up to this revision are known to be
        committed.
    :param members: voters after the entry at ``committed``.
    :param last_contact: when the voter last received a request of a leader.
    :param last_leader: leader that sent it; ``None`` before the first one.
    :param asked_since: since when this voter has asked for votes without a pause.
    :param standbys: standbys that have requested admission at this voter, for the time
        when it leads.
    :param votes: voters that granted a vote or pre-vote in the current election.
    :param vote_request: latest request of this voter for votes or pre-votes.
    :param missing_vote_reasons: why votes are missing in the current election although
        their voters have answered.
    :param voters_changed_at: when this leader last appended or committed a change of
        the voters.
    :param started: when this process started, by its own clock.
    :param view_until: end of the view lease that the leader has granted.
    :param target_voters: number of voters that the leader maintains; ``None`` if the
        voters are exactly those that the settings name.
    :param place: place of this voter; ``None`` if the settings of all voters name it.
    :param places: places of the voters after the entry at ``committed``.
    :param discovered_places: places of control VMs that other voters have named.
    :param stop: requested stop of this process; ``None`` without one.
    """

    node: NodeId
    incarnation: Incarnation
    seeds: tuple[NodeId, ...]
    record: VoteRecord
    log: ReplicatedLog
    snapshot: Snapshot
    committed: Revision
    members: dict[NodeId, Incarnation]
    role: VoterRole
    last_contact: Seconds
    election_at: Seconds
    leader: NodeId | None = None
    last_leader: HeardLeader | None = None
    asked_since: Seconds = NEVER
    standbys: dict[NodeId, Progress] = field(default_factory=dict)
    votes: set[NodeId] = field(default_factory=set)
    vote_request: SentVoteRequest | None = None
    missing_vote_reasons: dict[NodeId, MissingVoteReason] = field(default_factory=dict)
    progress: dict[NodeId, Progress] = field(default_factory=dict)
    leader_since: Seconds = NEVER
    voters_changed_at: Seconds = NEVER
    heartbeat_at: Seconds = NEVER
    admission_at: Seconds = NEVER
    started: Seconds = NEVER
    view_until: Seconds = NEVER
    target_voters: int | None = None
    place: VoterPlace | None = None
    places: dict[NodeId, VoterPlace] = field(default_factory=dict)
    discovered_places: dict[NodeId, VoterPlace] = field(default_factory=dict)
    stop: PlannedStop | None = None

    def place_of(self, name: NodeId) -> VoterPlace | None:
        """Place of another control VM, or ``None`` if it is not known."""
        progress = self.progress.get(name)
        announced = progress.place if progress is not None else None
        recorded = self.latest_voters().places.get(name)
        return announced or recorded or self.discovered_places.get(name)

    def has_address(self, name: NodeId) -> bool:
        """Whether the address of another control VM is known."""
        return name in self.seeds or self.place_of(name) is not None

    @property
    def without_address(self) -> int:
        """Number of other voters whose address is not known."""
        others = self.latest_voters().members.keys() - {self.node}
        return sum(not self.has_address(name) for name in others)

    @property
    def peers(self) -> tuple[NodeId, ...]:
        """Other control VMs that are voters or may become voters."""
        members = self.latest_voters().members
        names = dict.fromkeys((*members, *self.seeds, *self.discovered_places))
        names.pop(self.node, None)
        return tuple(names)

    @property
    def term(self) -> Term:
        """Current term."""
        return self.record.term

    def latest_voters(self) -> VoterSet:
        """Voters and their places as of the end of the log."""
        uncommitted = self.log.after(self.committed)
        return latest_voters(self.members, self.places, uncommitted)

    @property
    def own_vote_counts(self) -> bool:
        """Whether this voter counts towards a majority, and may stand for election.

        An added voter may hold entries that were committed with its acknowledgement
        before it knows that its admission is committed.
        """
        return self.record.admitted or self.latest_voters().counts(
            self.node, self.incarnation, admitted=False
        )

    @property
    def accepts_commands(self) -> bool:
        """Whether this voter leads and appends the commands that are proposed."""
        if self.role is not VoterRole.LEADER:
            return False
        stop = self.stop
        return stop is None or not stop.is_passing or stop.outcome is not None

    @property
    def is_removed(self) -> bool:
        """Whether this voter is neither in the committed nor in the latest voters.

        A voter whose removal is not known to be committed may still be needed as
        leader, because it does not vote for candidates with a shorter log.
        """
        voter_sets = (self.members, self.latest_voters().members)
        return all(m.get(self.node) != self.incarnation for m in voter_sets)

    def envelope(self, body: Body) -> Envelope:
        """Wrap a message of this voter."""
        return Envelope(
            self.node, self.incarnation, self.record.admitted, self.term, body
        )

    def save(self, record: VoteRecord) -> list[SaveVote]:
        """Change the vote record; no effect if it stays the same."""
        if record == self.record:
            return []
        self.record = record
        return [SaveVote(record)]

    def change_role(self, role: VoterRole, leader: NodeId | None) -> list[RoleChanged]:
        """Change the role; no effect if role and leader stay the same."""
        if (role, leader) == (self.role, self.leader):
            return []
        self.role = role
        self.leader = leader
        return [RoleChanged(role, self.term, leader)]

    def idle_role(self) -> VoterRole:
        """Role of a voter that is neither leader nor candidate."""
        if self.record.admitted:
            return VoterRole.FOLLOWER
        return VoterRole.AWAITING_ADMISSION

    def reset_election_timer(self, now: Seconds, jitter: float) -> None:
        """Restart the election timeout, with a random part from ``jitter``."""
        spread = ELECTION_TIMEOUT_MAX - ELECTION_TIMEOUT_MIN
        self.election_at = Seconds(now + ELECTION_TIMEOUT_MIN + spread * jitter)


def make_voter_state(
    node: NodeId,
    incarnation: Incarnation,
    seeds: tuple[NodeId, ...],
    record: VoteRecord,
    snapshot: Snapshot,
    entries: Sequence[LogEntry],
    now: Seconds,
    jitter: float,
    target_voters: int | None = None,
    place: VoterPlace | None = None,
) -> VoterState:
    """State of a voter that has just started, from the contents of its disk.

    The voter behaves as if it had just heard from a leader, because it may have
    acknowledged a request of one immediately before it stopped.

    :param seeds: other control VMs that the settings name.
    :param snapshot: snapshot on the disk; revision 0 and an empty state without one.
    :param target_voters: number of voters that a leader maintains.
    """
    state = VoterState(
        node=node,
        incarnation=incarnation,
        seeds=seeds,
        record=record,
        log=ReplicatedLog(snapshot.revision, snapshot.term, entries),
        snapshot=snapshot,
        committed=snapshot.revision,
        members=dict(snapshot.state.voters),
        role=VoterRole.FOLLOWER,
        last_contact=now,
        election_at=now,
        started=now,
        target_voters=target_voters,
        place=place,
        places=dict(snapshot.state.voter_places),
    )
    state.role = state.idle_role()
    state.reset_election_timer(now, jitter)
    return state
