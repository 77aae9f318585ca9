"""Log lines on failure domains under suspicion and on uploads that are late."""

from wasabigw.core.ids import Seconds
from wasabigw.core.tags.domain_suspicion import update_suspicions
from wasabigw.core.tags.egress import LinkClass
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.upload_admission import (
    bulk_rate,
    pending_bytes,
    remove_ended,
)
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log


class LoadLog:
    """Logs, once a second, what has changed in the decisions under load.

    :param state: state of the balancer; what has ended since is removed from it.
    """

    def __init__(self, state: TagState) -> None:
        self._state = state
        self._were_uploads_late = False

    def log_changes(self, now: Seconds) -> None:
        """Log the changes since the last call.

        Suspicions and uploads also end without a packet, so both are updated first.
        """
        update_suspicions(self._state, now)
        remove_ended(self._state, now)
        self._log_suspicions(now)
        self._log_uploads(now)

    def _log_suspicions(self, now: Seconds) -> None:
        state = self._state
        for change in state.suspicion_changes:
            log(
                BalancerEvent.DOMAIN_SUSPECTED
                if change.lasted is None
                else BalancerEvent.DOMAIN_TRUSTED,
                node=state.node,
                service=change.service,
                failure_domain=change.failure_domain,
                ago=round(now - change.at, 3),
                lasted=round(change.lasted or 0.0, 3),
            )
        state.suspicion_changes.clear()

    def _log_uploads(self, now: Seconds) -> None:
        state = self._state
        are_late = bool(state.late_uploads)
        if are_late == self._were_uploads_late:
            return
        self._were_uploads_late = are_late
        if not are_late:
            log(BalancerEvent.UPLOADS_IN_TIME, node=state.node)
            return
        pending = sum(pending_bytes(state, c) for c in (LinkClass.BULK, LinkClass.LATE))
        log(
            BalancerEvent.UPLOADS_LATE,
            node=state.node,
            late=len(state.late_uploads),
            uploads=len(state.uploads),
            wait=round(pending / bulk_rate(state.egress, now), 3),
        )
