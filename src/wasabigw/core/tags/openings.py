"""Openings that their callers have not followed up yet.

Only callers see what a backend server answers. The next packet of the flow shows a
balancer that the opening was accepted, and a copy of the opening that nothing came
back. A host whose backend server has crashed sends a reset: the caller then sends
neither, and tries again at once with another flow.
"""

from wasabigw.core.ids import Seconds
from wasabigw.core.tags.packets import FlowId
from wasabigw.core.tags.state import Opening, Server, TagState

OPENING_TIMEOUT = Seconds(0.1)
"""Longest time from an opening to the next packet of its flow.

It exceeds a round trip between regions, and callers repeat an opening after 0.2 s.
"""
MIN_RETRY_INTERVAL = Seconds(0.001)
"""Shortest time from an opening to the next one of a caller that was refused.

Callers that open several flows at the same moment are not trying again.
"""


def record_opening(flow: FlowId, server: Server, state: TagState, now: Seconds) -> None:
    """Note that an opening goes to a backend server."""
    state.pending_openings[flow] = Opening(server, now)


def discard_opening(flow: FlowId, state: TagState) -> None:
    """Note that a flow has gone on or has ended."""
    state.pending_openings.pop(flow, None)


def pop_overdue(state: TagState, now: Seconds) -> list[Opening]:
    """Openings that no other packet has followed in time; they are not noted on."""
    overdue = []
    for flow, opening in state.pending_openings.items():
        if now - opening.at < OPENING_TIMEOUT:
            break
        overdue.append(flow)
    return [state.pending_openings.pop(flow) for flow in overdue]


def tried_servers(caller: int, state: TagState, now: Seconds) -> list[Server]:
    """Backend servers that may have refused earlier openings of a caller.

    :param caller: its address.
    """
    return [
        opening.server
        for flow, opening in state.pending_openings.items()
        if flow.caller == caller and now - opening.at >= MIN_RETRY_INTERVAL
    ]
