"""Safety: what must hold after every event."""

from collections.abc import Iterator
from dataclasses import replace

from wasabigw.core.commands import Command, ReportBatch, VoterAdmitted, VoterRemoved
from wasabigw.core.consensus.commit import commit_implied
from wasabigw.core.consensus.election import count_vote
from wasabigw.core.consensus.lease import has_leader_lease
from wasabigw.core.consensus.messages import VoteResponse
from wasabigw.core.consensus.state import VoterState
from wasabigw.core.ids import Incarnation, NodeId, Revision
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.states import VoterRole
from wasabigw_verify.log_check.disk import FIRST_REVISION, Disk
from wasabigw_verify.log_check.world import Leadership, World, copy_voter, load_state

Members = dict[NodeId, Incarnation]


class SafetyError(AssertionError):
    """A safety property of the replicated log is violated."""


def record_leader(world: World, state: VoterState) -> None:
    """Record an election; a term has one leader, which holds all committed entries."""
    leadership = Leadership(state.node, state.incarnation)
    if world.leaders.get(state.term, leadership) != leadership:
        raise SafetyError(f"two leaders in term {state.term}")
    world.leaders = {**world.leaders, state.term: leadership}
    lacking = _first_lacking(world, state)
    if lacking is not None:
        raise SafetyError(f"leader {state.node} lacks committed entry {lacking}")


def record_committed(world: World, node: NodeId, entries: tuple[LogEntry, ...]) -> None:
    """Record committed entries; there is one at each revision."""
    for entry in entries:
        position = entry.revision - FIRST_REVISION - 1
        if position < len(world.committed):
            if world.committed[position] != entry:
                raise SafetyError(f"{node}: two entries committed at {entry.revision}")
        elif position == len(world.committed):
            world.committed = (*world.committed, entry)
        else:
            raise SafetyError(f"{node}: entries before {entry.revision} not committed")


def check_vote_is_durable(state: VoterState, disk: Disk, candidate: NodeId) -> None:
    """Check that a granted vote is on the disk before it is sent."""
    if (disk.vote.term, disk.vote.candidate) != (state.term, candidate):
        raise SafetyError(f"{state.node}: the vote for {candidate} is not durable")


def check_log_is_durable(node: NodeId, disk: Disk, matched: Revision) -> None:
    """Check that acknowledged entries are on the disk before the answer is sent."""
    if disk.last_revision < matched:
        raise SafetyError(f"{node}: acknowledged {matched} is not durable")


def check_voter(world: World, state: VoterState) -> None:
    """Check the committed voters and the lease of a voter after an event."""
    if state.members != members_at(world, state.committed):
        raise SafetyError(f"{state.node}: another set of voters at {state.committed}")
    newest = last_committed(world)
    is_leader = state.role is VoterRole.LEADER
    if is_leader and state.committed < newest and has_leader_lease(state, world.time):
        raise SafetyError(f"{state.node} answers as current but lacks {newest}")


def check_electable(world: World) -> None:
    """Check that no voter that lacks a committed entry could be elected.

    A candidate gets all votes that the logs of the others allow, and the code decides
    whether they count and are a majority. A violation is found before the faults that
    would let it win the election. Voters that will start again take part.
    """
    states: list[VoterState] | None = None
    for state in _voters(world):
        if _first_lacking(world, state) is not None:
            states = states or list(_voters(world))
            _check_is_not_electable(world, state, states)


def _voters(world: World) -> Iterator[VoterState]:
    for node, vm in world.vms.items():
        if vm.state is not None:
            yield vm.state
        elif vm.starts_at is not None:
            yield load_state(world, node, vm.disk)


def members_at(world: World, revision: Revision) -> Members:
    """Voters after a committed entry, from the committed entries alone."""
    members = dict(world.founders) if revision >= FIRST_REVISION else {}
    for entry in world.committed[: max(0, revision - FIRST_REVISION)]:
        apply_changes(entry.command, members)
    return members


def apply_changes(command: Command, members: Members) -> None:
    """Apply the changes of the voters in a command."""
    for report in command.reports if isinstance(command, ReportBatch) else ():
        if isinstance(report, VoterAdmitted):
            members[report.voter] = report.incarnation
        elif isinstance(report, VoterRemoved):
            members.pop(report.voter, None)


def last_committed(world: World) -> Revision:
    """Revision of the last entry that any voter knew to be committed."""
    return Revision(FIRST_REVISION + len(world.committed))


def _first_lacking(world: World, state: VoterState) -> Revision | None:
    """First committed entry after the voter's commit index that its log lacks."""
    known = max(0, state.committed - FIRST_REVISION)
    for entry in world.committed[known:]:
        if state.log.term_at(entry.revision) != entry.term:
            return entry.revision
    return None


def _check_is_not_electable(
    world: World, candidate: VoterState, others: list[VoterState]
) -> None:
    votes = [other for other in others if _may_vote_for(candidate, other)]
    if _wins(world, candidate, votes):
        names = ", ".join(sorted(other.node for other in votes))
        lacking = _first_lacking(world, candidate)
        raise SafetyError(
            f"{candidate.node} lacks committed entry {lacking}, "
            f"and the votes of {names} could elect it"
        )


def _may_vote_for(candidate: VoterState, other: VoterState) -> bool:
    """Whether the log of another voter allows a vote in a later term."""
    end = (candidate.log.last_term, candidate.log.last_revision)
    return other.node != candidate.node and end >= (
        other.log.last_term,
        other.log.last_revision,
    )


def _wins(world: World, candidate: VoterState, votes: list[VoterState]) -> bool:
    """Whether the code counts votes as a majority for a candidate."""
    state = copy_voter(candidate)
    commit_implied(state)
    if not state.own_vote_counts:
        return False
    state.role = VoterRole.CANDIDATE
    state.votes = {state.node}
    granted = VoteResponse(granted=True)
    for other in votes:
        envelope = replace(other.envelope(granted), term=state.term)
        count_vote(state, envelope, granted, world.time)
    return state.role is VoterRole.LEADER
