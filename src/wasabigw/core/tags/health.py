"""Which backend servers answer, as far as the packets of callers show.

A circuit breaker for each backend server: an opening that its caller has to repeat
opens it, unless the backend server has shown life since. After a pause a single new
flow is let through as a probe. Any sign of life closes it.

Data of an open flow that its caller sends again is such a sign as well, because a
backend server acknowledges data at once, however long its requests wait. Data that was
sent three times, or data of two callers that was sent twice, without a sign of life
from the backend server to any caller shows that it can't be reached. Its flows are then
given up, so that callers can try elsewhere. Flows without open requests are given up
only on the word of two callers, because the network of one of them may be at fault.
"""

from dataclasses import dataclass
from enum import Enum

from wasabigw.core.ids import Seconds
from wasabigw.core.view import NEVER

INITIAL_BACKOFF = Seconds(1.0)
MAX_BACKOFF = Seconds(8.0)
"""Pauses between probes; each is twice as long as the one before."""
SUSPECT_AFTER = Seconds(0.15)
UNREACHABLE_AFTER = Seconds(0.5)
"""Time from data to its first and second copy, which callers send after 0.2 and 0.6 s.

A balancer that was frozen gets all of them at the same moment, which shows nothing.
"""
CALLERS_TO_CONFIRM = 2
"""Callers whose data was copied once that together show a loss."""
UNREACHABLE_TTL = Seconds(1.5)
"""How long a loss counts for the other flows.

Shorter than the time for which a fault excuses the end of flows, so that a backend
server that is back in the meantime may still have lost them.
"""
PROBE_TIMEOUT = Seconds(0.5)
"""Time in which a probe is answered, or its caller repeats the opening."""


class FailureSignal(Enum):
    """What speaks against a backend server."""

    OPENING_RETRANSMITTED = "an opening was sent again"
    OPENING_OVERDUE = "nothing followed an opening"
    DATA_RETRANSMITTED = "data of an open flow was sent again"


class Health(Enum):
    """Whether new flows may go to a backend server."""

    ANSWERING = "answering"
    SILENT = "silent"
    PROBED = "probed"


@dataclass(slots=True)
class CircuitBreaker:
    """Signs of life of one backend server.

    :param last_response_at: when a caller last acknowledged something new from it.
    :param failures: unanswered openings in a row.
    :param opened_at: when the latest pause began.
    :param backoff_until: until when it gets no new flows.
    :param suspecting_callers: callers that retransmitted since the last response, each
        within the time that a loss is remembered after the one before.
    :param suspected_at: when the latest of them was noted.
    :param unreachable_at: when it was last found unreachable.
    """

    last_response_at: Seconds = NEVER
    failures: int = 0
    opened_at: Seconds = NEVER
    backoff_until: Seconds = NEVER
    suspecting_callers: frozenset[int] = frozenset()
    suspected_at: Seconds = NEVER
    unreachable_at: Seconds = NEVER


def record_response(breaker: CircuitBreaker, now: Seconds) -> bool:
    """Note that the backend server has answered a caller.

    :returns: whether this closes the breaker.
    """
    was_open = breaker.failures > 0
    breaker.last_response_at = now
    breaker.failures = 0
    breaker.backoff_until = NEVER
    breaker.suspecting_callers = frozenset()
    breaker.unreachable_at = NEVER
    return was_open


def record_failure(breaker: CircuitBreaker, sent_at: Seconds, now: Seconds) -> bool:
    """Note that an opening or data, sent at a time, has not been answered yet.

    :returns: whether this opens the breaker, or begins a longer pause.
    """
    if breaker.last_response_at > sent_at:
        return False
    if breaker.failures > 0 and sent_at < breaker.opened_at:
        # Only what was sent since, a probe, says more than what opened the breaker.
        return False
    breaker.opened_at = now
    pause = INITIAL_BACKOFF * 2**breaker.failures
    breaker.failures += 1
    breaker.backoff_until = Seconds(now + min(pause, MAX_BACKOFF))
    return True


def record_probe(breaker: CircuitBreaker, now: Seconds) -> None:
    """Note that a new flow goes to the backend server; of a silent one, a probe."""
    if breaker.failures > 0:
        breaker.backoff_until = Seconds(now + PROBE_TIMEOUT)


def record_retransmission(
    breaker: CircuitBreaker,
    caller: int,
    sent_at: Seconds,
    retransmissions: int,
    now: Seconds,
) -> bool:
    """Note that a caller sent data of an open flow again.

    :param caller: its address.
    :param sent_at: when it sent the data first.
    :param retransmissions: how often it has sent the data again.
    :returns: whether this opens the breaker, or begins a longer pause.
    """
    waited = now - sent_at
    if breaker.last_response_at > sent_at or waited < SUSPECT_AFTER:
        return False
    has_opened = record_failure(breaker, sent_at, now)
    is_recent = now - breaker.suspected_at < UNREACHABLE_TTL
    others = breaker.suspecting_callers if is_recent else frozenset()
    breaker.suspecting_callers = others | {caller}
    breaker.suspected_at = now
    if is_failure_confirmed(breaker) or (
        retransmissions > 1 and waited >= UNREACHABLE_AFTER
    ):
        breaker.unreachable_at = now
    return has_opened


def is_failure_confirmed(breaker: CircuitBreaker) -> bool:
    """Whether several callers have doubts about a backend server."""
    return len(breaker.suspecting_callers) >= CALLERS_TO_CONFIRM


def is_unreachable(breaker: CircuitBreaker, sent_at: Seconds, now: Seconds) -> bool:
    """Whether data of an open flow, first sent at a time, will get no answer."""
    is_recent = now - breaker.unreachable_at < UNREACHABLE_TTL
    return is_recent and breaker.last_response_at <= sent_at


def health_of(breaker: CircuitBreaker, now: Seconds) -> Health:
    """State of a breaker."""
    if breaker.failures == 0:
        return Health.ANSWERING
    return Health.SILENT if now < breaker.backoff_until else Health.PROBED
