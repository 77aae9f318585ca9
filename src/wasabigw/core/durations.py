"""Histogram of durations."""

from bisect import bisect_left
from dataclasses import dataclass, field

from wasabigw.core.ids import Seconds

BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
"""Upper bounds of the buckets in seconds; one more bucket has no bound."""


@dataclass(slots=True)
class Durations:
    """Histogram since the start of the process.

    :param buckets: number of durations in each bucket.
    :param total: sum of all durations.
    """

    buckets: list[int] = field(default_factory=lambda: [0] * (len(BOUNDS) + 1))
    total: float = 0.0


def record_duration(durations: Durations, seconds: Seconds) -> None:
    """Add a duration to the histogram."""
    durations.buckets[bisect_left(BOUNDS, seconds)] += 1
    durations.total += seconds
