"""Class of each flow on the link of a balancer.

It follows from the priority of the listener and from the size of the request: small
requests of the highest declared priority are urgent, large ones of any priority are
bulk. Sizes come from the sequence numbers of callers; no content is read.
"""

from wasabigw.core.declaration import Listener
from wasabigw.core.ids import Seconds
from wasabigw.core.tags.link.egress import LinkClass
from wasabigw.core.tags.packets import (
    MAX_UNACKNOWLEDGED_BYTES,
    FlowId,
    FlowPacket,
    sequence_distance,
)
from wasabigw.core.tags.state import Flow, RequestSize, TagState

BULK_BYTES = MAX_UNACKNOWLEDGED_BYTES // 2
"""Size from which a request is bulk: half of what a caller sends at once."""
SIZE_WEIGHT = 1 / 16
"""Weight of the latest request in the usual size of a listener's requests."""
_NO_SIZE = RequestSize(0.0, 0)


def classed_listener(flow: FlowId, state: TagState) -> Listener | None:
    """Listener of a flow; ``None`` if its flows are not classified.

    They are not if the link has no known rate, its callers declare no requirements, or
    the part is switched off.
    """
    if state.egress.rate is None or not state.features.egress_classes:
        return None
    listener = state.listeners.get((flow.listener, flow.listener_port))
    if listener is None or listener.requirements is None:
        return None
    return listener


def link_class_of(packet: FlowPacket, state: TagState, now: Seconds) -> LinkClass:
    """Class of a packet.

    Openings and acknowledgements are small whatever their flow carries.
    """
    listener = classed_listener(packet.flow, state)
    if listener is None or listener.requirements is None:
        return LinkClass.NORMAL
    known = state.flows.get(packet.flow)
    sent = known.request_bytes if known is not None else 0
    if packet.length and max(sent, usual_bytes(packet.flow, state)) > BULK_BYTES:
        if packet.flow in state.late_uploads:
            return LinkClass.LATE
        objective = listener.requirements.latency_objective
        is_late = known is not None and _is_late(known, objective, now)
        return LinkClass.LATE if is_late else LinkClass.BULK
    if listener.requirements.priority == state.highest_priority:
        return LinkClass.URGENT
    return LinkClass.NORMAL


def usual_bytes(flow: FlowId, state: TagState) -> float:
    """Size of the latest requests at the listener of a flow; 0 if there were none."""
    size = state.request_sizes.get((flow.listener, flow.listener_port), _NO_SIZE)
    return size.mean


def _is_late(flow: Flow, objective: Seconds, now: Seconds) -> bool:
    return flow.request_start is not None and now - flow.request_since >= objective


def record_request_data(packet: FlowPacket, flow: Flow, now: Seconds) -> None:
    """Count data as part of the request that the caller is sending."""
    if flow.request_start is None:
        flow.request_start = packet.sequence
        flow.request_since = now
    ahead = sequence_distance(flow.request_start, packet.sequence)
    flow.request_bytes = max(flow.request_bytes, ahead + packet.length)


def record_request_end(flow_id: FlowId, flow: Flow, state: TagState) -> None:
    """Record that the caller has received an answer to what it has sent."""
    if flow.request_start is None:
        return
    size = flow.request_bytes
    flow.request_start, flow.request_bytes = None, 0
    key = flow_id.listener, flow_id.listener_port
    if key not in state.listeners:
        return
    mean, count = state.request_sizes.get(key, _NO_SIZE)
    weight = max(1 / (count + 1), SIZE_WEIGHT)
    state.request_sizes[key] = RequestSize(mean + weight * (size - mean), count + 1)
