"""Event queue and simulated network of a run, both determined by the seed."""

import heapq
import random
from collections.abc import Callable
from typing import Protocol

from wasabigw.core.ids import Seconds

MIN_DELAY = 0.001
MAX_DELAY = 0.003
"""Range of the delay of a message, in seconds."""

Action = Callable[[], None]


class Process(Protocol):
    """A process whose periodic actions end when it stops."""

    alive: bool


class Network:
    """Event queue and message delivery between named hosts.

    :ivar isolated: groups of hosts that can reach only each other.
    :ivar outbound_blocked: groups of hosts whose messages to other hosts are dropped,
        while messages to them arrive.
    :ivar connections: pairs of hosts with an open connection, in both directions.
    :ivar blackholed: connections that drop all messages until they are reopened.
    :ivar frozen_until: times until which hosts handle no events.
    :ivar max_extra_delay: upper bounds of the random delay, in seconds, that is added
        to messages on connections to a host.
    :ivar latency: returns the delay between two hosts; if it is ``None``, delays are
        drawn between :data:`MIN_DELAY` and :data:`MAX_DELAY`.
    :ivar delayed_until: times before which no message on a connection reaches a host.
    :ivar loss_rate: share of the messages outside connections that are lost.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = Seconds(0.0)
        self.isolated: list[frozenset[str]] = []
        self.outbound_blocked: list[frozenset[str]] = []
        self.connections: set[tuple[str, str]] = set()
        self.blackholed: set[tuple[str, str]] = set()
        self.frozen_until: dict[str, float] = {}
        self.max_extra_delay: dict[str, float] = {}
        self.delayed_until: dict[str, float] = {}
        self.loss_rate = 0.0
        self.latency: Callable[[str, str], float] | None = None
        self._queue: list[tuple[float, int, Action]] = []
        self._event_count = 0

    def call_later(self, seconds: float, action: Action) -> None:
        """Run an action after a delay."""
        self._event_count += 1
        heapq.heappush(self._queue, (self.now + seconds, self._event_count, action))

    def call_every(
        self, host: str, process: Process, period: float, action: Action
    ) -> None:
        """Run an action periodically until the process stops.

        The first run comes after a random part of the period.
        """

        def tick() -> None:
            if process.alive:
                action()
                self.call_later(period, lambda: self.dispatch(host, tick))

        self.call_later(
            self.random.uniform(0, period), lambda: self.dispatch(host, tick)
        )

    def run(self, until: float) -> None:
        """Process all events up to a time."""
        while self._queue and self._queue[0][0] <= until:
            at, _, action = heapq.heappop(self._queue)
            self.now = Seconds(at)
            action()
        self.now = Seconds(until)

    def dispatch(self, host: str, action: Action) -> None:
        """Run an action at a host, after the host is unfrozen."""
        until = self.frozen_until.get(host, 0.0)
        if until > self.now:
            self.call_later(until - self.now, lambda: self.dispatch(host, action))
        else:
            action()

    def is_blocked(self, source: str, destination: str) -> bool:
        """Whether messages from the source to the destination are blocked."""
        if any(source in g and destination not in g for g in self.outbound_blocked):
            return True
        return any((source in g) != (destination in g) for g in self.isolated)

    def is_reachable_both_ways(self, one: str, other: str) -> bool:
        """Whether messages pass between two hosts in both directions."""
        return not (self.is_blocked(one, other) or self.is_blocked(other, one))

    def send(
        self, source: str, destination: str, action: Action, connected: bool = False
    ) -> None:
        """Deliver a message unless it is lost or blocked, also while in transit.

        :param connected: whether it uses a connection, which may be blackholed.
        """
        lost = not connected and self.random.random() < self.loss_rate
        delay = self._draw_delay(source, destination)
        if connected:
            self.connections |= {(source, destination), (destination, source)}
            delay += self.random.uniform(0, self.max_extra_delay.get(destination, 0.0))
            delay += max(0.0, self.delayed_until.get(destination, 0.0) - self.now)
        blackholed = connected and (source, destination) in self.blackholed
        if lost or blackholed or self.is_blocked(source, destination):
            return
        self.call_later(delay, lambda: self._deliver(source, destination, action))

    def _draw_delay(self, source: str, destination: str) -> float:
        if self.latency is None:
            return self.random.uniform(MIN_DELAY, MAX_DELAY)
        return self.latency(source, destination)

    def _deliver(self, source: str, destination: str, action: Action) -> None:
        if not self.is_blocked(source, destination):
            self.dispatch(destination, action)

    def close_connections(self, one: str, other: str) -> None:
        """Close the connections between two hosts; the next message reopens them."""
        self.connections -= {(one, other), (other, one)}
        self.blackholed -= {(one, other), (other, one)}

    def blackhole(self, host: str) -> None:
        """Blackhole all open connections of a host."""
        self.blackholed |= {pair for pair in self.connections if host in pair}
