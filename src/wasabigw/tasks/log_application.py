"""Application of log batches to the state of a balancer."""

from collections.abc import Sequence
from typing import Any

from wasabigw.core import backend_home
from wasabigw.core.apply import apply
from wasabigw.core.flows.decisions import Decision
from wasabigw.core.flows.events import LogApplied, ViewConfirmed
from wasabigw.core.flows.routing import handle
from wasabigw.core.flows.state import BalancerState
from wasabigw.core.flows.transfer import is_drained
from wasabigw.core.home_events import HomeDecision, HomesChanged
from wasabigw.core.home_records import HomeState
from wasabigw.core.ids import Revision, Seconds
from wasabigw.core.log_messages import LogBatch
from wasabigw.core.view_lease import is_fresh
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.messages import AppliedRevision, LogReceived
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log


class LogApplication:
    """Applies log batches to the replicated state and the flow state together.

    :param applied: mailbox that receives :class:`AppliedRevision` after each batch.
    """

    def __init__(
        self, state: BalancerState, home: HomeState, applied: Mailbox[Any]
    ) -> None:
        self._state = state
        self._home = home
        self._applied = applied
        self._was_fresh = False
        self._was_drained = False

    def apply(
        self, message: LogReceived, now: Seconds
    ) -> Sequence[Decision | HomeDecision]:
        """Apply a batch and extend the view lease if no committed entry is missing."""
        batch = message.batch
        before = self._state.cluster.revision
        decisions: list[Decision | HomeDecision] = []
        decisions += self._install_snapshot(batch, now)
        for entry in batch.entries:
            revision = self._state.cluster.revision
            if entry.revision <= revision:
                continue
            if entry.revision != revision + 1:
                log(BalancerEvent.LOG_GAP, found=entry.revision, applied=revision)
                break
            apply(entry.command, entry.revision, self._state.cluster)
            settled = entry.revision <= batch.settled
            applied = LogApplied(self._state.cluster, now, settled=settled)
            decisions += handle(applied, self._state)
        self._extend_view_lease(message, now)
        if self._state.cluster.revision != before:
            changed = HomesChanged(self._state.cluster, now)
            decisions += backend_home.handle(changed, self._home)
        self._applied.post(AppliedRevision(self._state.cluster.revision))
        return decisions

    def _install_snapshot(self, batch: LogBatch, now: Seconds) -> Sequence[Decision]:
        snapshot = batch.snapshot
        if snapshot is None or snapshot.revision <= self._state.cluster.revision:
            return ()
        log(
            BalancerEvent.SNAPSHOT_INSTALLED,
            node=self._state.node,
            revision=snapshot.revision,
        )
        settled = snapshot.revision <= batch.settled
        applied = LogApplied(snapshot, now, snapshot=True, settled=settled)
        return handle(applied, self._state)

    def _extend_view_lease(self, message: LogReceived, now: Seconds) -> None:
        batch = message.batch
        is_first = not self._state.view.confirmed
        event = ViewConfirmed(message.sent_at, batch.fresh_for, batch.committed, now)
        handle(event, self._state)
        backend_home.confirm_view(self._home, self._state.view.fresh_until)
        if is_first and self._state.view.confirmed:
            self._log(BalancerEvent.FIRST_VIEW)
            self._was_fresh = True
        self.log_freshness_change(now)

    def log_freshness_change(self, now: Seconds) -> None:
        """Log when the view becomes stale or fresh, and when a drain is done."""
        if not self._state.view.confirmed:
            return
        fresh = is_fresh(self._state.view, now)
        if fresh != self._was_fresh:
            self._log(BalancerEvent.VIEW_FRESH if fresh else BalancerEvent.VIEW_STALE)
        self._was_fresh = fresh
        drained = is_drained(self._state)
        if drained and not self._was_drained:
            log(BalancerEvent.DRAINED, node=self._state.node)
        self._was_drained = drained

    def _log(self, event: BalancerEvent) -> None:
        revision: Revision = self._state.cluster.revision
        log(event, node=self._state.node, revision=revision)
