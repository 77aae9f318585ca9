"""Connection attempts of a balancer, as ``wasabigw.tasks.host_checker`` makes them."""

from collections.abc import Callable
from dataclasses import dataclass, field

from tests.evidence_model.clock import Callback, Clock
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.tags.host_checks import (
    ATTEMPT_INTERVAL,
    ATTEMPTS,
    CHECK_DURATION,
    Attempt,
    HostCheck,
    HostChecked,
    status_of,
)

MAX_RUNNING_CHECKS = 8

Respond = Callable[[Attempt], None]
Connect = Callable[[Endpoint, Respond], bool]
"""Tries to connect; calls back with the response, if there is one.

``False`` if no attempt can be made.
"""


class Connection:
    """A connection attempt."""

    def __init__(self, target: Endpoint, connect: Connect) -> None:
        self.attempt = Attempt.PENDING
        if not connect(target, self._answer):
            self.attempt = Attempt.FAILED

    def _answer(self, response: Attempt) -> None:
        if self.attempt is Attempt.PENDING:
            self.attempt = response


@dataclass(slots=True, eq=False)
class RunningCheck:
    """The connections of a check."""

    check: HostCheck
    started_at: Seconds
    connections: list[Connection] = field(default_factory=list)
    references: list[Connection] = field(default_factory=list)

    @property
    def is_reachable(self) -> bool:
        """Whether the host has accepted a connection."""
        return any(c.attempt is Attempt.ACCEPTED for c in self.connections)


class HostChecker:
    """Makes the attempts of checks.

    :param when_running: runs a callback when the process runs.
    :param report: takes the results.
    """

    def __init__(
        self,
        clock: Clock,
        connect: Connect,
        when_running: Callable[[Callback], None],
        report: Callable[[HostChecked], None],
    ) -> None:
        self._clock = clock
        self._connect = connect
        self._when_running = when_running
        self._report = report
        self._running: list[RunningCheck] = []

    def start(self, check: HostCheck) -> None:
        """Begin a check."""
        if len(self._running) < MAX_RUNNING_CHECKS:
            running = RunningCheck(check, self._clock.now)
            self._running.append(running)
            self._continue(running)

    def _continue(self, running: RunningCheck) -> None:
        if running.is_reachable:
            self._finish(running)
        elif len(running.connections) < ATTEMPTS:
            for target in running.check.references:
                running.references.append(Connection(target, self._connect))
            target = running.check.endpoint
            running.connections.append(Connection(target, self._connect))
            self._wait(running)
        else:
            self._finish(running)

    def _wait(self, running: RunningCheck) -> None:
        made = len(running.connections)
        delay = made * ATTEMPT_INTERVAL if made < ATTEMPTS else CHECK_DURATION
        self._clock.after(
            running.started_at + delay - self._clock.now,
            lambda: self._when_running(lambda: self._continue(running)),
        )

    def _finish(self, running: RunningCheck) -> None:
        self._running.remove(running)
        late = Seconds(self._clock.now - running.started_at - CHECK_DURATION)
        status = status_of(
            [connection.attempt for connection in running.connections],
            [connection.attempt for connection in running.references],
            late,
        )
        self._report(HostChecked(running.check.tag, status, running.started_at))
