"""Decides what to do with each packet from a caller.

The tag in a packet of an open flow names the backend server, so that any balancer can
deliver it without a flow table. A balancer that has seen the flow before keeps to the
backend server of its first packet, because a late answer to a copy of the opening
changes the tag (:func:`~wasabigw.core.tags.flow_table.server_of_flow`). Only an opening
packet needs a backend server chosen (:mod:`wasabigw.core.tags.opening_steering`).
"""

from wasabigw.core.durations import Durations, record_duration
from wasabigw.core.ids import Seconds
from wasabigw.core.load.counting import (
    count_acknowledgement,
    count_data,
    count_release,
    discard_lost_data,
    discard_lost_opening,
    end_request,
)
from wasabigw.core.tags.admission.admission_control import (
    abandon_opening,
    record_request,
)
from wasabigw.core.tags.admission.rejections import record_answer
from wasabigw.core.tags.decisions import (
    Deliver,
    Drop,
    DropReason,
    PacketDecision,
    RefusalReason,
    Refuse,
)
from wasabigw.core.tags.flow_table import (
    add_flow,
    close_flow,
    remove_flow,
    restart_flow,
    server_of_flow,
)
from wasabigw.core.tags.link.egress import has_waiting, is_waiting
from wasabigw.core.tags.link.link_classes import record_request_data, record_request_end
from wasabigw.core.tags.liveness.evidence import (
    record_server_response,
    record_unanswered,
)
from wasabigw.core.tags.liveness.health import FailureSignal, is_unreachable
from wasabigw.core.tags.liveness.unreachable_hosts import request_check
from wasabigw.core.tags.opening_steering import decide_opening
from wasabigw.core.tags.openings import discard_opening, record_opening
from wasabigw.core.tags.packets import (
    MAX_UNACKNOWLEDGED_BYTES,
    NO_TAG,
    FlowId,
    FlowPacket,
    sequence_distance,
)
from wasabigw.core.tags.state import (
    Flow,
    FlowState,
    Server,
    TagState,
)

NO_WAIT = Seconds(0.0)
SUSPECT_AFTER = Seconds(0.15)
"""Minimum age of data at which its retransmission counts as a failure.

Callers retransmit after 0.2 s. A balancer that was suspended receives the data and its
retransmissions at the same moment, which is no evidence of a failure.
"""


def decide(
    packet: FlowPacket,
    state: TagState,
    now: Seconds,
    waited: Seconds = NO_WAIT,
) -> PacketDecision:
    """Decide whether to deliver, hold, refuse or drop a packet from a caller.

    :param waited: time that the packet spent in the receive buffer.
    """
    if not state.has_view:
        return Drop(DropReason.NO_VIEW)
    if packet.is_opening:
        return decide_opening(packet, state, now, waited)
    return _decide_open_flow(packet, state, now)


def _decide_open_flow(
    packet: FlowPacket, state: TagState, now: Seconds
) -> PacketDecision:
    if packet.is_reset:
        abandon_opening(packet.flow, state)
    if packet.tag == NO_TAG:
        return Drop(DropReason.NO_TAG)
    server = server_of_flow(packet, state, now)
    if server is None:
        return Drop(DropReason.UNKNOWN_TAG)
    if packet.is_reset:
        remove_flow(packet.flow, state)
        return _deliver(packet, server)
    if packet.is_closing:
        _close_flow(packet, server, state, now)
        return _deliver(packet, server)
    flow = _record_use(packet, server, state, now)
    if flow is not None and _record_data(packet, flow, state, now):
        remove_flow(packet.flow, state)
        return Refuse(packet, RefusalReason.SERVER_LOST)
    return _deliver(packet, server)


def _deliver(packet: FlowPacket, server: Server) -> Deliver:
    """Deliver a packet of an open flow."""
    return Deliver(packet, server.registration, receiver=server.receiver)


def _record_data(packet: FlowPacket, flow: Flow, state: TagState, now: Seconds) -> bool:
    """Record data of an open flow; ``True`` if its backend server is unreachable."""
    if packet.length == 0:
        return False
    record_request_data(packet, flow, now)
    if is_waiting(state.egress, packet):
        # The backend server has not been sent the first copy yet.
        return False
    count_data(packet, flow, state, now)
    if flow.pending_sequence is None:
        record_request(flow, state, now)
        _expect_answer(flow, packet.sequence, now)
    elif _shows_progress(packet, flow.pending_sequence):
        record_server_response(flow.server, state, now)
        _expect_answer(flow, packet.sequence, now)
    elif packet.sequence == flow.pending_sequence:
        _record_retransmission(packet.flow, flow, state, now)
    return is_unreachable(flow.server.breaker, now)


def _record_retransmission(
    flow_id: FlowId, flow: Flow, state: TagState, now: Seconds
) -> None:
    if now - flow.pending_since < SUSPECT_AFTER:
        return
    if has_waiting(state.egress, flow_id):
        # Backend servers acknowledge every second packet, and this may be the first.
        return
    signal = FailureSignal.DATA_RETRANSMITTED
    record_unanswered(flow.server, flow_id, flow.pending_since, signal, state, now)
    if flow.server.breaker.failures > 0:
        request_check(flow.server, flow.pending_since, state, now)


def _expect_answer(flow: Flow, sequence: int, now: Seconds) -> None:
    flow.pending_sequence = sequence
    flow.pending_since = now


def _shows_progress(packet: FlowPacket, pending_sequence: int) -> bool:
    """Whether data is so far ahead that earlier data must have been acknowledged.

    During an upload nothing else shows that the backend server is alive: it sends
    acknowledgements, which the balancer does not see, and no data.
    """
    ahead = sequence_distance(pending_sequence, packet.sequence)
    return ahead + packet.length > MAX_UNACKNOWLEDGED_BYTES


def record_release(packet: FlowPacket, state: TagState, now: Seconds) -> None:
    """Record that a packet is sent to its backend server after it has waited.

    The time that a packet waits for the link is no evidence against the backend server.
    """
    flow = state.flows.get(packet.flow)
    if flow is None:
        return
    if packet.is_opening:
        if flow.state is FlowState.OPENING:
            restart_flow(flow, now)
            discard_opening(packet.flow, state)
            record_opening(packet.flow, flow.server, state, now)
    elif packet.length:
        count_release(flow, now)
        if flow.pending_sequence is not None:
            flow.pending_since = now


def record_loss(packet: FlowPacket, state: TagState) -> None:
    """Record that a packet was not sent to its backend server after all.

    A caller that retransmits it shows nothing about the backend server.
    """
    flow = state.flows.get(packet.flow)
    if flow is None:
        return
    if packet.is_opening:
        if flow.state is FlowState.OPENING:
            discard_lost_opening(flow.server)
            remove_flow(packet.flow, state)
    elif packet.length:
        flow.pending_sequence = None
        discard_lost_data(packet, flow)


def _record_use(
    packet: FlowPacket, server: Server, state: TagState, now: Seconds
) -> Flow | None:
    known = _flow_at(server, packet, state)
    if known is None:
        # Opened through another balancer: its acknowledgement may be an old one and
        # is no evidence that the backend server is alive now.
        known = add_flow(packet, server, state, now)
        if known is not None:
            known.state = FlowState.OPEN
            known.acknowledged = packet.acknowledged
        return known
    known.last_seen = now
    discard_opening(packet.flow, state)
    was_opening = known.state is FlowState.OPENING
    if was_opening:
        known.state = FlowState.OPEN
    if was_opening or known.acknowledged != packet.acknowledged:
        record_answer(packet, known, state, now)
        count_acknowledgement(packet, known, state, now)
        known.acknowledged = packet.acknowledged
        record_request_end(packet.flow, known, state)
        if known.pending_sequence is not None:
            known.pending_sequence = None
            service = server.registration.service
            times = state.answer_times.setdefault(service, Durations())
            record_duration(times, Seconds(now - known.pending_since))
        record_server_response(server, state, now)
    return known


def _flow_at(server: Server, packet: FlowPacket, state: TagState) -> Flow | None:
    """The flow of a packet, unless it is known at another backend server."""
    known = state.flows.get(packet.flow)
    if known is not None and known.server is not server:
        remove_flow(packet.flow, state)
        return None
    return known


def _close_flow(
    packet: FlowPacket, server: Server, state: TagState, now: Seconds
) -> None:
    """Keep a flow as closed, so that its last acknowledgement does not open it."""
    known = _flow_at(server, packet, state) or add_flow(packet, server, state, now)
    if known is None:
        return
    discard_opening(packet.flow, state)
    record_answer(packet, known, state, now)
    close_flow(known)
    count_acknowledgement(packet, known, state, now)
    end_request(known)
    known.last_seen = now
    known.acknowledged = packet.acknowledged
    known.pending_sequence = None
    record_request_end(packet.flow, known, state)
