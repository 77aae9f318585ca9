"""Retry budget: retries are a bounded share of the recent requests."""

from collections import deque
from dataclasses import dataclass, field

from wasabigw.core.ids import Seconds

WINDOW = 10
"""Seconds of requests and retries that count."""
RETRY_SHARE = 0.1
LEAST_RETRIES = 1


@dataclass(slots=True)
class _Second:
    number: int
    requests: int = 0
    retries: int = 0


@dataclass(slots=True)
class RetryBudget:
    """Counts for each of the last seconds."""

    seconds: deque[_Second] = field(default_factory=lambda: deque(maxlen=WINDOW))


def count_request(budget: RetryBudget, now: Seconds) -> None:
    """Count a request that arrived."""
    _current(budget, now).requests += 1


def take_retry(budget: RetryBudget, now: Seconds) -> bool:
    """Take one retry from the budget, if there is one."""
    current = _current(budget, now)
    recent = [s for s in budget.seconds if s.number > current.number - WINDOW]
    requests = sum(second.requests for second in recent)
    retries = sum(second.retries for second in recent)
    if retries >= max(LEAST_RETRIES, int(RETRY_SHARE * requests)):
        return False
    current.retries += 1
    return True


def _current(budget: RetryBudget, now: Seconds) -> _Second:
    number = int(now)
    if not budget.seconds or budget.seconds[-1].number < number:
        budget.seconds.append(_Second(number))
    return budget.seconds[-1]
