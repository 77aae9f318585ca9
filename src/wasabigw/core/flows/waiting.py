"""Openings that wait for room at a full backend server.

Like a listening socket with a full backlog, the home drops the opening packet, and
the caller's repetition may find room. Only a caller that has waited is refused.
"""

from dataclasses import dataclass, field

from wasabigw.core.ids import FlowKey, Seconds

WAITING_TIME = Seconds(2.5)
"""Time from the first opening packet for which a flow is not refused.

TCP repeats an opening packet after 1 s and 3 s, so that the first repetition still
waits and the second one is refused (RFC 6298).
"""

WAITING_RETENTION = Seconds(10.0)
WAITING_LIMIT = 20_000
"""Openings that wait; beyond it further ones are refused at once."""


@dataclass(slots=True)
class WaitingOpenings:
    """When the first opening packet of a waiting flow came, oldest first."""

    since: dict[FlowKey, Seconds] = field(default_factory=dict)


def may_wait(waiting: WaitingOpenings, flow: FlowKey, now: Seconds) -> bool:
    """Whether an opening packet that found no room is dropped, not refused."""
    _forget_old(waiting, now)
    first = waiting.since.get(flow)
    if first is None:
        if len(waiting.since) >= WAITING_LIMIT:
            return False
        waiting.since[flow] = now
        return True
    if now - first < WAITING_TIME:
        return True
    del waiting.since[flow]
    return False


def end_wait(waiting: WaitingOpenings, flow: FlowKey) -> None:
    """The flow was admitted."""
    waiting.since.pop(flow, None)


def _forget_old(waiting: WaitingOpenings, now: Seconds) -> None:
    while waiting.since:
        oldest = next(iter(waiting.since))
        if now - waiting.since[oldest] < WAITING_RETENTION:
            return
        del waiting.since[oldest]
