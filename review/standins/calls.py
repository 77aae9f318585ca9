"""Calls of the operator and of servers to the control plane."""

import http.client
import json
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

CALL_TIMEOUT_S = 1.0
MAX_REDIRECTS = 2


@dataclass(frozen=True)
class Answer:
    """Status and body of an answer; status 0 if there was none."""

    status: int
    body: bytes = b""

    @property
    def is_success(self) -> bool:
        """Whether the call was acknowledged."""
        return 200 <= self.status < 300


def call(
    address: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer:
    """Call one node and follow a 307 twice."""
    data = json.dumps(body).encode() if body is not None else None
    headers = {"Content-Type": "application/json"} if data is not None else {}
    for _ in range(MAX_REDIRECTS + 1):
        connection = http.client.HTTPConnection(address, port, timeout=timeout_s)
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            answer = Answer(response.status, response.read())
            location = response.getheader("Location", "")
        except (OSError, http.client.HTTPException):
            return Answer(0)
        finally:
            connection.close()
        if answer.status != 307:
            return answer
        target = urlsplit(location)
        address, port = str(target.hostname), int(target.port or 80)
    return answer


def order(
    addresses: Sequence[str],
    port: int,
    method: str,
    path: str,
    body: Any = None,
    limit_s: float = 5.0,
) -> Answer:
    """Send an order to one node after the other until there is a clear answer."""
    until = time.monotonic() + limit_s
    answer, number, delay = Answer(0), 0, 0.1
    while time.monotonic() < until:
        answer = call(addresses[number % len(addresses)], port, method, path, body)
        if answer.is_success or answer.status in (400, 409, 412, 413, 422):
            return answer
        number += 1
        time.sleep(delay)
        delay = min(2 * delay, 0.8)
    return answer


class Heartbeat:
    """Reports one server at the control plane about every heartbeat interval.

    :param body: fields of the report but ``sequence``.
    """

    def __init__(
        self,
        name: str,
        body: dict[str, Any],
        addresses: Sequence[str],
        port: int,
        interval_s: float,
    ) -> None:
        self.name = name
        self.body = body
        self.answers: list[tuple[float, str, int]] = []
        self._addresses = list(addresses)
        self._port = port
        self._interval_s = interval_s
        self._sequence = 0
        self._node = hash(name) % len(self._addresses)
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to report."""
        self._thread.start()

    def stop(self) -> None:
        """Report no more."""
        self._stopped.set()
        self._thread.join()

    def report(self, **changes: Any) -> float | None:
        """Report now; returns when it was acknowledged, or ``None``."""
        with self._lock:
            self.body.update(changes)
            for _ in range(2 * len(self._addresses)):
                self._sequence += 1
                address = self._addresses[self._node]
                body = {**self.body, "sequence": self._sequence}
                path = f"/instances/{self.name}"
                answer = call(address, self._port, "PUT", path, body)
                now = time.monotonic()
                self.answers.append((now, str(body["state"]), answer.status))
                if answer.is_success:
                    return now
                self._node = (self._node + 1) % len(self._addresses)
            return None

    def _run(self) -> None:
        while not self._stopped.wait(self._interval_s):
            self.report()
