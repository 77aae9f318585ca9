"""Log lines for services that become short of room, and that no longer are."""

from wasabigw.core.tags.state import TagState
from wasabigw.tasks.decision_log import rounded_or_none
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log


def log_shortage_changes(state: TagState) -> None:
    """Log the pending changes and remove them."""
    changes = state.admission.changes
    for change in changes:
        event = (
            BalancerEvent.SERVICE_SHORT
            if change.is_short
            else BalancerEvent.SERVICE_HAS_ROOM
        )
        log(
            event,
            service=change.service,
            node=state.node,
            cause=change.cause.value,
            delay=round(change.delay, 3),
            tolerable=round(change.tolerable, 3),
            utilization=round(change.utilization, 2),
            rejected=round(change.rejected, 2),
            age=rounded_or_none(change.age),
            lasted=round(change.lasted, 1),
        )
    changes.clear()
