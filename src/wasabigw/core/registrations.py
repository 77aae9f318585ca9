"""Effects of reports on the registrations of backend servers addressed by tags.

A tag identifies one boot of a backend server and is never reused, so a packet that
carries it can't reach a later boot at the same address. Every report is idempotent.

Of several boots under one id or at one endpoint, one is in use, and the others are
superseded: they get no new flows, and packets that carry their tags are delivered.
Announcements arrive late and clocks differ, so an announcement never proves that
another boot has ended; it only decides where new flows go.
"""

from dataclasses import replace

from wasabigw.core import commands
from wasabigw.core.cluster import Registration, Registry, endpoint_key
from wasabigw.core.ids import BackendServerId, Revision, Tag
from wasabigw.core.states import RegistrationState

MAX_ENDED_BOOTS = 4_096
"""Limit on the superseded boots that are kept; the oldest are removed first."""


def register_boot(
    report: commands.BootAnnounced, registry: Registry, revision: Revision
) -> None:
    """Put a boot in use or update its registration, unless another is preferred."""
    if preferred_boot(report, registry) is not None:
        return
    known = registry.current.get(report.id)
    if known is not None and not is_same_boot(known, report):
        _set_aside(known, registry, revision)
        known = None
    holder = endpoint_holder(report, registry)
    if holder is not None:
        mark_boot_silent(holder.id, holder.tag, registry, revision)
    registry.owners[endpoint_key(report.endpoint)] = report.id
    known = known or _take_back(report, registry)
    if known is None:
        _add_boot(report, registry, revision)
    else:
        _renew_boot(report, known, registry, revision)
    _limit_superseded(registry, revision)


def is_same_boot(known: Registration, report: commands.BootAnnounced) -> bool:
    """Whether a report is about a registered boot."""
    return (known.id, known.started_at, known.endpoint, known.service) == (
        report.id,
        report.started_at,
        report.endpoint,
        report.service,
    )


def endpoint_holder(
    report: commands.BootAnnounced, registry: Registry
) -> Registration | None:
    """Boot of another backend server that was last in use at the endpoint."""
    owner = registry.owners.get(endpoint_key(report.endpoint))
    if owner is None or owner == report.id:
        return None
    return registry.current.get(owner)


def competing_boots(
    report: commands.BootAnnounced, registry: Registry
) -> list[Registration]:
    """Other boots that were last in use under the id and at the endpoint."""
    known = registry.current.get(report.id)
    if known is not None and is_same_boot(known, report):
        known = None
    holder = endpoint_holder(report, registry)
    return [boot for boot in (known, holder) if boot is not None]


def preferred_boot(
    report: commands.BootAnnounced, registry: Registry
) -> Registration | None:
    """Boot that stays in use although the boot of the report announces itself.

    It is one that started later, each by its own clock, and is not silent.
    """
    for boot in competing_boots(report, registry):
        if not boot.silent and boot.started_at > report.started_at:
            return boot
    return None


def registered_boot(
    report: commands.BootAnnounced, registry: Registry
) -> Registration | None:
    """Registration of the boot of a report, whether or not it is in use."""
    known = registry.current.get(report.id)
    if known is not None and is_same_boot(known, report):
        return known
    return next((b for b in registry.ended if is_same_boot(b, report)), None)


def mark_boot_silent(
    name: BackendServerId, tag: Tag, registry: Registry, revision: Revision
) -> None:
    """Record that a boot gets no new flows: it is silent, or superseded."""
    known = registry.current.get(name)
    if known is not None and known.tag == tag and not known.silent:
        registry.current[name] = replace(known, silent=True, changed_at=revision)


def remove_boots(tags: tuple[Tag, ...], registry: Registry, revision: Revision) -> None:
    """Remove boots whose tags no flow can carry any more."""
    forgotten = frozenset(tags)
    for boot in list(registry.current.values()):
        if boot.tag in forgotten and boot.silent:
            _remove_current(boot, registry)
    registry.ended = [boot for boot in registry.ended if boot.tag not in forgotten]
    registry.forgotten_at = revision


def _set_aside(boot: Registration, registry: Registry, revision: Revision) -> None:
    """Keep a boot whose id another one uses now, for packets that carry its tag."""
    _remove_current(boot, registry)
    registry.ended.append(replace(boot, silent=True, changed_at=revision))


def _take_back(
    report: commands.BootAnnounced, registry: Registry
) -> Registration | None:
    """Move the boot of a report back from those that were set aside."""
    boot = registered_boot(report, registry)
    if boot is not None and boot in registry.ended:
        registry.ended.remove(boot)
        registry.current[boot.id] = boot
    return boot


def _remove_current(boot: Registration, registry: Registry) -> None:
    del registry.current[boot.id]
    key = endpoint_key(boot.endpoint)
    if registry.owners.get(key) == boot.id:
        del registry.owners[key]


def _limit_superseded(registry: Registry, revision: Revision) -> None:
    """Remove the superseded boots that were changed first, if there are too many."""
    if len(registry.current) + len(registry.ended) <= MAX_ENDED_BOOTS:
        return
    superseded = registry.ended + [
        boot
        for boot in registry.current.values()
        if registry.owners.get(endpoint_key(boot.endpoint)) != boot.id
    ]
    excess = len(superseded) - MAX_ENDED_BOOTS
    if excess > 0:
        superseded.sort(key=lambda boot: (boot.changed_at, boot.tag))
        tags = tuple(boot.tag for boot in superseded[:excess])
        remove_boots(tags, registry, revision)


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
