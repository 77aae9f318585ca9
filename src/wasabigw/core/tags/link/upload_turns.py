"""Turns of uploads, so that the link into a balancer is not flooded.

A caller sends a window of packets as soon as its flow is open. A few of them at once
fill the link into the balancer, where all callers lose packets, and nothing here can
order what has not arrived. The opening of an upload therefore waits until the uploads
before it have sent about what is expected of them. Openings are small, and callers wait
for the answer to them anyway.
"""

from collections.abc import Iterator

from wasabigw.core.ids import Seconds
from wasabigw.core.tags.admission.fair_queue import Datagram, Waiting
from wasabigw.core.tags.link.egress import MAX_OPENING_WAIT
from wasabigw.core.tags.link.link_classes import (
    BULK_BYTES,
    classed_listener,
    usual_bytes,
)
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import Flow, FlowState, TagState
from wasabigw.core.view_lease import NEVER

TURN_TIME = Seconds(0.025)
"""Time of the link for what earlier uploads may still send when the next one begins.

On a fast link this lets many begin at once.
"""
SILENCE_TIME = Seconds(0.3)
"""Time without packets after which nothing more is expected of an upload for now.

Longer than the first retransmission timeout of callers.
"""
CHECK_INTERVAL = Seconds(0.02)
"""Time between two looks at whether the next upload may begin."""


def needs_turn(packet: FlowPacket, state: TagState) -> bool:
    """Whether a packet is the opening of an upload on a link that is classed."""
    if not packet.is_opening or classed_listener(packet.flow, state) is None:
        return False
    return usual_bytes(packet.flow, state) > BULK_BYTES


def wait_for_turn(
    packet: FlowPacket, datagram: Datagram, state: TagState, now: Seconds
) -> None:
    """Let an opening wait; a copy of one that waits keeps its place."""
    size = len(datagram.data)
    state.egress.turns[packet.flow] = Waiting(packet, datagram, size, now)


def expire_turns(state: TagState, now: Seconds) -> list[Waiting]:
    """Remove and return the openings that have waited for too long."""
    turns = state.egress.turns
    expired = [w for w in turns.values() if now - w.queued_at > MAX_OPENING_WAIT]
    for waiting in expired:
        del turns[waiting.packet.flow]
    return expired


def take_turns(state: TagState, now: Seconds) -> Iterator[Waiting]:
    """Remove and yield the openings whose uploads may begin now."""
    turns = state.egress.turns
    while turns and _may_begin(state, now):
        flow_id = next(iter(turns))
        state.begun_uploads[flow_id] = now
        yield turns.pop(flow_id)


def time_to_turn(state: TagState) -> Seconds | None:
    """Time until :func:`take_turns` should be called; ``None`` if nothing waits."""
    return CHECK_INTERVAL if state.egress.turns else None


def _may_begin(state: TagState, now: Seconds) -> bool:
    rate = state.egress.rate
    if rate is None:
        return True
    return _expected_bytes(state, now) <= rate * TURN_TIME


def _expected_bytes(state: TagState, now: Seconds) -> float:
    """Bytes that the uploads that have begun are about to send."""
    expected = 0.0
    for flow_id, begun_at in list(state.begun_uploads.items()):
        flow = state.flows.get(flow_id)
        missing = _missing_bytes(flow_id, flow, begun_at, state, now)
        if missing <= 0:
            del state.begun_uploads[flow_id]
        expected += missing
    return expected


def _missing_bytes(
    flow_id: FlowId,
    flow: Flow | None,
    begun_at: Seconds,
    state: TagState,
    now: Seconds,
) -> float:
    if flow is None or flow.state is FlowState.CLOSED:
        return 0.0
    is_silent = now - max(flow.last_seen, begun_at) >= SILENCE_TIME
    is_answered = flow.request_start is None and flow.request_since > NEVER
    if is_silent or is_answered:
        return 0.0
    return max(usual_bytes(flow_id, state) - flow.request_bytes, 0.0)
