"""Task that follows the replicated log with long polls of the leader."""

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
"""Least time between two polls that were answered."""
ROUND_PAUSE = Seconds(0.2)
"""Pause after all control endpoints were tried without an answer."""
APPLY_TIMEOUT = Seconds(1.0)
"""How long the follower waits until the packet task has applied a batch."""


FollowerMessage = AppliedRevision | BeginDrain


_TELLING = (
    ProblemKind.NOT_LEADER,
    ProblemKind.UNREACHABLE,
    ProblemKind.TIMED_OUT,
    ProblemKind.BUSY,
    ProblemKind.REFUSED,
    ProblemKind.MALFORMED,
)
"""Kinds of problems; a later one says more about why there is no leader."""


def _telling(problem: CallProblem) -> int:
    return _TELLING.index(problem.kind)


class LogFollower(Task[FollowerMessage]):
    """Polls the leader, posts what it answers, and polls again once it is applied.

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
        self._failed = 0
        self._most_telling: CallProblem | None = None
        self._reported: set[ProblemKind] = set()

    def close(self) -> None:
        """Close the connection to the leader."""
        self._client.close()

    @singledispatchmethod
    def receive(self, message: FollowerMessage) -> None:
        """Handle one message."""
        raise TypeError(f"no rule for the message {type(message).__name__}")

    @receive.register
    def _(self, message: AppliedRevision) -> None:
        self._applied = message.revision

    @receive.register
    def _(self, message: BeginDrain) -> None:
        self._node = replace(self._node, state=NodeState.DRAINING)

    def run(self) -> None:
        """Poll until :class:`Stop` arrives; each step waits for a limited time."""
        while True:
            sent_at = monotonic()
            outcome = self._client.call(self._poll())
            if isinstance(outcome, Success):
                running = self._handle_batch(outcome.unwrap(), sent_at)
            else:
                running = self._handle_problem(outcome.failure())
            if not running:
                return

    def _poll(self) -> ControlCall:
        poll = LogPoll(self._node, self._applied, LOG_POLL_WAIT)
        return ControlCall(
            "GET",
            "/v1/log",
            LogBatch | NotLeader,
            query=poll_to_query(poll),
            wait=poll.wait,
        )

    def _handle_batch(self, batch: LogBatch, sent_at: Seconds) -> bool:
        self._note_leader()
        posted = self._packets.post(LogReceived(batch, sent_at))
        if isinstance(posted, Failure):
            log(HttpEvent.MAILBOX_FULL, mailbox=self._packets.name)
        news = bool(batch.entries) or batch.snapshot is not None
        if news and not self._await_applied():
            return False
        return self._wait_until(Seconds(sent_at + MIN_POLL_INTERVAL))

    def _handle_problem(self, problem: CallProblem) -> bool:
        self._failed += 1
        worst = self._most_telling
        if worst is None or _telling(problem) > _telling(worst):
            self._most_telling = worst = problem
        if self._failed < self._client.calls_per_round:
            return self._wait_until(monotonic())
        self._failed = 0
        self._leader = None
        self._most_telling = None
        if worst.kind not in self._reported:
            self._reported.add(worst.kind)
            log(
                HttpEvent.LEADER_LOST,
                address=worst.endpoint.address,
                port=worst.endpoint.port,
                problem=f"{worst.kind.value}: {worst.detail}",
            )
        return self._wait_until(Seconds(monotonic() + ROUND_PAUSE))

    def _note_leader(self) -> None:
        self._failed = 0
        self._reported.clear()
        self._most_telling = None
        current = self._client.current
        if self._leader != current:
            self._leader = current
            log(HttpEvent.LEADER_FOUND, address=current.address, port=current.port)

    def _await_applied(self) -> bool:
        """Wait for the packet task; polling earlier would bring the same entries."""
        outcome = self._mailbox.get(APPLY_TIMEOUT)
        if not isinstance(outcome, Success):
            log(HttpEvent.LOG_NOT_APPLIED, seconds=APPLY_TIMEOUT)
            return True
        return self._accept(outcome.unwrap())

    def _wait_until(self, time: Seconds) -> bool:
        """Handle messages until a time; ``False`` after :class:`Stop`."""
        for message in self._mailbox.drain():
            if not self._accept(message):
                return False
        while (remaining := time - monotonic()) > 0:
            outcome = self._mailbox.get(Seconds(remaining))
            if isinstance(outcome, Success) and not self._accept(outcome.unwrap()):
                return False
        return True

    def _accept(self, message: FollowerMessage | Stop) -> bool:
        if isinstance(message, Stop):
            return False
        self.receive(message)
        return True


def make_follower_mailbox() -> Mailbox[FollowerMessage | Stop]:
    """Mailbox of a log follower, made first because the packet task posts there."""
    return Mailbox("log-follower", capacity=1024)


def make_log_follower(
    node: Node,
    endpoints: Sequence[Endpoint],
    packets: Mailbox[Any],
    mailbox: Mailbox[FollowerMessage | Stop] | None = None,
    traffic: TrafficMailbox = None,
) -> LogFollower:
    """Task that follows the log for a balancer.

    :param endpoints: control endpoints of the settings, at least one.
    :param mailbox: where the packet task reports what it has applied.
    :param traffic: receives the bytes of each poll.
    """
    own = mailbox or make_follower_mailbox()
    return LogFollower(node, endpoints, packets, own, traffic)
