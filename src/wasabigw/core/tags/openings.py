"""Pending openings: opening packets that no other packet of their flow has followed.

Replies bypass the balancer, so it infers them from the packets of the caller. The next
packet of the flow shows that the opening was accepted, a retransmitted opening that
there was no reply. If the backend server has crashed, its host replies with a reset:
the caller then sends neither, and retries at once with another flow.
"""

from wasabigw.core.ids import Seconds
from wasabigw.core.tags.link.egress import is_congested, is_opening_waiting
from wasabigw.core.tags.liveness.health import DOUBT_TIME
from wasabigw.core.tags.packets import FlowId
from wasabigw.core.tags.state import Opening, Server, TagState

OPENING_TIMEOUT = Seconds(0.1)
"""Time from an opening to the next packet of its flow after which it is overdue.

Longer than a round trip between regions, and shorter than the 0.2 s after which callers
retransmit an opening.
"""
MIN_RETRY_INTERVAL = Seconds(0.001)
"""Minimum time from an opening to another one of the same caller that may be a retry.

Openings at the same moment are flows that the caller opens in parallel, not retries.
"""


def record_opening(flow: FlowId, server: Server, state: TagState, now: Seconds) -> None:
    """Record that an opening was sent to a backend server."""
    state.pending_openings[flow] = Opening(flow, server, now)


def discard_opening(flow: FlowId, state: TagState) -> None:
    """Remove the pending opening of a flow that was answered or has ended."""
    state.pending_openings.pop(flow, None)


def pop_overdue(state: TagState, now: Seconds) -> list[Opening]:
    """Remove and return the pending openings that have reached the timeout.

    One that still waits for the link has not been sent yet and stays pending. While the
    link is congested, the next packets of callers may wait as well.
    """
    congested = is_congested(state.egress, now)
    timeout = DOUBT_TIME if congested else OPENING_TIMEOUT
    overdue = []
    for flow, opening in state.pending_openings.items():
        if now - opening.at < timeout:
            break
        if not is_opening_waiting(state.egress, flow):
            overdue.append(flow)
    return [state.pending_openings.pop(flow) for flow in overdue]


def tried_openings(caller: int, state: TagState, now: Seconds) -> list[Opening]:
    """Earlier openings of a caller that may have been refused.

    :param caller: address of the caller.
    """
    return [
        opening
        for flow, opening in state.pending_openings.items()
        if flow.caller == caller
        and now - opening.at >= MIN_RETRY_INTERVAL
        and not is_opening_waiting(state.egress, flow)
    ]


def tried_servers(caller: int, state: TagState, now: Seconds) -> set[Server]:
    """Backend servers that may have refused earlier openings of a caller."""
    return {opening.server for opening in tried_openings(caller, state, now)}
