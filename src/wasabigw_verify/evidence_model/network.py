"""Legs of the network: each loses, delays and duplicates packets on its own."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wasabigw_verify.evidence_model.clock import Callback, Clock


@dataclass(frozen=True, slots=True)
class LegQuality:
    """How a leg treats packets.

    :param delay: seconds that each packet takes.
    :param jitter: seconds that it may take in addition.
    :param loss: share of the packets that are lost.
    :param duplication: share of the packets that arrive twice.
    """

    delay: float = 0.002
    jitter: float = 0.001
    loss: float = 0.0
    duplication: float = 0.0


SOUND = LegQuality()


@dataclass(slots=True)
class Leg:
    """One direction of the network between two kinds of machines.

    :param cut_until: until when all packets are lost.
    """

    clock: Clock
    quality: LegQuality
    draws: random.Random
    cut_until: float = field(default=-1.0)

    def send(self, arrive: Callback) -> None:
        """Carry a packet, which may arrive late, twice or not at all."""
        copies = 2 if self.draws.random() < self.quality.duplication else 1
        for _ in range(copies):
            is_lost = self.draws.random() < self.quality.loss
            delay = self.quality.delay + self.draws.random() * self.quality.jitter
            if not is_lost and self.clock.now >= self.cut_until:
                self.clock.after(delay, arrive)


class Router:
    """Selects the balancer that gets a packet.

    :param moves: share of the packets that go to another balancer than the one before
        of the same flow.
    """

    def __init__(
        self, ready: Callable[[], list[int]], moves: float, draws: random.Random
    ) -> None:
        self._ready = ready
        self._moves = moves
        self._draws = draws
        self._last: dict[object, int] = {}

    def choose(self, flow: object) -> int | None:
        """Number of a balancer in rotation; ``None`` if there is none."""
        ready = self._ready()
        if not ready:
            return None
        last = self._last.get(flow)
        is_moved = self._draws.random() < self._moves
        if last is None or last not in ready or is_moved:
            last = self._last[flow] = self._draws.choice(ready)
        return last
