"""Table of the flows that pass a balancer, with the load of each backend server."""

from wasabigw.core.ids import Seconds
from wasabigw.core.load.counting import end_request
from wasabigw.core.tags.liveness.health import is_unreachable
from wasabigw.core.tags.openings import discard_opening
from wasabigw.core.tags.packets import FlowId, FlowPacket, sequence_distance
from wasabigw.core.tags.state import Flow, FlowState, Server, TagState

MAX_BYTES_UNSEEN = 2**20
"""Most bytes by which a packet is ahead of or behind the latest one of its flow."""
MAX_FLOWS = 100_000
"""Maximum number of tracked flows; further flows are delivered untracked."""


def add_flow(
    packet: FlowPacket, server: Server, state: TagState, now: Seconds
) -> Flow | None:
    """Add the flow of a packet; ``None`` if the table is full."""
    if len(state.flows) >= MAX_FLOWS:
        return None
    flow = Flow(server, now, now, packet.sequence, sent_until=packet.sequence)
    state.flows[packet.flow] = flow
    server.open_flows += 1
    server.opened_at_sum += now
    return flow


def remove_flow(flow: FlowId, state: TagState) -> None:
    """Remove a flow, if it is known."""
    known = state.flows.pop(flow, None)
    if known is None:
        return
    close_flow(known)
    end_request(known)
    discard_opening(flow, state)


def close_flow(flow: Flow) -> None:
    """Stop counting a flow as open, if it still is."""
    if flow.state is FlowState.CLOSED:
        return
    flow.state = FlowState.CLOSED
    server = flow.server
    server.open_flows -= 1
    server.opened_at_sum -= flow.opened_at
    if server.open_flows == 0:
        # Rounding errors would add up over months.
        server.opened_at_sum = 0.0


def server_of_flow(packet: FlowPacket, state: TagState, now: Seconds) -> Server | None:
    """Backend server of the flow of a packet; ``None`` if it is not known.

    The first packet after an opening has the tag of the answer that the caller took.
    Later ones have that of the latest answer, which may be a late one of another
    backend server that got a copy of the opening, and that would reset the flow.
    """
    tagged = state.servers.get(packet.tag)
    known = state.flows.get(packet.flow)
    if known is None or known.server is tagged or known.state is FlowState.OPENING:
        return tagged
    if not _is_of_flow(packet, known) or is_unreachable(known.server.breaker, now):
        return tagged
    # The view may have forgotten the boot meanwhile.
    return state.servers.get(known.server.registration.tag, tagged)


def _is_of_flow(packet: FlowPacket, known: Flow) -> bool:
    """Whether a packet belongs to a known flow, not to a later one of the same port.

    Both ends begin a flow at a random sequence number.
    """
    sent = sequence_distance(known.sent_until, packet.sequence)
    received = sequence_distance(known.acknowledged, packet.acknowledged)
    return max(abs(sent), abs(received)) <= MAX_BYTES_UNSEEN


def restart_flow(flow: Flow, now: Seconds) -> None:
    """Let a flow count as opened now, as its opening has waited until now."""
    flow.server.opened_at_sum += now - flow.opened_at
    flow.opened_at = now


def expire_flows(state: TagState, now: Seconds) -> None:
    """Remove flows that have reached the idle timeout."""
    ended = [
        flow
        for flow, known in state.flows.items()
        if now - known.last_seen >= state.idle_timeout
    ]
    for flow in ended:
        remove_flow(flow, state)
