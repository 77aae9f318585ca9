"""Which of two boots under one id or at one endpoint gets new flows, for the log.

An operator can tell from the starts and the last announcements of both whether a boot
was replaced, or an announcement of a boot that has crashed arrived late.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from wasabigw.core.boot_leases import BootLeases, announced_ago, key_of
from wasabigw.core.cluster import Registration, Registry
from wasabigw.core.commands import BootAnnounced
from wasabigw.core.ids import Seconds
from wasabigw.core.registrations import (
    competing_boots,
    preferred_boot,
    registered_boot,
)


class Preference(Enum):
    """What an announcement means for its boot and another one."""

    TAKEN_OVER = "taken-over"
    BACK_IN_USE = "back-in-use"
    NOT_PREFERRED = "not-preferred"


@dataclass(frozen=True, slots=True)
class PreferenceChange:
    """The boot of an announcement and another one compete for new flows.

    :param announced_ago: time since the previous announcement of the boot, and
        ``other_announced_ago`` since the last one of the other; ``None`` if this leader
        has received none lately.
    """

    preference: Preference
    boot: BootAnnounced
    other: Registration
    announced_ago: Seconds | None
    other_announced_ago: Seconds | None


def changes_by(
    report: BootAnnounced,
    previous: Seconds | None,
    registry: Registry,
    leases: BootLeases,
    now: Seconds,
) -> list[PreferenceChange]:
    """What an announcement that renewed its lease changes.

    That another boot is preferred is reported once while the lease lasts.

    :param previous: time since the previous announcement of the boot.
    """
    preferred = preferred_boot(report, registry)
    others: Iterable[Registration] = competing_boots(report, registry)
    preference = Preference.TAKEN_OVER
    if preferred is not None:
        last = leases[key_of(report)]
        if last.reported_preference == preferred.tag:
            return []
        last.reported_preference = preferred.tag
        preference, others = Preference.NOT_PREFERRED, [preferred]
    elif registered_boot(report, registry) is not None:
        preference = Preference.BACK_IN_USE
    return [
        PreferenceChange(
            preference, report, other, previous, announced_ago(other, leases, now)
        )
        for other in others
    ]
