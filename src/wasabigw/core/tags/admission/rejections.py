"""Rejections by full backend servers, and the further tries that follow them.

Answers bypass the balancer, which sees how many bytes of them callers acknowledge. A
rejection has a head only, so it is short. Other answers of a service may be as short;
only what exceeds their usual share counts as rejected.
"""

from math import sqrt

from wasabigw.core.ids import Seconds
from wasabigw.core.rates import add_recent, recent_sum
from wasabigw.core.tags.admission.admission_state import AnswerCounts, CallerKey
from wasabigw.core.tags.packets import FlowId, FlowPacket, sequence_distance
from wasabigw.core.tags.state import Flow, TagState

MAX_REJECTION_BYTES = 384
"""Size up to which an answer may be a rejection: a status line and some fields."""
FURTHER_TRY_WINDOW = Seconds(0.05)
"""Time from a rejection to an opening of the same caller that is a further try.

Callers try again within milliseconds; the acknowledgement of a rejection and the next
opening may pass this balancer in either order of their queues.
"""
MAX_REJECTED_CALLERS = 4096
"""Maximum number of callers that are remembered as rejected."""
MAX_REJECTED_SHARE = 0.9
"""Largest share that is assumed, so that the expected delay stays finite."""
MAX_USUAL_SHARE = 0.9
"""Usual share of short answers from which on rejections can't be told from these."""
MAX_UNUSUAL_SHARE = 0.5
"""Usual share of short answers below which these say nothing about the speed.

If more are short, the speed can't be told without them.
"""
MIN_REJECTIONS = 2.0
"""Rejections, of which older ones count less, that are no coincidence."""
MIN_DEVIATIONS = 3.0
"""Standard deviations of the share of short answers that are no coincidence."""
LEARNING_TIME = Seconds(30.0)
"""Time in which the usual share of short answers follows a higher one."""
UNLEARNING_TIME = Seconds(3.0)
"""Time in which it follows a lower one.

Longer than the time constant of the counts, so that it doesn't follow their minimum.
"""
MIN_ANSWERS = 5.0
"""Answers, of which older ones count less, from which their kinds are compared."""


def record_answer(
    packet: FlowPacket, flow: Flow, state: TagState, now: Seconds
) -> None:
    """Record the answer that a caller acknowledges, if it waits for one."""
    control = state.admission.services.get(flow.server.registration.service)
    if control is None or flow.pending_sequence is None:
        return
    size = sequence_distance(flow.acknowledged, packet.acknowledged)
    if size <= 0:
        return
    add_recent(control.answers.all, now)
    if size > MAX_REJECTION_BYTES:
        return
    add_recent(control.answers.short, now)
    add_recent(control.answers.short_time, now, now - flow.pending_since)
    if _are_mostly_rejections(control.answers, now):
        record_rejected_caller(packet.flow, state, now)


def seems_rejection(packet: FlowPacket, flow: Flow, state: TagState) -> bool:
    """Whether an answer that a caller acknowledges is short where most are not.

    Its time says nothing about the speed of the backend server: one that rejects or
    fails at once would seem fast, and get more and more requests.
    """
    control = state.admission.services.get(flow.server.registration.service)
    if control is None or not are_short_answers_unusual(control.answers):
        return False
    size = sequence_distance(flow.acknowledged, packet.acknowledged)
    return size <= MAX_REJECTION_BYTES


def are_short_answers_unusual(answers: AnswerCounts) -> bool:
    """Whether most answers of a service are known to be longer than rejections."""
    usual = answers.usual_share
    return usual is not None and usual < MAX_UNUSUAL_SHARE


def record_rejected_caller(flow: FlowId, state: TagState, now: Seconds) -> None:
    """Remember a caller, whose next opening is a further try."""
    callers = state.admission.rejected_callers
    key = _key_of(flow)
    callers.pop(key, None)
    if len(callers) >= MAX_REJECTED_CALLERS:
        callers.popitem(last=False)
    callers[key] = now


def take_further_try(flow: FlowId, state: TagState, now: Seconds) -> bool:
    """Whether an opening follows a rejection; each rejection explains one opening."""
    rejected_at = state.admission.rejected_callers.pop(_key_of(flow), None)
    return rejected_at is not None and now - rejected_at <= FURTHER_TRY_WINDOW


def learn_usual_share(answers: AnswerCounts, elapsed: Seconds, now: Seconds) -> None:
    """Learn how many answers are short while the service has room.

    The share rises slowly: figures show a surge a second or two after the rejections
    that it causes, which must not become usual meanwhile.

    :param elapsed: time since the last call.
    """
    share = _short_share(answers, now)
    if share is None:
        return
    usual = answers.usual_share
    if usual is None:
        answers.usual_share = share
        return
    time = LEARNING_TIME if share > usual else UNLEARNING_TIME
    answers.usual_share = usual + (share - usual) * min(elapsed / time, 1.0)


def rejected_share(answers: AnswerCounts, now: Seconds) -> float:
    """Share of the requests of a service that backend servers reject.

    :returns: 0 as long as the usual share of short answers is not known, if nearly all
        answers are short, and while there are too few of them to tell.
    """
    share = _short_share(answers, now)
    if share is None or answers.usual_share is None:
        return 0.0
    usual = answers.usual_share
    if usual >= MAX_USUAL_SHARE:
        return 0.0
    count = recent_sum(answers.all, now)
    # Answers that count less and less vary as half as many that count in full.
    deviation = sqrt(count * usual * (1.0 - usual) / 2)
    if (share - usual) * count < max(MIN_REJECTIONS, MIN_DEVIATIONS * deviation):
        return 0.0
    return min((share - usual) / (1.0 - usual), MAX_REJECTED_SHARE)


def rejection_time(answers: AnswerCounts, now: Seconds) -> float:
    """Mean time in seconds from a request to its rejection."""
    count = recent_sum(answers.short, now)
    return recent_sum(answers.short_time, now) / count if count > 0 else 0.0


def _short_share(answers: AnswerCounts, now: Seconds) -> float | None:
    count = recent_sum(answers.all, now)
    if count < MIN_ANSWERS:
        return None
    return recent_sum(answers.short, now) / count


def _are_mostly_rejections(answers: AnswerCounts, now: Seconds) -> bool:
    """Whether most of the recent short answers are rejections; assumed if unknown."""
    share, usual = _short_share(answers, now), answers.usual_share
    return share is None or usual is None or usual < share / 2


def _key_of(flow: FlowId) -> CallerKey:
    return CallerKey(flow.caller, flow.listener, flow.listener_port)
