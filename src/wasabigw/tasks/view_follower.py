"""Task that follows the delivery view by long polling a source.

The latest load report goes with the next poll, and the response brings the sums.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from returns.result import Failure, Result, Success

from wasabigw.codec.load import encode_report, sums_of_response
from wasabigw.codec.views import decode_update
from wasabigw.core.delivery_view import Source, ViewUpdate
from wasabigw.core.endpoint import Endpoint, endpoint_key
from wasabigw.core.ids import NO_REVISION, Revision, Seconds
from wasabigw.core.sources import (
    SourceState,
    next_source,
    record_current,
    record_failure,
    record_stale,
    set_known_sources,
)
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Stop, Task
from wasabigw.runtime.timer import monotonic
from wasabigw.tasks.light_http import LightClient
from wasabigw.tasks.load_messages import LoadReported, ReportAnswered, SumsOutcome
from wasabigw.tasks.view_names import VIEW_PATH
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.events_http import HttpEvent
from wasabigw.telemetry.log_events import log

CONNECT_TIMEOUT = Seconds(0.3)
FIRST_CONNECT_TIMEOUT = Seconds(0.1)
"""Connect timeout without a view.

No packet can be carried until a view arrives, and another source may respond.
"""
READ_MARGIN = Seconds(0.4)
"""Read timeout beyond the wait that the poll requests."""
RESPONSE_TIMEOUT = Seconds(2.0)
"""Maximum duration of a poll whose response arrives slowly.

Another source may be faster, and a change has to be in force 3 s after it was
confirmed. The timeout doubles while no poll succeeds, because the link of this process
may be slow itself.
"""
MAX_RESPONSE_TIMEOUT = Seconds(16.0)
POLL_WAIT = Seconds(0.5)
"""How long a current source may hold a poll until the view changes."""
NO_WAIT = Seconds(0.0)
MIN_INTERVAL = Seconds(0.05)
"""Minimum time between the starts of two polls after a successful one."""
RETRY_DELAY = Seconds(0.02)
"""Pause after a failed poll or a stale view."""
ROUND_DELAY = Seconds(0.1)
"""The same pause while all sources are in backoff."""


@dataclass(frozen=True, slots=True)
class ViewReceived:
    """A source responded to a poll.

    :param sent_at: when the poll was sent, by the clock of this process.
    :param traffic: bytes of all polls and responses since the process started.
    """

    update: ViewUpdate
    source: Endpoint
    sent_at: Seconds
    traffic: int = 0


@dataclass(frozen=True, slots=True)
class SeedsChanged:
    """The seeds in the settings have changed."""

    seeds: tuple[Endpoint, ...]


class ViewFollower(Task[SeedsChanged | LoadReported]):
    """Polls the preferred source and posts its responses.

    :param receiver: receives :class:`ViewReceived` and :class:`ReportAnswered`.
    :param address_of: maps the API endpoint of a source to where it serves views.
    """

    def __init__(
        self,
        sources: SourceState,
        receiver: Mailbox[Any],
        address_of: Callable[[Endpoint], Endpoint],
        revision: Revision,
    ) -> None:
        super().__init__("view-follower", Mailbox("view-follower", capacity=64))
        self._sources = sources
        self._receiver = receiver
        self._address_of = address_of
        self._revision = revision
        self._client = LightClient()
        self._followed: Endpoint | None = None
        self._response_timeout = RESPONSE_TIMEOUT
        self._unsent: LoadReported | None = None

    def close(self) -> None:
        """Close the connection to the source."""
        self._client.close()

    @singledispatchmethod
    def receive(self, message: SeedsChanged | LoadReported) -> None:
        """Handle a message."""
        raise TypeError(f"unsupported message type: {type(message).__name__}")

    @receive.register
    def _(self, message: SeedsChanged) -> None:
        self._sources.seeds = message.seeds

    @receive.register
    def _(self, message: LoadReported) -> None:
        # Replaces a report that was not sent yet.
        self._unsent = message

    def run(self) -> None:
        """Poll until :class:`Stop` arrives; each wait has a time limit."""
        running = True
        while running:
            sent_at = monotonic()
            source, is_in_backoff = next_source(self._sources, sent_at)
            if self._poll(source, sent_at, self._wait_of(source, is_in_backoff)):
                running = self._wait_until(Seconds(sent_at + MIN_INTERVAL))
                continue
            has_view = self._revision > NO_REVISION
            pause = ROUND_DELAY if is_in_backoff and has_view else RETRY_DELAY
            running = self._wait_until(Seconds(monotonic() + pause))

    def _wait_until(self, time: Seconds) -> bool:
        """Handle messages until ``time``; ``False`` after :class:`Stop`.

        Queued messages are handled even if the time has passed: a poll that its
        source holds takes longer than :data:`MIN_INTERVAL`.
        """
        while True:
            remaining = time - monotonic()
            outcome = self._mailbox.get(Seconds(max(0.0, remaining)))
            if not isinstance(outcome, Success):
                return True
            message = outcome.unwrap()
            if isinstance(message, Stop):
                return False
            self.receive(message)

    def _wait_of(self, source: Endpoint, is_in_backoff: bool) -> Seconds:
        """How long a source may hold a poll.

        A source that may not be current responds at once, so that a search takes no
        longer than its failures. If none is known to be current, one of them may hold
        the poll, which limits the load.
        """
        if self._revision == NO_REVISION:
            return NO_WAIT
        return POLL_WAIT if source == self._followed or is_in_backoff else NO_WAIT

    def _poll(self, source: Endpoint, sent_at: Seconds, wait: Seconds) -> bool:
        """Poll a source once; ``False`` if another one should be polled next."""
        has_view = self._revision > NO_REVISION
        wait_ms = round(wait * 1000)
        report = self._take_report(sent_at)
        load = f"&load={report}" if report else ""
        body = self._client.get(
            self._address_of(source),
            f"{VIEW_PATH}?after={self._revision}&wait_ms={wait_ms}{load}",
            CONNECT_TIMEOUT if has_view else FIRST_CONNECT_TIMEOUT,
            Seconds(POLL_WAIT + READ_MARGIN),
            self._response_timeout,
        )
        if report:
            self._post_answer(len(report), body, source)
        response = body.bind(decode_update)
        if not isinstance(response, Success):
            if monotonic() - sent_at >= self._response_timeout:
                doubled = Seconds(2 * self._response_timeout)
                self._response_timeout = min(doubled, MAX_RESPONSE_TIMEOUT)
            self._handle_failure(source, str(response.failure()))
            return False
        self._response_timeout = RESPONSE_TIMEOUT
        update: ViewUpdate = response.unwrap()
        is_current = update.fresh_for > 0 and update.revision >= self._revision
        if is_current:
            self._record_current(source, update)
        else:
            self._record_stale(source, update)
        self._handle_update(update, source, sent_at)
        return is_current

    def _take_report(self, now: Seconds) -> str:
        """Text of the latest report if it was not sent yet, otherwise empty."""
        unsent, self._unsent = self._unsent, None
        if unsent is None:
            return ""
        return encode_report(unsent.report, Seconds(now - unsent.made_at))

    def _post_answer(
        self, size: int, response: Result[bytes, str], source: Endpoint
    ) -> None:
        """Post what came back for a report."""
        now = monotonic()
        if not isinstance(response, Success):
            answer = ReportAnswered(SumsOutcome.NO_RESPONSE, now, size)
            self._receiver.post(answer)
            return
        decoded = sums_of_response(response.unwrap())
        if not isinstance(decoded, Success):
            log(
                BalancerEvent.LOAD_MALFORMED,
                source=endpoint_key(source),
                reason=decoded.failure(),
            )
            answer = ReportAnswered(SumsOutcome.MALFORMED, now, size)
            self._receiver.post(answer)
            return
        received = decoded.unwrap()
        if received is None:
            answer = ReportAnswered(SumsOutcome.ABSENT, now, size)
        else:
            size += received.size
            answer = ReportAnswered(SumsOutcome.RECEIVED, now, size, received.sums)
        self._receiver.post(answer)

    def _record_current(self, source: Endpoint, update: ViewUpdate) -> None:
        record_current(self._sources, source)
        if self._followed != source:
            self._followed = source
            log(
                HttpEvent.SOURCE_FOUND,
                address=source.address,
                port=source.port,
                revision=update.revision,
            )

    def _record_stale(self, source: Endpoint, update: ViewUpdate) -> None:
        """Leave a source; logged if it was followed or has a newer view."""
        record_stale(self._sources, source, monotonic())
        was_followed = self._followed == source
        if was_followed:
            self._followed = None
        if was_followed or update.revision > self._revision:
            log(
                HttpEvent.SOURCE_STALE,
                address=source.address,
                port=source.port,
                revision=update.revision,
                fresh_for=round(update.fresh_for, 3),
                own=self._revision,
            )

    def _handle_update(
        self, update: ViewUpdate, source: Endpoint, sent_at: Seconds
    ) -> None:
        received = ViewReceived(update, source, sent_at, self._client.traffic)
        if isinstance(self._receiver.post(received), Failure):
            log(HttpEvent.MAILBOX_FULL, mailbox=self._receiver.name)
            return
        if update.revision > self._revision:
            self._revision = update.revision
            self._update_sources(update.sources)

    def _update_sources(self, known: tuple[Source, ...]) -> None:
        if known != self._sources.known:
            set_known_sources(self._sources, known)

    def _handle_failure(self, source: Endpoint, reason: str) -> None:
        record_failure(self._sources, source, monotonic())
        if self._followed == source:
            self._followed = None
            log(
                HttpEvent.SOURCE_LOST,
                address=source.address,
                port=source.port,
                reason=reason,
            )


def make_view_follower(
    sources: SourceState,
    receiver: Mailbox[Any],
    address_of: Callable[[Endpoint], Endpoint],
    revision: Revision = NO_REVISION,
) -> ViewFollower:
    """Create the task that follows the delivery view.

    :param receiver: mailbox of the task that owns the view.
    :param address_of: maps the API endpoint of a source to where it serves views.
    :param revision: revision of the view that the receiver already has.
    """
    return ViewFollower(sources, receiver, address_of, revision)
