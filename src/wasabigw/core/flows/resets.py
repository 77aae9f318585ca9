"""Resets by backend servers for flows that they may never have had.

When a failure domain is taken out of service, its buckets move at once. Until all
balancers know, one of them may send a packet of a new flow to the former backend
server, whose reset must not end the flow.
"""

from itertools import islice

from wasabigw.core.flows.state import BalancerState
from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import FlowKey, Seconds
from wasabigw.core.timing import FLOW_IDLE_TIMEOUT, SETTLE_TIME

UNCONFIRMED_RESET_LIMIT = 10_000
"""Flows with doubtful resets; at the limit the oldest is forgotten."""
UNCONFIRMED_RESET_LIFETIME = Seconds(60.0)
"""Time after which a flow with a doubtful reset is forgotten."""


def is_unconfirmed(
    state: BalancerState, flow: FlowKey, target: Target, now: Seconds
) -> bool:
    """Whether to drop a reset for a flow that its home has not recorded.

    If the flow is really gone, the caller sends again and the backend server resets
    it again; a reset that comes after ``SETTLE_TIME`` is believed. After a restart
    of the backend server it is believed at once.
    """
    restarted = state.restarted_at.get(target.id)
    if restarted is not None and now - restarted < FLOW_IDLE_TIMEOUT:
        return False
    first = state.unconfirmed_resets.get(flow)
    if first is None:
        _remember(state, flow, now)
        return True
    if now - first < SETTLE_TIME:
        return True
    del state.unconfirmed_resets[flow]
    return False


def _remember(state: BalancerState, flow: FlowKey, now: Seconds) -> None:
    doubtful = state.unconfirmed_resets
    if len(doubtful) >= UNCONFIRMED_RESET_LIMIT:
        del doubtful[next(iter(doubtful))]
    doubtful[flow] = now


def expire_unconfirmed_resets(state: BalancerState, now: Seconds) -> None:
    """Drop entries of flows that were not reset again."""
    doubtful = state.unconfirmed_resets
    for flow in list(islice(doubtful, UNCONFIRMED_RESET_LIMIT)):
        if now - doubtful[flow] < UNCONFIRMED_RESET_LIFETIME:
            break
        del doubtful[flow]
