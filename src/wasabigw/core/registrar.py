"""Announcements of backend servers that are reached by tags.

Every control VM takes announcements. One that tells nothing new is acknowledged from
the VM's own copy of the replicated state; any other one is acknowledged once that
copy shows what it tells, so an acknowledgement never runs ahead of the log. The
leader keeps the leases and proposes what changes the registrations.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from functools import singledispatch

from wasabigw.core.cluster import ClusterState, Registration, Registry
from wasabigw.core.commands import (
    BootAnnounced,
    BootsForgotten,
    BootSilent,
    Report,
)
from wasabigw.core.ids import BackendServerId, Seconds, Tag
from wasabigw.core.log_messages import BootAnnouncement, BootDeparture
from wasabigw.core.registrations import holder_of, is_same_boot
from wasabigw.core.states import RegistrationState

PROPOSAL_RETRY = Seconds(0.5)
"""How soon a report is proposed again that has not taken effect."""

BOOT_RETENTION_TIME = Seconds(120.0)
"""How long a boot that takes no flows is remembered for packets that name it.

It exceeds the longest life of a flow on every platform, twice.
"""


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """The voter became leader; every lease starts anew."""

    now: Seconds
    cluster: ClusterState


@dataclass(frozen=True, slots=True)
class BootAnnouncementReceived:
    """A backend server announced itself, here or at another control VM."""

    announcement: BootAnnouncement
    now: Seconds
    cluster: ClusterState


@dataclass(frozen=True, slots=True)
class BootDepartureReceived:
    """A backend server said that it ends now."""

    departure: BootDeparture
    now: Seconds
    cluster: ClusterState


@dataclass(frozen=True, slots=True)
class RegistrarTick:
    """Time has passed; only while the leader is current."""

    now: Seconds
    cluster: ClusterState


@dataclass(slots=True)
class _Heard:
    started_at: int
    sequence: int
    at: Seconds


@dataclass(slots=True)
class RegistrarState:
    """Leases of one leadership.

    :param lease: how long a boot counts as present after an announcement.
    """

    lease: Seconds
    heard: dict[BackendServerId, _Heard] = field(default_factory=dict)
    idle_since: dict[Tag, Seconds] = field(default_factory=dict)
    proposed_at: dict[Report, Seconds] = field(default_factory=dict)


@singledispatch
def handle(event: object, state: RegistrarState) -> list[Report]:
    """Reports to propose because of an event."""
    raise TypeError(f"not a registrar event: {event!r}")


@handle.register
def _(event: LeadershipGained, state: RegistrarState) -> list[Report]:
    state.heard = {
        boot.id: _Heard(boot.started_at, 0, event.now)
        for boot in event.cluster.registry.current.values()
    }
    state.idle_since.clear()
    state.proposed_at.clear()
    return []


@handle.register
def _(event: BootAnnouncementReceived, state: RegistrarState) -> list[Report]:
    announcement = event.announcement
    if not _note_heard(announcement, state, event.now):
        return []
    if is_reflected(announcement, event.cluster):
        return []
    return _due([_report(announcement)], state, event.now)


@handle.register
def _(event: BootDepartureReceived, state: RegistrarState) -> list[Report]:
    boot = event.cluster.registry.current.get(event.departure.id)
    if boot is None or boot.silent:
        return []
    return _due([BootSilent(boot.id, boot.tag)], state, event.now)


@handle.register
def _(event: RegistrarTick, state: RegistrarState) -> list[Report]:
    registry = event.cluster.registry
    _forget_old(registry, state, event.now)
    reports: list[Report] = list(_expired(registry, state, event.now))
    forgotten = tuple(_forgettable(registry, state, event.now))
    if forgotten:
        reports.append(BootsForgotten(forgotten))
    return _due(reports, state, event.now)


@singledispatch
def is_reflected(call: object, cluster: ClusterState) -> bool:
    """Whether a copy of the replicated state shows what a backend server told."""
    raise TypeError(f"not a call of a backend server: {call!r}")


@is_reflected.register
def _(call: BootAnnouncement, cluster: ClusterState) -> bool:
    registry = cluster.registry
    report = _report(call)
    known = registry.current.get(call.id)
    if known is not None and known.started_at > call.started_at:
        return True
    if known is None or not is_same_boot(known, report):
        return _is_outlived(report, registry)
    if call.draining and known.state is not RegistrationState.DRAINING:
        return False
    is_cold = call.cold_for > 0
    return not known.silent and is_cold is (known.cold_for > 0)


@is_reflected.register
def _(call: BootDeparture, cluster: ClusterState) -> bool:
    boot = cluster.registry.current.get(call.id)
    return boot is None or boot.silent


def _is_outlived(report: BootAnnounced, registry: Registry) -> bool:
    """Whether a late announcement tells of a boot whose endpoint has a later one."""
    holder = holder_of(report, registry)
    if holder is not None and holder.started_at > report.started_at:
        return True
    return any(
        boot.id == report.id and boot.started_at >= report.started_at
        for boot in registry.ended
    )


def _note_heard(
    announcement: BootAnnouncement, state: RegistrarState, now: Seconds
) -> bool:
    """Renew a lease; ``False`` for a call that arrives after a later one."""
    heard = state.heard.get(announcement.id)
    order = (announcement.started_at, announcement.sequence)
    is_alive = heard is not None and now - heard.at < state.lease
    if heard and is_alive and (heard.started_at, heard.sequence) > order:
        return False
    state.heard[announcement.id] = _Heard(*order, now)
    return True


def _report(announcement: BootAnnouncement) -> BootAnnounced:
    return BootAnnounced(
        id=announcement.id,
        service=announcement.service,
        failure_domain=announcement.failure_domain,
        endpoint=announcement.endpoint,
        started_at=announcement.started_at,
        slots=announcement.slots,
        draining=announcement.draining,
        cold_for=announcement.cold_for,
    )


def _expired(
    registry: Registry, state: RegistrarState, now: Seconds
) -> Iterator[BootSilent]:
    for boot in registry.current.values():
        if boot.silent:
            continue
        heard = state.heard.get(boot.id)
        if heard is None:
            # Registered by an entry of an earlier leader that was applied late.
            state.heard[boot.id] = _Heard(boot.started_at, 0, now)
        elif now - heard.at >= state.lease:
            yield BootSilent(boot.id, boot.tag)


def _forgettable(
    registry: Registry, state: RegistrarState, now: Seconds
) -> Iterator[Tag]:
    idle = {boot.tag for boot in _idle(registry)}
    state.idle_since = {tag: state.idle_since.get(tag, now) for tag in idle}
    for tag, since in state.idle_since.items():
        if now - since >= BOOT_RETENTION_TIME:
            yield tag


def _idle(registry: Registry) -> Iterable[Registration]:
    yield from registry.ended
    for boot in registry.current.values():
        if boot.silent:
            yield boot


def _forget_old(registry: Registry, state: RegistrarState, now: Seconds) -> None:
    state.proposed_at = {
        report: at
        for report, at in state.proposed_at.items()
        if now - at < PROPOSAL_RETRY
    }
    state.heard = {
        name: heard
        for name, heard in state.heard.items()
        if name in registry.current or now - heard.at < state.lease
    }


def _due(reports: list[Report], state: RegistrarState, now: Seconds) -> list[Report]:
    due = [report for report in reports if report not in state.proposed_at]
    state.proposed_at.update(dict.fromkeys(due, now))
    return due
