"""Task that checks by connection attempts whether hosts can be reached."""

import errno
import selectors
import socket
from collections import Counter
from collections.abc import Sequence
from contextlib import ExitStack
from functools import partial, singledispatchmethod
from typing import Any

from wasabigw.core.endpoint import Endpoint, endpoint_key
from wasabigw.core.ids import Seconds
from wasabigw.core.tags.liveness.host_checks import (
    ATTEMPT_INTERVAL,
    ATTEMPTS,
    RESPONSE_TIME,
    Attempt,
    CheckAttempts,
    HostCheck,
    HostChecked,
    HostStatus,
    Reference,
    attempts_by_group,
    status_of,
)
from wasabigw.runtime.mailbox import Mailbox, SelectableMailbox
from wasabigw.runtime.selector_task import SelectorTask
from wasabigw.runtime.task import Stop
from wasabigw.runtime.timer import monotonic
from wasabigw.telemetry.events_flow import FlowEvent
from wasabigw.telemetry.log_events import log

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
        self._resources = ExitStack()
        try:
            self._connect(target, selector)
        except (OSError, OverflowError):
            # No descriptor is left, or the port is out of range.
            self.attempt = Attempt.FAILED
            self.close()

    def close(self) -> None:
        """Give up the attempt if it has no response."""
        self._resources.close()

    def _connect(self, target: Endpoint, selector: selectors.BaseSelector) -> None:
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._resources.enter_context(connection)
        connection.setblocking(False)
        error = connection.connect_ex((target.address, target.port))
        if error not in _IN_PROGRESS:
            self._end(error)
            return
        selector.register(
            connection, selectors.EVENT_WRITE, partial(self._on_ready, connection)
        )
        self._resources.callback(selector.unregister, connection)

    def _on_ready(self, connection: socket.socket, _events: int) -> None:
        self._end(connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def _end(self, error: int) -> None:
        self.attempt = _RESULTS.get(error, Attempt.FAILED)
        self.close()


class _RunningCheck:
    """The connections of a check."""

    def __init__(self, check: HostCheck, now: Seconds) -> None:
        self.check = check
        self.started_at = now
        self.next_at = now
        self.connections: list[_Connection] = []
        self.references: list[tuple[Reference, _Connection]] = []
        self.unused: list[_Connection] = []

    @property
    def is_reachable(self) -> bool:
        """Whether the host has accepted a connection."""
        return any(c.attempt is Attempt.ACCEPTED for c in self.connections)

    def connect(self, selector: selectors.BaseSelector, now: Seconds) -> None:
        """Make the attempts of one round.

        The checked host comes first: a link that is full loses the last packets of a
        burst, and losses must not be more likely for the checked host.
        """
        number = len(self.connections)
        references = self.check.references_in_round(number)
        self.connections.append(_Connection(self.check.endpoint, selector))
        for reference in references:
            connection = _Connection(reference.endpoint, selector)
            self.references.append((reference, connection))
        for endpoint in self.check.unused_in_round(number):
            self.unused.append(_Connection(endpoint, selector))
        is_last = len(self.connections) == ATTEMPTS
        self.next_at = Seconds(now + (RESPONSE_TIME if is_last else ATTEMPT_INTERVAL))

    def attempts(self) -> CheckAttempts:
        """States of all attempts so far."""
        return attempts_by_group(
            self.check,
            [connection.attempt for connection in self.connections],
            [(to, connection.attempt) for to, connection in self.references],
            [connection.attempt for connection in self.unused],
        )

    def status(self, now: Seconds) -> HostStatus:
        """Result of the check."""
        return status_of(self.check, self.attempts(), Seconds(now - self.next_at))

    def close(self) -> None:
        """Give up the attempts that have no response."""
        for connection in (*self.connections, *self.unused):
            connection.close()
        for _, connection in self.references:
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
            running.connect(self._selector, now)
        else:
            self._finish(running, now)

    def _finish(self, running: _RunningCheck, now: Seconds) -> None:
        self._running.remove(running)
        status = running.status(now)
        running.close()
        check = running.check
        made = running.attempts()
        log(
            FlowEvent.HOST_CHECKED,
            tag=check.tag,
            endpoint=endpoint_key(check.endpoint),
            status=status.value,
            attempts=_text_of(made.host),
            reference_attempts=_text_of((*made.on_path, *made.elsewhere)),
            seconds=round(now - running.started_at, 3),
            references=", ".join(endpoint_key(r.endpoint) for r in check.references),
            failure_domain=check.failure_domain,
            reference_domains=", ".join(r.failure_domain for r in check.references),
            on_path_attempts=_text_of(made.on_path),
            elsewhere_attempts=_text_of(made.elsewhere),
            unused_port_attempts=_text_of(made.unused),
        )
        is_refused = Attempt.REFUSED in made.host
        started_at = running.started_at
        self._results.post(HostChecked(check.tag, status, started_at, now, is_refused))

    def _close_all(self) -> None:
        for running in self._running:
            running.close()


def _text_of(attempts: Sequence[Attempt]) -> str:
    counts = Counter(attempt.value for attempt in attempts)
    return ", ".join(f"{count} {state}" for state, count in sorted(counts.items()))


def make_host_checker(results: Mailbox[Any]) -> HostChecker:
    """Create the task; entering its context starts it."""
    return HostChecker(SelectableMailbox("host checks"), results)
