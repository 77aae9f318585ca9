"""Log lines on the view, the link and the receive buffer of a balancer."""

from wasabigw.core.endpoint import endpoint_key
from wasabigw.core.ids import Revision, Seconds
from wasabigw.core.tags.link.egress import queue_time
from wasabigw.core.tags.state import TagState
from wasabigw.tasks.decision_log import rounded_or_none
from wasabigw.tasks.tag_metrics import boot_state
from wasabigw.tasks.view_follower import ViewReceived
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log

LONG_QUEUE_TIME = Seconds(0.2)
"""Queue time that is logged; callers begin to retransmit data that waits longer."""
MAX_LOGGED_BOOTS = 20
"""Maximum number of boots named in the log line of a view change."""


class ConditionLog:
    """Logs each change of a condition once.

    :param state: only read.
    """

    def __init__(self, state: TagState) -> None:
        self._state = state
        self._was_fresh = False
        self._was_diverting = False
        self._was_queueing = False
        self._was_backlogged = False

    def log_view_change(self, before: Revision, message: ViewReceived) -> None:
        """Log a new revision of the view, and from where it came."""
        state, update = self._state, message.update
        changed = [f"{b.id} {boot_state(b)}" for b in update.boots[:MAX_LOGGED_BOOTS]]
        if len(update.boots) > MAX_LOGGED_BOOTS:
            changed.append(f"and {len(update.boots) - MAX_LOGGED_BOOTS} more")
        log(
            BalancerEvent.VIEW_CHANGED,
            before=before,
            revision=state.view.revision,
            boots=", ".join(changed),
            version=state.declared_version,
            out_of_service=", ".join(state.view.out_of_service),
            source=endpoint_key(message.source),
            fresh_for=round(update.fresh_for, 3),
        )

    def log_freshness(self, now: Seconds) -> None:
        """Log when the view becomes stale, and when it is fresh again."""
        state = self._state
        fresh = state.is_fresh(now)
        if fresh == self._was_fresh:
            return
        self._was_fresh = fresh
        event = BalancerEvent.VIEW_FRESH if fresh else BalancerEvent.VIEW_STALE
        log(event, node=state.node, revision=state.view.revision)

    def log_diversion(self, diverts: bool, now: Seconds) -> None:
        """Log when callers begin to be diverted to other failure domains, and the end.

        :param diverts: whether they are diverted now.
        """
        if diverts == self._was_diverting:
            return
        self._was_diverting = diverts
        state = self._state
        log(
            BalancerEvent.CALLERS_AWAY if diverts else BalancerEvent.CALLERS_BACK,
            node=state.node,
            failure_domain=state.failure_domain,
            age=rounded_or_none(state.view_age(now)),
        )

    def log_link_queue(self, replaced: int) -> None:
        """Log when packets begin to wait long for the link, and when none waits.

        :param replaced: retransmitted copies that were left out so far.
        """
        egress, node = self._state.egress, self._state.node
        wait = queue_time(egress)
        if not self._was_queueing and wait >= LONG_QUEUE_TIME:
            self._was_queueing = True
            log(
                BalancerEvent.LINK_QUEUE,
                node=node,
                wait=round(wait, 3),
                bytes=egress.size,
                replaced=replaced,
            )
        elif self._was_queueing and egress.is_empty:
            self._was_queueing = False
            log(BalancerEvent.LINK_IDLE, node=node)

    def log_receive_wait(self, wait: Seconds) -> None:
        """Log when packets begin to wait long to be read, and when none waits.

        :param wait: longest time that a packet may have waited.
        """
        node = self._state.node
        if not self._was_backlogged and wait >= LONG_QUEUE_TIME:
            self._was_backlogged = True
            log(BalancerEvent.RECEIVE_BACKLOG, node=node, wait=round(wait, 3))
        elif self._was_backlogged and wait < LONG_QUEUE_TIME:
            self._was_backlogged = False
            log(BalancerEvent.RECEIVE_CURRENT, node=node)
