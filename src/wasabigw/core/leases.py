"""Announcement leases of backend servers at their home."""

from dataclasses import dataclass

from wasabigw.core.ids import Seconds
from wasabigw.core.timing import ANNOUNCE_LEASE, VIEW_LEASE


@dataclass(frozen=True, slots=True)
class Lease:
    """A backend server announces itself here.

    :param granted: time of the first announcement of an unbroken series.
    :param renewed: time of the latest announcement.
    """

    granted: Seconds
    renewed: Seconds


def renewed(lease: Lease | None, now: Seconds) -> Lease:
    """Lease after an announcement; a new series if the old lease has ended."""
    if lease is None or not is_valid(lease, now):
        return Lease(now, now)
    return Lease(lease.granted, now)


def is_valid(lease: Lease | None, now: Seconds) -> bool:
    """Whether the backend server counts as present."""
    return lease is not None and now - lease.renewed < ANNOUNCE_LEASE


def may_admit_after_takeover(lease: Lease, now: Seconds) -> bool:
    """Whether the previous home has stopped to admit flows.

    It may not know of the change, but its view ends within one view lease.
    """
    return now - lease.granted >= VIEW_LEASE


def may_admit_with_stale_view(lease: Lease, now: Seconds) -> bool:
    """Whether no other home can have begun to admit flows yet.

    Another home waits for a view lease after the first announcement there.
    """
    return now - lease.renewed < VIEW_LEASE
