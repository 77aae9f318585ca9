"""Tests of relays, the light HTTP server and client, and the view follower."""

import http.client
import os
import selectors
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from contextlib import suppress
from pathlib import Path
from typing import Any
from unittest import mock

from returns.result import Failure, Success

from tests.test_delivery_view import boot, view
from wasabigw.codec.views import decode_update, encode_update
from wasabigw.core.delivery_view import ViewUpdate, update_since
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, Revision, Seconds
from wasabigw.core.sources import SourceState
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import TimerService, monotonic
from wasabigw.tasks import stored_view
from wasabigw.tasks.light_http import LightClient, LightRequest, LightServer
from wasabigw.tasks.relay_task import (
    RELAY_PERIOD,
    RELAY_TICK,
    RelayTask,
    make_relay_task,
)
from wasabigw.tasks.stored_view import CLIENT_TIMEOUT, serve_stored_view
from wasabigw.tasks.view_file import StoreView, make_view_file, read_view_file
from wasabigw.tasks.view_follower import (
    POLL_WAIT,
    READ_MARGIN,
    SeedsChanged,
    ViewReceived,
    make_view_follower,
)
from wasabigw.tasks.view_names import VIEW_FILE_NAME, VIEW_PATH

ANY_PORT = Endpoint("127.0.0.1", 0)
SHORT, LONG = Seconds(0.2), Seconds(5.0)
RECIFE = FailureDomainId("recife")


def update(revision: int, fresh_for: float = 10.0) -> ViewUpdate:
    """Update that holds a full view at a revision."""
    return update_since(view(revision, boot(1, 1)), Revision(0), Seconds(fresh_for))


class LightHttp(unittest.TestCase):
    """Guards against a server or client that hangs, and against truncated responses."""

    def setUp(self) -> None:
        self.selector = selectors.DefaultSelector()
        self.requests: list[LightRequest] = []
        server = LightServer(ANY_PORT, self.selector, self.handle)
        self.server = self.enterContext(server)
        self.stop = threading.Event()
        self.thread = threading.Thread(target=self.serve)
        self.thread.start()
        self.addCleanup(self.thread.join)
        self.addCleanup(self.stop.set)

    def serve(self) -> None:
        while not self.stop.is_set():
            for key, events in self.selector.select(0.02):
                key.data(events)

    def handle(self, request: LightRequest) -> None:
        self.requests.append(request)
        if request.target == "/large":
            request.connection.respond(200, b"x" * 3_000_000)
        elif request.target != "/held":
            request.connection.respond(200, request.target.encode())

    def get(self, client: LightClient, target: str) -> Any:
        return client.get(self.server.endpoint, target, LONG, LONG)

    def test_requests_on_one_connection_get_responses_in_order(self) -> None:
        with LightClient() as client:
            for target in ("/a", "/b", "/c"):
                self.assertEqual(self.get(client, target), Success(target.encode()))
        connections = {id(r.connection) for r in self.requests}
        self.assertEqual(len(connections), 1)

    def test_the_client_counts_the_bytes_of_both_directions(self) -> None:
        with LightClient() as client:
            self.get(client, "/a")
            first = client.traffic
            self.get(client, "/large")
            self.assertGreater(first, len("GET /a HTTP/1.1") + len("HTTP/1.1 200"))
            self.assertGreater(client.traffic - first, 3_000_000)

    def test_a_large_response_arrives_complete(self) -> None:
        with LightClient() as client:
            self.assertEqual(len(self.get(client, "/large").unwrap()), 3_000_000)

    def test_a_client_of_the_standard_library_gets_a_response(self) -> None:
        endpoint = self.server.endpoint
        connection = http.client.HTTPConnection(endpoint.address, endpoint.port)
        connection.request("GET", "/plain", headers={"Connection": "close"})
        self.assertEqual(connection.getresponse().read(), b"/plain")
        connection.close()

    def test_malformed_bytes_close_the_connection(self) -> None:
        endpoint = self.server.endpoint
        with socket.create_connection((endpoint.address, endpoint.port)) as sock:
            sock.settimeout(LONG)
            sock.sendall(b"\x00\x01 nonsense\r\n\r\n")
            self.assertEqual(sock.recv(100), b"")
        with LightClient() as client:
            self.assertIsInstance(self.get(client, "/after"), Success)

    def test_a_request_to_a_silent_server_times_out(self) -> None:
        with LightClient() as client:
            response = client.get(self.server.endpoint, "/held", LONG, SHORT)
            self.assertEqual(response, Failure("timed out"))
            # The next request uses a new connection.
            self.assertIsInstance(self.get(client, "/next"), Success)

    def test_a_refused_connection_is_a_failure(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            endpoint = Endpoint("127.0.0.1", unused.getsockname()[1])
        with LightClient() as client:
            self.assertIsInstance(client.get(endpoint, "/", LONG, LONG), Failure)


class PollRecorder:
    """Source that answers each poll at once and records the wait that it asks for.

    :ivar waits: milliseconds for which each poll may be held.
    """

    def __init__(self, served: ViewUpdate) -> None:
        self.waits: list[int] = []
        self._body = encode_update(served)
        self._selector = selectors.DefaultSelector()
        self._server = LightServer(ANY_PORT, self._selector, self._handle)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)

    @property
    def endpoint(self) -> Endpoint:
        return self._server.endpoint

    def __enter__(self) -> "PollRecorder":
        self._server.__enter__()
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join()
        self._server.__exit__(None, None, None)

    def _run(self) -> None:
        while not self._stop.is_set():
            for key, events in self._selector.select(0.02):
                key.data(events)

    def _handle(self, request: LightRequest) -> None:
        self.waits.append(int(request.target.rpartition("wait_ms=")[2]))
        request.connection.respond(200, self._body)


class RelayCase(unittest.TestCase):
    """Starts relays and posts views to them."""

    def setUp(self) -> None:
        self.file: Mailbox[Any] = Mailbox("file")
        self.timer = self.enterContext(TimerService())

    def start(self, stored: ViewUpdate | None = None) -> RelayTask:
        relay = make_relay_task(ANY_PORT, stored, self.file)
        self.enterContext(relay)
        self.timer.subscribe(relay.mailbox, RELAY_PERIOD, RELAY_TICK)
        return relay

    def poll(self, relay: RelayTask, after: int, wait_ms: int = 0) -> Any:
        with LightClient() as client:
            target = f"/v1/view?after={after}&wait_ms={wait_ms}"
            response = client.get(relay.endpoint, target, LONG, LONG)
            return response.bind(decode_update)

    def post_view(self, relay: RelayTask, posted: ViewUpdate) -> None:
        relay.mailbox.post(ViewReceived(posted, ANY_PORT, monotonic()))


class Relays(RelayCase):
    """Guards against relays that serve no view, or a stale one as fresh."""

    def test_polls_before_the_first_view_get_503(self) -> None:
        self.assertEqual(self.poll(self.start(), 0), Failure("status 503"))

    def test_a_stored_view_is_served_but_not_as_fresh(self) -> None:
        found = self.poll(self.start(update(5)), 0).unwrap()
        self.assertEqual((found.revision, found.fresh_for), (5, 0.0))

    def test_a_poll_waits_for_the_next_revision(self) -> None:
        relay = self.start(update(5))
        threading.Timer(0.2, self.post_view, (relay, update(6))).start()
        found = self.poll(relay, 5, wait_ms=2000).unwrap()
        self.assertEqual(found.revision, 6)
        self.assertGreater(found.fresh_for, 5.0)

    def test_a_poll_is_answered_after_its_wait(self) -> None:
        found = self.poll(self.start(update(5)), 5, wait_ms=100).unwrap()
        self.assertEqual((found.revision, found.boots), (5, ()))

    def test_freshness_counts_from_the_receipt_of_a_poll(self) -> None:
        # Balancers count the freshness from when they sent the poll. When it was
        # counted from the response, views went stale between held polls.
        relay = self.start()
        self.post_view(relay, update(6, fresh_for=30.0))
        found = self.poll(relay, 6, wait_ms=2000).unwrap()
        # From the response on, at most 28.0 s would be left.
        self.assertGreater(found.fresh_for, 28.5)

    def test_a_view_that_went_stale_while_a_poll_was_held_is_not_fresh(self) -> None:
        relay = self.start()
        self.post_view(relay, update(6, fresh_for=0.3))
        found = self.poll(relay, 6, wait_ms=600).unwrap()
        self.assertEqual(found.fresh_for, 0.0)

    def test_an_older_view_neither_replaces_nor_refreshes(self) -> None:
        relay = self.start(update(5))
        self.post_view(relay, update(4))
        found = self.poll(relay, 0).unwrap()
        self.assertEqual((found.revision, found.fresh_for), (5, 0.0))

    def test_each_new_view_is_stored_in_full(self) -> None:
        relay = self.start()
        self.post_view(relay, update(6))
        stored = self.file.get(LONG).unwrap()
        assert isinstance(stored, StoreView)
        found = decode_update(stored.data).unwrap()
        self.assertEqual((found.revision, len(found.boots)), (6, 1))

    def test_huge_numbers_in_a_poll_do_not_end_the_task(self) -> None:
        # Such a poll ended the thread, and the relay stopped serving views.
        relay = self.start(update(5))
        for digits in (400, 5_000):
            number = "9" * digits
            for query in (f"after={number}&wait_ms=0", f"after=5&wait_ms={number}"):
                with self.subTest(digits=digits), LightClient() as client:
                    target = f"/v1/view?{query}"
                    response = client.get(relay.endpoint, target, LONG, LONG)
                    self.assertEqual(response, Failure("status 400"))
        self.assertEqual(self.poll(relay, 0).unwrap().revision, 5)

    def test_malformed_polls_are_refused(self) -> None:
        relay = self.start(update(5))
        with LightClient() as client:
            for target, status in (
                ("/v1/view", 400),
                ("/v1/view?after=x&wait_ms=0", 400),
                ("/v1/other", 404),
            ):
                response = client.get(relay.endpoint, target, LONG, LONG)
                self.assertEqual(response, Failure(f"status {status}"))


def send_slowly(listener: socket.socket, done: threading.Event) -> None:
    """Accept one connection and respond to its poll with a byte every 0.2 s."""
    connection, _ = listener.accept()
    with connection, suppress(OSError):
        connection.recv(4096)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n")
        while not done.wait(0.2):
            connection.sendall(b" ")


NO_MORE_POLLS = 2.0
"""Seconds without a poll after which a stand-in of a source ends."""


def send_in_halves(listener: socket.socket, body: bytes, pause: float) -> None:
    """Respond to polls one by one, the second half of each body after a pause."""
    half = len(body) // 2
    listener.settimeout(NO_MORE_POLLS)
    while True:
        try:
            connection, _ = listener.accept()
        except TimeoutError:
            return
        with connection, suppress(OSError):
            connection.recv(4096)
            header = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            connection.sendall(header.encode() + body[:half])
            time.sleep(pause)
            connection.sendall(body[half:])


class Followers(RelayCase):
    """Guards against a follower that keeps polling a stale or unreachable source."""

    def test_a_follower_moves_on_from_a_stale_source(self) -> None:
        stale = self.start(update(5))
        fresh = self.start()
        self.post_view(fresh, update(6))
        sources = SourceState(RECIFE, (stale.endpoint, fresh.endpoint))
        received: Mailbox[Any] = Mailbox("received")
        with make_view_follower(sources, received, lambda api: api):
            found = [received.get(LONG).unwrap().update.revision for _ in range(2)]
        self.assertEqual(found, [5, 6])

    def test_only_a_source_with_a_current_view_is_asked_to_hold_polls(self) -> None:
        # Each source that was not current held the polls of a search for 0.5 s.
        views = [update(6, 0.0)] * 3 + [update(6)]
        recorders = [self.enterContext(PollRecorder(served)) for served in views]
        *not_current, current = recorders
        sources = SourceState(RECIFE, tuple(r.endpoint for r in recorders))
        received: Mailbox[Any] = Mailbox("received")
        with make_view_follower(sources, received, lambda api: api):
            while len(current.waits) < 3:
                received.get(LONG).unwrap()
        for recorder in not_current:
            self.assertEqual(set(recorder.waits), {0})
        self.assertEqual(current.waits[0], 0)
        self.assertIn(round(POLL_WAIT * 1000), current.waits)

    def test_a_follower_leaves_a_source_whose_response_trickles(self) -> None:
        # A slow source held the follower for as long as each byte came in time.
        listener = self.enterContext(socket.create_server((ANY_PORT.address, 0)))
        done = threading.Event()
        trickle = threading.Thread(target=send_slowly, args=(listener, done))
        trickle.start()
        self.addCleanup(trickle.join)
        self.addCleanup(done.set)
        current = self.start()
        self.post_view(current, update(6))
        slow = Endpoint(*listener.getsockname())
        sources = SourceState(RECIFE, (slow, current.endpoint))
        received: Mailbox[Any] = Mailbox("received")
        with make_view_follower(sources, received, lambda api: api):
            found = received.get(LONG)
        self.assertEqual(found.unwrap().update.revision, 6)

    def test_a_follower_with_a_slow_link_receives_its_view(self) -> None:
        # With the same timeout for each poll, it would never have the whole view.
        listener = self.enterContext(socket.create_server((ANY_PORT.address, 0)))
        body = encode_update(update(6))
        serving = threading.Thread(target=send_in_halves, args=(listener, body, 0.6))
        serving.start()
        self.addCleanup(serving.join)
        sources = SourceState(RECIFE, (Endpoint(*listener.getsockname()),))
        received: Mailbox[Any] = Mailbox("received")
        timeout = "wasabigw.tasks.view_follower.RESPONSE_TIMEOUT"
        with (
            mock.patch(timeout, Seconds(0.4)),
            make_view_follower(sources, received, lambda api: api),
        ):
            found = received.get(LONG)
        self.assertEqual(found.unwrap().update.revision, 6)

    def test_a_follower_stops_while_its_source_holds_polls(self) -> None:
        # Stops took 5 s, and balancers were killed at the end of their grace period.
        holding = self.start()
        self.post_view(holding, update(6))
        received: Mailbox[Any] = Mailbox("received")
        sources = SourceState(RECIFE, (holding.endpoint,))
        with make_view_follower(sources, received, lambda api: api):
            for _ in range(2):
                received.get(LONG).unwrap()
            started = monotonic()
        self.assertLess(monotonic() - started, POLL_WAIT + READ_MARGIN + SHORT)

    def test_a_follower_uses_seeds_of_changed_settings(self) -> None:
        # Without this, a process whose first seeds are gone never gets a view.
        gone = Endpoint("127.0.0.1", 1)
        fresh = self.start()
        self.post_view(fresh, update(6))
        received: Mailbox[Any] = Mailbox("received")
        sources = SourceState(RECIFE, (gone,))
        with make_view_follower(sources, received, lambda api: api) as follower:
            self.assertIsInstance(received.get(SHORT), Failure)
            follower.mailbox.post(SeedsChanged((fresh.endpoint,)))
            found = received.get(LONG).unwrap()
        self.assertEqual(found.update.revision, 6)


def may_poll_again(response: Any, was_slow: bool) -> bool:
    """Whether nobody listens yet, or a slow client was given up before it polled."""
    if isinstance(response, Success):
        return False
    reason = response.failure()
    if "refused" in reason.lower():
        return True
    return was_slow and reason != "timed out" and not reason.startswith("status ")


class StoredViews(unittest.TestCase):
    """Guards against balancers that wait for a relay to load after a power loss."""

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.now = 0.0

    def store(self, data: bytes) -> None:
        Path(self.folder, VIEW_FILE_NAME).write_bytes(data)

    def serve(self) -> Endpoint:
        """Serve the stored view until the test ends; returns its endpoint.

        The clock of the server stands still meanwhile, because a test that waits for
        a processor would otherwise ask a server that has ended.
        """
        clock = mock.Mock(monotonic=lambda: self.now)
        self.enterContext(mock.patch.object(stored_view, "time", clock))
        with socket.create_server((ANY_PORT.address, 0)) as free:
            server = Endpoint(*free.getsockname())
        serving = threading.Thread(
            target=serve_stored_view,
            args=(server.address, server.port, self.folder, LONG),
        )
        serving.start()
        self.addCleanup(self.end, server, serving)
        return server

    def end(self, server: Endpoint, serving: threading.Thread) -> None:
        """Let the time of a server end, and wake it up."""
        self.now = LONG
        with suppress(OSError):
            socket.create_connection((server.address, server.port)).close()
        serving.join()

    def get(self, client: LightClient, server: Endpoint, target: str) -> Any:
        """Response of the server; retries while it does not listen yet.

        The server closes the connection of a client that is slow to send its poll.
        Such a client polls again.
        """
        until = monotonic() + LONG
        while (started := monotonic()) < until:
            response = client.get(server, target, SHORT, LONG)
            was_slow = monotonic() - started >= CLIENT_TIMEOUT
            if not may_poll_again(response, was_slow):
                return response
        return self.fail("the server did not listen")

    def test_a_poll_gets_the_stored_view_but_not_as_fresh(self) -> None:
        self.store(encode_update(update(7, 0.0)))
        with LightClient() as client:
            target = f"{VIEW_PATH}?after=0&wait_ms=0"
            response = self.get(client, self.serve(), target)
        found = response.bind(decode_update).unwrap()
        self.assertEqual((found.revision, found.fresh_for), (7, 0.0))

    def test_other_requests_get_404(self) -> None:
        self.store(encode_update(update(7, 0.0)))
        with LightClient() as client:
            response = self.get(client, self.serve(), "/v1/other")
        self.assertEqual(response, Failure("status 404"))

    def test_a_silent_client_does_not_block_others(self) -> None:
        self.store(encode_update(update(7, 0.0)))
        server = self.serve()
        with LightClient() as client:
            self.get(client, server, "/v1/other")
            silent = socket.create_connection((server.address, server.port))
            self.addCleanup(silent.close)
            response = self.get(client, server, f"{VIEW_PATH}?after=0&wait_ms=0")
        self.assertIsInstance(response, Success)
        self.assertLess(CLIENT_TIMEOUT, SHORT)

    def test_the_server_ends_after_its_time(self) -> None:
        self.store(encode_update(update(7, 0.0)))
        with socket.create_server((ANY_PORT.address, 0)) as free:
            address, port = free.getsockname()
        self.assertEqual(serve_stored_view(address, port, self.folder, SHORT), 0)

    def test_returns_immediately_without_a_stored_view_or_the_port(self) -> None:
        address = ANY_PORT.address
        self.assertEqual(serve_stored_view(address, 0, self.folder, LONG), 0)
        self.store(b"")
        self.assertEqual(serve_stored_view(address, 0, self.folder, LONG), 0)
        self.store(encode_update(update(7, 0.0)))
        with socket.create_server((address, 0)) as taken:
            port = taken.getsockname()[1]
            self.assertEqual(serve_stored_view(address, port, self.folder, LONG), 0)

    def test_only_modules_that_load_fast_are_imported(self) -> None:
        # Each import delays the first response to a balancer.
        script = (
            "import sys; import wasabigw.tasks.stored_view; "
            "print([n for n in ('returns', 'msgspec', 'h11', 'dataclasses', 'json')"
            " if n in sys.modules])"
        )
        done = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, text=True, check=True
        )
        self.assertEqual(done.stdout.strip(), "[]")


class ViewFiles(unittest.TestCase):
    """Guards against a relay that fails to start because of its view file."""

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def test_a_view_is_read_back(self) -> None:
        folder = os.path.join(self.folder, "new")
        data = encode_update(update(7))
        with make_view_file(folder) as file:
            file.mailbox.post(StoreView(data))
        self.assertEqual(read_view_file(folder), Success(update(7)))

    def test_a_missing_or_corrupt_file_is_a_failure(self) -> None:
        self.assertIsInstance(read_view_file(self.folder), Failure)
        Path(self.folder, "view.json").write_bytes(b'{"revision": 3')
        self.assertIsInstance(read_view_file(self.folder), Failure)


if __name__ == "__main__":
    unittest.main()
