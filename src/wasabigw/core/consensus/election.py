"""Pre-vote, election, and the votes for other candidates."""

from dataclasses import replace

from wasabigw.core.commands import LeaderElected
from wasabigw.core.consensus.effects import (
    AnswerMessage,
    Effect,
    ElectionFailed,
    MissingVote,
    SendMessage,
)
from wasabigw.core.consensus.messages import (
    Envelope,
    PreVoteRequest,
    PreVoteResponse,
    TransferResponse,
    VoteRequest,
    VoteResponse,
)
from wasabigw.core.consensus.replication import RESEND_AFTER, append_commands
from wasabigw.core.consensus.state import Progress, SentVoteRequest, VoterState
from wasabigw.core.ids import NodeId, Revision, Seconds, Term
from wasabigw.core.states import MissingVoteReason, VoterRole
from wasabigw.core.timing import ELECTION_TIMEOUT_MIN, STANDBY_TIMEOUT

SPLIT_VOTE_DELAY = Seconds(0.5)
"""Longest random time after which a candidate stands again after a split vote."""


def adopt_term(state: VoterState, term: Term) -> list[Effect]:
    """Change to a higher term, in which this voter has not voted yet."""
    effects: list[Effect] = []
    record = replace(
        state.record, term=term, candidate=None, candidate_incarnation=None
    )
    effects.extend(state.save(record))
    effects.extend(step_down(state))
    return effects


def step_down(state: VoterState) -> list[Effect]:
    """Stop being leader or candidate; no leader is known."""
    state.progress.clear()
    state.votes.clear()
    state.missing_vote_reasons.clear()
    return [*state.change_role(state.idle_role(), None)]


def start_pre_vote(state: VoterState, now: Seconds, jitter: float) -> list[Effect]:
    """Ask the other voters whether they would vote for this one."""
    effects: list[Effect] = []
    if state.role in (VoterRole.PRE_CANDIDATE, VoterRole.CANDIDATE):
        effects.append(_failed_election(state))
    else:
        state.asked_since = now
    _reset_votes(state)
    state.reset_election_timer(now, jitter)
    effects.extend(state.change_role(VoterRole.PRE_CANDIDATE, None))
    if _has_won(state):
        return effects + _start_election(state, now, jitter)
    request = PreVoteRequest(
        Term(state.term + 1), state.log.last_revision, state.log.last_term
    )
    return effects + _request_votes(state, request, now)


def repeat_vote_requests(
    state: VoterState, now: Seconds, jitter: float
) -> list[Effect]:
    """Repeat the request of a candidate to the voters that have not answered it.

    Without it, a lost request costs a whole election timeout. A candidate that lacks
    votes because another one has got them stands again earlier for the same reason.
    """
    is_candidate = state.role in (VoterRole.PRE_CANDIDATE, VoterRole.CANDIDATE)
    request = state.vote_request
    if not is_candidate or request is None or now - request.sent_at < RESEND_AFTER:
        return []
    if state.role is VoterRole.CANDIDATE and _is_split(state):
        retry_at = Seconds(now + SPLIT_VOTE_DELAY * jitter)
        state.election_at = min(state.election_at, retry_at)
    return _request_votes(state, request.body, now)


def answer_pre_vote(
    state: VoterState, request: PreVoteRequest, now: Seconds
) -> list[Effect]:
    """Grant a pre-vote only if this voter would also grant the vote."""
    granted = (
        request.candidate_term > state.term
        and not _has_recent_leader(state, now)
        and _is_up_to_date(state, request.last_revision, request.last_term)
    )
    answer = PreVoteResponse(request.candidate_term, granted)
    return [AnswerMessage(state.envelope(answer))]


def count_pre_vote(
    state: VoterState,
    envelope: Envelope,
    response: PreVoteResponse,
    now: Seconds,
    jitter: float,
) -> list[Effect]:
    """Count a pre-vote, and start the election once there is a majority."""
    if state.role is not VoterRole.PRE_CANDIDATE:
        return []
    if response.candidate_term != state.term + 1:
        return []
    _record_vote(state, envelope, response.granted)
    return _start_election(state, now, jitter) if _has_won(state) else []


def ignores_vote_request(state: VoterState, request: VoteRequest, now: Seconds) -> bool:
    """Whether a vote request is ignored, including its term.

    The lease of the current leader may depend on this voter's last acknowledgement,
    unless that leader has given up its leadership to the candidate.
    """
    return not request.is_transfer and _has_recent_leader(state, now)


def answer_vote(
    state: VoterState, envelope: Envelope, request: VoteRequest, now: Seconds
) -> list[Effect]:
    """Vote for at most one candidate in a term; the vote is durable.

    A voter that is not admitted votes as well: the candidate decides whether the vote
    counts.
    """
    record = state.record
    candidate = (envelope.sender, envelope.incarnation)
    has_not_voted = record.candidate is None
    voted_for_it = (record.candidate, record.candidate_incarnation) == candidate
    granted = (
        envelope.term == state.term
        and not ignores_vote_request(state, request, now)
        and (has_not_voted or voted_for_it)
        and _is_up_to_date(state, request.last_revision, request.last_term)
    )
    effects: list[Effect] = []
    if granted:
        vote = replace(
            record, candidate=candidate[0], candidate_incarnation=candidate[1]
        )
        effects.extend(state.save(vote))
        # The candidate gets time to win before this voter starts an election.
        state.election_at = max(state.election_at, Seconds(now + ELECTION_TIMEOUT_MIN))
    effects.append(AnswerMessage(state.envelope(VoteResponse(granted))))
    return effects


def count_vote(
    state: VoterState, envelope: Envelope, response: VoteResponse, now: Seconds
) -> list[Effect]:
    """Count a vote, and become leader once there is a majority."""
    if state.role is not VoterRole.CANDIDATE:
        return []
    if envelope.term != state.term:
        return []
    _record_vote(state, envelope, response.granted)
    return _become_leader(state, now) if _has_won(state) else []


def answer_transfer(
    state: VoterState, envelope: Envelope, now: Seconds, jitter: float
) -> list[Effect]:
    """Stand for election at once, because the leader gives up its leadership.

    A leadership transfer as in Raft (Ongaro, dissertation, section 3.10).
    """
    accepted = (
        envelope.term == state.term
        and envelope.sender == state.leader
        and state.role is VoterRole.FOLLOWER
        and state.own_vote_counts
        and not state.is_removed
        and state.stop is None
    )
    effects: list[Effect] = [AnswerMessage(state.envelope(TransferResponse(accepted)))]
    if accepted:
        state.asked_since = now
        effects.extend(_start_election(state, now, jitter, is_transfer=True))
    return effects


def _start_election(
    state: VoterState, now: Seconds, jitter: float, is_transfer: bool = False
) -> list[Effect]:
    state.reset_election_timer(now, jitter)
    _reset_votes(state)
    term = Term(state.term + 1)
    record = replace(
        state.record,
        term=term,
        candidate=state.node,
        candidate_incarnation=state.incarnation,
    )
    effects: list[Effect] = [*state.save(record)]
    effects.extend(state.change_role(VoterRole.CANDIDATE, None))
    if _has_won(state):
        return effects + _become_leader(state, now)
    request = VoteRequest(state.log.last_revision, state.log.last_term, is_transfer)
    return effects + _request_votes(state, request, now)


def _become_leader(state: VoterState, now: Seconds) -> list[Effect]:
    state.leader_since = now
    state.heartbeat_at = now
    last = state.log.last_revision
    state.progress = {
        peer: Progress(next_after=last, heard_before=now) for peer in state.peers
    }
    former = state.last_leader
    if former is not None and former.node in state.progress:
        # The others are silent to a voter that does not lead.
        state.progress[former.node].heard_before = former.heard_at
    for name, standby in state.standbys.items():
        if now - standby.asked_at < STANDBY_TIMEOUT:
            state.progress.setdefault(name, replace(standby))
    state.standbys.clear()
    effects: list[Effect] = [*state.change_role(VoterRole.LEADER, state.node)]
    effects.extend(append_commands(state, (LeaderElected(state.node),), now))
    return effects


def _reset_votes(state: VoterState) -> None:
    state.votes = {state.node}
    state.missing_vote_reasons.clear()


def _record_vote(state: VoterState, envelope: Envelope, granted: bool) -> None:
    sender = envelope.sender
    if not granted:
        state.missing_vote_reasons[sender] = MissingVoteReason.REFUSED
    elif _vote_counts(state, envelope):
        state.votes.add(sender)
    else:
        state.missing_vote_reasons[sender] = MissingVoteReason.NOT_COUNTED


def _vote_counts(state: VoterState, envelope: Envelope) -> bool:
    """Whether the vote of a voter counts towards a majority.

    The voter need not know that its admission is committed if the candidate does: all
    entries that are committed before the admission are then in the candidate's log, and
    no candidate of a later term can have won with a promise of the earlier disk.
    """
    sender, incarnation = envelope.sender, envelope.incarnation
    voters = state.latest_voters()
    if voters.counts(sender, incarnation, envelope.admitted):
        return True
    latest = voters.members.get(sender)
    return latest == state.members.get(sender) == incarnation


def _is_split(state: VoterState) -> bool:
    """Whether a voter has refused its vote, for example because it has another one."""
    return MissingVoteReason.REFUSED in state.missing_vote_reasons.values()


def _failed_election(state: VoterState) -> ElectionFailed:
    members = state.latest_voters().members
    missing = tuple(
        MissingVote(name, _missing_vote_reason(state, name))
        for name in members
        if name not in state.votes
    )
    return ElectionFailed(
        state.term, len(state.votes & members.keys()), len(members), missing
    )


def _missing_vote_reason(state: VoterState, name: NodeId) -> MissingVoteReason:
    if not state.has_address(name):
        return MissingVoteReason.NO_ADDRESS
    return state.missing_vote_reasons.get(name, MissingVoteReason.NO_ANSWER)


def _has_won(state: VoterState) -> bool:
    voters = state.latest_voters()
    return voters.is_majority(state.votes & voters.members.keys())


def _has_recent_leader(state: VoterState, now: Seconds) -> bool:
    if state.role is VoterRole.LEADER:
        return True
    return now - state.last_contact < ELECTION_TIMEOUT_MIN


def _is_up_to_date(state: VoterState, revision: Revision, term: Term) -> bool:
    last = (state.log.last_term, state.log.last_revision)
    return (term, revision) >= last


def _request_votes(
    state: VoterState, body: PreVoteRequest | VoteRequest, now: Seconds
) -> list[Effect]:
    """Send a request to all that have not answered it."""
    state.vote_request = SentVoteRequest(body, now)
    envelope = state.envelope(body)
    answered = state.votes | state.missing_vote_reasons.keys()
    return [SendMessage(peer, envelope) for peer in state.peers if peer not in answered]
