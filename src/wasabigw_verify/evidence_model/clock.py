"""Simulated time: callbacks in the order of their times."""

import heapq
from collections.abc import Callable
from itertools import count

from wasabigw.core.ids import Seconds

Callback = Callable[[], None]


class Clock:
    """Event loop that runs in simulated time."""

    def __init__(self) -> None:
        self.now = Seconds(0.0)
        self._events: list[tuple[float, int, Callback]] = []
        self._numbers = count()

    def after(self, delay: float, callback: Callback) -> None:
        """Run a callback after some time."""
        at = self.now + max(delay, 0.0)
        heapq.heappush(self._events, (at, next(self._numbers), callback))

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due up to a time."""
        while self._events and self._events[0][0] <= end:
            at, _, callback = heapq.heappop(self._events)
            self.now = Seconds(at)
            callback()
