"""Planned stop of the process of a control VM.

The voter tells the leader of its stop and waits until a standby has taken its place, so
that the next loss meets a full set of voters. Nothing is removed without a standby that
holds the log, because the control VM may return. A leader that stops also passes its
leadership on, as in Raft (Ongaro, dissertation, section 3.10).
"""

from dataclasses import replace

from wasabigw.core.consensus import reconfiguration
from wasabigw.core.consensus.effects import (
    AnswerMessage,
    Effect,
    SendMessage,
    StopReady,
    StopWithoutStandby,
)
from wasabigw.core.consensus.election import step_down
from wasabigw.core.consensus.lease import counted_voters
from wasabigw.core.consensus.messages import (
    Envelope,
    StopNotice,
    StopNoticeResponse,
    TransferRequest,
    TransferResponse,
)
from wasabigw.core.consensus.replication import reconfigure, send_next, track
from wasabigw.core.consensus.state import PlannedStop, VoterState
from wasabigw.core.ids import NodeId, Seconds
from wasabigw.core.states import ReplacementStatus, StopOutcome, VoterRole
from wasabigw.core.timing import ELECTION_TIMEOUT_MIN, HEARTBEAT_INTERVAL

STOP_TIMEOUT = Seconds(3.5)
"""Longest time by which a voter delays its stop, for example while none leads.

It includes an election. The rest of the time that a supervisor allows is needed to
close servers and files.
"""
ANSWER_TIMEOUT = Seconds(4 * HEARTBEAT_INTERVAL)
"""Time without an answer of a leader after which a standby stops all the same."""
NOTICE_INTERVAL = Seconds(HEARTBEAT_INTERVAL / 2)
TRANSFER_TIMEOUT = ANSWER_TIMEOUT
"""Time for which a former leader waits for the next one, which may need its vote."""


def election_delay(state: VoterState) -> Seconds:
    """Time by which a voter that stops lets the others stand for election first."""
    is_stopping = state.stop is not None and state.stop.outcome is None
    return ELECTION_TIMEOUT_MIN if is_stopping else Seconds(0.0)


def request_stop(state: VoterState, now: Seconds) -> list[Effect]:
    """Begin a planned stop; the voter goes on until it may stop."""
    if state.stop is None:
        state.stop = PlannedStop(now, not state.is_removed, now, now)
    if state.target_voters is None:
        return _finish(state, StopOutcome.FIXED_VOTERS)
    return []


def continue_stop(state: VoterState, now: Seconds, jitter: float) -> list[Effect]:
    """Do what the planned stop needs next, if one was requested."""
    stop = state.stop
    if stop is None or stop.outcome is not None:
        return []
    outcome = _outcome(state, stop, now)
    if outcome is not None:
        return _finish(state, outcome)
    if state.role is VoterRole.LEADER:
        return _stop_as_leader(state, stop, now, jitter)
    if state.leader is None or now < stop.notice_at or stop.passed_at is not None:
        return []
    state.stop = replace(stop, notice_at=Seconds(now + NOTICE_INTERVAL))
    notice = StopNotice(state.committed, state.place)
    return [SendMessage(state.leader, state.envelope(notice))]


def answer_stop_notice(
    state: VoterState, envelope: Envelope, notice: StopNotice, now: Seconds
) -> list[Effect]:
    """Replace a voter that is about to stop, if a standby is ready."""
    sender = envelope.sender
    effects: list[Effect] = []
    status = ReplacementStatus.NO_LEADER
    if state.role is VoterRole.LEADER:
        progress = track(state, envelope, notice.committed, notice.place)
        progress.stop_noticed_at = now
        effects.extend(reconfigure(state, now))
        status = reconfiguration.replacement_status(sender, state, now)
        if status is ReplacementStatus.NO_STANDBY:
            effects.append(StopWithoutStandby(sender))
        if status is ReplacementStatus.NOT_A_VOTER:
            # Its log may not yet tell it of its removal.
            effects.extend(send_next(state, sender, now))
    effects.append(AnswerMessage(state.envelope(StopNoticeResponse(status))))
    return effects


def record_stop_answer(
    state: VoterState, response: StopNoticeResponse, now: Seconds
) -> list[Effect]:
    """Record what the leader has answered to the notice of a stop."""
    stop = state.stop
    status = response.status
    if stop is None or stop.outcome is not None:
        return []
    if status is ReplacementStatus.NO_LEADER:
        return []
    state.stop = replace(stop, heard_at=now)
    if status is ReplacementStatus.NO_STANDBY:
        return _finish(state, StopOutcome.NO_STANDBY)
    if status is ReplacementStatus.NOT_A_VOTER and not stop.was_voter:
        return _finish(state, StopOutcome.NOT_A_VOTER)
    return []


def record_transfer_answer(
    state: VoterState, response: TransferResponse
) -> list[Effect]:
    """Stop once another voter stands for election, unless it needs this vote."""
    stop = state.stop
    if stop is None or stop.outcome is not None or stop.passed_at is None:
        return []
    if not response.accepted or not state.is_removed:
        return []
    return _finish(state, StopOutcome.REPLACED)


def _outcome(state: VoterState, stop: PlannedStop, now: Seconds) -> StopOutcome | None:
    """Why the process may stop now; ``None`` if it has to wait."""
    if now - stop.requested_at >= STOP_TIMEOUT:
        is_heard = now - stop.heard_at < ANSWER_TIMEOUT
        return StopOutcome.TIMED_OUT if is_heard else StopOutcome.NO_ANSWER
    if state.role is VoterRole.LEADER:
        return None
    is_replaced = stop.was_voter and state.is_removed
    if stop.passed_at is not None:
        is_passed = state.leader not in (None, state.node)
        if not is_passed and now - stop.passed_at < TRANSFER_TIMEOUT:
            return None
        return StopOutcome.REPLACED if is_replaced else StopOutcome.NO_STANDBY
    if is_replaced:
        return StopOutcome.REPLACED
    if not stop.was_voter and now - stop.heard_at >= ANSWER_TIMEOUT:
        return StopOutcome.NO_ANSWER
    return None


def _finish(state: VoterState, outcome: StopOutcome) -> list[Effect]:
    assert state.stop is not None
    state.stop = replace(state.stop, outcome=outcome)
    return [StopReady(outcome)]


def _stop_as_leader(
    state: VoterState, stop: PlannedStop, now: Seconds, jitter: float
) -> list[Effect]:
    """Wait for the replacement of this leader, then pass the leadership on."""
    state.stop = replace(stop, heard_at=now)
    status = reconfiguration.replacement_status(state.node, state, now)
    has_time = now - stop.requested_at < STOP_TIMEOUT - 2 * TRANSFER_TIMEOUT
    if status is ReplacementStatus.IN_PROGRESS and has_time:
        return []
    state.stop = replace(state.stop, is_passing=True)
    if state.committed < state.log.last_revision:
        # The callers of the last changes get their answers first.
        return []
    successor = _successor(state, now)
    if successor is None:
        # Without one, the others elect a leader once this process has ended.
        return [] if state.is_removed else _finish(state, StopOutcome.NO_STANDBY)
    state.stop = replace(state.stop, passed_at=now)
    request = SendMessage(successor, state.envelope(TransferRequest()))
    state.reset_election_timer(now, jitter)
    return [request, *step_down(state)]


def _successor(state: VoterState, now: Seconds) -> NodeId | None:
    """Voter that holds the whole log and answers, to lead next."""
    ready = counted_voters(state, state.log.last_revision) - {state.node}
    candidates = [
        name
        for name in ready
        if state.progress[name].admitted
        and reconfiguration.is_in_contact(name, state, now)
        and not reconfiguration.is_stopping(state.progress[name], now)
    ]
    return max(
        candidates,
        key=lambda name: (state.progress[name].last_contact, name),
        default=None,
    )
