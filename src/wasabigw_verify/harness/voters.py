"""Control voters: the voter task of the product with a simulated disk and network."""

from collections.abc import Sequence
from typing import Any, cast

from returns.result import Failure, Result, Success

from wasabigw.core.apply import apply
from wasabigw.core.cluster import Applied, ClusterState, Endpoint, Refusal
from wasabigw.core.commands import ChangeRequest, Command
from wasabigw.core.consensus.effects import VoteRecord
from wasabigw.core.consensus.messages import (
    AppendResponse,
    Envelope,
    Snapshot,
    VoteResponse,
)
from wasabigw.core.ids import NodeId, Revision, Seconds
from wasabigw.core.log_messages import LogEntry
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import Tick
from wasabigw.tasks.storage import Identity, Recovered, Storage
from wasabigw.tasks.storage_errors import StorageError, StorageProblem
from wasabigw.tasks.voter_calls import LinkAnswer, PeerMessage, VoterMessage
from wasabigw.tasks.voter_links import FixedLinks
from wasabigw.tasks.voter_settings import VoterSettings
from wasabigw.tasks.voter_task import TICK_PERIOD, VoterTask
from wasabigw_verify.harness.disks import Disk, WriteFault
from wasabigw_verify.harness.environment import Environment
from wasabigw_verify.harness.steps import Step, StepParticipants

DISK_FULL = StorageError(
    StorageProblem.INPUT_OUTPUT, "disk", "", "no space left", "Free some space."
)
LINK_TIMEOUT = 1.5
"""Seconds without an answer after which a link opens a new connection."""


class ProcessCrashError(Exception):
    """The simulated process crashed during a write."""


class MemoryStorage:
    """Storage of a voter on a :class:`Disk`, with the write fault of the disk."""

    def __init__(self, voter: "Voter") -> None:
        self._voter = voter
        disk = voter.disk
        identity = Identity(voter.node, disk.incarnation)
        entries = tuple(disk.entries)
        self.recovered = Recovered(identity, disk.vote, disk.snapshot, entries)

    def close(self) -> None:
        """Do nothing, since no resources are open."""

    def reopen(self) -> Result["MemoryStorage", StorageError]:
        """Read the disk again after a failed write, unless it is still full."""
        if self._voter.disk.is_full:
            return Failure(DISK_FULL)
        self._voter.count_start()
        return Success(MemoryStorage(self._voter))

    def save_vote(self, record: VoteRecord) -> Result[None, Any]:
        """Replace the vote; a faulty write leaves the old one."""
        self._crash_if_faulty()
        if self._voter.disk.is_full:
            return Failure(DISK_FULL)
        self._voter.disk.vote = record
        return Success(None)

    def append(self, entries: Sequence[LogEntry]) -> Result[None, Any]:
        """Truncate the log and append; a torn write loses the last entry."""
        if any(isinstance(entry.command, ChangeRequest) for entry in entries):
            self._voter.report_step(Step.CHANGE_STORED)
        disk = self._voter.disk
        if disk.is_full:
            return Failure(DISK_FULL)
        kept = list(entries)
        if disk.fault is WriteFault.TORN:
            kept.pop()
        if disk.fault is not WriteFault.NOT_SYNCED:
            first = entries[0].revision
            disk.entries = [e for e in disk.entries if e.revision < first] + kept
        self._crash_if_faulty()
        return Success(None)

    def save_snapshot(self, snapshot: Snapshot) -> Result[None, Any]:
        """Replace the snapshot."""
        self._voter.report_step(Step.SNAPSHOT_WRITTEN)
        self._crash_if_faulty()
        if self._voter.disk.is_full:
            return Failure(DISK_FULL)
        self._voter.disk.snapshot = snapshot
        return Success(None)

    def install_snapshot(self, snapshot: Snapshot) -> Result[None, Any]:
        """Replace the snapshot and delete the log."""
        self._crash_if_faulty()
        if self._voter.disk.is_full:
            return Failure(DISK_FULL)
        self._voter.disk.snapshot = snapshot
        self._voter.disk.entries = []
        return Success(None)

    def _crash_if_faulty(self) -> None:
        disk = self._voter.disk
        if disk.fault is not None or not self._voter.alive:
            disk.fault = None
            raise ProcessCrashError


class _CallbackMailbox:
    """Mailbox that passes each message to a function."""

    def __init__(self, action: Any) -> None:
        self.post = action


class Voter:
    """A running control voter."""

    def __init__(self, simulation: Environment, node: NodeId, disk: Disk) -> None:
        self.simulation = simulation
        self.node = node
        self.disk = disk
        self.alive = True
        self._start_number = 0
        self.count_start()
        network = simulation.network
        endpoints = {name: Endpoint(name, 1) for name in simulation.disks}
        links = {name: self._make_link(name) for name in endpoints if name != node}
        self.task = VoterTask(
            VoterSettings(node, endpoints),
            Mailbox(node),
            cast(Storage, MemoryStorage(self)),
            FixedLinks(cast(Any, links)),
            self._apply,
            cast(Any, None),
            lambda: Seconds(network.now),
            network.random.random,
        )
        network.call_every(node, self, TICK_PERIOD, self._tick)

    def count_start(self) -> None:
        """Begin a new number of this voter in the record.

        A voter that reads its disk again applies its log anew, as after a restart.
        """
        self._start_number = self.simulation.next_number()

    @property
    def is_leader(self) -> bool:
        """Whether it holds the leader lease."""
        return self.alive and self.task._has_leader_lease(
            Seconds(self.simulation.network.now)
        )

    def report_step(self, step: Step) -> None:
        """Report that this voter reached a step."""
        self.simulation.report_step(step, StepParticipants(voter=self.node))

    def receive(self, message: VoterMessage) -> None:
        """Handle a message as the thread of the voter task does."""
        if not self.alive:
            return
        try:
            self.task.receive(message)
            self.task.flush()
        except ProcessCrashError:
            self.simulation.crash_voter(self.node)

    def _tick(self) -> None:
        self.receive(Tick("voter", self.simulation.network.now))

    def _apply(
        self, command: Command, revision: Revision, state: ClusterState
    ) -> Result[Applied, Refusal]:
        if isinstance(command, ChangeRequest) and self.is_leader:
            self.report_step(Step.CHANGE_COMMITTED)
        outcome = apply(command, revision, state)
        name = NodeId(f"{self.node}#{self._start_number}")
        self.simulation.record_applied(name, revision, state)
        return outcome

    def _check_durability(self, peer: NodeId, answer: Envelope) -> None:
        """Report an answer that its sender sent before the disk had stored it."""
        disk = self.simulation.disks[peer]
        last = max([disk.snapshot.revision, *(e.revision for e in disk.entries[-1:])])
        match answer.body:
            case AppendResponse(success=True, matched=matched) if matched > last:
                self.simulation.problems.append(
                    f"{peer} acknowledged {matched} too early"
                )
            case VoteResponse(granted=True) if disk.vote.term < answer.term:
                self.simulation.problems.append(
                    f"{peer} voted before its vote was durable"
                )

    def _make_link(self, peer: NodeId) -> _CallbackMailbox:
        network = self.simulation.network
        waiting: set[int] = set()

        def answer(number: int, envelope: Envelope) -> None:
            waiting.discard(number)
            self.receive(LinkAnswer(envelope))

        def post(envelope: Envelope) -> None:
            number = self.simulation.next_number()
            waiting.add(number)

            def reply(answer_envelope: Envelope) -> None:
                self._check_durability(peer, answer_envelope)
                network.send(
                    peer, self.node, lambda: answer(number, answer_envelope), True
                )

            def deliver() -> None:
                voter = self.simulation.voters.get(peer)
                if voter is not None:
                    message = PeerMessage(envelope, cast(Any, _CallbackMailbox(reply)))
                    voter.receive(message)

            def expire() -> None:
                if number in waiting:
                    waiting.discard(number)
                    network.close_connections(self.node, peer)

            network.send(self.node, peer, deliver, True)
            network.call_later(LINK_TIMEOUT, expire)

        return _CallbackMailbox(post)


def callback_mailbox(action: Any) -> Any:
    """Reply mailbox that passes each message to a function."""
    return cast(Any, _CallbackMailbox(action))
