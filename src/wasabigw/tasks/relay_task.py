"""Task of a relay, which serves the delivery view to nearby balancers."""

from collections import Counter
from dataclasses import dataclass
from functools import singledispatchmethod
from http import HTTPStatus
from typing import Any, Self
from urllib.parse import unquote

from wasabigw.codec.views import encode_update
from wasabigw.core.delivery_view import (
    DeliveryView,
    ViewUpdate,
    apply_update,
    update_since,
)
from wasabigw.core.endpoint import Endpoint, endpoint_key
from wasabigw.core.ids import (
    NO_REVISION,
    FailureDomainId,
    NodeId,
    Revision,
    Seconds,
)
from wasabigw.core.load.table import NO_FAILURE_DOMAIN
from wasabigw.core.numbers import whole_number
from wasabigw.core.view_lease import NEVER
from wasabigw.runtime.mailbox import Mailbox, SelectableMailbox
from wasabigw.runtime.selector_task import SelectorTask
from wasabigw.runtime.task import Stop
from wasabigw.runtime.timer import Tick, monotonic
from wasabigw.tasks.light_http import LightRequest, LightServer
from wasabigw.tasks.light_metrics import LightMetrics
from wasabigw.tasks.load_messages import ExchangeLoadThrough, PeerAnswered
from wasabigw.tasks.relay_load import RelayLoad
from wasabigw.tasks.view_file import StoreView
from wasabigw.tasks.view_follower import ViewReceived
from wasabigw.tasks.view_names import LOAD_PATH, VIEW_PATH
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.exposition import (
    Family,
    MetricKind,
    Sample,
    declared_version,
    gauge,
    view_age,
)
from wasabigw.telemetry.log_events import log

MAX_WAIT = Seconds(2.0)
"""Maximum time for which a poll is held."""
BINARY = "application/octet-stream"
"""Content type of the sums for other relays."""
RELAY_TICK = "relay"
RELAY_PERIOD = Seconds(0.1)
"""Interval at which held polls are checked and a new view is stored."""


@dataclass(frozen=True, slots=True)
class _HeldPoll:
    """A poll that waits for a change.

    :param reporter: balancer whose load report came with it.
    """

    request: LightRequest
    after: Revision
    received: Seconds
    until: Seconds
    reporter: NodeId | None


RelayMessage = ViewReceived | PeerAnswered | ExchangeLoadThrough | Tick


class RelayTask(SelectorTask[RelayMessage]):
    """Owns the view, the HTTP server and the held polls.

    :param stored: view that an earlier process has stored, if any.
    :param file: mailbox of the task that stores the view.
    :param metrics: endpoint that serves metrics, if any.
    :param failure_domain: failure domain of this relay.
    """

    def __init__(
        self,
        bind: Endpoint,
        stored: ViewUpdate | None,
        file: Mailbox[Any],
        mailbox: SelectableMailbox[RelayMessage | Stop],
        metrics: Endpoint | None,
        failure_domain: FailureDomainId,
    ) -> None:
        super().__init__("relay", mailbox)
        self._file = file
        self._server = LightServer(bind, self._selector, self._handle)
        self._metrics = LightMetrics(metrics, self._selector, self._metric_families)
        self._responses: Counter[HTTPStatus] = Counter()
        self._view = DeliveryView()
        self._fresh_until = NEVER
        self._confirmed_at = NEVER
        self._was_fresh = False
        self._held: list[_HeldPoll] = []
        self._load = RelayLoad(bind, failure_domain)
        self._is_file_current = True
        self._is_from_file = stored is not None
        if stored is not None:
            apply_update(self._view, stored)

    @property
    def endpoint(self) -> Endpoint:
        """Address and port that serve views."""
        return self._server.endpoint

    @property
    def revision(self) -> Revision:
        """Revision of the view; may only be read before the task runs."""
        return self._view.revision

    def __enter__(self) -> Self:
        """Start listening and start the thread."""
        for server in (self._metrics, self._server):
            self._resources.enter_context(server)
        return super().__enter__()

    @singledispatchmethod
    def receive(self, message: RelayMessage) -> None:
        """Handle one message."""
        raise TypeError(f"unsupported message type: {type(message).__name__}")

    @receive.register
    def _(self, message: ViewReceived) -> None:
        update = message.update
        before = self._version
        has_changed = apply_update(self._view, update)
        if update.revision >= self._view.revision and update.fresh_for > 0:
            fresh_until = Seconds(message.sent_at + update.fresh_for)
            self._fresh_until = max(self._fresh_until, fresh_until)
            self._confirmed_at = max(self._confirmed_at, message.sent_at)
            self._log_fresh(message.source)
        if has_changed:
            self._is_file_current = False
            self._is_from_file = False
            self._respond_to_due_polls(monotonic())
        if self._version != before:
            self._log_version(before, message)

    @receive.register
    def _(self, message: PeerAnswered) -> None:
        self._load.record_peer(message)

    @receive.register
    def _(self, message: ExchangeLoadThrough) -> None:
        self._load.exchange = message.mailbox

    @receive.register
    def _(self, message: Tick) -> None:
        self._respond_to_due_polls(message.now)
        self._load.tick(self._view, message.now)
        self._log_stale(message.now)
        if not self._is_file_current:
            self._is_file_current = True
            full_view = update_since(self._view, NO_REVISION, Seconds(0.0))
            self._file.post(StoreView(encode_update(full_view)))

    @property
    def _version(self) -> int | None:
        """Version of the configuration in the view."""
        document = self._view.document
        return document.version if document is not None else None

    def _log_version(self, before: int | None, message: ViewReceived) -> None:
        log(
            BalancerEvent.RELAY_VIEW,
            version=self._version,
            before=before,
            revision=self._view.revision,
            source=endpoint_key(message.source),
            fresh_for=round(message.update.fresh_for, 3),
        )

    def _log_fresh(self, source: Endpoint) -> None:
        if self._was_fresh:
            return
        self._was_fresh = True
        log(
            BalancerEvent.RELAY_FRESH,
            version=self._version,
            revision=self._view.revision,
            source=endpoint_key(source),
        )

    def _log_stale(self, now: Seconds) -> None:
        if not self._was_fresh or now < self._fresh_until:
            return
        self._was_fresh = False
        log(
            BalancerEvent.RELAY_STALE,
            version=self._version,
            revision=self._view.revision,
            age=round(now - self._confirmed_at, 3),
        )

    def _handle(self, request: LightRequest) -> None:
        path, _, query = request.target.partition("?")
        if request.method == "GET" and path == LOAD_PATH:
            self._respond_load(request, query)
            return
        if request.method != "GET" or path != VIEW_PATH:
            request.connection.respond(HTTPStatus.NOT_FOUND)
            return
        after, wait_ms = _query_number("after", query), _query_number("wait_ms", query)
        if after is None or wait_ms is None:
            request.connection.respond(HTTPStatus.BAD_REQUEST)
            return
        now = monotonic()
        wait = min(Seconds(wait_ms / 1000), MAX_WAIT)
        report = _query_text("load", query)
        reporter = self._load.receive_report(report, now) if report else None
        until = Seconds(now + wait)
        poll = _HeldPoll(request, Revision(after), now, until, reporter)
        if self._is_due(poll, now):
            self._respond(poll, now)
        else:
            self._held.append(poll)

    def _respond_load(self, request: LightRequest, query: str) -> None:
        """Return the sums of the reports received here to another relay."""
        domain = FailureDomainId(unquote(_query_text("failure_domain", query) or ""))
        now = monotonic()
        arrived = _query_text("arrived", query)
        if arrived:
            self._load.remove_departed(arrived, now)
        body = self._load.direct_sums(domain, self._view, now)
        request.connection.respond(HTTPStatus.OK, body, BINARY)

    def _respond_to_due_polls(self, now: Seconds) -> None:
        held, self._held = self._held, []
        for poll in held:
            if self._is_due(poll, now):
                self._respond(poll, now)
            else:
                self._held.append(poll)

    def _is_due(self, poll: _HeldPoll, now: Seconds) -> bool:
        return poll.after != self._view.revision or now >= poll.until

    def _respond(self, poll: _HeldPoll, now: Seconds) -> None:
        if self._view.revision == NO_REVISION:
            self._responses[HTTPStatus.SERVICE_UNAVAILABLE] += 1
            poll.request.connection.respond(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self._responses[HTTPStatus.OK] += 1
        is_fresh = now < self._fresh_until
        fresh_for = Seconds(self._fresh_until - poll.received if is_fresh else 0.0)
        update = update_since(self._view, poll.after, fresh_for)
        response = encode_update(update)
        if poll.reporter is not None:
            response = self._load.add_sums(response, poll.reporter, self._view, now)
        poll.request.connection.respond(HTTPStatus.OK, response)

    def _metric_families(self) -> list[Family]:
        now = monotonic()
        polls = tuple(
            Sample(count, {"status": str(int(status))})
            for status, count in sorted(self._responses.items())
        )
        held, revision = len(self._held), self._view.revision
        fresh_seconds = max(0.0, self._fresh_until - now)
        is_fresh = now < self._fresh_until
        return [
            Family(
                "wasabigw_relay_polls_total",
                MetricKind.COUNTER,
                "Polls for views that were answered",
                polls,
            ),
            gauge("wasabigw_relay_polls_held", "Polls that wait for a change", held),
            gauge("wasabigw_view_revision", "Revision of the view", revision),
            gauge(
                "wasabigw_view_fresh_seconds",
                "For how long it is current",
                fresh_seconds,
            ),
            gauge("wasabigw_view_fresh", "Whether it is known to be current", is_fresh),
            view_age(now - self._confirmed_at),
            gauge(
                "wasabigw_view_stored",
                "Whether it is the one that an earlier process stored",
                self._is_from_file,
            ),
            declared_version(self._version),
            *self._load.families(now),
        ]


def _query_number(name: str, query: str) -> int | None:
    """Whole number of a query parameter; ``None`` if it is missing or malformed."""
    text = _query_text(name, query)
    return None if text is None else whole_number(text)


def _query_text(name: str, query: str) -> str | None:
    """Text of a query parameter; ``None`` if it is missing."""
    for part in query.split("&"):
        key, _, value = part.partition("=")
        if key == name:
            return value
    return None


def make_relay_task(
    bind: Endpoint,
    stored: ViewUpdate | None,
    file: Mailbox[Any],
    metrics: Endpoint | None = None,
    failure_domain: FailureDomainId = NO_FAILURE_DOMAIN,
) -> RelayTask:
    """Create the task of a relay.

    :param metrics: endpoint that serves metrics, if any.
    :param failure_domain: failure domain of the relay; relays of others get only the
        load of their own backend servers.

    :raises OSError: if the endpoint can't be bound.
    """
    mailbox: SelectableMailbox[RelayMessage | Stop] = SelectableMailbox("relay")
    return RelayTask(bind, stored, file, mailbox, metrics, failure_domain)
