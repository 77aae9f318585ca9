"""Retry budget that limits retries to a share of the recent requests."""

from collections import deque
from dataclasses import dataclass, field

from wasabigw.core.ids import Seconds

WINDOW_SECONDS = 10
"""Length of the sliding window in seconds."""
MAX_RETRY_RATIO = 0.1
MIN_RETRIES = 1


@dataclass(slots=True)
class _SecondCounts:
    number: int
    requests: int = 0
    retries: int = 0


@dataclass(slots=True)
class RetryBudget:
    """Numbers of requests and retries in each of the last seconds."""

    seconds: deque[_SecondCounts] = field(
        default_factory=lambda: deque(maxlen=WINDOW_SECONDS)
    )


def count_request(budget: RetryBudget, now: Seconds) -> None:
    """Count a new request."""
    _current_second(budget, now).requests += 1


def take_retry(budget: RetryBudget, now: Seconds) -> bool:
    """Take one retry from the budget; ``False`` if it is exhausted."""
    current = _current_second(budget, now)
    recent = [s for s in budget.seconds if s.number > current.number - WINDOW_SECONDS]
    requests = sum(second.requests for second in recent)
    retries = sum(second.retries for second in recent)
    if retries >= max(MIN_RETRIES, int(MAX_RETRY_RATIO * requests)):
        return False
    current.retries += 1
    return True


def _current_second(budget: RetryBudget, now: Seconds) -> _SecondCounts:
    number = int(now)
    if not budget.seconds or budget.seconds[-1].number < number:
        budget.seconds.append(_SecondCounts(number))
    return budget.seconds[-1]
