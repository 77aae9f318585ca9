"""Task that checks by connection attempts whether hosts can be reached."""

import errno
import selectors
import socket
from collections import Counter
from functools import singledispatchmethod
from typing import Any

from wasabigw.core.endpoint import Endpoint, endpoint_key
from wasabigw.core.ids import Seconds
from wasabigw.core.tags.host_checks import (
    ATTEMPT_INTERVAL,
    ATTEMPTS,
    CHECK_DURATION,
    Attempt,
    HostCheck,
    HostChecked,
    HostStatus,
    status_of,
)
from wasabigw.runtime.mailbox import Mailbox, SelectableMailbox
from wasabigw.runtime.selector_task import SelectorTask
from wasabigw.runtime.task import Stop
from wasabigw.runtime.timer import monotonic
from wasabigw.telemetry.events_flow import FlowEvent
from wasabigw.telemetry.log_events import log

MAX_RUNNING_CHECKS = 8
"""Maximum number of checks at a time; others are skipped until callers retransmit."""
_RESULTS = {
    0: Attempt.ACCEPTED,
    errno.ECONNREFUSED: Attempt.REFUSED,
    errno.ECONNRESET: Attempt.REFUSED,
    errno.ETIMEDOUT: Attempt.PENDING,
}
"""States of attempts that have ended, by error number; others were not made."""
_IN_PROGRESS = frozenset((errno.EINPROGRESS, errno.EWOULDBLOCK))


class _Connection:
    """A connection attempt, closed as soon as there is a response."""

    def __init__(self, target: Endpoint, selector: selectors.BaseSelector) -> None:
        self.attempt = Attempt.PENDING
        self._selector = selector
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        error = self._socket.connect_ex((target.address, target.port))
        if error in _IN_PROGRESS:
            selector.register(self._socket, selectors.EVENT_WRITE, self._on_ready)
        else:
            self._end(error)

    def close(self) -> None:
        """Give up the attempt."""
        if self._socket.fileno() >= 0:
            self._end(errno.ETIMEDOUT)

    def _on_ready(self, _events: int) -> None:
        self._end(self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def _end(self, error: int) -> None:
        self.attempt = _RESULTS.get(error, Attempt.FAILED)
        if self._socket in self._selector.get_map():
            self._selector.unregister(self._socket)
        self._socket.close()


class _RunningCheck:
    """The connections of a check."""

    def __init__(self, check: HostCheck, now: Seconds) -> None:
        self.check = check
        self.started_at = now
        self.connections: list[_Connection] = []
        self.references: list[_Connection] = []

    @property
    def next_at(self) -> Seconds:
        """When the next attempts, or the result, are due."""
        made = len(self.connections)
        delay = made * ATTEMPT_INTERVAL if made < ATTEMPTS else CHECK_DURATION
        return Seconds(self.started_at + delay)

    @property
    def is_reachable(self) -> bool:
        """Whether the host has accepted a connection."""
        return any(c.attempt is Attempt.ACCEPTED for c in self.connections)

    def connect(self, selector: selectors.BaseSelector) -> None:
        """Make one attempt to each host."""
        for target in self.check.references:
            self.references.append(_Connection(target, selector))
        self.connections.append(_Connection(self.check.endpoint, selector))

    def status(self, now: Seconds) -> HostStatus:
        """Result of the check."""
        return status_of(
            [connection.attempt for connection in self.connections],
            [connection.attempt for connection in self.references],
            Seconds(now - self.started_at - CHECK_DURATION),
        )

    def close(self) -> None:
        """Give up the attempts that have no response."""
        for connection in (*self.connections, *self.references):
            connection.close()


class HostChecker(SelectorTask[HostCheck]):
    """Makes the connection attempts of checks and posts their results.

    :param results: mailbox of the task that requested the checks.
    """

    def __init__(
        self,
        mailbox: SelectableMailbox[HostCheck | Stop],
        results: Mailbox[Any],
    ) -> None:
        super().__init__("host checks", mailbox)
        self._results = results
        self._running: list[_RunningCheck] = []
        self._resources.callback(self._close_all)

    @singledispatchmethod
    def receive(self, message: HostCheck) -> None:
        """Begin a check."""
        raise TypeError(f"unsupported message type: {type(message).__name__}")

    @receive.register
    def _(self, message: HostCheck) -> None:
        if len(self._running) < MAX_RUNNING_CHECKS:
            self._running.append(_RunningCheck(message, monotonic()))

    def _time_to_next(self) -> Seconds | None:
        if not self._running:
            return None
        due = min(running.next_at for running in self._running)
        return Seconds(max(0.0, due - monotonic()))

    def _handle_due(self) -> None:
        now = monotonic()
        for running in tuple(self._running):
            if running.is_reachable:
                self._finish(running, now)
            elif running.next_at <= now:
                self._continue(running, now)

    def _continue(self, running: _RunningCheck, now: Seconds) -> None:
        if len(running.connections) < ATTEMPTS:
            running.connect(self._selector)
        else:
            self._finish(running, now)

    def _finish(self, running: _RunningCheck, now: Seconds) -> None:
        self._running.remove(running)
        status = running.status(now)
        running.close()
        check = running.check
        log(
            FlowEvent.HOST_CHECKED,
            tag=check.tag,
            endpoint=endpoint_key(check.endpoint),
            status=status.value,
            attempts=_text_of(running.connections),
            reference_attempts=_text_of(running.references),
            seconds=round(now - running.started_at, 3),
            references=", ".join(map(endpoint_key, check.references)),
        )
        self._results.post(HostChecked(check.tag, status, running.started_at))

    def _close_all(self) -> None:
        for running in self._running:
            running.close()


def _text_of(connections: list[_Connection]) -> str:
    counts = Counter(connection.attempt.value for connection in connections)
    return ", ".join(f"{count} {state}" for state, count in sorted(counts.items()))


def make_host_checker(results: Mailbox[Any]) -> HostChecker:
    """Create the task; entering its context starts it."""
    return HostChecker(SelectableMailbox("host checks"), results)
