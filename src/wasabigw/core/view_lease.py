"""View lease: how long a balancer's copy of the replicated state counts as current."""

import math
from dataclasses import dataclass

from wasabigw.core.ids import Revision, Seconds

NEVER = Seconds(-math.inf)
"""Time before all others."""


@dataclass(slots=True)
class ViewLease:
    """Lease during which a balancer may use its bucket tables without a new poll.

    :param fresh_until: end of the lease by the clock of this process.
    :param confirmed: whether the copy has ever contained all committed entries.
    """

    fresh_until: Seconds = NEVER
    confirmed: bool = False


def confirm(
    view: ViewLease,
    sent_at: Seconds,
    fresh_for: Seconds,
    committed: Revision,
    applied: Revision,
) -> None:
    """Extend the lease after a log poll.

    The lease starts at the time at which the poll was sent, because the leader
    computed ``fresh_for`` after that. It is not extended while the copy lacks
    committed entries.
    """
    if applied < committed:
        return
    view.confirmed = True
    view.fresh_until = max(view.fresh_until, Seconds(sent_at + fresh_for))


def is_fresh(view: ViewLease, now: Seconds) -> bool:
    """Whether the lease has not yet expired."""
    return now < view.fresh_until
