"""Counts the load of backend servers by the packets of callers.

These functions run for each opening, request or answer, so they only change counters.
A request is in flight from its first data to the first acknowledgement of data that
was not acknowledged when it was sent. Answers bypass the balancer: it sees them only by
what callers acknowledge.
"""

from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.tags.packets import SEQUENCE_NUMBERS, FlowPacket
from wasabigw.core.tags.state import Flow, FlowState, Server, TagState

_HALF = SEQUENCE_NUMBERS // 2


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


def count_data(packet: FlowPacket, flow: Flow) -> None:
    """Count a request from its first data on; copies of data change nothing."""
    end = packet.sequence + packet.length
    if not 0 < (end - flow.sent_until) % SEQUENCE_NUMBERS < _HALF:
        return
    flow.sent_until = end
    if flow.is_in_flight or flow.state is FlowState.CLOSED:
        return
    flow.is_in_flight = True
    flow.is_upload = False
    flow.acknowledged_before = packet.acknowledged
    flow.server.counts.in_flight += 1


def count_acknowledgement(packet: FlowPacket, flow: Flow, now: Seconds) -> None:
    """Count the first answer to the request in flight, if the packet shows it."""
    if not flow.is_in_flight:
        return
    ahead = (packet.acknowledged - flow.acknowledged_before) % SEQUENCE_NUMBERS
    if not 0 < ahead < _HALF:
        return
    if not flow.is_upload:
        counts = flow.server.counts
        counts.answers += 1
        counts.answer_time += now - flow.pending_since
    end_request(flow)


def end_request(flow: Flow) -> None:
    """Stop counting the request in flight of a flow, if there is one."""
    if flow.is_in_flight:
        flow.is_in_flight = False
        flow.server.counts.in_flight -= 1


def discard_lost_data(packet: FlowPacket, flow: Flow) -> None:
    """Stop counting a request whose first data was lost on the link."""
    end_request(flow)
    flow.sent_until = packet.sequence


def expire_requests(state: TagState, now: Seconds) -> None:
    """Stop counting requests whose callers have given up or use another balancer.

    A caller that moves to another balancer shows its answer there only.
    """
    for flow_id, flow in state.flows.items():
        if not flow.is_in_flight:
            continue
        listener = state.listeners.get((flow_id.listener, flow_id.listener_port))
        timeout = state.idle_timeout if listener is None else listener.request_timeout
        if now - flow.pending_since >= timeout:
            end_request(flow)
