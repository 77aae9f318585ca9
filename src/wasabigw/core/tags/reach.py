"""Whether callers are better served through other failure domains.

A failure domain that is cut off may have no backend server of its own for what its
callers ask for. Balancers elsewhere still reach some, so this one says that it is not
ready, and the routers send its callers there.
"""

from dataclasses import dataclass

from wasabigw.core.ids import Seconds
from wasabigw.core.view import NEVER

UNSERVED_OPENINGS = 3
"""Fewest openings without a backend server that show anything."""
AWAY_TIME = Seconds(4.0)
"""How long callers are sent elsewhere before the balancer tries again.

Without callers a balancer can't see that backend servers answer again; it is ready
before that if its view is current, because it is not cut off then.
"""


@dataclass(slots=True)
class Reach:
    """What became of openings lately.

    :param served: openings for backend servers that answer, as far as is known.
    :param unserved: openings for which only those of other failure domains are left,
        none of which answers.
    :param away_until: until when callers are sent elsewhere.
    """

    served: int = 0
    unserved: int = 0
    away_until: Seconds = NEVER


def note_opening(reach: Reach, is_served: bool) -> None:
    """Note what became of an opening."""
    if is_served:
        reach.served += 1
    else:
        reach.unserved += 1


def age(reach: Reach) -> None:
    """Let what was noted count half; once a second."""
    reach.served //= 2
    reach.unserved //= 2


def is_away(reach: Reach, is_fresh: bool, now: Seconds) -> bool:
    """Whether callers are to be sent elsewhere.

    :param is_fresh: whether the view is known to be current; if it is, the balancer is
        not cut off, and others do no better.
    """
    if is_fresh:
        reach.away_until = NEVER
        return False
    if now < reach.away_until:
        return True
    if reach.unserved < UNSERVED_OPENINGS or reach.unserved <= reach.served:
        return False
    reach.served = reach.unserved = 0
    reach.away_until = Seconds(now + AWAY_TIME)
    return True
