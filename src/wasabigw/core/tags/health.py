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

FIRST_PAUSE = Seconds(1.0)
LONGEST_PAUSE = Seconds(8.0)
"""Pauses between probes; each is twice as long as the one before."""
DOUBT_AFTER = Seconds(0.15)
LOST_AFTER = Seconds(0.5)
"""Time from data to its first and second copy, which callers send after 0.2 and 0.6 s.

A balancer that was frozen gets all of them at the same moment, which shows nothing.
"""
DOUBTERS = 2
"""Callers whose data was copied once that together show a loss."""
LOSS_REMEMBERED = Seconds(1.5)
"""How long a loss counts for the other flows.

Shorter than the time for which a fault excuses the end of flows, so that a backend
server that is back in the meantime may still have lost them.
"""
PROBE_TIME = Seconds(0.5)
"""Time in which a probe is answered, or its caller repeats the opening."""


class Doubt(Enum):
    """What speaks against a backend server."""

    OPENING_REPEATED = "an opening was sent again"
    OPENING_OVERDUE = "nothing followed an opening"
    DATA_REPEATED = "data of an open flow was sent again"


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
    :param opened_at: when the latest pause began.
    :param paused_until: until when it gets no new flows.
    :param doubters: callers whose data was copied since the last sign of life, each
        within the time that a loss is remembered after the one before.
    :param doubted_at: when the latest of them was noted.
    :param lost_at: when data of an open flow last showed that it can't be reached.
    """

    heard_at: Seconds = NEVER
    failures: int = 0
    opened_at: Seconds = NEVER
    paused_until: Seconds = NEVER
    doubters: frozenset[int] = frozenset()
    doubted_at: Seconds = NEVER
    lost_at: Seconds = NEVER


def note_life(breaker: Breaker, now: Seconds) -> bool:
    """Note that the backend server has answered a caller.

    :returns: whether this closes the breaker.
    """
    was_open = breaker.failures > 0
    breaker.heard_at = now
    breaker.failures = 0
    breaker.paused_until = NEVER
    breaker.doubters = frozenset()
    breaker.lost_at = NEVER
    return was_open


def note_unanswered(breaker: Breaker, sent_at: Seconds, now: Seconds) -> bool:
    """Note that an opening or data, sent at a time, has not been answered yet.

    :returns: whether this opens the breaker, or begins a longer pause.
    """
    if breaker.heard_at > sent_at:
        return False
    if breaker.failures > 0 and sent_at < breaker.opened_at:
        # Only what was sent since, a probe, says more than what opened the breaker.
        return False
    breaker.opened_at = now
    pause = FIRST_PAUSE * 2**breaker.failures
    breaker.failures += 1
    breaker.paused_until = Seconds(now + min(pause, LONGEST_PAUSE))
    return True


def note_probe(breaker: Breaker, now: Seconds) -> None:
    """Note that a new flow goes to the backend server; of a silent one, a probe."""
    if breaker.failures > 0:
        breaker.paused_until = Seconds(now + PROBE_TIME)


def note_copy(
    breaker: Breaker, caller: int, sent_at: Seconds, copies: int, now: Seconds
) -> bool:
    """Note that a caller sent data of an open flow again.

    :param caller: its address.
    :param sent_at: when it sent the data first.
    :param copies: how often it has sent the data again.
    :returns: whether this opens the breaker, or begins a longer pause.
    """
    waited = now - sent_at
    if breaker.heard_at > sent_at or waited < DOUBT_AFTER:
        return False
    has_opened = note_unanswered(breaker, sent_at, now)
    is_recent = now - breaker.doubted_at < LOSS_REMEMBERED
    others = breaker.doubters if is_recent else frozenset()
    breaker.doubters = others | {caller}
    breaker.doubted_at = now
    if is_confirmed(breaker) or (copies > 1 and waited >= LOST_AFTER):
        breaker.lost_at = now
    return has_opened


def is_confirmed(breaker: Breaker) -> bool:
    """Whether several callers have doubts about a backend server."""
    return len(breaker.doubters) >= DOUBTERS


def is_lost(breaker: Breaker, sent_at: Seconds, now: Seconds) -> bool:
    """Whether data of an open flow, first sent at a time, will get no answer."""
    is_recent = now - breaker.lost_at < LOSS_REMEMBERED
    return is_recent and breaker.heard_at <= sent_at


def health_of(breaker: Breaker, now: Seconds) -> Health:
    """State of a breaker."""
    if breaker.failures == 0:
        return Health.ANSWERING
    return Health.SILENT if now < breaker.paused_until else Health.PROBED
