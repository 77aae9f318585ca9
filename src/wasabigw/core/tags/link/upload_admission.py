"""Admission of uploads by what the link of the balancer can carry in time.

Uploads share the link, so that each one more delays all, until none is in time. One
that could not be carried within the latency objective of its listener is therefore
noticed at its opening. Some of these callers are refused, so that they try through
another balancer at once; others are admitted as late, with what those in time leave.
Admitted uploads are never broken off.
"""

from enum import Enum

import xxhash

from wasabigw.core.ids import Seconds
from wasabigw.core.tags.link.egress import EgressQueue, LinkClass, class_rate
from wasabigw.core.tags.link.link_classes import (
    BULK_BYTES,
    classed_listener,
    usual_bytes,
)
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import Flow, FlowState, TagState
from wasabigw.core.view_lease import NEVER

TRANSFER_SHARE = 0.5
"""Part of the latency objective for the transfer; the rest is for round trips and work.
"""
LATE_SHARE = 0.5
"""Part of the request timeout in which late uploads must fit; callers give up then."""
HEADER_FACTOR = 1.06
"""Bytes on the link for each byte of an upload."""
GIVEN_UP_AFTER = Seconds(2.0)
"""Time without packets after which an upload needs no room.

Longer than the pauses between retransmissions of callers.
"""
REFUSED_PART = 3
"""One in this many callers whose uploads would not be in time is refused."""


class UploadOutcome(Enum):
    """What becomes of the opening of an upload."""

    ADMIT = "admit"
    ADMIT_LATE = "admit as late"
    REFUSE = "refuse"
    """The caller tries at once through another balancer."""
    DROP = "drop"
    """The caller sends a copy of the opening, when there may be room."""


def admit_upload(
    packet: FlowPacket, state: TagState, now: Seconds, may_refuse: bool
) -> UploadOutcome:
    """Decide on an opening; those of small requests are admitted.

    :param may_refuse: whether no copy of the opening can have opened the flow.
    """
    listener = classed_listener(packet.flow, state)
    if listener is None or listener.requirements is None:
        return UploadOutcome.ADMIT
    size = usual_bytes(packet.flow, state) * HEADER_FACTOR
    if size <= BULK_BYTES:
        return UploadOutcome.ADMIT
    remove_ended(state, now)
    rate = bulk_rate(state.egress, now)
    in_time = listener.requirements.latency_objective * TRANSFER_SHARE * rate
    pending = pending_bytes(state, LinkClass.BULK)
    if pending == 0 or (packet.repeat == 0 and pending + size <= in_time):
        return UploadOutcome.ADMIT
    if may_refuse and _tries_elsewhere(packet.flow):
        return UploadOutcome.REFUSE
    pending += pending_bytes(state, LinkClass.LATE)
    if pending + size <= listener.request_timeout * LATE_SHARE * rate:
        return UploadOutcome.ADMIT_LATE
    return UploadOutcome.DROP


def record_upload(
    flow_id: FlowId, flow: Flow, outcome: UploadOutcome, state: TagState
) -> None:
    """Record an admitted flow; it takes room on the link if it is an upload."""
    if classed_listener(flow_id, state) is None:
        return
    if usual_bytes(flow_id, state) > BULK_BYTES:
        state.uploads[flow_id] = flow
        if outcome is UploadOutcome.ADMIT_LATE:
            state.late_uploads.add(flow_id)


def bulk_rate(queue: EgressQueue, now: Seconds) -> float:
    """Bytes a second that uploads in time can use: what more urgent traffic leaves.

    Late ones have their share of it.
    """
    assert queue.rate is not None
    bulk, late = queue.classes[LinkClass.BULK], queue.classes[LinkClass.LATE]
    urgent = (c for c in queue.classes.values() if c is not bulk and c is not late)
    used = sum(class_rate(members, now) for members in urgent)
    left = max(queue.rate - used, queue.rate * (bulk.share + late.share))
    return left * bulk.share / (bulk.share + late.share)


def remove_ended(state: TagState, now: Seconds) -> None:
    """Remove uploads that were answered or given up, which need no room any more."""
    ended = [
        flow_id
        for flow_id, flow in state.uploads.items()
        if state.flows.get(flow_id) is not flow or not _is_sending(flow, now)
    ]
    for flow_id in ended:
        del state.uploads[flow_id]
        state.late_uploads.discard(flow_id)


def pending_bytes(state: TagState, link_class: LinkClass) -> float:
    """Bytes on the link that admitted uploads of a class still need."""
    is_late = link_class is LinkClass.LATE
    expected = sum(
        max(usual_bytes(flow_id, state) - flow.request_bytes, 0.0)
        for flow_id, flow in state.uploads.items()
        if (flow_id in state.late_uploads) is is_late
    )
    waiting = state.egress.classes[link_class].packets.size
    return waiting + expected * HEADER_FACTOR


def _is_sending(flow: Flow, now: Seconds) -> bool:
    """Whether an upload has begun or is about to, and its caller still sends."""
    if now - flow.last_seen >= GIVEN_UP_AFTER or flow.state is FlowState.CLOSED:
        return False
    has_begun = flow.request_since > NEVER
    return not has_begun or flow.request_start is not None


def _tries_elsewhere(flow: FlowId) -> bool:
    """Whether a caller is refused rather than admitted as late.

    A balancer can't tell whether others have room. If they have, those that it refuses
    are in time; if no balancer has, the tries of few are used up, because the hash
    differs for the flow of each try.
    """
    return xxhash.xxh32_intdigest(repr(flow).encode()) % REFUSED_PART == 0
