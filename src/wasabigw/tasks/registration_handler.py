"""Calls of backend servers that are reached by tags, as a part of the voter task."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from wasabigw.core import registrar
from wasabigw.core.cluster import ClusterState
from wasabigw.core.commands import Report
from wasabigw.core.ids import Seconds
from wasabigw.core.log_messages import (
    BootAnnouncement,
    BootDeparture,
    NotLeader,
    RegistrationBatch,
)
from wasabigw.core.registrar import RegistrarState
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.registration_sender import ForwardRegistrations
from wasabigw.tasks.voter_calls import Overloaded, RegistrationCall, Settled
from wasabigw.tasks.voter_context import VoterContext

MAX_WAITING_CALLS = 4_096
"""Calls that wait for the log; more are refused."""
CALL_TIMEOUT = Seconds(1.0)
"""How long a call waits; a backend server then turns to another control VM."""
REFRESH_PERIOD = Seconds(0.4)
"""How long announcements that tell nothing new wait to be passed on together."""
RETRY_PERIOD = Seconds(0.3)
"""How soon a call that is not settled is passed on or proposed again."""


@dataclass(slots=True)
class _WaitingCall:
    call: RegistrationCall
    received_at: Seconds
    dispatched_at: Seconds


class RegistrationHandler:
    """Answers each call once the own copy of the replicated state shows it.

    :param lease: how long a boot counts as present after an announcement.
    :param sender: mailbox of the task that passes calls on to the leader; ``None`` if
        no calls are taken here.
    :param propose: appends reports to the log; only called while leading.
    """

    def __init__(
        self,
        lease: Seconds,
        sender: Mailbox[Any] | None,
        propose: Callable[[tuple[Report, ...]], None],
    ) -> None:
        self._registrar = RegistrarState(lease)
        self._sender = sender
        self._propose = propose
        self._waiting: list[_WaitingCall] = []
        self._pending_refreshes: dict[str, BootAnnouncement] = {}
        self._next_refresh = Seconds(0.0)

    def begin_leadership(self, cluster: ClusterState, now: Seconds) -> None:
        """Begin the leases of a leadership."""
        registrar.handle(registrar.LeadershipGained(now, cluster), self._registrar)

    def handle(self, call: RegistrationCall, context: VoterContext) -> None:
        """Take the call of a backend server.

        Without a current copy it is refused: an acknowledgement would keep the backend
        server from another control VM, which the leader hears.
        """
        if not context.is_current:
            call.reply.post(NotLeader(None))
            return
        if registrar.is_settled(call.notification, context.cluster):
            call.reply.post(Settled())
            self._refresh_lease(call.notification, context)
            return
        if len(self._waiting) >= MAX_WAITING_CALLS:
            call.reply.post(Overloaded(f"{MAX_WAITING_CALLS} registrations wait"))
            return
        self._waiting.append(_WaitingCall(call, context.now, context.now))
        self._dispatch([call.notification], context)

    def handle_forwarded(self, batch: RegistrationBatch, context: VoterContext) -> None:
        """Take calls that another control VM passed on."""
        if context.is_leader:
            self._handle_as_leader([*batch.announcements, *batch.departures], context)

    def answer_settled(self, cluster: ClusterState) -> None:
        """Answer the calls that the replicated state shows now."""
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            if registrar.is_settled(entry.call.notification, cluster):
                entry.call.reply.post(Settled())
            else:
                self._waiting.append(entry)

    def tick(self, context: VoterContext) -> None:
        """Expire leases, pass refreshed leases on and repeat what is not settled."""
        now = context.now
        if context.is_leader:
            event = registrar.RegistrarTick(now, context.cluster)
            self._propose_all(registrar.handle(event, self._registrar))
        self._waiting = [w for w in self._waiting if now - w.received_at < CALL_TIMEOUT]
        due = [w for w in self._waiting if now - w.dispatched_at >= RETRY_PERIOD]
        for entry in due:
            entry.dispatched_at = now
        self._dispatch([entry.call.notification for entry in due], context)
        if now >= self._next_refresh and self._pending_refreshes:
            self._next_refresh = Seconds(now + REFRESH_PERIOD)
            refreshed = list(self._pending_refreshes.values())
            self._pending_refreshes.clear()
            self._dispatch(refreshed, context)

    def _refresh_lease(
        self, notification: BootAnnouncement | BootDeparture, context: VoterContext
    ) -> None:
        if isinstance(notification, BootDeparture):
            return
        if context.is_leader:
            self._handle_as_leader([notification], context)
        else:
            self._pending_refreshes[notification.id] = notification

    def _dispatch(
        self,
        notifications: Sequence[BootAnnouncement | BootDeparture],
        context: VoterContext,
    ) -> None:
        if not notifications:
            return
        if context.is_leader:
            self._handle_as_leader(notifications, context)
        elif context.leader is not None and self._sender is not None:
            batch = RegistrationBatch(
                tuple(n for n in notifications if isinstance(n, BootAnnouncement)),
                tuple(n for n in notifications if isinstance(n, BootDeparture)),
            )
            self._sender.post(ForwardRegistrations(context.leader, batch))

    def _handle_as_leader(
        self,
        notifications: Sequence[BootAnnouncement | BootDeparture],
        context: VoterContext,
    ) -> None:
        reports: list[Report] = []
        for notification in notifications:
            event: registrar.AnnouncementHeard | registrar.DepartureHeard
            if isinstance(notification, BootAnnouncement):
                event = registrar.AnnouncementHeard(
                    notification, context.now, context.cluster
                )
            else:
                event = registrar.DepartureHeard(
                    notification, context.now, context.cluster
                )
            reports.extend(registrar.handle(event, self._registrar))
        self._propose_all(reports)

    def _propose_all(self, reports: list[Report]) -> None:
        if reports:
            self._propose(tuple(reports))
