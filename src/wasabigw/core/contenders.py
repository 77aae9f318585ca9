"""Boots that announce themselves under the id of another boot, at their home.

An announcement may arrive late, so it never proves that another boot has ended. The
home keeps the boot that it knows until that one is silent or leaves, and meanwhile
answers the others with a time for a retry.
"""

from dataclasses import dataclass
from typing import NamedTuple

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import BootId, Seconds, ServiceId
from wasabigw.core.log_messages import Announcement
from wasabigw.core.timing import ANNOUNCE_INTERVAL, ANNOUNCE_LEASE

MAX_CONTENDERS = 4
"""Limit on the contenders kept for one backend server; the first are removed first."""

CONFIRMATION_TIME = Seconds(ANNOUNCE_INTERVAL / 2)
"""Shortest time between two announcements which show that a boot is running.

Announcements that were delayed together arrive together.
"""


class ContenderKey(NamedTuple):
    """What identifies a boot at its home."""

    boot_id: BootId
    service: ServiceId
    endpoint: Endpoint


@dataclass(slots=True)
class Contender:
    """Announcements of a boot that another one keeps out of use.

    :param first_at: first announcement since it was last silent for a lease.
    """

    endpoint: Endpoint
    first_at: Seconds
    last_at: Seconds


Contenders = dict[ContenderKey, Contender]


def key_of(announcement: Announcement) -> ContenderKey:
    """Key of the boot of an announcement."""
    return ContenderKey(
        announcement.boot_id, announcement.service, announcement.endpoint
    )


def record_contender(
    announcement: Announcement, contenders: Contenders, now: Seconds
) -> Contender:
    """Record an announcement of a boot that is not the known one."""
    remove_expired(contenders, now)
    key = key_of(announcement)
    contender = contenders.setdefault(key, Contender(announcement.endpoint, now, now))
    contender.last_at = now
    if len(contenders) > MAX_CONTENDERS:
        del contenders[next(iter(contenders))]
    return contender


def remove_expired(contenders: Contenders, now: Seconds) -> None:
    """Remove the contenders that have not announced themselves for a lease."""
    for key, contender in list(contenders.items()):
        if now - contender.last_at >= ANNOUNCE_LEASE:
            del contenders[key]


def is_running(contender: Contender) -> bool:
    """Whether its announcements show that it is running, and are not merely late."""
    return contender.last_at - contender.first_at >= CONFIRMATION_TIME


def contends_for(
    endpoint: Endpoint, contenders: Contenders, since: Seconds, now: Seconds
) -> bool:
    """Whether a boot at an endpoint has announced itself since a time."""
    return any(
        contender.endpoint == endpoint
        and contender.last_at > since
        and now - contender.last_at < ANNOUNCE_LEASE
        for contender in contenders.values()
    )
