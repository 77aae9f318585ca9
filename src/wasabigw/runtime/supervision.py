"""Main loop of a process: handles signals and reloads changed settings."""

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
"""Interval at which settings are read, because they may change without a signal."""


class ProcessRequest(Enum):
    """What a signal requests."""

    STOP = signal.SIGTERM
    RELOAD = signal.SIGHUP


class ProcessRequests:
    """Queue of requests that arrive as signals.

    Signal handlers run in the main thread between two bytecode instructions, so that
    they must not acquire a lock that the main thread may hold. ``SimpleQueue.put`` is
    reentrant and may therefore be called from a handler.
    """

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[ProcessRequest] = queue.SimpleQueue()

    def install(self) -> None:
        """Handle SIGTERM, SIGINT and SIGHUP; only the main thread may call this."""
        for request in ProcessRequest:
            signal.signal(request.value, self._handle)
        signal.signal(signal.SIGINT, lambda *_: self.post(ProcessRequest.STOP))

    def post(self, request: ProcessRequest) -> None:
        """Queue a request."""
        self._queue.put(request)

    def next(self, timeout: Seconds) -> ProcessRequest | None:
        """Wait for a request; ``None`` after ``timeout``."""
        try:
            return self._queue.get(timeout=timeout)
        except queue.Empty:
            return None

    def _handle(self, number: int, _: object) -> None:
        self.post(ProcessRequest(number))


def supervise(
    requests: ProcessRequests,
    read_settings: Callable[[], Result[Settings, str]],
    current: Settings,
    on_change: Callable[[Settings], object],
) -> None:
    """Apply changed settings until the process is requested to stop.

    If settings can't be read, the previous ones stay in force.

    :param read_settings: reads the settings.
    :param current: settings with which the process was started.
    :param on_change: called with settings that differ from the previous ones.
    """
    logged_reason: str | None = None
    while (request := requests.next(CHECK_PERIOD)) is not ProcessRequest.STOP:
        outcome = read_settings()
        if isinstance(outcome, Failure):
            reason = outcome.failure()
            if reason != logged_reason or request is ProcessRequest.RELOAD:
                log(DaemonEvent.SETTINGS_REFUSED, reason=reason)
            logged_reason = reason
            continue
        logged_reason = None
        new: Settings = outcome.unwrap()
        if new != current:
            current = new
            log(DaemonEvent.SETTINGS_RELOADED)
            on_change(new)
