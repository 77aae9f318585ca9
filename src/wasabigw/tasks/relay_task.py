"""Task of a relay: passes the delivery view on to the balancers near it."""

from collections import Counter
from dataclasses import dataclass
from functools import singledispatchmethod
from http import HTTPStatus
from typing import Any, Self

from wasabigw.codec.views import encode_update
from wasabigw.core.delivery_view import (
    DeliveryView,
    ViewUpdate,
    apply_update,
    update_since,
)
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import NO_REVISION, Revision, Seconds
from wasabigw.core.numbers import whole_number
from wasabigw.core.view import NEVER
from wasabigw.runtime.mailbox import Mailbox, SelectableMailbox
from wasabigw.runtime.selector_task import SelectorTask
from wasabigw.runtime.task import Stop
from wasabigw.runtime.timer import Tick, monotonic
from wasabigw.tasks.light_http import LightRequest, LightServer
from wasabigw.tasks.light_metrics import LightMetrics
from wasabigw.tasks.view_file import StoreView
from wasabigw.tasks.view_follower import ViewReceived
from wasabigw.tasks.view_names import VIEW_PATH
from wasabigw.telemetry.exposition import Family, MetricKind, Sample, gauge

MAX_WAIT = Seconds(2.0)
"""Longest time for which a poll is held."""
RELAY_TICK = "relay"
RELAY_PERIOD = Seconds(0.1)
"""Period of :data:`RELAY_TICK`, with which held polls are answered."""


@dataclass(frozen=True, slots=True)
class _HeldPoll:
    request: LightRequest
    after: Revision
    received: Seconds
    until: Seconds


class RelayTask(SelectorTask[ViewReceived | Tick]):
    """Owns the view, the server for polls and the polls that wait.

    :param stored: view that an earlier process has kept; ``None`` without one.
    :param file: mailbox of the task that keeps the view.
    :param metrics: where metrics are collected.
    """

    def __init__(
        self,
        bind: Endpoint,
        stored: ViewUpdate | None,
        file: Mailbox[Any],
        mailbox: SelectableMailbox[ViewReceived | Tick | Stop],
        metrics: Endpoint | None,
    ) -> None:
        super().__init__("relay", mailbox)
        self._file = file
        self._server = LightServer(bind, self._selector, self._handle)
        self._metrics = LightMetrics(metrics, self._selector, self._metric_families)
        self._answered: Counter[HTTPStatus] = Counter()
        self._view = DeliveryView()
        self._fresh_until = NEVER
        self._held: list[_HeldPoll] = []
        self._is_stored = True
        if stored is not None:
            apply_update(self._view, stored)

    @property
    def endpoint(self) -> Endpoint:
        """Where polls are answered."""
        return self._server.endpoint

    @property
    def revision(self) -> Revision:
        """Revision of the view; only before the task runs."""
        return self._view.revision

    def __enter__(self) -> Self:
        """Listen and start the thread."""
        for part in (self._metrics, self._server):
            self._resources.enter_context(part)
        return super().__enter__()

    @singledispatchmethod
    def receive(self, message: ViewReceived | Tick) -> None:
        """Handle one message."""
        raise TypeError(f"no rule for the message {type(message).__name__}")

    @receive.register
    def _(self, message: ViewReceived) -> None:
        update = message.update
        has_changed = apply_update(self._view, update)
        if update.revision >= self._view.revision:
            fresh_until = Seconds(message.sent_at + update.fresh_for)
            self._fresh_until = max(self._fresh_until, fresh_until)
        if has_changed:
            self._is_stored = False
            self._answer_due(monotonic())

    @receive.register
    def _(self, message: Tick) -> None:
        self._answer_due(message.now)
        if not self._is_stored:
            self._is_stored = True
            whole = update_since(self._view, NO_REVISION, Seconds(0.0))
            self._file.post(StoreView(encode_update(whole)))

    def _handle(self, request: LightRequest) -> None:
        path, _, query = request.target.partition("?")
        if request.method != "GET" or path != VIEW_PATH:
            request.connection.respond(HTTPStatus.NOT_FOUND)
            return
        after, wait_ms = _number("after", query), _number("wait_ms", query)
        if after is None or wait_ms is None:
            request.connection.respond(HTTPStatus.BAD_REQUEST)
            return
        now = monotonic()
        wait = min(Seconds(wait_ms / 1000), MAX_WAIT)
        poll = _HeldPoll(request, Revision(after), now, Seconds(now + wait))
        if self._is_due(poll, now):
            self._answer(poll, now)
        else:
            self._held.append(poll)

    def _answer_due(self, now: Seconds) -> None:
        held, self._held = self._held, []
        for poll in held:
            if self._is_due(poll, now):
                self._answer(poll, now)
            else:
                self._held.append(poll)

    def _is_due(self, poll: _HeldPoll, now: Seconds) -> bool:
        return poll.after != self._view.revision or now >= poll.until

    def _answer(self, poll: _HeldPoll, now: Seconds) -> None:
        if self._view.revision == NO_REVISION:
            self._answered[HTTPStatus.SERVICE_UNAVAILABLE] += 1
            poll.request.connection.respond(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self._answered[HTTPStatus.OK] += 1
        is_fresh = now < self._fresh_until
        fresh_for = Seconds(self._fresh_until - poll.received if is_fresh else 0.0)
        update = update_since(self._view, poll.after, fresh_for)
        poll.request.connection.respond(HTTPStatus.OK, encode_update(update))

    def _metric_families(self) -> list[Family]:
        now = monotonic()
        polls = tuple(
            Sample(count, {"status": str(int(status))})
            for status, count in sorted(self._answered.items())
        )
        held, revision = len(self._held), self._view.revision
        rest = max(0.0, self._fresh_until - now)
        return [
            Family(
                "wasabigw_relay_polls_total",
                MetricKind.COUNTER,
                "Polls for views that were answered",
                polls,
            ),
            gauge("wasabigw_relay_polls_held", "Polls that wait for a change", held),
            gauge("wasabigw_view_revision", "Revision of the view", revision),
            gauge("wasabigw_view_fresh_seconds", "For how long it is current", rest),
        ]


def _number(name: str, query: str) -> int | None:
    """Whole number under a name in a query, if there is one."""
    for part in query.split("&"):
        key, _, value = part.partition("=")
        if key == name:
            return whole_number(value)
    return None


def make_relay_task(
    bind: Endpoint,
    stored: ViewUpdate | None,
    file: Mailbox[Any],
    metrics: Endpoint | None = None,
) -> RelayTask:
    """Task of a relay.

    :param metrics: where metrics are collected.

    :raises OSError: if the endpoint can't be bound.
    """
    return RelayTask(bind, stored, file, SelectableMailbox("relay"), metrics)
