"""Applies log batches to the state of a balancer that delivers by tags."""

from typing import Any

from returns.result import Success

from wasabigw.core.apply import apply
from wasabigw.core.ids import Seconds
from wasabigw.core.log_messages import LogBatch
from wasabigw.core.tags.learning import declare, learn
from wasabigw.core.tags.state import TagState
from wasabigw.core.view import confirm, is_fresh
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.messages import AppliedRevision, LogReceived
from wasabigw.tasks.tag_codec import DocumentDecoder
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log


class TagLogApplication:
    """Brings the copy of the replicated state and the view of it forward.

    :param applied: receives :class:`AppliedRevision` after each batch.
    """

    def __init__(
        self, state: TagState, decode: DocumentDecoder, applied: Mailbox[Any]
    ) -> None:
        self._state = state
        self._decode = decode
        self._applied = applied
        self._was_fresh = False

    def apply(self, message: LogReceived, now: Seconds) -> None:
        """Apply a batch and extend the view lease if nothing is missing."""
        state, batch = self._state, message.batch
        before = state.cluster.revision
        self._install_snapshot(batch)
        for entry in batch.entries:
            revision = state.cluster.revision
            if entry.revision <= revision:
                continue
            if entry.revision != revision + 1:
                log(BalancerEvent.LOG_GAP, found=entry.revision, applied=revision)
                break
            apply(entry.command, entry.revision, state.cluster)
        if state.cluster.revision != before:
            self._declare()
            learn(state, now)
        self._confirm(message, now)
        self._applied.post(AppliedRevision(state.cluster.revision))

    def note_freshness(self, now: Seconds) -> None:
        """Log when the view becomes stale or fresh."""
        if not self._state.view.confirmed:
            return
        fresh = is_fresh(self._state.view, now)
        if fresh != self._was_fresh:
            self._log(BalancerEvent.VIEW_FRESH if fresh else BalancerEvent.VIEW_STALE)
        self._was_fresh = fresh

    def _install_snapshot(self, batch: LogBatch) -> None:
        snapshot = batch.snapshot
        state = self._state
        if snapshot is None or snapshot.revision <= state.cluster.revision:
            return
        state.cluster = snapshot
        self._log(BalancerEvent.SNAPSHOT_INSTALLED)

    def _declare(self) -> None:
        state = self._state
        document = state.cluster.declared
        if document is None or document.version == state.declared_version:
            return
        decoded = self._decode(document)
        if isinstance(decoded, Success):
            declare(decoded.unwrap(), state)
            return
        log(
            BalancerEvent.DOCUMENT_UNREADABLE,
            version=document.version,
            reason=decoded.failure(),
        )

    def _confirm(self, message: LogReceived, now: Seconds) -> None:
        state, batch = self._state, message.batch
        first = not state.view.confirmed
        confirm(
            state.view,
            message.sent_at,
            batch.fresh_for,
            batch.committed,
            state.cluster.revision,
        )
        if first and state.view.confirmed:
            self._log(BalancerEvent.FIRST_VIEW)
        self.note_freshness(now)

    def _log(self, event: BalancerEvent) -> None:
        log(event, node=self._state.node, revision=self._state.cluster.revision)
