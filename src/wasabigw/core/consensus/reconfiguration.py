"""Changes of the voters that the leader proposes.

The leader admits voters again whose disks were replaced, admits standbys, which are
control VMs that request admission and hold the log, and removes surplus voters. It
makes one change at a time, and none before an entry of its own term is committed:
otherwise majorities before and after a change might not overlap.

A voter that announces its stop is replaced before its process ends, if a standby is
ready: until the standby has a vote, the loss of another disk leaves no majority.

An end without a notice gives no time for that. Operators add a control VM before they
take away the one that it replaces, so a control VM that was added to the failure domain
of a voter takes the place of this voter at once. The other one becomes a standby, whose
end costs no vote. If it leads, it goes on without a vote: no change needs its own
acknowledgement, and its end is noticed by all voters.
"""

from collections import Counter
from collections.abc import Iterable

from wasabigw.core.commands import VoterAdmitted, VoterRemoved
from wasabigw.core.consensus.lease import counted_voters
from wasabigw.core.consensus.state import Progress, VoterState
from wasabigw.core.consensus.voters import VoterSet
from wasabigw.core.ids import FailureDomainId, NodeId, Seconds
from wasabigw.core.states import ReplacementStatus, VoterRole
from wasabigw.core.timing import (
    ADMISSION_RETRY_DELAY,
    HEARTBEAT_INTERVAL,
    LEADER_LEASE,
    STANDBY_TIMEOUT,
)

REPLACE_AFTER = Seconds(1.5)
"""Time without an answer after which a standby may replace a voter."""
ANSWER_OVERDUE = Seconds(3 * HEARTBEAT_INTERVAL)
"""Time without an answer after which a voter may be lost.

No voter that is up is removed then.
"""
STOP_NOTICE_LIFETIME = Seconds(1.0)
"""Time after a notice for which its sender is expected to stop.

A control VM that stops repeats the notice, and one that was started again does not.
"""
DISCOVERY_TIME = Seconds(ADMISSION_RETRY_DELAY + 2 * HEARTBEAT_INTERVAL)
"""Time after its start within which a voter hears of each standby."""
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
    if len(state.members) > state.target_voters or _removes_first(state, now):
        return _removal(state, now)
    needed = [name for name in _standbys(state) if _is_needed(name, state, now)]
    if not needed:
        return _own_admission(state, now)
    return admission_of(
        min(needed, key=lambda name: _domain_size(name, state)), state, now
    )


def _removes_first(state: VoterState, now: Seconds) -> bool:
    """Whether a lost voter is removed before this leader, without a vote, replaces it.

    With this leader as an additional voter, the others would need its disk as well.
    """
    return state.node not in state.members and bool(_lost_voters(state, now))


def _own_admission(state: VoterState, now: Seconds) -> VoterAdmitted | None:
    """Admission of a leader without a vote in the place of a voter that is gone."""
    assert state.target_voters is not None
    if state.node in state.members or state.stop is not None:
        return None
    is_missing = len(state.members) < state.target_voters
    if is_missing or _stopping_voters(state, now):
        return VoterAdmitted(state.node, state.incarnation, state.place)
    return None


def replacement_status(
    name: NodeId, state: VoterState, now: Seconds
) -> ReplacementStatus:
    """Whether a control VM that stops is being replaced by this leader."""
    if name not in state.members:
        return ReplacementStatus.NOT_A_VOTER
    if state.target_voters is None:
        return ReplacementStatus.NO_STANDBY
    if not _may_change(state) or len(state.members) > state.target_voters:
        return ReplacementStatus.IN_PROGRESS
    if now - state.started < DISCOVERY_TIME:
        return ReplacementStatus.IN_PROGRESS
    if any(_may_get_ready(standby, state, now) for standby in _standbys(state)):
        return ReplacementStatus.IN_PROGRESS
    return ReplacementStatus.NO_STANDBY


def ready_standbys(state: VoterState, now: Seconds) -> list[NodeId]:
    """Standbys that can take the place of a voter at once."""
    if state.role is not VoterRole.LEADER:
        return []
    return [name for name in _standbys(state) if _is_available(name, state, now)]


def silent_voters(state: VoterState, now: Seconds) -> list[NodeId]:
    """Voters that may be lost, as far as this leader knows."""
    if state.role is not VoterRole.LEADER:
        return []
    others = state.members.keys() - {state.node}
    return [name for name in others if _is_overdue(state.progress.get(name), now)]


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
    if not _is_available(name, state, now):
        return False
    if len(state.members) < state.target_voters or _lost_voters(state, now):
        return True
    if _stopping_voters(state, now) or _may_succeed(name, state, now):
        return True
    # Voters in the same failure domain may fail together, so spread them evenly.
    most = max(_voters_by_domain(state.members, state).values())
    return most - _domain_size(name, state) >= 2


def _may_succeed(name: NodeId, state: VoterState, now: Seconds) -> bool:
    """Whether an added control VM takes the place of a voter of its failure domain.

    All voters have to answer: the change must not cost the majority.
    """
    is_added = state.progress[name].is_successor
    has_domain = _known_domain(name, state) is not None
    has_voter = _domain_size(name, state) > 0
    return is_added and has_domain and has_voter and not silent_voters(state, now)


def _standbys(state: VoterState) -> list[NodeId]:
    return [name for name in state.progress if name not in state.members]


def _is_available(name: NodeId, state: VoterState, now: Seconds) -> bool:
    """Whether a standby wants to be a voter and can become one at once."""
    progress = state.progress[name]
    if now - progress.asked_at >= STANDBY_TIMEOUT or is_stopping(progress, now):
        return False
    return _is_ready(name, state, now)


def _may_get_ready(name: NodeId, state: VoterState, now: Seconds) -> bool:
    """Whether a standby holds the log, or is up and receives it."""
    progress = state.progress[name]
    if is_stopping(progress, now):
        return False
    return now - max(progress.asked_at, progress.last_contact) < REPLACE_AFTER


def _stopping_voters(state: VoterState, now: Seconds) -> list[NodeId]:
    """Voters whose processes are about to stop, this one included."""
    found = [
        name
        for name in state.members
        if name in state.progress and is_stopping(state.progress[name], now)
    ]
    if state.stop is not None and state.node in state.members:
        found.append(state.node)
    return found


def is_stopping(progress: Progress, now: Seconds) -> bool:
    """Whether a control VM has announced lately that its process will stop."""
    return now - progress.stop_noticed_at < STOP_NOTICE_LIFETIME


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
        {voter for voter in candidates if is_in_contact(voter, state, now)}
    )


def is_in_contact(name: NodeId, state: VoterState, now: Seconds) -> bool:
    """Whether a voter has answered within the leader lease."""
    if name == state.node:
        return True
    return now - state.progress[name].last_contact < LEADER_LEASE


def _removal(state: VoterState, now: Seconds) -> VoterRemoved | None:
    """Removal of a lost voter, of one that stops, or of a surplus one."""
    others = [name for name in state.members if name != state.node]
    lost = _lost_voters(state, now)
    stopping = _stopping_voters(state, now)
    if lost:
        name = min(lost, key=lambda n: state.progress[n].last_contact)
    elif stopping:
        name = stopping[0]
    elif any(_is_overdue(state.progress.get(name), now) for name in others):
        # It may be lost; without one that is up, fewer losses could be tolerated.
        return None
    else:
        name = _surplus_voter(state)
    return VoterRemoved(name, state.members[name])


def _surplus_voter(state: VoterState) -> NodeId:
    """Voter that another one can do without.

    It is the one whose place an added voter takes, or else one of the largest failure
    domain. This leader gives up its vote only for an added voter.
    """
    others = [name for name in state.members if name != state.node]
    for added in others:
        if state.progress[added].is_successor:
            domain = _domain(added, state)
            earlier = [n for n in (*others, state.node) if _domain(n, state) == domain]
            earlier.remove(added)
            if earlier:
                return earlier[0]
    return max(others, key=lambda name: (_domain_size(name, state), name))


def _lost_voters(state: VoterState, now: Seconds) -> list[NodeId]:
    """Voters that have not answered for :data:`REPLACE_AFTER`.

    A new leader waits as long before it regards a voter as lost, but for the former
    leader, whose silence began before the election. That one had the time to answer
    the requests for its vote.
    """
    if now - state.asked_since < ANSWER_OVERDUE:
        return []
    return [
        name
        for name in state.members
        if name in state.progress and _is_lost(state.progress[name], now)
    ]


def _is_lost(progress: Progress, now: Seconds) -> bool:
    heard_at = max(progress.last_contact, progress.heard_before)
    return now - heard_at >= REPLACE_AFTER


def _is_silent(progress: Progress, now: Seconds) -> bool:
    return now - progress.last_contact >= REPLACE_AFTER


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
    return _known_domain(name, state) or name


def _known_domain(name: NodeId, state: VoterState) -> FailureDomainId | None:
    if name == state.node:
        place = state.place
    else:
        progress = state.progress.get(name)
        announced = progress.place if progress is not None else None
        place = announced or state.places.get(name)
    return place.failure_domain if place is not None else None


def _drop_silent_standbys(state: VoterState, now: Seconds) -> None:
    for name, progress in list(state.progress.items()):
        if name in state.members or name in state.seeds:
            continue
        if is_stopping(progress, now):
            # It has to learn of its removal before its process ends.
            continue
        if now - progress.asked_at >= STANDBY_TIMEOUT:
            del state.progress[name]
