"""Announcements of backend servers that are addressed by tags.

Every control VM accepts announcements. An announcement without new information is
acknowledged at once; any other one is acknowledged when the VM's own copy of the
replicated state reflects it, so an acknowledgement never precedes the committed
entry. The leader keeps the leases and proposes the changes of registrations.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from functools import singledispatch

from wasabigw.core.cluster import ClusterState, Registration, Registry
from wasabigw.core.commands import (
    BootAnnounced,
    BootsForgotten,
    BootSilent,
    Report,
)
from wasabigw.core.ids import BackendServerId, Seconds, ServiceId, Tag
from wasabigw.core.log_messages import BootAnnouncement, BootDeparture
from wasabigw.core.registrations import endpoint_holder, is_same_boot
from wasabigw.core.states import RegistrationState

PROPOSAL_RETRY_DELAY = Seconds(0.5)
"""Delay after which a report that has not taken effect is proposed again."""

BOOT_RETENTION_TIME = Seconds(120.0)
"""How long a boot without new flows is kept for packets that carry its tag.

It is more than twice the longest lifetime of a flow on every platform.
"""


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """The voter became leader; the leases of all boots restart."""

    now: Seconds
    cluster: ClusterState


@dataclass(frozen=True, slots=True)
class BootAnnouncementReceived:
    """A backend server announced itself, here or at another control VM.

    :param declared: services of the configuration in force; ``None`` if not known.
    """

    announcement: BootAnnouncement
    now: Seconds
    cluster: ClusterState
    declared: Collection[ServiceId] | None = None


@dataclass(frozen=True, slots=True)
class BootDepartureReceived:
    """A backend server announced that it is shutting down."""

    departure: BootDeparture
    now: Seconds
    cluster: ClusterState


@dataclass(frozen=True, slots=True)
class RegistrarTick:
    """Time has passed; sent only while the voter is a current leader."""

    now: Seconds
    cluster: ClusterState


@dataclass(slots=True)
class _LastAnnouncement:
    started_at: int
    sequence: int
    at: Seconds


@dataclass(slots=True)
class RegistrarState:
    """Announcement leases during one leadership.

    :param lease: how long a boot counts as present after an announcement.
    :param last_announcements: last announcement of each backend server.
    :param unused_since: when a boot was first seen to get no new flows, by tag.
    :param proposed_at: when a report was last proposed.
    """

    lease: Seconds
    last_announcements: dict[BackendServerId, _LastAnnouncement] = field(
        default_factory=dict
    )
    unused_since: dict[Tag, Seconds] = field(default_factory=dict)
    proposed_at: dict[Report, Seconds] = field(default_factory=dict)


@singledispatch
def handle(event: object, state: RegistrarState) -> list[Report]:
    """Update the leases for an event and return the reports to propose."""
    raise TypeError(f"not a registrar event: {event!r}")


@handle.register
def _(event: LeadershipGained, state: RegistrarState) -> list[Report]:
    state.last_announcements = {
        boot.id: _LastAnnouncement(boot.started_at, 0, event.now)
        for boot in event.cluster.registry.current.values()
    }
    state.unused_since.clear()
    state.proposed_at.clear()
    return []


@handle.register
def _(event: BootAnnouncementReceived, state: RegistrarState) -> list[Report]:
    announcement = event.announcement
    if not is_admissible(announcement, event.cluster, event.declared):
        return []
    if not _renew_lease(announcement, state, event.now):
        return []
    if is_reflected(announcement, event.cluster):
        return []
    return _record_proposals([_announcement_report(announcement)], state, event.now)


@handle.register
def _(event: BootDepartureReceived, state: RegistrarState) -> list[Report]:
    boot = event.cluster.registry.current.get(event.departure.id)
    if boot is None or boot.silent:
        return []
    return _record_proposals([BootSilent(boot.id, boot.tag)], state, event.now)


@handle.register
def _(event: RegistrarTick, state: RegistrarState) -> list[Report]:
    registry = event.cluster.registry
    _remove_expired(registry, state, event.now)
    reports: list[Report] = list(_expired_leases(registry, state, event.now))
    forgotten = tuple(_removable_tags(registry, state, event.now))
    if forgotten:
        reports.append(BootsForgotten(forgotten))
    return _record_proposals(reports, state, event.now)


@singledispatch
def is_admissible(
    call: object, cluster: ClusterState, declared: Collection[ServiceId] | None
) -> bool:
    """Whether a call of a backend server may change registrations or renew a lease.

    :param declared: services of the configuration in force; ``None`` if not known.
    """
    raise TypeError(f"not a call of a backend server: {call!r}")


@is_admissible.register
def _(
    call: BootAnnouncement,
    cluster: ClusterState,
    declared: Collection[ServiceId] | None,
) -> bool:
    # A new boot ends the registered ones under its id and at its endpoint, so an entry
    # that names no declared service could end a live backend server. A registered boot
    # keeps its open flows when a later configuration no longer declares its service.
    if declared is None or call.service in declared:
        return True
    known = cluster.registry.current.get(call.id)
    return known is not None and is_same_boot(known, _announcement_report(call))


@is_admissible.register
def _(
    call: BootDeparture, cluster: ClusterState, declared: Collection[ServiceId] | None
) -> bool:
    return True


@singledispatch
def is_reflected(call: object, cluster: ClusterState) -> bool:
    """Whether a copy of the replicated state reflects a call of a backend server.

    A call that a later one or a later boot has superseded counts as reflected.
    """
    raise TypeError(f"not a call of a backend server: {call!r}")


@is_reflected.register
def _(call: BootAnnouncement, cluster: ClusterState) -> bool:
    registry = cluster.registry
    report = _announcement_report(call)
    known = registry.current.get(call.id)
    if known is not None and known.started_at > call.started_at:
        return True
    if known is None or not is_same_boot(known, report):
        return _is_superseded(report, registry)
    if call.draining and known.state is not RegistrationState.DRAINING:
        return False
    is_cold = call.cold_for > 0
    return not known.silent and is_cold is (known.cold_for > 0)


@is_reflected.register
def _(call: BootDeparture, cluster: ClusterState) -> bool:
    boot = cluster.registry.current.get(call.id)
    return boot is None or boot.silent


def _is_superseded(report: BootAnnounced, registry: Registry) -> bool:
    """Whether a late announcement is of a boot that a later one has replaced."""
    holder = endpoint_holder(report, registry)
    if holder is not None and holder.started_at > report.started_at:
        return True
    return any(
        boot.id == report.id and boot.started_at >= report.started_at
        for boot in registry.ended
    )


def _renew_lease(
    announcement: BootAnnouncement, state: RegistrarState, now: Seconds
) -> bool:
    """Renew a lease; ``False`` if a later announcement has arrived before this one."""
    last = state.last_announcements.get(announcement.id)
    order = (announcement.started_at, announcement.sequence)
    is_alive = last is not None and now - last.at < state.lease
    if last and is_alive and (last.started_at, last.sequence) > order:
        return False
    state.last_announcements[announcement.id] = _LastAnnouncement(*order, now)
    return True


def _announcement_report(announcement: BootAnnouncement) -> BootAnnounced:
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


def _expired_leases(
    registry: Registry, state: RegistrarState, now: Seconds
) -> Iterator[BootSilent]:
    for boot in registry.current.values():
        if boot.silent:
            continue
        last = state.last_announcements.get(boot.id)
        if last is None:
            # Registered by an entry of an earlier leader, applied after the takeover.
            state.last_announcements[boot.id] = _LastAnnouncement(
                boot.started_at, 0, now
            )
        elif now - last.at >= state.lease:
            yield BootSilent(boot.id, boot.tag)


def _removable_tags(
    registry: Registry, state: RegistrarState, now: Seconds
) -> Iterator[Tag]:
    unused = {boot.tag for boot in _boots_without_new_flows(registry)}
    state.unused_since = {tag: state.unused_since.get(tag, now) for tag in unused}
    for tag, since in state.unused_since.items():
        if now - since >= BOOT_RETENTION_TIME:
            yield tag


def _boots_without_new_flows(registry: Registry) -> Iterable[Registration]:
    yield from registry.ended
    for boot in registry.current.values():
        if boot.silent:
            yield boot


def _remove_expired(registry: Registry, state: RegistrarState, now: Seconds) -> None:
    state.proposed_at = {
        report: at
        for report, at in state.proposed_at.items()
        if now - at < PROPOSAL_RETRY_DELAY
    }
    state.last_announcements = {
        name: last
        for name, last in state.last_announcements.items()
        if name in registry.current or now - last.at < state.lease
    }


def _record_proposals(
    reports: list[Report], state: RegistrarState, now: Seconds
) -> list[Report]:
    """Record the reports that were not proposed recently, and return them."""
    due = [report for report in reports if report not in state.proposed_at]
    state.proposed_at.update(dict.fromkeys(due, now))
    return due
