"""Responses that arrive twice or late on a connection that is used again."""

import re
import selectors
import socket
import threading
import unittest
from collections.abc import Callable
from typing import Any

import cherrypy
import requests
from returns.result import Failure, Success

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.request_number import REQUEST_NUMBER
from wasabigw.tasks.http_server import make_http_server
from wasabigw.tasks.light_http import LightClient, LightRequest, LightServer
from wasabigw.tasks.peer_session import PeerSession

TIMEOUT = Seconds(2.0)
_NUMBER = re.compile(rb"(?im)^request-number: (\d+)")


class RepeatingServer:
    """Answers the first request on a connection twice, the second time late.

    The second copy leaves when the next request has arrived, ahead of its response.

    :param numbered: whether responses carry the number of their request.
    """

    def __init__(self, numbered: bool) -> None:
        self._numbered = numbered
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    @property
    def endpoint(self) -> Endpoint:
        return Endpoint(*self._socket.getsockname())

    def close(self) -> None:
        self._socket.close()
        self._thread.join(TIMEOUT)

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            with connection:
                connection.settimeout(TIMEOUT)
                self._answer(connection)

    def _answer(self, connection: socket.socket) -> None:
        copy = b""
        while request := self._receive(connection):
            path = request.split(b" ", 2)[1]
            response = self._response(path, _NUMBER.search(request))
            connection.sendall(copy + response)
            copy = response

    @staticmethod
    def _receive(connection: socket.socket) -> bytes:
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                received = connection.recv(4096)
                if not received:
                    return b""
                data += received
        except OSError:
            return b""
        return data

    def _response(self, path: bytes, number: re.Match[bytes] | None) -> bytes:
        headers = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(path)
        if self._numbered and number is not None:
            headers += b"Request-Number: " + number[1] + b"\r\n"
        return headers + b"\r\n" + path


class Clients(unittest.TestCase):
    """Guards against the response to an earlier request taken for the present one.

    A late copy of a view would count as current from the time of the new poll on.
    """

    def server(self, numbered: bool = True) -> Endpoint:
        server = RepeatingServer(numbered)
        self.addCleanup(server.close)
        return server.endpoint

    def check(self, get: Callable[[str], bytes | None]) -> None:
        bodies = [get(path) for path in ("/first", "/second", "/third")]
        for path, body in zip((b"/first", b"/second", b"/third"), bodies, strict=True):
            self.assertIn(body, (path, None))
        self.assertEqual(bodies[0], b"/first")
        # The connection was closed, so that the next request has a new one.
        self.assertEqual(bodies[2], b"/third")

    def test_polls_for_views(self) -> None:
        endpoint = self.server()
        with LightClient() as client:

            def get(path: str) -> bytes | None:
                outcome = client.get(endpoint, path, TIMEOUT, TIMEOUT)
                return outcome.unwrap() if isinstance(outcome, Success) else None

            self.check(get)

    def test_sessions_between_control_vms(self) -> None:
        endpoint = self.server()
        session = PeerSession()
        self.addCleanup(session.close)

        def get(path: str) -> bytes | None:
            try:
                return session.post(endpoint, path, b"", TIMEOUT, TIMEOUT).content
            except requests.RequestException:
                session.close()
                return None

        self.check(get)

    def test_servers_of_older_versions_return_no_number(self) -> None:
        endpoint = self.server(numbered=False)
        with LightClient() as client:
            first = client.get(endpoint, "/first", TIMEOUT, TIMEOUT)
        self.assertEqual(first, Success(b"/first"))


class Servers(unittest.TestCase):
    """Guards against servers that return no number or a wrong one."""

    def get(self, endpoint: Endpoint, number: str) -> str | None:
        response = requests.get(
            f"http://{endpoint.address}:{endpoint.port}/",
            headers={REQUEST_NUMBER: number},
            timeout=TIMEOUT,
        )
        return response.headers.get(REQUEST_NUMBER)

    def test_cherrypy_servers(self) -> None:
        root: Any = type("Root", (), {"exposed": True, "GET": lambda _: b"x"})()
        server = make_http_server("test", Endpoint("127.0.0.1", 0), root, 100)
        with server:
            self.assertEqual(self.get(server.endpoint, "17"), "17")
            self.assertIsNone(self.get(server.endpoint, "no number"))
        cherrypy.log.access_log.propagate = False

    def test_servers_on_the_selector_of_a_task(self) -> None:
        selector = selectors.DefaultSelector()

        def handle(request: LightRequest) -> None:
            request.connection.respond(200, b"x")

        server = LightServer(Endpoint("127.0.0.1", 0), selector, handle)
        stop = threading.Event()

        def run() -> None:
            while not stop.is_set():
                for key, events in selector.select(0.05):
                    key.data(events)

        with server:
            thread = threading.Thread(target=run)
            thread.start()
            try:
                self.assertEqual(self.get(server.endpoint, "17"), "17")
                with LightClient() as client:
                    for _ in range(3):
                        got = client.get(server.endpoint, "/", TIMEOUT, TIMEOUT)
                        self.assertEqual(got, Success(b"x"))
            finally:
                stop.set()
                thread.join()
        selector.close()


class BrokenOff(unittest.TestCase):
    """Guards against a response that ends early and is taken for a whole one."""

    def serve_once(self, response: bytes) -> Endpoint:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(4096)
                connection.sendall(response)

        threading.Thread(target=serve, daemon=True).start()
        return Endpoint(*listener.getsockname())

    def test_a_short_body_is_an_error(self) -> None:
        for headers in (b"Content-Length: 9\r\n", b"Transfer-Encoding: chunked\r\n"):
            with self.subTest(headers=headers):
                body = b"5\r\nhel" if b"chunked" in headers else b"hel"
                response = b"HTTP/1.1 200 OK\r\n" + headers + b"\r\n" + body
                endpoint = self.serve_once(response)
                with LightClient() as client:
                    outcome = client.get(endpoint, "/", TIMEOUT, TIMEOUT)
                self.assertIsInstance(outcome, Failure)
                session = PeerSession()
                self.addCleanup(session.close)
                with self.assertRaises(requests.RequestException):
                    session.post(self.serve_once(response), "/", b"", TIMEOUT, TIMEOUT)


if __name__ == "__main__":
    unittest.main()
