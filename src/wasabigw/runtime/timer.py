"""Timer service, which posts periodic ticks to subscribed mailboxes."""

import heapq
import itertools
import time
from dataclasses import dataclass, field
from typing import Any

from returns.result import Success

from wasabigw.core.ids import Seconds
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Stop, Task


@dataclass(frozen=True, slots=True)
class Tick:
    """The period of a subscription has elapsed.

    :param token: token of the subscription.
    :param now: time of :func:`monotonic`.
    """

    token: str
    now: Seconds


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Requests a tick every ``period`` seconds."""

    mailbox: Mailbox[Any]
    period: Seconds
    token: str


@dataclass(order=True, slots=True)
class _Due:
    at: float
    order: int
    subscription: Subscribe = field(compare=False)


def monotonic() -> Seconds:
    """Time since the VM was started, including the time while it was suspended.

    :func:`time.monotonic` stops while the VM is suspended, so that a lease would be
    used after its expiry on a VM that was resumed.
    """
    return Seconds(time.clock_gettime(time.CLOCK_BOOTTIME))


class TimerService(Task[Subscribe]):
    """Task that sleeps until the next subscription is due."""

    def __init__(self) -> None:
        super().__init__("timer", Mailbox("timer"))
        self._due: list[_Due] = []
        self._order = itertools.count()

    def subscribe(self, mailbox: Mailbox[Any], period: Seconds, token: str) -> None:
        """Post a :class:`Tick` with ``token`` to ``mailbox`` every ``period``."""
        self.mailbox.post(Subscribe(mailbox, period, token))

    def receive(self, message: Subscribe) -> None:
        """Register a subscription."""
        self._schedule(message, monotonic() + message.period)

    def run(self) -> None:
        """Sleep until a subscription is due or a message arrives."""
        while True:
            outcome = self._mailbox.get(self._time_to_next())
            if isinstance(outcome, Success):
                message = outcome.unwrap()
                if isinstance(message, Stop):
                    return
                self.receive(message)
            self._post_due(monotonic())

    def _time_to_next(self) -> Seconds | None:
        if not self._due:
            return None
        return Seconds(max(0.0, self._due[0].at - monotonic()))

    def _post_due(self, now: Seconds) -> None:
        while self._due and self._due[0].at <= now:
            subscription = heapq.heappop(self._due).subscription
            subscription.mailbox.post(Tick(subscription.token, now))
            self._schedule(subscription, now + subscription.period)

    def _schedule(self, subscription: Subscribe, at: float) -> None:
        heapq.heappush(self._due, _Due(at, next(self._order), subscription))
