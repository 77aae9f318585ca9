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
    Snapshot,
)
from wasabigw.core.consensus.voters import VoterSet, latest_voters
from wasabigw.core.ids import Incarnation, NodeId, Revision, Seconds, Term
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.states import MissingVoteReason, VoterRole
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


@dataclass(slots=True)
class VoterState:
    """A voter of the replicated log.

    :param seeds: other control VMs that the settings name.
    :param log: entries that are durable once the effects are executed.
    :param committed: commit index: entries up to this revision are known to be
        committed.
    :param members: voters after the entry at ``committed``.
    :param last_contact: when the voter last received a request of a leader.
    :param votes: voters that granted a vote or pre-vote in the current election.
    :param missing_vote_reasons: why votes are missing in the current election although
        their voters have answered.
    :param voters_changed_at: when this leader last committed a change of the voters.
    :param started: when this process started, by its own clock.
    :param view_until: end of the view lease that the leader has granted.
    :param target_voters: number of voters that the leader maintains; ``None`` if the
        voters are exactly those that the settings name.
    :param place: place of this voter; ``None`` if the settings of all voters name it.
    :param places: places of the voters after the entry at ``committed``.
    :param discovered_places: places of control VMs that other voters have named.
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
    votes: set[NodeId] = field(default_factory=set)
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
