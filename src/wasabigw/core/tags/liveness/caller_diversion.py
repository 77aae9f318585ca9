"""Diversion of callers to the balancers of other failure domains.

A failure domain that is partitioned from the others may have no backend server for a
service that its callers use. Balancers in other failure domains still reach one, so
this balancer reports that it is not ready, and the routers send its callers to them.
"""

from dataclasses import dataclass

from wasabigw.core.ids import Seconds
from wasabigw.core.view_lease import NEVER

MIN_UNSERVED_OPENINGS = 3
"""Minimum number of unserved openings that causes a diversion."""
DIVERSION_TIME = Seconds(4.0)
"""How long callers are diverted before the balancer reports itself ready again.

Without callers a balancer can't observe that backend servers answer again. It ends the
diversion earlier if its view is current, because it is not partitioned then.
"""


@dataclass(slots=True)
class Diversion:
    """Recent openings by outcome, and the end of the current diversion.

    :param served: openings sent to backend servers that are not known to be failing,
        or for which the local failure domain has backend servers.
    :param unserved: openings for which there are backend servers in other failure
        domains only, none of which answers.
    :param diverted_until: until when callers are diverted.
    """

    served: int = 0
    unserved: int = 0
    diverted_until: Seconds = NEVER


def record_outcome(diversion: Diversion, is_served: bool) -> None:
    """Count an opening as served or unserved."""
    if is_served:
        diversion.served += 1
    else:
        diversion.unserved += 1


def decay_counts(diversion: Diversion) -> None:
    """Halve the counts; called once a second, so that old openings lose weight."""
    diversion.served //= 2
    diversion.unserved //= 2


def should_divert(diversion: Diversion, is_fresh: bool, now: Seconds) -> bool:
    """Whether callers should be diverted to other failure domains.

    :param is_fresh: whether the view is known to be current; if it is, the balancer is
        not partitioned, and other balancers reach no more backend servers than it does.
    """
    if is_fresh:
        diversion.diverted_until = NEVER
        return False
    if now < diversion.diverted_until:
        return True
    if (
        diversion.unserved < MIN_UNSERVED_OPENINGS
        or diversion.unserved <= diversion.served
    ):
        return False
    diversion.served = diversion.unserved = 0
    diversion.diverted_until = Seconds(now + DIVERSION_TIME)
    return True
