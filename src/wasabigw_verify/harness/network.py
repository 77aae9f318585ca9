"""Event queue and network of a run; everything follows from the seed."""

import heapq
import random
from collections.abc import Callable
from typing import Protocol

from wasabigw.core.ids import Seconds

MIN_DELAY = 0.001
MAX_DELAY = 0.003
"""Seconds that a message travels."""

Action = Callable[[], None]


class Process(Protocol):
    """Anything that can stop."""

    alive: bool


class Network:
    """Ordered events, and messages between named places.

    :param isolated: groups of places that reach only each other.
    :param muted: groups of places that hear the others, but are not heard by them.
    :param connections: pairs of places with an open connection, both ways.
    :param silent: connections whose messages vanish until they are opened anew.
    :param frozen: places that handle nothing before a time.
    :param slow: most seconds that messages on a connection to a place are late.
    :param latency: seconds between two places, in place of a draw from
        :data:`MIN_DELAY` to :data:`MAX_DELAY`.
    :param late: places that get nothing on connections before a time.
    :param loss: share of the messages outside connections that vanish.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = Seconds(0.0)
        self.isolated: list[frozenset[str]] = []
        self.muted: list[frozenset[str]] = []
        self.connections: set[tuple[str, str]] = set()
        self.silent: set[tuple[str, str]] = set()
        self.frozen: dict[str, float] = {}
        self.slow: dict[str, float] = {}
        self.late: dict[str, float] = {}
        self.loss = 0.0
        self.latency: Callable[[str, str], float] | None = None
        self._queue: list[tuple[float, int, Action]] = []
        self._count = 0

    def call_later(self, seconds: float, action: Action) -> None:
        """Run an action after some time."""
        self._count += 1
        heapq.heappush(self._queue, (self.now + seconds, self._count, action))

    def every(
        self, place: str, process: Process, period: float, action: Action
    ) -> None:
        """Run an action of a process again and again until it stops."""

        def tick() -> None:
            if process.alive:
                action()
                self.call_later(period, lambda: self.arrive(place, tick))

        self.call_later(
            self.random.uniform(0, period), lambda: self.arrive(place, tick)
        )

    def run(self, until: float) -> None:
        """Handle all events up to a time."""
        while self._queue and self._queue[0][0] <= until:
            at, _, action = heapq.heappop(self._queue)
            self.now = Seconds(at)
            action()
        self.now = Seconds(until)

    def arrive(self, place: str, action: Action) -> None:
        """Handle something at a place, once it is not frozen."""
        until = self.frozen.get(place, 0.0)
        if until > self.now:
            self.call_later(until - self.now, lambda: self.arrive(place, action))
        else:
            action()

    def is_cut(self, source: str, destination: str) -> bool:
        """Whether no message passes between two places."""
        if any(source in g and destination not in g for g in self.muted):
            return True
        return any((source in g) != (destination in g) for g in self.isolated)

    def is_joined(self, one: str, other: str) -> bool:
        """Whether messages pass between two places both ways."""
        return not (self.is_cut(one, other) or self.is_cut(other, one))

    def send(
        self, source: str, destination: str, action: Action, connected: bool = False
    ) -> None:
        """Deliver a message, unless it is lost or cut off on the way.

        :param connected: it uses a connection, which can have gone silent.
        """
        lost = not connected and self.random.random() < self.loss
        delay = self._travel_time(source, destination)
        if connected:
            self.connections |= {(source, destination), (destination, source)}
            delay += self.random.uniform(0, self.slow.get(destination, 0.0))
            delay += max(0.0, self.late.get(destination, 0.0) - self.now)
        silent = connected and (source, destination) in self.silent
        if lost or silent or self.is_cut(source, destination):
            return
        self.call_later(delay, lambda: self._deliver(source, destination, action))

    def _travel_time(self, source: str, destination: str) -> float:
        if self.latency is None:
            return self.random.uniform(MIN_DELAY, MAX_DELAY)
        return self.latency(source, destination)

    def _deliver(self, source: str, destination: str, action: Action) -> None:
        if not self.is_cut(source, destination):
            self.arrive(destination, action)

    def reopen(self, one: str, other: str) -> None:
        """Close the connections between two places; the next use opens new ones."""
        self.connections -= {(one, other), (other, one)}
        self.silent -= {(one, other), (other, one)}

    def silence(self, place: str) -> None:
        """Let all open connections of a place go silent."""
        self.silent |= {pair for pair in self.connections if place in pair}
