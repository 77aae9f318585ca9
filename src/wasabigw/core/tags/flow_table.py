"""Table of the flows that pass a balancer, with the load of each backend server."""

from wasabigw.core.ids import Seconds
from wasabigw.core.load.counting import end_request
from wasabigw.core.tags.openings import discard_opening
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import Flow, FlowState, Server, TagState

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
