"""Freshness of a balancer's copy of the replicated state."""

import math
from dataclasses import dataclass

from wasabigw.core.ids import Revision, Seconds

NEVER = Seconds(-math.inf)
"""Before any time."""


@dataclass(slots=True)
class View:
    """Lease under which a balancer uses its bucket tables without asking.

    :param fresh_until: end of the lease by the clock of this process.
    :param confirmed: whether the copy has ever been complete.
    """

    fresh_until: Seconds = NEVER
    confirmed: bool = False


def confirm(
    view: View,
    sent_at: Seconds,
    fresh_for: Seconds,
    committed: Revision,
    applied: Revision,
) -> None:
    """Extend the lease after a log poll.

    The lease counts from the time at which the poll was sent, because the leader
    computed ``fresh_for`` later. A copy that lacks committed entries stays as it is.
    """
    if applied < committed:
        return
    view.confirmed = True
    view.fresh_until = max(view.fresh_until, Seconds(sent_at + fresh_for))


def is_fresh(view: View, now: Seconds) -> bool:
    """Whether the lease has not yet expired."""
    return now < view.fresh_until
