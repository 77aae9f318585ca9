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
from wasabigw.tasks.standing import Standing
from wasabigw.tasks.voter_calls import Overloaded, RegistrationCall, Settled

MAX_WAITING = 4_096
"""Calls that wait for the log; more are refused."""
CALL_LIFETIME = Seconds(1.0)
"""How long a call waits; a backend server then turns to another control VM."""
REFRESH_PERIOD = Seconds(0.4)
"""How long announcements that tell nothing new wait to be passed on together."""
REPEAT_PERIOD = Seconds(0.3)
"""How soon a call that is not settled is passed on or proposed again."""


@dataclass(slots=True)
class _Waiting:
    call: RegistrationCall
    since: Seconds
    handed_on: Seconds


class RegistrationDesk:
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
        self._waiting: list[_Waiting] = []
        self._refreshed: dict[str, BootAnnouncement] = {}
        self._refresh_at = Seconds(0.0)

    def lead(self, cluster: ClusterState, now: Seconds) -> None:
        """Begin the leases of a leadership."""
        registrar.handle(registrar.LeadershipGained(now, cluster), self._registrar)

    def take(self, call: RegistrationCall, standing: Standing) -> None:
        """Take the call of a backend server.

        Without a current copy it is refused: an acknowledgement would keep the backend
        server from another control VM, which the leader hears.
        """
        if not standing.is_current:
            call.reply.post(NotLeader(None))
            return
        if registrar.is_settled(call.notification, standing.cluster):
            call.reply.post(Settled())
            self._note_settled(call.notification, standing)
            return
        if len(self._waiting) >= MAX_WAITING:
            call.reply.post(Overloaded(f"{MAX_WAITING} registrations wait"))
            return
        self._waiting.append(_Waiting(call, standing.now, standing.now))
        self._hand_on([call.notification], standing)

    def take_batch(self, batch: RegistrationBatch, standing: Standing) -> None:
        """Take calls that another control VM passed on."""
        if standing.is_leader:
            self._hear([*batch.announcements, *batch.departures], standing)

    def applied(self, cluster: ClusterState) -> None:
        """Answer the calls that the replicated state shows now."""
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            if registrar.is_settled(entry.call.notification, cluster):
                entry.call.reply.post(Settled())
            else:
                self._waiting.append(entry)

    def tick(self, standing: Standing) -> None:
        """Expire leases, pass refreshed leases on and repeat what is not settled."""
        now = standing.now
        if standing.is_leader:
            event = registrar.RegistrarTick(now, standing.cluster)
            self._propose_all(registrar.handle(event, self._registrar))
        self._waiting = [w for w in self._waiting if now - w.since < CALL_LIFETIME]
        due = [w for w in self._waiting if now - w.handed_on >= REPEAT_PERIOD]
        for entry in due:
            entry.handed_on = now
        self._hand_on([entry.call.notification for entry in due], standing)
        if now >= self._refresh_at and self._refreshed:
            self._refresh_at = Seconds(now + REFRESH_PERIOD)
            refreshed = list(self._refreshed.values())
            self._refreshed.clear()
            self._hand_on(refreshed, standing)

    def _note_settled(
        self, notification: BootAnnouncement | BootDeparture, standing: Standing
    ) -> None:
        if isinstance(notification, BootDeparture):
            return
        if standing.is_leader:
            self._hear([notification], standing)
        else:
            self._refreshed[notification.id] = notification

    def _hand_on(
        self,
        notification: Sequence[BootAnnouncement | BootDeparture],
        standing: Standing,
    ) -> None:
        if not notification:
            return
        if standing.is_leader:
            self._hear(notification, standing)
        elif standing.leader is not None and self._sender is not None:
            batch = RegistrationBatch(
                tuple(t for t in notification if isinstance(t, BootAnnouncement)),
                tuple(t for t in notification if isinstance(t, BootDeparture)),
            )
            self._sender.post(ForwardRegistrations(standing.leader, batch))

    def _hear(
        self,
        notification: Sequence[BootAnnouncement | BootDeparture],
        standing: Standing,
    ) -> None:
        reports: list[Report] = []
        for call in notification:
            event: registrar.AnnouncementHeard | registrar.DepartureHeard
            if isinstance(call, BootAnnouncement):
                event = registrar.AnnouncementHeard(
                    call, standing.now, standing.cluster
                )
            else:
                event = registrar.DepartureHeard(call, standing.now, standing.cluster)
            reports.extend(registrar.handle(event, self._registrar))
        self._propose_all(reports)

    def _propose_all(self, reports: list[Report]) -> None:
        if reports:
            self._propose(tuple(reports))
