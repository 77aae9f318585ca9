"""Announcement leases of backend servers at their home."""

from dataclasses import dataclass

from wasabigw.core.ids import Seconds
from wasabigw.core.timing import ANNOUNCE_LEASE, VIEW_LEASE


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease that the announcements of a backend server renew.

    :param granted_at: time of the first announcement since the last expiry.
    :param renewed_at: time of the latest announcement.
    """

    granted_at: Seconds
    renewed_at: Seconds


def renew(lease: Lease | None, now: Seconds) -> Lease:
    """Lease after an announcement; a new one if the old one has expired."""
    if lease is None or not is_valid(lease, now):
        return Lease(now, now)
    return Lease(lease.granted_at, now)


def is_valid(lease: Lease | None, now: Seconds) -> bool:
    """Whether the backend server counts as present."""
    return lease is not None and now - lease.renewed_at < ANNOUNCE_LEASE


def may_admit_after_takeover(lease: Lease, now: Seconds) -> bool:
    """Whether the previous home has stopped admitting flows.

    It may not know of the change, but its view goes stale within one view lease.
    """
    return now - lease.granted_at >= VIEW_LEASE


def may_admit_with_stale_view(lease: Lease, now: Seconds) -> bool:
    """Whether no other home can have started admitting flows yet.

    A new home waits for one view lease after the first announcement that it gets.
    """
    return now - lease.renewed_at < VIEW_LEASE
