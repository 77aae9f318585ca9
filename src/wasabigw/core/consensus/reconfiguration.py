"""Changes of the voters that the leader proposes.

The leader admits voters again whose disks were replaced, admits standbys, which are
control VMs that request admission and hold the log, and removes surplus voters. It
makes one change at a time, and none before an entry of its own term is committed:
otherwise majorities before and after a change might not overlap.
"""

from collections import Counter
from collections.abc import Iterable

from wasabigw.core.commands import VoterAdmitted, VoterRemoved
from wasabigw.core.consensus.lease import counted_voters
from wasabigw.core.consensus.state import Progress, VoterState
from wasabigw.core.consensus.voters import VoterSet
from wasabigw.core.ids import FailureDomainId, NodeId, Seconds
from wasabigw.core.states import VoterRole
from wasabigw.core.timing import HEARTBEAT_INTERVAL, LEADER_LEASE

REPLACE_AFTER = Seconds(1.5)
"""Time without an answer after which a standby may replace a voter."""
ANSWER_OVERDUE = Seconds(3 * HEARTBEAT_INTERVAL)
"""Time without an answer after which a voter may be lost.

No voter that is up is removed then.
"""
STANDBY_TIMEOUT = Seconds(5.0)
"""Time without an admission request after which a standby gets no more entries."""
CAUGHT_UP_ENTRIES = 64
"""Entries that a standby may lack when it is admitted; they fit into one request."""


def admission_of(name: NodeId, state: VoterState, now: Seconds) -> VoterAdmitted | None:
    """Admission of a control VM that requests it, or ``None`` if it is not needed."""
    if not _may_change(state):
        return None
    progress = state.progress[name]
    if progress.incarnation is None:
        return None
    is_known = name in state.members
    if not is_known and state.target_voters is None and name not in state.seeds:
        return None
    if (
        not is_known
        and state.target_voters is not None
        and not _is_needed(name, state, now)
    ):
        return None
    return VoterAdmitted(name, progress.incarnation, progress.place)


def next_change(state: VoterState, now: Seconds) -> VoterAdmitted | VoterRemoved | None:
    """Next change of the voters to propose, or ``None`` if none is needed."""
    if not _may_change(state):
        return None
    replaced = _replaced_disk(state, now)
    if replaced is not None or state.target_voters is None:
        return replaced
    _drop_silent_standbys(state, now)
    if len(state.members) > state.target_voters:
        return _removal(state, now)
    standbys = [name for name in state.progress if name not in state.members]
    needed = [name for name in standbys if _is_needed(name, state, now)]
    if not needed:
        return None
    return admission_of(
        min(needed, key=lambda name: _domain_size(name, state)), state, now
    )


def has_uncommitted_change(state: VoterState) -> bool:
    """Whether a change of the voters is in the log but not committed yet."""
    return state.latest_voters().pending is not None


def _may_change(state: VoterState) -> bool:
    return (
        state.role is VoterRole.LEADER
        and state.log.term_at(state.committed) == state.term
        and not has_uncommitted_change(state)
    )


def _replaced_disk(state: VoterState, now: Seconds) -> VoterAdmitted | None:
    """Admission of a voter that answers with another data directory.

    It comes before all other changes: the voter counts as lost until then. The leader
    does not wait for the voter's next request, which may be a second away.
    """
    for name, incarnation in state.members.items():
        progress = state.progress.get(name)
        if progress is None or progress.incarnation in (None, incarnation):
            continue
        # A late answer of the earlier data directory says that it is admitted.
        if not progress.admitted and not _is_overdue(progress, now):
            return VoterAdmitted(name, progress.incarnation, progress.place)
    return None


def _is_needed(name: NodeId, state: VoterState, now: Seconds) -> bool:
    """Whether admitting a standby adds a missing voter or improves fault tolerance."""
    assert state.target_voters is not None
    progress = state.progress[name]
    if not _is_ready(name, state, now):
        return False
    if now - progress.asked_at >= STANDBY_TIMEOUT:
        return False
    if len(state.members) < state.target_voters or _lost_voters(state, now):
        return True
    # Voters in the same failure domain may fail together, so spread them evenly.
    most = max(_voters_by_domain(state.members, state).values())
    return most - _domain_size(name, state) >= 2


def _is_ready(name: NodeId, state: VoterState, now: Seconds) -> bool:
    """Whether a standby holds the log, and the leader keeps a majority with it.

    An added voter counts at once. If it did not answer while other voters are lost, the
    leader would have no majority and step down.
    """
    progress = state.progress[name]
    if progress.incarnation is None or _is_silent(progress, now):
        return False
    if progress.matched + CAUGHT_UP_ENTRIES < state.log.last_revision:
        return False
    enlarged = VoterSet({**state.members, name: progress.incarnation}, {})
    candidates = counted_voters(state) | {name}
    return enlarged.is_majority(
        {voter for voter in candidates if _is_in_contact(voter, state, now)}
    )


def _is_in_contact(name: NodeId, state: VoterState, now: Seconds) -> bool:
    if name == state.node:
        return True
    return now - state.progress[name].last_contact < LEADER_LEASE


def _removal(state: VoterState, now: Seconds) -> VoterRemoved | None:
    """Removal of a lost voter, or of one in the failure domain with most voters."""
    others = [name for name in state.members if name != state.node]
    lost = _lost_voters(state, now)
    if lost:
        name = min(lost, key=lambda n: state.progress[n].last_contact)
    elif any(_is_overdue(state.progress.get(name), now) for name in others):
        # It may be lost; without one that is up, fewer losses could be tolerated.
        return None
    else:
        name = max(others, key=lambda n: (_domain_size(n, state), n))
    return VoterRemoved(name, state.members[name])


def _lost_voters(state: VoterState, now: Seconds) -> list[NodeId]:
    """Voters that have not answered for :data:`REPLACE_AFTER`.

    A new leader waits as long before it regards any voter as lost.
    """
    if now - state.leader_since < REPLACE_AFTER:
        return []
    return [
        name
        for name in state.members
        if name != state.node and _is_silent(state.progress.get(name), now)
    ]


def _is_silent(progress: Progress | None, now: Seconds) -> bool:
    return progress is not None and now - progress.last_contact >= REPLACE_AFTER


def _is_overdue(progress: Progress | None, now: Seconds) -> bool:
    return progress is None or now - progress.last_contact >= ANSWER_OVERDUE


def _domain_size(name: NodeId, state: VoterState) -> int:
    """Number of voters in the failure domain of a control VM."""
    return _voters_by_domain(state.members, state)[_domain(name, state)]


def _voters_by_domain(
    names: Iterable[NodeId], state: VoterState
) -> Counter[FailureDomainId | NodeId]:
    return Counter(_domain(name, state) for name in names)


def _domain(name: NodeId, state: VoterState) -> FailureDomainId | NodeId:
    """Failure domain of a control VM; the name of the VM stands for an unknown one."""
    if name == state.node:
        place = state.place
    else:
        progress = state.progress.get(name)
        announced = progress.place if progress is not None else None
        place = announced or state.places.get(name)
    if place is None or place.failure_domain is None:
        return name
    return place.failure_domain


def _drop_silent_standbys(state: VoterState, now: Seconds) -> None:
    for name, progress in list(state.progress.items()):
        if name in state.members or name in state.seeds:
            continue
        if now - progress.asked_at >= STANDBY_TIMEOUT:
            del state.progress[name]
