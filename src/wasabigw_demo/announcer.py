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
from wasabigw_demo.server_app import AnnouncementResult, AnnouncementsEnded

HTTP_TIMEOUTS = (0.5, 1.5)
"""Connect and read timeouts of an announcement in seconds."""


class Announcer(Task[Any]):
    """Sends announcements, follows redirects, and falls back to other balancers.

    :param balancers: HTTP endpoints of the balancers of the failure domain.
    """

    def __init__(self, balancers: Sequence[Endpoint]) -> None:
        super().__init__("announcer", Mailbox("announcer"))
        self._balancers = [f"{b.address}:{b.port}" for b in balancers]
        self._preferred = self._balancers[0]
        self._results: Mailbox[Any] | None = None
        self._ended = threading.Event()

    def report_to(self, results: Mailbox[Any]) -> None:
        """Set the mailbox for the results; call this before the task starts."""
        self._results = results

    @property
    def ended(self) -> threading.Event:
        """Set once the last announcement, that the server leaves, has been sent."""
        return self._ended

    @singledispatchmethod
    def receive(self, message: Any) -> None:
        """Send an announcement, or note that there are no more."""
        raise TypeError(f"unknown message for the announcer: {message!r}")

    @receive.register
    def _(self, message: Announcement) -> None:
        result = self._announce(messages.encode(message))
        if not result.accepted:
            logging.warning(
                "announcement of %s not accepted: %s", message.id, result.message
            )
        if self._results is not None:
            self._results.post(result)

    @receive.register
    def _(self, message: AnnouncementsEnded) -> None:
        self._ended.set()

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
            response = requests.post(
                url, data=body, headers=headers, timeout=HTTP_TIMEOUTS
            )
        except requests.RequestException as error:
            # The home to which a balancer redirected may have failed.
            return AnnouncementResult(False, f"{name}: {type(error).__name__}")
        if response.status_code != requests.codes.ok:
            text = f"{name}: {response.status_code} {response.text[:500]}"
            return AnnouncementResult(False, text)
        self._preferred = urlsplit(response.url).netloc
        return AnnouncementResult(True, response.text[:500])
