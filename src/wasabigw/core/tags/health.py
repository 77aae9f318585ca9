"""Passive health checks of backend servers, from the packets of callers.

Each backend server has a circuit breaker. A retransmitted or overdue opening opens it,
unless a caller has acknowledged something new from the backend server since the opening
was sent. After a backoff, a single new flow is let through as a probe. Any response
closes the breaker.

Retransmitted data of an open flow opens the breaker as well, because a backend server
acknowledges data at once, however long its requests are queued. A backend server counts
as unreachable if data was sent three times, or data of two callers was sent twice, and
no caller has had a response since. Its flows are then reset, so that callers can try
another backend server. Flows without outstanding requests are reset only if two callers
have retransmitted, because a fault in the network of a single caller looks the same.
"""

from dataclasses import dataclass
from enum import Enum

from wasabigw.core.ids import Seconds
from wasabigw.core.view import NEVER

INITIAL_BACKOFF = Seconds(1.0)
MAX_BACKOFF = Seconds(8.0)
"""Backoff between probes; it doubles with each failure up to the maximum."""
SUSPECT_AFTER = Seconds(0.15)
UNREACHABLE_AFTER = Seconds(0.5)
"""Minimum ages of data at which its first and second retransmission count as failures.

Callers retransmit after 0.2 and 0.6 s. A balancer that was suspended receives the data
and its retransmissions at the same moment, which is no evidence of a failure.
"""
CALLERS_TO_CONFIRM = 2
"""Callers that have to retransmit data once to confirm that a server is unreachable."""
UNREACHABLE_TTL = Seconds(1.5)
"""How long an unreachable backend server causes other flows to be refused.

Shorter than the period after a fault in which flows are allowed to fail: a backend
server that is back in the meantime may still have lost its flows.
"""
PROBE_TIMEOUT = Seconds(0.5)
"""Time for the answer to a probe; its caller retransmits the opening before that."""


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
    :param suspecting_callers: callers that retransmitted since the last response, each
        within :data:`UNREACHABLE_TTL` of the one before.
    :param suspected_at: when the latest of these callers retransmitted.
    :param unreachable_at: when the backend server was last found unreachable.
    """

    last_response_at: Seconds = NEVER
    failures: int = 0
    opened_at: Seconds = NEVER
    backoff_until: Seconds = NEVER
    suspecting_callers: frozenset[int] = frozenset()
    suspected_at: Seconds = NEVER
    unreachable_at: Seconds = NEVER


def record_response(breaker: CircuitBreaker, now: Seconds) -> bool:
    """Record a response from the backend server.

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
    backoff = INITIAL_BACKOFF * 2**breaker.failures
    breaker.failures += 1
    breaker.backoff_until = Seconds(now + min(backoff, MAX_BACKOFF))
    return True


def record_probe(breaker: CircuitBreaker, now: Seconds) -> None:
    """Record a new flow; if the breaker is not closed, the flow is a probe."""
    if breaker.failures > 0:
        breaker.backoff_until = Seconds(now + PROBE_TIMEOUT)


def record_retransmission(
    breaker: CircuitBreaker,
    caller: int,
    sent_at: Seconds,
    retransmissions: int,
    now: Seconds,
) -> bool:
    """Record that a caller retransmitted data of an open flow.

    :param caller: address of the caller.
    :param sent_at: when the data was first sent.
    :param retransmissions: retransmissions of the same data so far.
    :returns: whether this opens the breaker or begins a longer backoff.
    """
    age = now - sent_at
    if breaker.last_response_at > sent_at or age < SUSPECT_AFTER:
        return False
    has_opened = record_failure(breaker, sent_at, now)
    is_recent = now - breaker.suspected_at < UNREACHABLE_TTL
    earlier = breaker.suspecting_callers if is_recent else frozenset()
    breaker.suspecting_callers = earlier | {caller}
    breaker.suspected_at = now
    if is_failure_confirmed(breaker) or (
        retransmissions > 1 and age >= UNREACHABLE_AFTER
    ):
        breaker.unreachable_at = now
    return has_opened


def is_failure_confirmed(breaker: CircuitBreaker) -> bool:
    """Whether enough callers have retransmitted to confirm the failure."""
    return len(breaker.suspecting_callers) >= CALLERS_TO_CONFIRM


def is_unreachable(breaker: CircuitBreaker, sent_at: Seconds, now: Seconds) -> bool:
    """Whether data of an open flow will get no answer.

    :param sent_at: when the data was first sent.
    """
    is_recent = now - breaker.unreachable_at < UNREACHABLE_TTL
    return is_recent and breaker.last_response_at <= sent_at


def health_of(breaker: CircuitBreaker, now: Seconds) -> Health:
    """State of a circuit breaker."""
    if breaker.failures == 0:
        return Health.ANSWERING
    return Health.SILENT if now < breaker.backoff_until else Health.PROBED
