"""Leader lease and view leases, derived from acknowledgements of the voters."""

from wasabigw.core.cluster import NO_REVISION
from wasabigw.core.consensus.state import NEVER, VoterState
from wasabigw.core.ids import NodeId, Revision, Seconds
from wasabigw.core.states import VoterRole
from wasabigw.core.timing import LEADER_LEASE, VIEW_LEASE


def counted_voters(state: VoterState, matched: Revision = NO_REVISION) -> set[NodeId]:
    """Voters that count towards a majority and hold the log up to ``matched``.

    See :meth:`VoterSet.counts`.
    """
    voters = state.latest_voters()
    found = {
        peer
        for peer, progress in state.progress.items()
        if progress.incarnation is not None
        and voters.counts(peer, progress.incarnation, progress.admitted)
        and progress.matched >= matched
    }
    if voters.members.get(state.node) == state.incarnation:
        found.add(state.node)
    return found


def majority_contact(state: VoterState, now: Seconds) -> Seconds:
    """Time of the latest request that a majority has acknowledged."""
    voters = state.latest_voters()
    counted = counted_voters(state)
    contacts = {
        peer: state.progress[peer].last_contact for peer in counted - {state.node}
    }
    if state.node in counted:
        contacts[state.node] = now
    for contact in sorted(contacts.values(), reverse=True):
        if voters.is_majority({p for p, at in contacts.items() if at >= contact}):
            return contact
    return NEVER


def has_leader_lease(state: VoterState, now: Seconds) -> bool:
    """Whether this voter may answer as the leader.

    It needs a committed entry of its own term, so that it knows all earlier commits,
    and a leader lease that has not expired.
    """
    if state.role is not VoterRole.LEADER:
        return False
    if state.log.term_at(state.committed) != state.term:
        return False
    return now - majority_contact(state, now) < LEADER_LEASE


def fresh_for(state: VoterState, now: Seconds) -> Seconds:
    """Remaining view lease that a current leader grants with an answer."""
    return Seconds(max(0.0, VIEW_LEASE - (now - majority_contact(state, now))))


def view_lease_left(state: VoterState, now: Seconds) -> Seconds:
    """Remaining view lease of a voter in any role; negative if it has expired."""
    if has_leader_lease(state, now):
        return fresh_for(state, now)
    return Seconds(state.view_until - now)
