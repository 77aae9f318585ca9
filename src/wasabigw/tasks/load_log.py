"""Log lines on failure domains that new flows avoid or leave, and on late uploads."""

from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.tags.choice.demand import domain_loads, shares_in_force
from wasabigw.core.tags.link.egress import LinkClass
from wasabigw.core.tags.link.upload_admission import (
    bulk_rate,
    pending_bytes,
    remove_ended,
)
from wasabigw.core.tags.liveness.domain_suspicion import update_suspicions
from wasabigw.core.tags.state import TagState
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log


class LoadLog:
    """Logs, once a second, what has changed in the decisions under load.

    :param state: state of the balancer; what has ended since is removed from it.
    """

    def __init__(self, state: TagState) -> None:
        self._state = state
        self._were_uploads_late = False
        self._crossing: set[ServiceId] = set()

    def log_changes(self, now: Seconds) -> None:
        """Log the changes since the last call.

        Suspicions and uploads also end without a packet, so both are updated first.
        """
        update_suspicions(self._state, now)
        remove_ended(self._state, now)
        self._log_suspicions(now)
        self._log_uploads(now)
        self._log_crossing(now)

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

    def _log_crossing(self, now: Seconds) -> None:
        """Log which services begin or cease to send flows away from a busy home."""
        state, home = self._state, self._state.failure_domain
        shares = shares_in_force(state, now)
        crossing = {name for name, s in shares.items() if 0 < s.get(home, 0.0) < 1}
        for service in sorted(crossing - self._crossing):
            load = domain_loads(service, {home: 0.0}, state)[home]
            slots = sum(
                server.slots
                for server in state.pools.get(service, ())
                if server.registration.failure_domain == home
            )
            log(
                BalancerEvent.FLOWS_CROSS,
                node=state.node,
                service=service,
                share=round(1 - shares[service][home], 2),
                in_flight=load.in_flight,
                slots=slots,
            )
        for service in sorted(self._crossing - crossing):
            log(BalancerEvent.FLOWS_STAY, node=state.node, service=service)
        self._crossing = crossing
