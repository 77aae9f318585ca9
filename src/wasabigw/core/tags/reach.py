"""Whether callers are better served through other failure domains.

A failure domain that is cut off may have no backend server of its own for what its
callers ask for. Balancers elsewhere still reach some, so this one says that it is not
ready, and the routers send its callers there.
"""

from dataclasses import dataclass

from wasabigw.core.ids import Seconds
from wasabigw.core.view import NEVER

MIN_UNSERVED_OPENINGS = 3
"""Fewest openings without a backend server that show anything."""
DIVERSION_TIME = Seconds(4.0)
"""How long callers are sent elsewhere before the balancer tries again.

Without callers a balancer can't see that backend servers answer again; it is ready
before that if its view is current, because it is not cut off then.
"""


@dataclass(slots=True)
class Diversion:
    """What became of openings lately.

    :param served: openings for backend servers that answer, as far as is known.
    :param unserved: openings for which only those of other failure domains are left,
        none of which answers.
    :param diverted_until: until when callers are sent elsewhere.
    """

    served: int = 0
    unserved: int = 0
    diverted_until: Seconds = NEVER


def record_outcome(diversion: Diversion, is_served: bool) -> None:
    """Note what became of an opening."""
    if is_served:
        diversion.served += 1
    else:
        diversion.unserved += 1


def decay_counts(diversion: Diversion) -> None:
    """Let what was noted count half; once a second."""
    diversion.served //= 2
    diversion.unserved //= 2


def should_divert(diversion: Diversion, is_fresh: bool, now: Seconds) -> bool:
    """Whether callers are to be sent elsewhere.

    :param is_fresh: whether the view is known to be current; if it is, the balancer is
        not cut off, and others do no better.
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
