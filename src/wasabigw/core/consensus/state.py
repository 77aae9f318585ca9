"""State of a voter, owned by its task."""

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
from wasabigw.core.states import VoterRole
from wasabigw.core.timing import ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN

NEVER = Seconds(float("-inf"))


@dataclass(slots=True)
class Progress:
    """What a leader knows of another voter.

    :param incarnation: of its last answer; an answer with another one starts
        anew.
    :param next_after: revision after which the next entries are sent.
    :param last_contact: when the last request that it acknowledged was sent.
    :param awaiting_since: when the unanswered request was sent.
    :param mark: of its latest answer.
    :param asked_at: when it last asked to be admitted.
    :param place: where it is, if it said so.
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
    :param voters_changed_at: when this leader committed a change of the voters.
    :param target_voters: number of voters that the leader keeps; ``None`` if all seeds
        are to be voters and no others.
    :param place: where this voter is; ``None`` if all settings name it.
    :param places: where the voters after the entry at ``committed`` are.
    :param discovered_places: where control VMs are that others have named.
    :param log: entries that are durable once the effects were executed.
    :param committed: revision up to which entries are known to be committed.
    :param members: voters after the entry at ``committed``.
    :param last_contact: when the voter last heard from a leader.
    :param votes: voters that granted the running (pre-)election.
    :param started: when this process started, by its own clock.
    :param view_until: end of the view lease that a leader's request has given.
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
        """Where another control VM is, as far as this voter knows."""
        progress = self.progress.get(name)
        asked = progress.place if progress is not None else None
        return asked or self.places.get(name) or self.discovered_places.get(name)

    @property
    def peers(self) -> tuple[NodeId, ...]:
        """Other control VMs that may be voters."""
        members = self.latest_voters().members
        known = dict.fromkeys((*members, *self.seeds, *self.discovered_places))
        known.pop(self.node, None)
        return tuple(known)

    @property
    def term(self) -> Term:
        """Current term."""
        return self.record.term

    def latest_voters(self) -> VoterSet:
        """Voters as of the end of the log."""
        return latest_voters(self.members, self.log.after(self.committed))

    def envelope(self, body: Body) -> Envelope:
        """Message of this voter."""
        return Envelope(
            self.node, self.incarnation, self.record.admitted, self.term, body
        )

    def save(self, record: VoteRecord) -> list[SaveVote]:
        """Change the vote record; nothing if it stays as it is."""
        if record == self.record:
            return []
        self.record = record
        return [SaveVote(record)]

    def change_role(self, role: VoterRole, leader: NodeId | None) -> list[RoleChanged]:
        """Change the role; nothing if role and leader stay as they are."""
        if (role, leader) == (self.role, self.leader):
            return []
        self.role = role
        self.leader = leader
        return [RoleChanged(role, self.term, leader)]

    def idle_role(self) -> VoterRole:
        """Role of a voter that neither leads nor runs for election."""
        if self.record.admitted:
            return VoterRole.FOLLOWER
        return VoterRole.AWAITING_ADMISSION

    def reset_election_timer(self, now: Seconds, jitter: float) -> None:
        """Postpone the next election by a random timeout."""
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
    """State of a voter that has just started, from what its disk holds.

    The voter counts as if it had just heard from a leader, because it may have
    acknowledged one immediately before it stopped.

    :param seeds: other control VMs that the settings name.
    :param snapshot: revision 0 and an empty state if there is none.
    :param target_voters: number of voters that a leader sees to.
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
