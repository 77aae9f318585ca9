"""Registration of backend servers that are addressed by tags."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from wasabigw.core import registrar
from wasabigw.core.cluster import ClusterState, endpoint_key
from wasabigw.core.commands import Report
from wasabigw.core.flows.limits import make_rate_limit, take_token
from wasabigw.core.ids import Seconds
from wasabigw.core.log_messages import (
    BootAnnouncement,
    BootDeparture,
    NotLeader,
    RegistrationBatch,
)
from wasabigw.core.registrar import RegistrarState
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.boot_preference_log import log_preference
from wasabigw.tasks.declared_services import DeclaredServices
from wasabigw.tasks.registration_sender import ForwardRegistrations
from wasabigw.tasks.tag_codec import DocumentDecoder
from wasabigw.tasks.voter_calls import (
    Overloaded,
    RegistrationCall,
    ServiceNotDeclared,
    Settled,
)
from wasabigw.tasks.voter_context import VoterContext
from wasabigw.telemetry.events_control import ControlEvent
from wasabigw.telemetry.log_events import log

MAX_WAITING_CALLS = 4_096
"""Calls that wait until the replicated state shows them; more are refused."""
CALL_TIMEOUT = Seconds(1.0)
"""How long a call waits; the backend server then tries another control VM."""
REFRESH_PERIOD = Seconds(0.4)
"""How often announcements that only refresh a lease are forwarded, in one batch."""
RETRY_DELAY = Seconds(0.3)
"""How soon a call that is not settled is forwarded or proposed again."""
LOGGED_REFUSALS_PER_SECOND = 5.0
LOGGED_REFUSALS_BURST = 20.0
LOGGED_PREFERENCES_PER_SECOND = 20.0
LOGGED_PREFERENCES_BURST = 200.0
"""A restart of all backend servers writes a line for each of them."""


@dataclass(slots=True)
class _WaitingCall:
    call: RegistrationCall
    received_at: Seconds
    dispatched_at: Seconds


class RegistrationHandler:
    """Answers each call once the local copy of the replicated state shows it.

    :param lease: how long a boot counts as present after an announcement.
    :param sender: mailbox of the task that forwards calls to the leader; ``None`` if
        this control VM accepts no such calls.
    :param propose: appends reports to the log; called on the leader only.
    :param decode_document: decoder of the declared configuration; ``None`` if the
        front end has none, and any service may be announced.
    """

    def __init__(
        self,
        lease: Seconds,
        sender: Mailbox[Any] | None,
        propose: Callable[[tuple[Report, ...]], None],
        decode_document: DocumentDecoder | None = None,
    ) -> None:
        self._registrar = RegistrarState(lease)
        self._sender = sender
        self._propose = propose
        self._declared = DeclaredServices(decode_document)
        self._logged_refusals = make_rate_limit(
            LOGGED_REFUSALS_PER_SECOND, LOGGED_REFUSALS_BURST
        )
        self._logged_preferences = make_rate_limit(
            LOGGED_PREFERENCES_PER_SECOND, LOGGED_PREFERENCES_BURST
        )
        self._waiting: list[_WaitingCall] = []
        self._pending_refreshes: dict[str, BootAnnouncement] = {}
        self._next_refresh = Seconds(0.0)

    def begin_leadership(self, cluster: ClusterState, now: Seconds) -> None:
        """Start the leases of all current boots anew."""
        registrar.handle(registrar.LeadershipGained(now, cluster), self._registrar)

    def receive(self, call: RegistrationCall, context: VoterContext) -> None:
        """Answer a call of a backend server, or hold it until the state shows it.

        Without a current copy the call is refused: an acknowledgement would keep the
        backend server from trying another control VM, one that reaches the leader.
        """
        if not context.is_current:
            call.reply.post(NotLeader(None))
            return
        declared = self._declared.of(context.cluster)
        if not registrar.is_admissible(call.notification, context.cluster, declared):
            self._refuse(call, context)
            return
        if registrar.is_reflected(call.notification, context.cluster):
            call.reply.post(Settled())
            self._refresh_lease(call.notification, context)
            return
        if len(self._waiting) >= MAX_WAITING_CALLS:
            call.reply.post(Overloaded(f"{MAX_WAITING_CALLS} registrations wait"))
            return
        self._waiting.append(_WaitingCall(call, context.now, context.now))
        self._dispatch([call.notification], context)

    def receive_forwarded(
        self, batch: RegistrationBatch, context: VoterContext
    ) -> None:
        """Handle calls that another control VM forwarded; only the leader does."""
        if context.is_leader:
            self._handle_as_leader([*batch.announcements, *batch.departures], context)

    def answer_settled(self, cluster: ClusterState) -> None:
        """Answer the held calls that the replicated state now shows."""
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            if registrar.is_reflected(entry.call.notification, cluster):
                entry.call.reply.post(Settled())
            else:
                self._waiting.append(entry)

    def tick(self, context: VoterContext) -> None:
        """Expire leases, forward refreshed leases and retry unsettled calls."""
        now = context.now
        if context.is_leader:
            event = registrar.RegistrarTick(now, context.cluster)
            self._propose_all(registrar.handle(event, self._registrar))
        self._waiting = [w for w in self._waiting if now - w.received_at < CALL_TIMEOUT]
        due = [w for w in self._waiting if now - w.dispatched_at >= RETRY_DELAY]
        for entry in due:
            entry.dispatched_at = now
        self._dispatch([entry.call.notification for entry in due], context)
        if now >= self._next_refresh and self._pending_refreshes:
            self._next_refresh = Seconds(now + REFRESH_PERIOD)
            refreshed = list(self._pending_refreshes.values())
            self._pending_refreshes.clear()
            self._dispatch(refreshed, context)

    def _refuse(self, call: RegistrationCall, context: VoterContext) -> None:
        """Refuse the announcement of a service that is not declared."""
        announcement = call.notification
        assert isinstance(announcement, BootAnnouncement)
        call.reply.post(ServiceNotDeclared(announcement.service))
        if not take_token(self._logged_refusals, context.now):
            return
        document = context.cluster.declared
        log(
            ControlEvent.ANNOUNCEMENT_REFUSED,
            server=announcement.id,
            endpoint=endpoint_key(announcement.endpoint),
            service=announcement.service,
            version=document.version if document is not None else None,
        )

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
            event: registrar.BootAnnouncementReceived | registrar.BootDepartureReceived
            if isinstance(notification, BootAnnouncement):
                event = registrar.BootAnnouncementReceived(
                    notification,
                    context.now,
                    context.cluster,
                    self._declared.of(context.cluster),
                )
            else:
                event = registrar.BootDepartureReceived(
                    notification, context.now, context.cluster
                )
            reports.extend(registrar.handle(event, self._registrar))
        self._log_preferences(context.now)
        self._propose_all(reports)

    def _log_preferences(self, now: Seconds) -> None:
        changes = self._registrar.preference_changes
        for change in changes:
            if take_token(self._logged_preferences, now):
                log_preference(change)
        changes.clear()

    def _propose_all(self, reports: list[Report]) -> None:
        if reports:
            self._propose(tuple(reports))
