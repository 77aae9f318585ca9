"""Decides which backend server gets another copy of an opening.

A caller returns the tag of the latest answer that it has received. If two backend
servers answer copies of one opening, the later answer changes the tag of an open flow,
and the other backend server resets it. Another one therefore gets a copy only if there
is evidence that the first one can't answer, rather than that its answer was lost.
"""

from wasabigw.core.ids import Seconds
from wasabigw.core.tags.link.egress import is_waiting
from wasabigw.core.tags.liveness.evidence import record_unanswered
from wasabigw.core.tags.liveness.health import (
    FailureSignal,
    is_silent_to_others,
    is_unreachable,
)
from wasabigw.core.tags.openings import OPENING_TIMEOUT, pop_overdue
from wasabigw.core.tags.packets import FlowPacket, sequence_distance
from wasabigw.core.tags.state import Flow, FlowState, TagState

MAX_COPY_AGE = Seconds(2.0)
"""Time after the first packet of a flow during which copies of its opening arrive.

Callers send the last copy 0.6 s after the opening, and it may wait in queues.
"""
MAX_BYTES_BEFORE_COPY = 2**20
"""Most bytes that a caller sends on a flow before a copy of its opening arrives."""
LAST_COPY = 2
"""Number of the last copy of an opening, which callers send after 0.6 s.

A backend server that answers has sent its answer three times by then.
"""


def is_copy_of_opening(packet: FlowPacket, known: Flow, now: Seconds) -> bool:
    """Whether an opening packet is a late copy of the opening of an open flow.

    A copy has to reach the same backend server: the caller puts the tag of the latest
    answer into its packets. Otherwise the caller uses the port of an ended flow again,
    for a flow of its own. Packets of backend servers bypass the balancer, so a flow may
    have ended though it seems open.
    """
    if known.state is FlowState.OPENING:
        return False
    if known.state is FlowState.OPEN and packet.sequence == known.first_sequence:
        return True
    if now - known.opened_at >= MAX_COPY_AGE:
        return False
    ahead = sequence_distance(packet.sequence, known.first_sequence)
    return 0 <= ahead <= MAX_BYTES_BEFORE_COPY


def keeps_server(
    packet: FlowPacket, known: Flow, state: TagState, now: Seconds
) -> bool:
    """Whether another copy of an unanswered opening goes to the same backend server.

    :param known: the flow, which no packet but copies of its opening has followed.
    """
    server = known.server
    is_recent = now - known.opened_at < OPENING_TIMEOUT
    # Copies that a balancer reads at the same moment, as it was suspended, show
    # nothing, and nor does one that meets the first copy in the queue of the link.
    if not is_recent and not is_waiting(state.egress, packet):
        signal = FailureSignal.OPENING_RETRANSMITTED
        record_unanswered(server, packet.flow, known.opened_at, signal, state, now)
        record_overdue(state, now)
        if _has_failed(packet, known, now):
            return False
    is_same_opening = packet.sequence == known.first_sequence
    pool = state.pools.get(server.registration.service, ())
    return is_same_opening and server in pool


def _has_failed(packet: FlowPacket, known: Flow, now: Seconds) -> bool:
    """Whether there is evidence that a backend server can't answer an opening."""
    breaker = known.server.breaker
    if breaker.last_response_at > known.opened_at:
        return False
    is_last = packet.repeat >= LAST_COPY
    is_silent = is_silent_to_others(breaker, packet.flow)
    return is_last or is_silent or is_unreachable(breaker, now)


def record_overdue(state: TagState, now: Seconds) -> None:
    """Record the openings that should have been answered by now."""
    for overdue in pop_overdue(state, now):
        signal = FailureSignal.OPENING_OVERDUE
        record_unanswered(overdue.server, overdue.flow, overdue.at, signal, state, now)
