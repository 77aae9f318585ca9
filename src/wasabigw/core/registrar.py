"""Announcements of backend servers that are addressed by tags.

Every control VM accepts announcements. An announcement without new information is
acknowledged at once; any other one is acknowledged when the VM's own copy of the
replicated state reflects it, so an acknowledgement never precedes the committed
entry. The leader keeps the leases and proposes the changes of registrations.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from functools import singledispatch

from wasabigw.core.boot_leases import (
    BootLeases,
    announced_ago,
    end_lease,
    expired_boots,
    renew_lease,
    start_missing_leases,
)
from wasabigw.core.boot_preferences import PreferenceChange, changes_by
from wasabigw.core.cluster import ClusterState, Registration, Registry
from wasabigw.core.commands import (
    BootAnnounced,
    BootsForgotten,
    BootSilent,
    Report,
)
from wasabigw.core.ids import NO_REVISION, Revision, Seconds, ServiceId, Tag
from wasabigw.core.log_messages import BootAnnouncement, BootDeparture
from wasabigw.core.registrations import is_same_boot, preferred_boot
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
class RegistrarState:
    """Announcement leases during one leadership.

    :param lease: how long a boot counts as present after an announcement.
    :param leases: last announcement of each boot.
    :param leases_revision: revision at which each registered boot had a lease.
    :param unused_since: when a boot was first seen to get no new flows, by tag.
    :param proposed_at: when a report was last proposed.
    :param preference_changes: changes that the owner of the state has not logged yet.
    """

    lease: Seconds
    leases: BootLeases = field(default_factory=dict)
    leases_revision: Revision = NO_REVISION
    unused_since: dict[Tag, Seconds] = field(default_factory=dict)
    proposed_at: dict[Report, Seconds] = field(default_factory=dict)
    preference_changes: list[PreferenceChange] = field(default_factory=list)


@singledispatch
def handle(event: object, state: RegistrarState) -> list[Report]:
    """Update the leases for an event and return the reports to propose."""
    raise TypeError(f"not a registrar event: {event!r}")


@handle.register
def _(event: LeadershipGained, state: RegistrarState) -> list[Report]:
    state.leases.clear()
    start_missing_leases(event.cluster.registry.current, state.leases, event.now)
    state.leases_revision = event.cluster.revision
    state.unused_since.clear()
    state.proposed_at.clear()
    return []


@handle.register
def _(event: BootAnnouncementReceived, state: RegistrarState) -> list[Report]:
    announcement = event.announcement
    if not is_admissible(announcement, event.cluster, event.declared):
        return []
    report = _announcement_report(announcement)
    previous = announced_ago(report, state.leases, event.now)
    if not renew_lease(announcement, state.leases, state.lease, event.now):
        return []
    registry = event.cluster.registry
    due: list[Report] = []
    if not is_reflected(announcement, event.cluster):
        due = _record_proposals([report], state, event.now)
    if due or preferred_boot(report, registry) is not None:
        state.preference_changes += changes_by(
            report, previous, registry, state.leases, event.now
        )
    return due


@handle.register
def _(event: BootDepartureReceived, state: RegistrarState) -> list[Report]:
    boot = event.cluster.registry.current.get(event.departure.id)
    if boot is None:
        return []
    end_lease(boot, state.leases)
    if boot.silent:
        return []
    return _record_proposals([BootSilent(boot.id, boot.tag)], state, event.now)


@handle.register
def _(event: RegistrarTick, state: RegistrarState) -> list[Report]:
    registry = event.cluster.registry
    _remove_old_proposals(state, event.now)
    reports: list[Report] = list(_expired_leases(event.cluster, state, event.now))
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
    # A new boot takes the new flows of the registered ones under its id and at its
    # endpoint, so an entry that names no declared service could keep a live backend
    # server out of use. A registered boot keeps its open flows when a later
    # configuration no longer declares its service.
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

    A call that a later one has superseded counts as reflected, and so does the
    announcement of a boot while another one is preferred.
    """
    raise TypeError(f"not a call of a backend server: {call!r}")


@is_reflected.register
def _(call: BootAnnouncement, cluster: ClusterState) -> bool:
    registry = cluster.registry
    report = _announcement_report(call)
    if preferred_boot(report, registry) is not None:
        return True
    known = registry.current.get(call.id)
    if known is None or not is_same_boot(known, report):
        return False
    if call.draining and known.state is not RegistrationState.DRAINING:
        return False
    is_cold = call.cold_for > 0
    return not known.silent and is_cold is (known.cold_for > 0)


@is_reflected.register
def _(call: BootDeparture, cluster: ClusterState) -> bool:
    boot = cluster.registry.current.get(call.id)
    return boot is None or boot.silent


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
    cluster: ClusterState, state: RegistrarState, now: Seconds
) -> Iterator[BootSilent]:
    current = cluster.registry.current
    if state.leases_revision != cluster.revision:
        # Entries of an earlier leader may be applied after the takeover.
        start_missing_leases(current, state.leases, now)
        state.leases_revision = cluster.revision
    for boot in expired_boots(current, state.leases, state.lease, now):
        if not boot.silent:
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


def _remove_old_proposals(state: RegistrarState, now: Seconds) -> None:
    state.proposed_at = {
        report: at
        for report, at in state.proposed_at.items()
        if now - at < PROPOSAL_RETRY_DELAY
    }


def _record_proposals(
    reports: list[Report], state: RegistrarState, now: Seconds
) -> list[Report]:
    """Record the reports that were not proposed recently, and return them."""
    due = [report for report in reports if report not in state.proposed_at]
    state.proposed_at.update(dict.fromkeys(due, now))
    return due
