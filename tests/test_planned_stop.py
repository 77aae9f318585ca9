"""HTTP servers that stop while they handle requests."""

import socket
import threading
import time
import unittest
from typing import Any

import requests

from wasabigw.core.endpoint import Endpoint
from wasabigw.tasks.http_server import HttpServer, make_http_server

HANDLER_SECONDS = 0.3
REQUESTS = 8
TIMEOUT = 5.0


class SlowResource:
    """Takes some time for each request."""

    exposed = True

    def __init__(self) -> None:
        self.started = threading.Semaphore(0)
        self.finished = 0

    def GET(self) -> bytes:  # noqa: N802
        """Respond after a pause."""
        self.started.release()
        time.sleep(HANDLER_SECONDS)
        self.finished += 1
        return b"done"


class PlannedStop(unittest.TestCase):
    """Guards against requests that were accepted and get no answer at a stop."""

    def setUp(self) -> None:
        self.resource = SlowResource()
        root: Any = self.resource
        self.server: HttpServer = make_http_server(
            "stopping", Endpoint("127.0.0.1", 0), root, 100
        )
        self.server.__enter__()
        self.outcomes: list[str] = []

    def request(self) -> None:
        endpoint = self.server.endpoint
        try:
            response = requests.get(
                f"http://{endpoint.address}:{endpoint.port}/", timeout=TIMEOUT
            )
            self.outcomes.append(response.text)
        except requests.RequestException as error:
            self.outcomes.append(type(error).__name__)

    def test_requests_that_are_handled_are_finished(self) -> None:
        threads = [threading.Thread(target=self.request) for _ in range(REQUESTS)]
        for thread in threads:
            thread.start()
        for _ in threads:
            self.assertTrue(self.resource.started.acquire(timeout=TIMEOUT))
        self.server.__exit__(None, None, None)
        for thread in threads:
            thread.join()
        self.assertEqual(self.outcomes, ["done"] * REQUESTS)

    def test_connections_that_have_not_been_read_are_answered_or_refused(self) -> None:
        # More requests than threads: some wait in the queue of the server.
        threads = [threading.Thread(target=self.request) for _ in range(4 * REQUESTS)]
        for thread in threads:
            thread.start()
        self.assertTrue(self.resource.started.acquire(timeout=TIMEOUT))
        self.server.__exit__(None, None, None)
        for thread in threads:
            thread.join()
        answered = self.outcomes.count("done")
        self.assertEqual(answered, self.resource.finished, self.outcomes)

    def test_a_stopped_server_refuses_connections(self) -> None:
        endpoint = self.server.endpoint
        self.server.__exit__(None, None, None)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((endpoint.address, endpoint.port), TIMEOUT)


if __name__ == "__main__":
    unittest.main()
