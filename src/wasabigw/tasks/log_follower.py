"""Task that follows the replicated log by long polling the leader."""

from collections.abc import Sequence
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any

from returns.result import Failure, Success

from wasabigw.codec.log_poll import poll_to_query
from wasabigw.core.cluster import Endpoint, Node
from wasabigw.core.ids import Revision, Seconds
from wasabigw.core.log_messages import LogBatch, LogPoll, NotLeader
from wasabigw.core.states import NodeState
from wasabigw.core.timing import LOG_POLL_WAIT
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Stop, Task
from wasabigw.runtime.timer import monotonic
from wasabigw.tasks.control_client import (
    CallProblem,
    ControlCall,
    ControlClient,
    ProblemKind,
)
from wasabigw.tasks.messages import AppliedRevision, BeginDrain, LogReceived
from wasabigw.tasks.traffic import TrafficMailbox
from wasabigw.telemetry.events_http import HttpEvent
from wasabigw.telemetry.log_events import log

MIN_POLL_INTERVAL = Seconds(0.1)
"""Minimum time between the starts of two polls after a successful one."""
ROUND_PAUSE = Seconds(0.2)
"""Pause after no control endpoint has answered as leader."""
APPLY_TIMEOUT = Seconds(1.0)
"""How long to wait until the packet task has applied a batch."""


FollowerMessage = AppliedRevision | BeginDrain


_LEAST_SPECIFIC_FIRST = (
    ProblemKind.NOT_LEADER,
    ProblemKind.UNREACHABLE,
    ProblemKind.TIMED_OUT,
    ProblemKind.BUSY,
    ProblemKind.REFUSED,
    ProblemKind.MALFORMED,
)
"""Kinds of problems; a later one says more about why no leader was found."""


def _specificity(problem: CallProblem) -> int:
    return _LEAST_SPECIFIC_FIRST.index(problem.kind)


class LogFollower(Task[FollowerMessage]):
    """Polls the leader, posts each batch, and polls again once it has been applied.

    :param node: registration of this balancer, sent with each poll.
    :param packets: mailbox of the packet task.
    """

    def __init__(
        self,
        node: Node,
        endpoints: Sequence[Endpoint],
        packets: Mailbox[Any],
        mailbox: Mailbox[FollowerMessage | Stop],
        traffic: TrafficMailbox,
    ) -> None:
        super().__init__("log-follower", mailbox)
        self._node = node
        self._packets = packets
        self._client = ControlClient(endpoints, traffic)
        self._applied = Revision(0)
        self._leader: Endpoint | None = None
        self._failed_calls = 0
        self._most_specific: CallProblem | None = None
        self._reported: set[ProblemKind] = set()

    def close(self) -> None:
        """Close the connection to the leader."""
        self._client.close()

    @singledispatchmethod
    def receive(self, message: FollowerMessage) -> None:
        """Handle one message."""
        raise TypeError(f"unsupported message type: {type(message).__name__}")

    @receive.register
    def _(self, message: AppliedRevision) -> None:
        self._applied = message.revision

    @receive.register
    def _(self, message: BeginDrain) -> None:
        self._node = replace(self._node, state=NodeState.DRAINING)

    def run(self) -> None:
        """Poll until :class:`Stop` arrives; each wait has a time limit."""
        while True:
            sent_at = monotonic()
            outcome = self._client.call(self._make_poll())
            if isinstance(outcome, Success):
                running = self._handle_batch(outcome.unwrap(), sent_at)
            else:
                running = self._handle_problem(outcome.failure())
            if not running:
                return

    def _make_poll(self) -> ControlCall:
        poll = LogPoll(self._node, self._applied, LOG_POLL_WAIT)
        return ControlCall(
            "GET",
            "/v1/log",
            LogBatch | NotLeader,
            query=poll_to_query(poll),
            wait=poll.wait,
        )

    def _handle_batch(self, batch: LogBatch, sent_at: Seconds) -> bool:
        self._record_leader()
        posted = self._packets.post(LogReceived(batch, sent_at))
        if isinstance(posted, Failure):
            log(HttpEvent.MAILBOX_FULL, mailbox=self._packets.name)
        has_changes = bool(batch.entries) or batch.snapshot is not None
        if has_changes and not self._await_applied():
            return False
        return self._wait_until(Seconds(sent_at + MIN_POLL_INTERVAL))

    def _handle_problem(self, problem: CallProblem) -> bool:
        self._failed_calls += 1
        most_specific = self._most_specific
        if most_specific is None or _specificity(problem) > _specificity(most_specific):
            self._most_specific = most_specific = problem
        if self._failed_calls < self._client.calls_per_round:
            return self._wait_until(monotonic())
        self._failed_calls = 0
        self._leader = None
        self._most_specific = None
        if most_specific.kind not in self._reported:
            self._reported.add(most_specific.kind)
            log(
                HttpEvent.LEADER_LOST,
                address=most_specific.endpoint.address,
                port=most_specific.endpoint.port,
                problem=f"{most_specific.kind.value}: {most_specific.detail}",
            )
        return self._wait_until(Seconds(monotonic() + ROUND_PAUSE))

    def _record_leader(self) -> None:
        self._failed_calls = 0
        self._reported.clear()
        self._most_specific = None
        current = self._client.current
        if self._leader != current:
            self._leader = current
            log(HttpEvent.LEADER_FOUND, address=current.address, port=current.port)

    def _await_applied(self) -> bool:
        """Wait for the packet task; an earlier poll would return the same entries."""
        outcome = self._mailbox.get(APPLY_TIMEOUT)
        if not isinstance(outcome, Success):
            log(HttpEvent.LOG_NOT_APPLIED, seconds=APPLY_TIMEOUT)
            return True
        return self._handle_message(outcome.unwrap())

    def _wait_until(self, time: Seconds) -> bool:
        """Handle messages until ``time``; ``False`` after :class:`Stop`."""
        for message in self._mailbox.drain():
            if not self._handle_message(message):
                return False
        while (remaining := time - monotonic()) > 0:
            outcome = self._mailbox.get(Seconds(remaining))
            if isinstance(outcome, Success) and not self._handle_message(
                outcome.unwrap()
            ):
                return False
        return True

    def _handle_message(self, message: FollowerMessage | Stop) -> bool:
        if isinstance(message, Stop):
            return False
        self.receive(message)
        return True


def make_follower_mailbox() -> Mailbox[FollowerMessage | Stop]:
    """Create the mailbox, which must exist before the packet task that posts to it."""
    return Mailbox("log-follower", capacity=1024)


def make_log_follower(
    node: Node,
    endpoints: Sequence[Endpoint],
    packets: Mailbox[Any],
    mailbox: Mailbox[FollowerMessage | Stop] | None = None,
    traffic: TrafficMailbox = None,
) -> LogFollower:
    """Create the task that follows the log for a balancer.

    :param endpoints: control endpoints of the settings, at least one.
    :param mailbox: receives the revisions that the packet task has applied.
    :param traffic: receives the byte counts of each poll.
    """
    own_mailbox = mailbox or make_follower_mailbox()
    return LogFollower(node, endpoints, packets, own_mailbox, traffic)
