"""Rate limits on what a balancer sends of its own accord."""

from dataclasses import dataclass

from wasabigw.core.ids import Seconds


@dataclass(slots=True)
class RateLimit:
    """Token bucket.

    :param rate: tokens per second.
    :param burst: most tokens that accumulate.
    """

    rate: float
    burst: float
    tokens: float
    updated: Seconds


def make_rate_limit(rate: float, burst: float) -> RateLimit:
    """A full token bucket."""
    return RateLimit(rate, burst, burst, Seconds(0.0))


def take_token(limit: RateLimit, now: Seconds) -> bool:
    """Use one token if there is one."""
    gained = max(0.0, now - limit.updated) * limit.rate
    limit.tokens = min(limit.burst, limit.tokens + gained)
    limit.updated = now
    if limit.tokens < 1.0:
        return False
    limit.tokens -= 1.0
    return True
