"""Evidence on backend servers from the packets of callers, noted for the log."""

from wasabigw.core.ids import Seconds
from wasabigw.core.tags.link.egress import is_congested
from wasabigw.core.tags.liveness.health import (
    FailureSignal,
    confirm_doubt,
    record_failure,
    record_response,
    record_silence,
)
from wasabigw.core.tags.packets import FlowId
from wasabigw.core.tags.state import (
    HealthChange,
    Server,
    TagState,
)


def record_unanswered(
    server: Server,
    flow: FlowId,
    sent_at: Seconds,
    failure: FailureSignal,
    state: TagState,
    now: Seconds,
) -> None:
    """Record that a packet to a backend server has not been answered yet."""
    congested = is_congested(state.egress, now)
    if congested and not confirm_doubt(server.breaker, sent_at, now):
        return
    record_silence(server.breaker, flow, sent_at)
    silent_for = Seconds(now - server.breaker.last_response_at)
    if record_failure(server.breaker, sent_at, now):
        state.health_changes.append(HealthChange(server, failure, silent_for))


def record_server_response(server: Server, state: TagState, now: Seconds) -> None:
    """Record that a caller has acknowledged something new from a backend server."""
    silent_for = Seconds(now - server.breaker.last_response_at)
    if record_response(server.breaker, now):
        state.health_changes.append(HealthChange(server, None, silent_for))
