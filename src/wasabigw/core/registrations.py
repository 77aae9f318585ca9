"""Effects of reports on the registrations of backend servers addressed by tags.

A tag identifies one boot of a backend server and is never reused, so a packet that
carries it can't reach a later boot at the same address. Every report is idempotent,
and a report about a boot that a later one has replaced changes nothing.
"""

from dataclasses import replace

from wasabigw.core import commands
from wasabigw.core.cluster import Registration, Registry, endpoint_key
from wasabigw.core.ids import BackendServerId, Revision, Tag
from wasabigw.core.states import RegistrationState

MAX_ENDED_BOOTS = 4_096
"""Limit on the ended boots that are kept; the oldest are removed first."""


def register_boot(
    report: commands.BootAnnounced, registry: Registry, revision: Revision
) -> None:
    """Register a boot, or update its registration."""
    known = registry.current.get(report.id)
    if known is not None and known.started_at > report.started_at:
        return
    if known is not None and is_same_boot(known, report):
        _renew_boot(report, known, registry, revision)
        return
    holder = endpoint_holder(report, registry)
    if holder is not None and holder.started_at > report.started_at:
        return
    for former in (known, holder):
        if former is not None:
            _end_boot(former, registry, revision)
    _add_boot(report, registry, revision)


def is_same_boot(known: Registration, report: commands.BootAnnounced) -> bool:
    """Whether a report is about the boot that is registered under its id."""
    return (known.started_at, known.endpoint, known.service) == (
        report.started_at,
        report.endpoint,
        report.service,
    )


def endpoint_holder(
    report: commands.BootAnnounced, registry: Registry
) -> Registration | None:
    """Registered boot of another backend server at the endpoint of a report."""
    owner = registry.owners.get(endpoint_key(report.endpoint))
    if owner is None or owner == report.id:
        return None
    return registry.current.get(owner)


def mark_boot_silent(
    name: BackendServerId, tag: Tag, registry: Registry, revision: Revision
) -> None:
    """Record that a boot no longer announces itself."""
    known = registry.current.get(name)
    if known is not None and known.tag == tag and not known.silent:
        registry.current[name] = replace(known, silent=True, changed_at=revision)


def remove_boots(tags: tuple[Tag, ...], registry: Registry, revision: Revision) -> None:
    """Remove boots whose tags no flow can carry any more."""
    forgotten = frozenset(tags)
    for boot in list(registry.current.values()):
        if boot.tag in forgotten and boot.silent:
            _end_boot(boot, registry, revision)
    registry.ended = [boot for boot in registry.ended if boot.tag not in forgotten]
    registry.forgotten_at = revision


def _end_boot(boot: Registration, registry: Registry, revision: Revision) -> None:
    """Record that a boot has ended; its tag is kept for packets that still carry it."""
    del registry.current[boot.id]
    key = endpoint_key(boot.endpoint)
    if registry.owners.get(key) == boot.id:
        del registry.owners[key]
    ended = replace(boot, state=RegistrationState.ENDED, changed_at=revision)
    registry.ended.append(ended)
    if len(registry.ended) > MAX_ENDED_BOOTS:
        del registry.ended[:-MAX_ENDED_BOOTS]
        registry.forgotten_at = revision


def _add_boot(
    report: commands.BootAnnounced, registry: Registry, revision: Revision
) -> None:
    boot = Registration(
        tag=Tag(registry.next_tag),
        id=report.id,
        service=report.service,
        failure_domain=report.failure_domain,
        endpoint=report.endpoint,
        started_at=report.started_at,
        slots=report.slots,
        state=_announced_state(report),
        cold_for=report.cold_for,
        changed_at=revision,
    )
    registry.next_tag += 1
    registry.current[boot.id] = boot
    registry.owners[endpoint_key(boot.endpoint)] = boot.id


def _renew_boot(
    report: commands.BootAnnounced,
    known: Registration,
    registry: Registry,
    revision: Revision,
) -> None:
    """Update the registration of a boot; a late report does not undo a drain."""
    state = _announced_state(report)
    if known.state is RegistrationState.DRAINING:
        state = known.state
    renewed = replace(
        known, slots=report.slots, state=state, silent=False, cold_for=report.cold_for
    )
    if renewed != known:
        registry.current[known.id] = replace(renewed, changed_at=revision)


def _announced_state(report: commands.BootAnnounced) -> RegistrationState:
    if report.draining:
        return RegistrationState.DRAINING
    return RegistrationState.SERVING
