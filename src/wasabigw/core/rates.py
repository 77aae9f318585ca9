"""Rates of recent events, and token buckets that limit a rate."""

from dataclasses import dataclass
from math import exp

from wasabigw.core.ids import Seconds
from wasabigw.core.view_lease import NEVER

TIME_CONSTANT = Seconds(1.0)
"""Time after which an event counts 1/e in a rate."""
BURST_TIME = Seconds(0.1)
"""Time for which a token bucket accumulates tokens."""


@dataclass(slots=True)
class RecentSum:
    """Exponentially decaying sum of what was added.

    :param value: the sum at the time of the last addition.
    """

    value: float = 0.0
    updated_at: Seconds = NEVER


def add_recent(recent: RecentSum, now: Seconds, amount: float = 1.0) -> None:
    """Add an amount."""
    recent.value = recent_sum(recent, now) + amount
    recent.updated_at = now


def recent_sum(recent: RecentSum, now: Seconds) -> float:
    """Sum of what was added, of which older amounts count less."""
    passed = max(now - recent.updated_at, 0.0)
    return recent.value * exp(-passed / TIME_CONSTANT)


def recent_rate(recent: RecentSum, now: Seconds) -> float:
    """Amount that was added per second."""
    return recent_sum(recent, now) / TIME_CONSTANT


@dataclass(slots=True)
class TokenBucket:
    """Tokens that accumulate at a rate.

    :param rate: tokens per second.
    """

    rate: float = 0.0
    tokens: float = 1.0
    updated_at: Seconds = NEVER


def refill(bucket: TokenBucket, rate: float, now: Seconds) -> None:
    """Add the tokens since the last call, and change the rate.

    A bucket that was not refilled for long has one token, as a new one has.
    """
    capacity = max(bucket.rate * BURST_TIME, 1.0)
    passed = now - bucket.updated_at
    if bucket.rate > 0 and passed > 0:
        bucket.tokens = min(bucket.tokens + bucket.rate * passed, capacity)
    bucket.rate = rate
    bucket.updated_at = now


def take_token(bucket: TokenBucket) -> bool:
    """Take a token; ``False`` if there is none."""
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True


def time_to_tokens(bucket: TokenBucket, tokens: float) -> float:
    """Time in seconds until there are so many tokens; infinite without a rate."""
    missing = tokens - bucket.tokens
    if missing <= 0:
        return 0.0
    return missing / bucket.rate if bucket.rate > 0 else float("inf")
