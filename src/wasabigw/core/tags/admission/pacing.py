"""Rates at which openings of each priority are admitted while a service is short."""

from wasabigw.core.ids import Seconds
from wasabigw.core.rates import TokenBucket, recent_rate, refill
from wasabigw.core.requirements import Priority
from wasabigw.core.tags.admission.admission_state import ServiceAdmission
from wasabigw.core.tags.admission.shortage import rate_on_open_flows

GUARANTEED_SHARE = 0.1
"""Share of the capacity that each less urgent priority keeps at least."""


def fits(priority: Priority, control: ServiceAdmission, now: Seconds) -> bool:
    """Whether openings are of the most urgent priority, whose demand alone fits."""
    if priority > control.most_urgent:
        return False
    arrivals = control.arrivals.get(priority)
    return arrivals is None or recent_rate(arrivals, now) <= control.capacity


def refilled_bucket(
    priority: Priority, control: ServiceAdmission, now: Seconds
) -> TokenBucket:
    """Token bucket of a priority, filled up to now."""
    bucket = control.buckets.setdefault(priority, TokenBucket())
    refill(bucket, _rate(priority, control, now), now)
    return bucket


def _rate(priority: Priority, control: ServiceAdmission, now: Seconds) -> float:
    """Openings a second of a priority that are admitted while its service is short.

    The most urgent have all of the capacity. The others have what more urgent openings
    and the requests on open flows leave, which can't be held back.
    """
    if priority <= control.most_urgent:
        return control.capacity
    more_urgent = control.more_urgent_rate(priority, now)
    left = control.capacity - more_urgent - rate_on_open_flows(control, now)
    return max(left, GUARANTEED_SHARE * control.capacity)
