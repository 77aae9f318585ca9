"""What the main thread of a process does while its tasks run: signals and settings."""

import queue
import signal
from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from returns.result import Failure, Result

from wasabigw.core.ids import Seconds
from wasabigw.telemetry.events_daemon import DaemonEvent
from wasabigw.telemetry.log_events import log

Settings = TypeVar("Settings")

CHECK_PERIOD = Seconds(2.0)
"""How often settings are read again, as they may change without a signal."""


class ProcessRequest(Enum):
    """What a signal asks for."""

    STOP = signal.SIGTERM
    RELOAD = signal.SIGHUP


class ProcessRequests:
    """Requests that arrive as signals.

    Signal handlers run in the main thread between two instructions of it, so that they
    must not take a lock that it may hold. The queue is of the kind that allows this.
    """

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[ProcessRequest] = queue.SimpleQueue()

    def install(self) -> None:
        """Take SIGTERM, SIGINT and SIGHUP; only the main thread may call this."""
        for request in ProcessRequest:
            signal.signal(request.value, self._handle)
        signal.signal(signal.SIGINT, lambda *_: self.post(ProcessRequest.STOP))

    def post(self, request: ProcessRequest) -> None:
        """Add a request."""
        self._queue.put(request)

    def next(self, timeout: Seconds) -> ProcessRequest | None:
        """Wait for a request; ``None`` after the time-out."""
        try:
            return self._queue.get(timeout=timeout)
        except queue.Empty:
            return None

    def _handle(self, number: int, _: object) -> None:
        self.post(ProcessRequest(number))


def supervise(
    requests: ProcessRequests,
    read: Callable[[], Result[Settings, str]],
    current: Settings,
    changed: Callable[[Settings], object],
) -> None:
    """Wait until the process is asked to stop, and take over changed settings.

    Settings that can't be read leave those in force that were read before.

    :param read: reads the settings.
    :param current: settings with which the process was started.
    :param changed: called with settings that differ from those before.
    """
    refused: str | None = None
    while (request := requests.next(CHECK_PERIOD)) is not ProcessRequest.STOP:
        outcome = read()
        if isinstance(outcome, Failure):
            reason = outcome.failure()
            if reason != refused or request is ProcessRequest.RELOAD:
                log(DaemonEvent.SETTINGS_REFUSED, reason=reason)
            refused = reason
            continue
        refused = None
        found: Settings = outcome.unwrap()
        if found != current:
            current = found
            log(DaemonEvent.SETTINGS_RELOADED)
            changed(found)
