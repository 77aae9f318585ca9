"""Advance of the commit index."""

from dataclasses import replace

from wasabigw.core.commands import VoterRemoved
from wasabigw.core.consensus.effects import ApplyEntries, Effect
from wasabigw.core.consensus.lease import counted_voters
from wasabigw.core.consensus.state import VoterState
from wasabigw.core.consensus.voters import implied_commit, voter_reports
from wasabigw.core.ids import Revision
from wasabigw.core.states import VoterRole
from wasabigw.core.voter_reports import VoterReport, apply_voter_report


def commit_by_majority(state: VoterState) -> list[Effect]:
    """Commit what a majority holds; only entries of the current term are counted."""
    effects: list[Effect] = []
    # Committing an admission changes the majority, so check again afterwards.
    while (revision := _majority_revision(state)) > state.committed:
        effects.extend(commit_up_to(state, revision))
    return effects


def commit_up_to(state: VoterState, revision: Revision) -> list[Effect]:
    """Advance the commit index to a revision that is known to be committed."""
    entries = tuple(state.log.after(state.committed, up_to=revision))
    if not entries:
        return []
    state.committed = entries[-1].revision
    effects: list[Effect] = [ApplyEntries(entries)]
    for entry in entries:
        for report in voter_reports(entry.command):
            if _makes_room(report, state):
                record = replace(state.record, is_successor=False)
                effects.extend(state.save(record))
            _keep_place(report, state)
            apply_voter_report(report, state.members, state.places)
    return [*effects, *update_admission(state)]


def _makes_room(report: VoterReport, state: VoterState) -> bool:
    """Whether a voter is removed whose place this one has taken.

    Until then an added control VM asks for a place again, also if the leader that
    admitted it has ended and the next one has removed it as the surplus voter.
    """
    is_voter = state.members.get(state.node) == state.incarnation
    is_removal = isinstance(report, VoterRemoved) and report.voter != state.node
    return is_voter and is_removal


def _keep_place(report: VoterReport, state: VoterState) -> None:
    """Remember where the leader is if it leads on without a vote.

    Places of earlier ones are forgotten, as their control VMs may be gone.
    """
    place = state.places.get(report.voter)
    is_leader = report.voter == state.leader
    if isinstance(report, VoterRemoved) and is_leader and place is not None:
        state.discovered_places = {report.voter: place}


def commit_implied(state: VoterState) -> list[Effect]:
    """Commit what the latest change of the voters in the log shows to be committed.

    After a restart only the snapshot is known to be committed, until there is a leader.
    The vote of a voter that does not know of its admission counts only if the candidate
    knows that the admission is committed, so it may be needed to elect the leader.
    """
    uncommitted = state.log.after(state.committed)
    term = state.log.term_at(state.committed)
    return commit_up_to(state, implied_commit(uncommitted, term))


def update_admission(state: VoterState) -> list[Effect]:
    """Record whether the committed voters include this incarnation.

    A restarted voter commits its log again from the snapshot on, and the voters may
    then include an earlier incarnation of it for a while. It stays admitted if a later
    entry of its log admits it.
    """
    effects: list[Effect] = []
    if state.members.get(state.node) == state.incarnation:
        effects.extend(state.save(replace(state.record, admitted=True)))
    elif state.latest_voters().members.get(state.node) != state.incarnation:
        effects.extend(state.save(replace(state.record, admitted=False)))
    if state.role in (VoterRole.FOLLOWER, VoterRole.AWAITING_ADMISSION):
        effects.extend(state.change_role(state.idle_role(), state.leader))
    return effects


def _majority_revision(state: VoterState) -> Revision:
    voters = state.latest_voters()
    candidates = {p.matched for p in state.progress.values()}
    candidates.add(state.log.last_revision)
    for revision in sorted(candidates, reverse=True):
        if revision <= state.committed:
            break
        if state.log.term_at(revision) != state.term:
            break
        if voters.is_majority(counted_voters(state, revision)):
            return revision
    return state.committed
