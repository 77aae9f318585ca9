"""Openings that their callers have not followed up yet.

Only callers see what a backend server answers. The next packet of the flow shows a
balancer that the opening was accepted, and a copy of the opening that nothing came
back. A host whose backend server has crashed sends a reset: the caller then sends
neither, and tries again at once with another flow.
"""

from collections.abc import Iterable

from wasabigw.core.ids import Seconds
from wasabigw.core.tags.packets import FlowId
from wasabigw.core.tags.state import Server

OPENING_TIMEOUT = Seconds(0.1)
"""Longest time from an opening to the next packet of its flow.

It exceeds a round trip between regions, and callers repeat an opening after 0.2 s.
"""
RETRY_AFTER = Seconds(0.001)
"""Shortest time from an opening to the next one of a caller that was refused.

Callers that open several flows at the same moment are not trying again.
"""


def note_opened(server: Server, flow: FlowId, now: Seconds) -> None:
    """Note that an opening goes to a backend server."""
    server.unanswered[flow] = now


def note_followed(server: Server, flow: FlowId) -> None:
    """Note that a flow has gone on or has ended."""
    server.unanswered.pop(flow, None)


def take_overdue(server: Server, now: Seconds) -> list[Seconds]:
    """Times of the openings that no other packet has followed in time."""
    overdue = [
        flow
        for flow, opened_at in server.unanswered.items()
        if now - opened_at >= OPENING_TIMEOUT
    ]
    return [server.unanswered.pop(flow) for flow in overdue]


def tried_by(caller: int, servers: Iterable[Server], now: Seconds) -> list[Server]:
    """Backend servers that may have refused earlier openings of a caller.

    :param caller: its address.
    """
    return [
        server
        for server in servers
        if any(
            flow.caller == caller and now - opened_at >= RETRY_AFTER
            for flow, opened_at in server.unanswered.items()
        )
    ]
