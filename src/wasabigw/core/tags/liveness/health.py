"""Passive health checks of backend servers, from the packets of callers.

Each backend server has a circuit breaker. A retransmitted or overdue opening opens it,
unless a caller has acknowledged something new from the backend server since the opening
was sent. After a backoff, a single new flow is let through as a probe. Any response
closes the breaker.

Retransmitted data of an open flow opens the breaker as well. A breaker only decides
where new flows go, and whether the host of the backend server is checked
(:mod:`wasabigw.core.tags.liveness.host_checks`). Open flows are reset only if such a
check found the host unreachable.
"""

from dataclasses import dataclass, field
from enum import Enum

from wasabigw.core.ids import Seconds
from wasabigw.core.tags.packets import FlowId
from wasabigw.core.view_lease import NEVER

INITIAL_BACKOFF = Seconds(1.0)
MAX_BACKOFF = Seconds(8.0)
"""Backoff between probes; it doubles with each failure up to the maximum."""
MAX_DOUBLINGS = 10
"""Doublings beyond any maximum; more would exceed the range of a float."""
UNREACHABLE_TTL = Seconds(1.5)
"""How long a host that was found unreachable causes open flows to be refused.

Shorter than the period after a fault in which flows are allowed to fail: a backend
server that is back in the meantime may still have its flows.
"""
PROBE_TIMEOUT = Seconds(0.5)
"""Time for the answer to a probe; its caller retransmits the opening before that."""

DOUBT_TIME = Seconds(1.0)
"""Time without any answer from which packets count while the own link is congested.

Packets of callers wait that long at most before a balancer.
"""
DOUBT_TTL = Seconds(4.0)
"""Time after which an earlier doubt is not related to a new one any more."""


MAX_UNANSWERED = 2
"""Unanswered flows that are remembered: one, and another one that confirms it."""


class FailureSignal(Enum):
    """Evidence that a backend server does not answer."""

    OPENING_RETRANSMITTED = "an opening was sent again"
    OPENING_OVERDUE = "nothing followed an opening"
    DATA_RETRANSMITTED = "data of an open flow was sent again"


class Health(Enum):
    """State of a circuit breaker: closed, open, or half-open with a probe allowed."""

    ANSWERING = "answering"
    SILENT = "silent"
    PROBED = "probed"


@dataclass(slots=True)
class CircuitBreaker:
    """Circuit breaker of one backend server.

    :param last_response_at: when a caller last acknowledged something new from it.
    :param failures: consecutive failures that opened the breaker or extended its
        backoff.
    :param opened_at: when the latest backoff began.
    :param backoff_until: until when the backend server gets no new flows.
    :param checked_at: when the latest check of its host was requested.
    :param unreachable_at: when its host was last found unreachable.
    :param doubted_since: when the first packet was sent that was not answered while
        the link of this balancer was congested.
    :param unanswered: flows that have had no answer since the last response to any; at
        most :data:`MAX_UNANSWERED` of them.
    """

    last_response_at: Seconds = NEVER
    failures: int = 0
    opened_at: Seconds = NEVER
    backoff_until: Seconds = NEVER
    checked_at: Seconds = NEVER
    unreachable_at: Seconds = NEVER
    doubted_since: Seconds = NEVER
    unanswered: set[FlowId] = field(default_factory=set)


def record_response(breaker: CircuitBreaker, now: Seconds) -> bool:
    """Record a response from the backend server.

    :returns: whether this closes the breaker.
    """
    was_open = breaker.failures > 0
    breaker.last_response_at = now
    breaker.failures = 0
    breaker.backoff_until = NEVER
    breaker.unreachable_at = NEVER
    breaker.unanswered.clear()
    return was_open


def record_failure(breaker: CircuitBreaker, sent_at: Seconds, now: Seconds) -> bool:
    """Record that an opening or data has not been answered yet.

    :param sent_at: when it was first sent.
    :returns: whether this opens the breaker or begins a longer backoff.
    """
    if breaker.last_response_at > sent_at:
        return False
    if breaker.failures > 0 and sent_at < breaker.opened_at:
        # Packets from before the breaker opened are part of the same failure; only
        # those sent since, such as a probe, are new evidence.
        return False
    breaker.opened_at = now
    backoff = INITIAL_BACKOFF * 2 ** min(breaker.failures, MAX_DOUBLINGS)
    breaker.failures += 1
    breaker.backoff_until = Seconds(now + min(backoff, MAX_BACKOFF))
    return True


def confirm_doubt(breaker: CircuitBreaker, sent_at: Seconds, now: Seconds) -> bool:
    """Record a sign of a failure that may be due to the link of the balancer.

    :returns: whether nobody was answered for so long that it counts as a failure.
    """
    is_refuted = breaker.doubted_since <= breaker.last_response_at
    if is_refuted or now - breaker.doubted_since > DOUBT_TTL:
        breaker.doubted_since = sent_at
    return now - breaker.doubted_since >= DOUBT_TIME


def record_silence(breaker: CircuitBreaker, flow: FlowId, sent_at: Seconds) -> None:
    """Record which flow has had no answer, unless there was a response since."""
    is_full = len(breaker.unanswered) >= MAX_UNANSWERED
    if not is_full and breaker.last_response_at <= sent_at:
        breaker.unanswered.add(flow)


def is_silent_to_others(breaker: CircuitBreaker, flow: FlowId) -> bool:
    """Whether a flow other than the given one has had no answer since the last one."""
    return any(unanswered != flow for unanswered in breaker.unanswered)


def record_probe(breaker: CircuitBreaker, now: Seconds) -> None:
    """Record a new flow; if the breaker is not closed, the flow is a probe."""
    if breaker.failures > 0:
        breaker.backoff_until = Seconds(now + PROBE_TIMEOUT)


def is_unreachable(breaker: CircuitBreaker, now: Seconds) -> bool:
    """Whether the host was found unreachable and nothing has shown otherwise since."""
    return now - breaker.unreachable_at < UNREACHABLE_TTL


def health_of(breaker: CircuitBreaker, now: Seconds) -> Health:
    """State of a circuit breaker."""
    if breaker.failures == 0:
        return Health.ANSWERING
    return Health.SILENT if now < breaker.backoff_until else Health.PROBED
