"""Connection attempts of a balancer, as ``wasabigw.tasks.host_checker`` makes them."""

from collections.abc import Callable
from dataclasses import dataclass, field

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.tags.liveness.host_checks import (
    ATTEMPT_INTERVAL,
    ATTEMPTS,
    RESPONSE_TIME,
    Attempt,
    CheckAttempts,
    HostCheck,
    HostChecked,
    Reference,
    attempts_by_group,
    status_of,
)
from wasabigw_verify.evidence_model.clock import Callback, Clock

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
    next_at: Seconds
    connections: list[Connection] = field(default_factory=list)
    references: list[tuple[Reference, Connection]] = field(default_factory=list)
    unused: list[Connection] = field(default_factory=list)

    @property
    def is_reachable(self) -> bool:
        """Whether the host has accepted a connection."""
        return any(c.attempt is Attempt.ACCEPTED for c in self.connections)

    def attempts(self) -> CheckAttempts:
        """States of all attempts so far."""
        return attempts_by_group(
            self.check,
            [connection.attempt for connection in self.connections],
            [(to, connection.attempt) for to, connection in self.references],
            [connection.attempt for connection in self.unused],
        )


class HostChecker:
    """Makes the attempts of checks.

    :param when_running: runs a callback when the process runs.
    :param handover_time: seconds until a request reaches the task that connects.
    :param report: takes the results.
    """

    def __init__(
        self,
        clock: Clock,
        connect: Connect,
        when_running: Callable[[Callback], None],
        report: Callable[[HostChecked, HostCheck], None],
        handover_time: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._connect = connect
        self._when_running = when_running
        self._report = report
        self._handover_time = handover_time
        self._running: list[RunningCheck] = []

    def start(self, check: HostCheck) -> None:
        """Begin a check as soon as the task takes its request."""
        self._clock.after(
            self._handover_time(),
            lambda: self._when_running(lambda: self._begin(check)),
        )

    def _begin(self, check: HostCheck) -> None:
        running = RunningCheck(check, self._clock.now, self._clock.now)
        self._running.append(running)
        self._continue(running)

    def _continue(self, running: RunningCheck) -> None:
        if running.is_reachable:
            self._finish(running)
        elif len(running.connections) < ATTEMPTS:
            self._make_round(running)
            self._wait(running)
        else:
            self._finish(running)

    def _make_round(self, running: RunningCheck) -> None:
        check, number = running.check, len(running.connections)
        running.connections.append(Connection(check.endpoint, self._connect))
        for to in check.references_in_round(number):
            running.references.append((to, Connection(to.endpoint, self._connect)))
        for endpoint in check.unused_in_round(number):
            running.unused.append(Connection(endpoint, self._connect))

    def _wait(self, running: RunningCheck) -> None:
        is_last = len(running.connections) == ATTEMPTS
        delay = RESPONSE_TIME if is_last else ATTEMPT_INTERVAL
        running.next_at = Seconds(self._clock.now + delay)
        self._clock.after(
            delay,
            lambda: self._when_running(lambda: self._continue(running)),
        )

    def _finish(self, running: RunningCheck) -> None:
        self._running.remove(running)
        lateness = Seconds(self._clock.now - running.next_at)
        status = status_of(running.check, running.attempts(), lateness)
        now = self._clock.now
        tag, started_at = running.check.tag, running.started_at
        is_refused = Attempt.REFUSED in running.attempts().host
        result = HostChecked(tag, status, started_at, now, is_refused)
        self._report(result, running.check)
