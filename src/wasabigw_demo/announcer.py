"""Task that announces a backend server to the balancers of its failure domain."""

import threading
from collections.abc import Sequence
from functools import singledispatchmethod
from typing import Any
from urllib.parse import urlsplit

import requests
from absl import logging

from wasabigw.codec import messages
from wasabigw.core.cluster import Endpoint
from wasabigw.core.log_messages import Announcement
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Task
from wasabigw_demo.server_app import AnnouncementResult, Left

TIMEOUT = (0.5, 1.5)
"""Connect and read timeout of an announcement in seconds."""


class Announcer(Task[Any]):
    """Sends announcements, follows redirects, and tries the other balancers.

    :param balancers: HTTP endpoints of the balancers of the failure domain.

    """

    def __init__(self, balancers: Sequence[Endpoint]) -> None:
        super().__init__("announcer", Mailbox("announcer"))
        self._balancers = [f"{b.address}:{b.port}" for b in balancers]
        self._preferred = self._balancers[0]
        self._results: Mailbox[Any] | None = None
        self._left = threading.Event()

    def report_to(self, results: Mailbox[Any]) -> None:
        """Set the mailbox that receives the results, before the task starts."""
        self._results = results

    @property
    def left(self) -> threading.Event:
        """Set once the announcement that the server leaves has been sent."""
        return self._left

    @singledispatchmethod
    def receive(self, message: Any) -> None:
        """Send an announcement, or note that it was the last one."""
        raise TypeError(f"no message for the announcer: {message!r}")

    @receive.register
    def _(self, message: Announcement) -> None:
        result = self._announce(messages.encode(message))
        if not result.accepted:
            logging.warning("announcement of %s: %s", message.id, result.message)
        if self._results is not None:
            self._results.post(result)

    @receive.register
    def _(self, message: Left) -> None:
        self._left.set()

    def _announce(self, body: bytes) -> AnnouncementResult:
        others = [name for name in self._balancers if name != self._preferred]
        result = AnnouncementResult(False, "no balancer is configured")
        for name in [self._preferred, *others]:
            result = self._announce_to(name, body)
            if result.accepted:
                return result
        return result

    def _announce_to(self, name: str, body: bytes) -> AnnouncementResult:
        url = f"http://{name}/v1/announcements"
        headers = {"Content-Type": "application/json"}
        try:
            response = requests.post(url, data=body, headers=headers, timeout=TIMEOUT)
        except requests.RequestException as error:
            # The home that a redirect named may be the one that is gone.
            return AnnouncementResult(False, f"{name}: {type(error).__name__}")
        if response.status_code != requests.codes.ok:
            text = f"{name}: {response.status_code} {response.text[:500]}"
            return AnnouncementResult(False, text)
        self._preferred = urlsplit(response.url).netloc
        return AnnouncementResult(True, response.text[:500])
