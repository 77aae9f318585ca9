"""Announcement leases of boots of backend servers, kept by the leader.

Each boot has a lease of its own, so that announcements of another boot under the same
id or at the same endpoint neither renew nor hide those of this one.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from wasabigw.core.commands import BootAnnounced
from wasabigw.core.ids import BackendServerId, Seconds, ServiceId, Tag
from wasabigw.core.log_messages import BootAnnouncement
from wasabigw.core.registration import Registration


class BootKey(NamedTuple):
    """What identifies a boot of a backend server; it is flat to be hashed fast."""

    id: BackendServerId
    started_at: int
    address: str
    port: int
    service: ServiceId


@dataclass(slots=True)
class LastAnnouncement:
    """Last announcement of a boot during one leadership.

    :param at: when it arrived, or when the lease started anew.
    :param has_departed: whether the boot has announced its shutdown since.
    :param reported_preference: tag of the boot that was last logged as preferred.
    """

    sequence: int
    at: Seconds
    has_departed: bool = False
    reported_preference: Tag | None = None


BootLeases = dict[BootKey, LastAnnouncement]


def key_of(boot: BootAnnouncement | BootAnnounced | Registration) -> BootKey:
    """Key of the boot of an announcement, a report or a registration."""
    endpoint = boot.endpoint
    return BootKey(
        boot.id, boot.started_at, endpoint.address, endpoint.port, boot.service
    )


def renew_lease(
    announcement: BootAnnouncement, leases: BootLeases, lease: Seconds, now: Seconds
) -> bool:
    """Renew a lease; ``False`` for an announcement that others have overtaken.

    After a shutdown, only an announcement that was sent later counts: a copy of an
    earlier one would put a boot in use that has ended.
    """
    key = key_of(announcement)
    last = leases.get(key)
    if last is None or now - last.at >= lease:
        leases[key] = LastAnnouncement(announcement.sequence, now)
        return True
    newest = last.sequence
    if announcement.sequence < newest or (
        last.has_departed and announcement.sequence == newest
    ):
        return False
    last.sequence, last.at, last.has_departed = announcement.sequence, now, False
    return True


def start_missing_leases(
    current: Mapping[BackendServerId, Registration], leases: BootLeases, now: Seconds
) -> None:
    """Start the leases of boots of which this leader has no announcement."""
    for boot in current.values():
        leases.setdefault(key_of(boot), LastAnnouncement(0, now))


def end_lease(boot: Registration, leases: BootLeases) -> None:
    """Record that a boot has announced its shutdown."""
    last = leases.get(key_of(boot))
    if last is not None:
        last.has_departed = True


def announced_ago(
    boot: Registration | BootAnnounced, leases: BootLeases, now: Seconds
) -> Seconds | None:
    """Time since the last announcement of a boot; ``None`` if it is not known."""
    last = leases.get(key_of(boot))
    return Seconds(now - last.at) if last is not None else None


def expired_boots(
    current: Mapping[BackendServerId, Registration],
    leases: BootLeases,
    lease: Seconds,
    now: Seconds,
) -> list[Registration]:
    """Registered boots whose leases have expired; other expired leases are removed."""
    expired: list[Registration] = []
    for key in [k for k, last in leases.items() if now - last.at >= lease]:
        boot = current.get(key.id)
        if boot is None or key_of(boot) != key:
            del leases[key]
        else:
            expired.append(boot)
    return expired
