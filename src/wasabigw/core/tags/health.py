"""Which backend servers answer, as far as the packets of callers show.

A circuit breaker for each backend server: an opening that its caller has to repeat
opens it, unless the backend server has shown life since. After a pause a single new
flow is let through as a probe. Any sign of life closes it.
"""

from dataclasses import dataclass
from enum import Enum

from wasabigw.core.ids import Seconds
from wasabigw.core.view import NEVER

FIRST_PAUSE = Seconds(1.0)
LONGEST_PAUSE = Seconds(8.0)
"""Pauses between probes; each is twice as long as the one before."""
PROBE_TIME = Seconds(0.5)
"""Time in which a probe is answered, or its caller repeats the opening."""


class Health(Enum):
    """Whether new flows may go to a backend server."""

    ANSWERING = "answering"
    SILENT = "silent"
    PROBED = "probed"


@dataclass(slots=True)
class Breaker:
    """Signs of life of one backend server.

    :param heard_at: when a caller last acknowledged something new from it.
    :param failures: unanswered openings in a row.
    :param paused_until: until when it gets no new flows.
    """

    heard_at: Seconds = NEVER
    failures: int = 0
    paused_until: Seconds = NEVER


def note_life(breaker: Breaker, now: Seconds) -> None:
    """Note that the backend server has answered a caller."""
    breaker.heard_at = now
    breaker.failures = 0
    breaker.paused_until = NEVER


def note_unanswered(breaker: Breaker, sent_at: Seconds, now: Seconds) -> None:
    """Note that an opening, sent at a time, has not been answered yet."""
    if breaker.heard_at >= sent_at:
        return
    pause = FIRST_PAUSE * 2**breaker.failures
    breaker.failures += 1
    breaker.paused_until = Seconds(now + min(pause, LONGEST_PAUSE))


def note_opening(breaker: Breaker, now: Seconds) -> None:
    """Note that a new flow goes to the backend server; of a silent one, a probe."""
    if breaker.failures > 0:
        breaker.paused_until = Seconds(now + PROBE_TIME)


def health_of(breaker: Breaker, now: Seconds) -> Health:
    """State of a breaker."""
    if breaker.failures == 0:
        return Health.ANSWERING
    return Health.SILENT if now < breaker.paused_until else Health.PROBED
