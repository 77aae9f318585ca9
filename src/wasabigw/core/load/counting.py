"""Counts the load of backend servers by the packets of callers.

These functions run for each opening, request or answer, so they only change counters.
A request ends with the first acknowledgement of data that was not acknowledged when it
was sent. Answers bypass the balancer: it sees them only by what callers acknowledge.

A request is in flight, which means at its backend server, once its caller seems to have
sent it whole: an upload through a full link takes seconds while backend servers idle.
Nothing is counted while the own link is congested, because acknowledgements of answers
wait before it then.
"""

from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.tags.admission.rejections import seems_rejection
from wasabigw.core.tags.link.egress import has_waiting, is_congested
from wasabigw.core.tags.packets import SEQUENCE_NUMBERS, FlowPacket
from wasabigw.core.tags.state import Flow, FlowState, Server, TagState

_HALF = SEQUENCE_NUMBERS // 2
SENDING_TIMEOUT = Seconds(0.05)
"""Time without further data after which a request seems to be sent whole.

Longer than a round trip in a region, after which a caller goes on if the backend server
has acknowledged enough.
"""


def shares_load(state: TagState) -> bool:
    """Whether load figures are exchanged with other balancers."""
    return state.features.load_sharing and any(
        listener.requirements is not None for listener in state.listeners.values()
    )


def count_arrival(packet: FlowPacket, service: ServiceId, state: TagState) -> None:
    """Count an opening of a caller, but not its retransmissions."""
    if packet.repeat == 0:
        arrivals = state.load.arrivals
        arrivals[service] = arrivals.get(service, 0) + 1


def count_opening(server: Server) -> None:
    """Count an opening that is sent to a backend server."""
    server.counts.openings += 1


def discard_lost_opening(server: Server) -> None:
    """Stop counting an opening that was lost on the link of this balancer."""
    counts = server.counts
    if counts.openings > 0:
        counts.openings -= 1


def count_data(packet: FlowPacket, flow: Flow, state: TagState, now: Seconds) -> None:
    """Count a request from its first data on; copies of data change nothing."""
    end = packet.sequence + packet.length
    if not 0 < (end - flow.sent_until) % SEQUENCE_NUMBERS < _HALF:
        return
    flow.sent_until = end
    if flow.state is FlowState.CLOSED:
        return
    flow.data_at = now
    if flow.is_sending:
        return
    is_first = not flow.is_in_flight
    if is_first:
        flow.acknowledged_before = packet.acknowledged
    if is_first and not is_congested(state.egress, now):
        flow.is_in_flight = True
        flow.server.counts.in_flight += 1
        return
    end_request(flow)
    flow.is_sending = True
    state.sending[packet.flow] = flow


def count_release(flow: Flow, now: Seconds) -> None:
    """Count data as sent only now, as it has waited for the link."""
    flow.data_at = now


def count_acknowledgement(
    packet: FlowPacket, flow: Flow, state: TagState, now: Seconds
) -> None:
    """Count the first answer to the request of a flow, if the packet shows it.

    Answers that seem to be rejections end a request, but don't count.
    """
    if not flow.is_in_flight and not flow.is_sending:
        return
    ahead = (packet.acknowledged - flow.acknowledged_before) % SEQUENCE_NUMBERS
    if not 0 < ahead < _HALF:
        return
    if not is_congested(state.egress, now) and not seems_rejection(packet, flow, state):
        counts = flow.server.counts
        counts.answers += 1
        counts.answer_time += now - flow.data_at
    end_request(flow)


def end_request(flow: Flow) -> None:
    """Stop counting the request of a flow, if there is one."""
    flow.is_sending = False
    if flow.is_in_flight:
        flow.is_in_flight = False
        flow.server.counts.in_flight -= 1


def discard_lost_data(packet: FlowPacket, flow: Flow) -> None:
    """Stop counting a request of which data was lost on the link."""
    end_request(flow)
    flow.sent_until = packet.sequence


def update_requests(state: TagState, now: Seconds) -> None:
    """Count the requests as in flight that were sent whole by now."""
    congested = is_congested(state.egress, now)
    for flow_id, flow in list(state.sending.items()):
        if flow.is_sending:
            is_recent = now - flow.data_at < SENDING_TIMEOUT
            if congested or is_recent or has_waiting(state.egress, flow_id):
                continue
            flow.is_sending = False
            flow.is_in_flight = True
            flow.server.counts.in_flight += 1
        del state.sending[flow_id]


def expire_requests(state: TagState, now: Seconds) -> None:
    """Stop counting requests whose callers have given up or use another balancer.

    A caller that moves to another balancer shows its answer there only.
    """
    for flow_id, flow in state.flows.items():
        if not flow.is_in_flight and not flow.is_sending:
            continue
        listener = state.listeners.get((flow_id.listener, flow_id.listener_port))
        timeout = state.idle_timeout if listener is None else listener.request_timeout
        if now - flow.data_at >= timeout:
            end_request(flow)
    update_requests(state, now)
