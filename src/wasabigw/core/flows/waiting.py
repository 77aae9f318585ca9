"""Openings that wait for a free slot at a backend server that is at its limit.

Like a listening socket with a full backlog, the home drops the opening packet, and the
retransmission may find a free slot. A flow is refused only after its opening has waited
for :data:`WAITING_TIME`.
"""

from dataclasses import dataclass, field

from wasabigw.core.ids import FlowKey, Seconds

WAITING_TIME = Seconds(2.5)
"""Time after the first opening packet during which a flow is not refused.

TCP retransmits an opening packet after 1 s and 3 s (RFC 6298). The first retransmission
is dropped, too, and the second one is refused.
"""

WAITING_RETENTION = Seconds(10.0)
WAITING_LIMIT = 20_000
"""Most waiting openings; further ones are refused at once."""


@dataclass(slots=True)
class WaitingOpenings:
    """Arrival of the first opening packet of each waiting flow, oldest first."""

    since: dict[FlowKey, Seconds] = field(default_factory=dict)


def may_wait(waiting: WaitingOpenings, flow: FlowKey, now: Seconds) -> bool:
    """Whether to drop an opening packet without a free slot instead of refusing it."""
    _remove_expired(waiting, now)
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
    """Remove a flow that was admitted."""
    waiting.since.pop(flow, None)


def _remove_expired(waiting: WaitingOpenings, now: Seconds) -> None:
    while waiting.since:
        oldest = next(iter(waiting.since))
        if now - waiting.since[oldest] < WAITING_RETENTION:
            return
        del waiting.since[oldest]
