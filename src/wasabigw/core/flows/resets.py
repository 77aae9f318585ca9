"""Unconfirmed resets: resets by backend servers that may not own the flow.

When a failure domain is taken out of service, its buckets move at once. A balancer that
has not applied the change yet may send a packet of a new flow to the former backend
server, which answers with a reset. This reset must not end the flow.
"""

from itertools import islice

from wasabigw.core.flows.state import BalancerState
from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import FlowKey, Seconds
from wasabigw.core.timing import FLOW_IDLE_TIMEOUT, SETTLE_TIME

UNCONFIRMED_RESET_LIMIT = 10_000
"""Most flows with an unconfirmed reset; at the limit the oldest is removed."""
UNCONFIRMED_RESET_LIFETIME = Seconds(60.0)
"""Time after which a flow with an unconfirmed reset is removed."""


def is_unconfirmed(
    state: BalancerState, flow: FlowKey, target: Target, now: Seconds
) -> bool:
    """Whether to drop a reset for a flow that its home has not recorded.

    If the flow has really ended, the caller retransmits and the backend server sends
    another reset. One that comes ``SETTLE_TIME`` after the first is passed on. After a
    restart of the backend server, the first reset is passed on.
    """
    restarted = state.restarted_at.get(target.id)
    if restarted is not None and now - restarted < FLOW_IDLE_TIMEOUT:
        return False
    first = state.unconfirmed_resets.get(flow)
    if first is None:
        _add_unconfirmed(state, flow, now)
        return True
    if now - first < SETTLE_TIME:
        return True
    del state.unconfirmed_resets[flow]
    return False


def _add_unconfirmed(state: BalancerState, flow: FlowKey, now: Seconds) -> None:
    unconfirmed = state.unconfirmed_resets
    if len(unconfirmed) >= UNCONFIRMED_RESET_LIMIT:
        del unconfirmed[next(iter(unconfirmed))]
    unconfirmed[flow] = now


def expire_unconfirmed_resets(state: BalancerState, now: Seconds) -> None:
    """Remove flows whose reset was not repeated in time."""
    unconfirmed = state.unconfirmed_resets
    for flow in list(islice(unconfirmed, UNCONFIRMED_RESET_LIMIT)):
        if now - unconfirmed[flow] < UNCONFIRMED_RESET_LIFETIME:
            break
        del unconfirmed[flow]
