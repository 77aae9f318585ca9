"""State machine of a voter: ``handle(event, state) -> effects``.

Modelled on Raft (Ongaro and Ousterhout, USENIX ATC 2014) with pre-vote,
check-quorum and a leader lease.
"""

from dataclasses import replace
from functools import singledispatch

from wasabigw.core.consensus.commit import commit_implied
from wasabigw.core.consensus.effects import Effect, SaveSnapshot, SendMessage
from wasabigw.core.consensus.election import (
    adopt_term,
    answer_pre_vote,
    answer_transfer,
    answer_vote,
    count_pre_vote,
    count_vote,
    ignores_vote_request,
    repeat_vote_requests,
    start_pre_vote,
    step_down,
)
from wasabigw.core.consensus.events import (
    ClockTick,
    EnvelopeReceived,
    Proposed,
    SeedsChanged,
    SnapshotTaken,
    StopRequested,
)
from wasabigw.core.consensus.lease import majority_contact
from wasabigw.core.consensus.messages import (
    AdmissionRequest,
    AdmissionResponse,
    AppendRequest,
    AppendResponse,
    PreVoteRequest,
    PreVoteResponse,
    SnapshotRequest,
    StopNotice,
    StopNoticeResponse,
    TransferRequest,
    TransferResponse,
    VoteRequest,
    VoteResponse,
)
from wasabigw.core.consensus.planned_stop import (
    answer_stop_notice,
    continue_stop,
    election_delay,
    record_stop_answer,
    record_transfer_answer,
    request_stop,
)
from wasabigw.core.consensus.replication import (
    answer_admission,
    answer_append,
    answer_snapshot,
    append_commands,
    apply_admission_response,
    reconfigure,
    record_append_response,
    send_heartbeats,
)
from wasabigw.core.consensus.state import HeardLeader, VoterState
from wasabigw.core.ids import Seconds
from wasabigw.core.states import VoterRole
from wasabigw.core.timing import (
    ADMISSION_RETRY_DELAY,
    ELECTION_TIMEOUT_MAX,
    ELECTION_TIMEOUT_MIN,
    LOG_KEPT_BEHIND_SNAPSHOT,
)

NO_LEADER_TIMEOUT = Seconds(2 * ELECTION_TIMEOUT_MAX)
"""Time without a leader after which a voter checks whether it was removed."""


@singledispatch
def handle(event: object, state: VoterState) -> list[Effect]:
    """Handle an event; the effects must be executed in order."""
    raise TypeError(f"not a voter event: {event!r}")


@handle.register
def _(event: ClockTick, state: VoterState) -> list[Effect]:
    effects = continue_stop(state, event.now, event.jitter)
    if state.role is VoterRole.LEADER:
        return effects + _tick_as_leader(state, event)
    effects.extend(commit_implied(state))
    effects.extend(repeat_vote_requests(state, event.now, event.jitter))
    if not state.record.admitted:
        effects.extend(_request_admission(state, event.now))
    stands_at = state.election_at + election_delay(state)
    if event.now < stands_at or not state.own_vote_counts:
        return effects
    if (
        event.now - state.last_contact >= NO_LEADER_TIMEOUT
        and state.target_voters is not None
    ):
        # This voter may have been removed; the others do not notify removed voters.
        effects.extend(_request_admission(state, event.now))
    if not state.is_removed:
        effects.extend(start_pre_vote(state, event.now, event.jitter))
    return effects


@handle.register
def _(event: Proposed, state: VoterState) -> list[Effect]:
    if not state.accepts_commands or not event.commands:
        return []
    return append_commands(state, event.commands, event.now)


@handle.register
def _(event: SnapshotTaken, state: VoterState) -> list[Effect]:
    snapshot = event.snapshot
    if not state.snapshot.revision < snapshot.revision <= state.committed:
        return []
    state.snapshot = snapshot
    state.log.compact(snapshot.revision, snapshot.term, LOG_KEPT_BEHIND_SNAPSHOT)
    return [SaveSnapshot(snapshot)]


@handle.register
def _(event: SeedsChanged, state: VoterState) -> list[Effect]:
    # Without a target number the seeds are the voters, which only a restart changes.
    if state.target_voters is not None:
        state.seeds = event.seeds
    return []


@handle.register
def _(event: StopRequested, state: VoterState) -> list[Effect]:
    return request_stop(state, event.now)


@handle.register
def _(event: EnvelopeReceived, state: VoterState) -> list[Effect]:
    effects: list[Effect] = []
    former = state.last_leader
    if former is not None and former.node == event.envelope.sender:
        state.last_leader = replace(former, heard_at=event.now)
    if event.envelope.term > state.term and _changes_term(event, state):
        effects.extend(adopt_term(state, event.envelope.term))
    return effects + _receive(event.envelope.body, event, state)


def _changes_term(event: EnvelopeReceived, state: VoterState) -> bool:
    body = event.envelope.body
    if isinstance(body, VoteRequest):
        return not ignores_vote_request(state, body, event.now)
    # A pre-vote must not depose a leader, and the term of a voter that is waiting for
    # its admission does not count.
    return not isinstance(body, PreVoteRequest | AdmissionRequest)


@singledispatch
def _receive(body: object, event: EnvelopeReceived, state: VoterState) -> list[Effect]:
    raise TypeError(f"not a consensus message: {body!r}")


@_receive.register
def _(body: PreVoteRequest, event: EnvelopeReceived, state: VoterState) -> list[Effect]:
    return answer_pre_vote(state, body, event.now)


@_receive.register
def _(
    body: PreVoteResponse, event: EnvelopeReceived, state: VoterState
) -> list[Effect]:
    return count_pre_vote(state, event.envelope, body, event.now, event.jitter)


@_receive.register
def _(body: VoteRequest, event: EnvelopeReceived, state: VoterState) -> list[Effect]:
    return answer_vote(state, event.envelope, body, event.now)


@_receive.register
def _(body: VoteResponse, event: EnvelopeReceived, state: VoterState) -> list[Effect]:
    return count_vote(state, event.envelope, body, event.now)


@_receive.register
def _(body: AppendRequest, event: EnvelopeReceived, state: VoterState) -> list[Effect]:
    effects = _accept_leader(event, state)
    return effects + answer_append(state, event.envelope, body, event.now)


@_receive.register
def _(
    body: SnapshotRequest, event: EnvelopeReceived, state: VoterState
) -> list[Effect]:
    effects = _accept_leader(event, state)
    return effects + answer_snapshot(state, event.envelope, body)


@_receive.register
def _(body: AppendResponse, event: EnvelopeReceived, state: VoterState) -> list[Effect]:
    return record_append_response(state, event.envelope, body, event.now)


@_receive.register
def _(
    body: AdmissionRequest, event: EnvelopeReceived, state: VoterState
) -> list[Effect]:
    return answer_admission(state, event.envelope, body, event.now)


@_receive.register
def _(
    body: AdmissionResponse, event: EnvelopeReceived, state: VoterState
) -> list[Effect]:
    return apply_admission_response(state, body)


@_receive.register
def _(body: StopNotice, event: EnvelopeReceived, state: VoterState) -> list[Effect]:
    return answer_stop_notice(state, event.envelope, body, event.now)


@_receive.register
def _(
    body: StopNoticeResponse, event: EnvelopeReceived, state: VoterState
) -> list[Effect]:
    return record_stop_answer(state, body, event.now)


@_receive.register
def _(
    body: TransferRequest, event: EnvelopeReceived, state: VoterState
) -> list[Effect]:
    return answer_transfer(state, event.envelope, event.now, event.jitter)


@_receive.register
def _(
    body: TransferResponse, event: EnvelopeReceived, state: VoterState
) -> list[Effect]:
    return record_transfer_answer(state, body)


def _accept_leader(event: EnvelopeReceived, state: VoterState) -> list[Effect]:
    if event.envelope.term < state.term:
        return []
    state.last_contact = event.now
    state.last_leader = HeardLeader(event.envelope.sender, event.now)
    state.reset_election_timer(event.now, event.jitter)
    state.votes.clear()
    state.missing_vote_reasons.clear()
    return [*state.change_role(state.idle_role(), event.envelope.sender)]


def _tick_as_leader(state: VoterState, event: ClockTick) -> list[Effect]:
    now = event.now
    # A new voter counts only once it has learned of its admission, so a majority gets
    # the full timeout after each change.
    earliest = max(state.leader_since, state.voters_changed_at)
    last_contact = max(majority_contact(state, now), earliest)
    if now - last_contact >= ELECTION_TIMEOUT_MIN:
        state.reset_election_timer(now, event.jitter)
        return step_down(state)
    effects = reconfigure(state, now)
    if now >= state.heartbeat_at:
        effects.extend(send_heartbeats(state, now))
    return effects


def _request_admission(state: VoterState, now: Seconds) -> list[Effect]:
    # The leader would take a control VM that stops for a standby again.
    if now < state.admission_at or state.stop is not None:
        return []
    state.admission_at = Seconds(now + ADMISSION_RETRY_DELAY)
    is_successor = state.record.is_successor
    request = AdmissionRequest(state.committed, state.place, is_successor)
    envelope = state.envelope(request)
    return [SendMessage(peer, envelope) for peer in state.peers]
