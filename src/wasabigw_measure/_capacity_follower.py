"""Packet task that applies log batches, with the processor time of its thread."""

import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from wasabigw.core.cluster import ClusterState, Endpoint, Node
from wasabigw.core.commands import Command
from wasabigw.core.ids import Revision, Seconds, Term
from wasabigw.core.log_messages import LogBatch, LogEntry
from wasabigw.core.states import Protocol
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import Tick, monotonic
from wasabigw.tasks.messages import AppliedRevision, FlowRequest, LogReceived
from wasabigw.tasks.packet_task import (
    PacketTask,
    PacketTaskOutputs,
    PacketTaskSettings,
    make_packet_task,
)

REPLY_TIMEOUT = Seconds(120.0)
FRESH_FOR = Seconds(3_600.0)
LOOPBACK = Endpoint("127.0.0.1", 0)
DISCARD = Endpoint("127.0.0.1", 9)


class ThreadClock:
    """Processor time of another thread of this process.

    :param name: name of the thread.
    """

    def __init__(self, name: str) -> None:
        thread = next(t for t in threading.enumerate() if t.name == name)
        assert thread.ident is not None
        self._clock = time.pthread_getcpuclockid(thread.ident)

    def read(self) -> float:
        """Processor time of the thread in seconds."""
        return time.clock_gettime(self._clock)


@dataclass(slots=True)
class Follower:
    """A running packet task and the revision that it has applied."""

    task: PacketTask
    applied: Mailbox[AppliedRevision]
    clock: ThreadClock
    revision: Revision
    reports: Mailbox[Any] = field(default_factory=lambda: Mailbox("reports"))

    def load(self, state: ClusterState) -> float:
        """Install a snapshot and return the processor time in seconds."""
        return self._post(LogBatch(Term(1), state.revision, FRESH_FOR, (), state))

    def apply(self, commands: Sequence[Command]) -> float:
        """Apply commands as one response to a log poll; return the processor time."""
        entries = tuple(
            LogEntry(Revision(self.revision + number), Term(1), command)
            for number, command in enumerate(commands, 1)
        )
        revision = Revision(self.revision + len(entries))
        return self._post(LogBatch(Term(1), revision, FRESH_FOR, entries))

    def tick(self, token: str) -> float:
        """Handle one tick of the timer service and return the processor time."""
        before = self.clock.read()
        self.task.mailbox.post(Tick(token, monotonic()))
        self._wait_until_idle()
        return self.clock.read() - before

    def _post(self, batch: LogBatch) -> float:
        before = self.clock.read()
        self.task.mailbox.post(LogReceived(batch, monotonic()))
        self.revision = self.applied.get(REPLY_TIMEOUT).unwrap().revision
        self._wait_until_idle()
        return self.clock.read() - before

    def _wait_until_idle(self) -> None:
        """Wait until the task has finished the work that follows its answer.

        The request is for an unknown service, so that its cost does not depend on the
        size of the cluster; a status request would count all backend servers.
        """
        reply: Mailbox[Any] = Mailbox("reply")
        request = FlowRequest(Protocol.TCP, LOOPBACK, LOOPBACK, reply)
        self.task.mailbox.post(request)
        reply.get(REPLY_TIMEOUT).unwrap()


@contextmanager
def make_follower(node: Node) -> Iterator[Follower]:
    """Run the packet task of a balancer on a free loopback port, without a view.

    :param node: registration of the balancer; its endpoints are replaced.
    """
    balancer = Node(node.id, node.failure_domain, LOOPBACK, LOOPBACK, node.incarnation)
    reports: Mailbox[Any] = Mailbox("reports")
    applied: Mailbox[AppliedRevision] = Mailbox("applied")
    outputs = PacketTaskOutputs(reports, Mailbox("handovers"), applied)
    task = make_packet_task(PacketTaskSettings(balancer, DISCARD), outputs)
    with task:
        clock = ThreadClock("packets")
        yield Follower(task, applied, clock, Revision(0), reports)
