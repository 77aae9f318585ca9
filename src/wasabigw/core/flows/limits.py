"""Rate limits on what a process sends or logs."""

from dataclasses import dataclass

from wasabigw.core.ids import Seconds


@dataclass(slots=True)
class RateLimit:
    """Token bucket.

    :param rate: tokens added per second.
    :param burst: maximum number of tokens.
    """

    rate: float
    burst: float
    tokens: float
    updated: Seconds


def make_rate_limit(rate: float, burst: float) -> RateLimit:
    """Create a full token bucket."""
    return RateLimit(rate, burst, burst, Seconds(0.0))


def take_token(limit: RateLimit, now: Seconds) -> bool:
    """Remove a token, if there is one; returns whether there was."""
    gained = max(0.0, now - limit.updated) * limit.rate
    limit.tokens = min(limit.burst, limit.tokens + gained)
    limit.updated = now
    if limit.tokens < 1.0:
        return False
    limit.tokens -= 1.0
    return True
