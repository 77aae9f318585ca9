"""Control VMs that restart, freeze and are cut off, on one clock."""

from typing import Any

from tests.disk_cluster import DiskCluster
from wasabigw.core.consensus.messages import Envelope
from wasabigw.core.delivery_view import ViewUpdate
from wasabigw.core.ids import NodeId, Revision, Seconds
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.voter_calls import (
    DocumentCall,
    DocumentView,
    LinkAnswer,
    PeerMessage,
    ViewCall,
    reply_mailbox,
)
from wasabigw.tasks.voter_task import VoterTask

MAX_BACKLOG = 20
"""Messages to a frozen control VM that its sockets keep."""


class FaultyCluster(DiskCluster):
    """Control VMs whose processes and links fail.

    A frozen control VM reads the messages of that time when it wakes.
    """

    def __init__(self, names: int, seed: int) -> None:
        self.cut: set[NodeId] = set()
        self.frozen: set[NodeId] = set()
        self._requests: list[tuple[NodeId, NodeId, Envelope]] = []
        self._answers: list[tuple[NodeId, Envelope]] = []
        super().__init__(names, names, seed)

    def restart(self, name: NodeId) -> None:
        """End the process of a control VM and start it with its data directory."""
        self.voters[name].close()
        self._requests = [r for r in self._requests if name not in r[:2]]
        self._answers = [a for a in self._answers if a[0] != name]
        self.frozen.discard(name)
        self.voters[name] = self.open_voter(name)

    def wake(self, name: NodeId) -> None:
        """Wake a frozen control VM, which reads what its sockets have kept."""
        self.frozen.discard(name)
        answers = [a for n, a in self._answers if n == name]
        self._answers = [a for a in self._answers if a[0] != name]
        requests = [r for r in self._requests if r[1] == name]
        self._requests = [r for r in self._requests if r[1] != name]
        for answer in answers:
            self.voters[name].receive(LinkAnswer(answer))
        for request in requests[:MAX_BACKLOG]:
            self._deliver(*request)

    def read(self, name: NodeId) -> int | None:
        """Version that a control VM returns to an operator; ``None`` if none."""
        reply = reply_mailbox("document")
        self.voters[name].receive(DocumentCall(reply))
        answer = next(iter(reply.drain()))
        if not isinstance(answer, DocumentView):
            return None
        return answer.document.version if answer.document is not None else 0

    def view(self, name: NodeId) -> ViewUpdate:
        """Whole view of a control VM, which it gives at once."""
        reply: Mailbox[Any] = reply_mailbox("view")
        self.voters[name].receive(ViewCall(Revision(0), Seconds(0.0), reply))
        update: ViewUpdate = next(iter(reply.drain()))
        return update

    def running(self) -> list[VoterTask]:
        """Voters whose processes run."""
        return [v for name, v in self.voters.items() if name not in self.frozen]

    def _deliver(self, sender: NodeId, recipient: NodeId, envelope: Envelope) -> None:
        if self.cut & {sender, recipient}:
            return
        if recipient in self.frozen:
            self._requests.append((sender, recipient, envelope))
            return
        reply: Mailbox[Envelope] = Mailbox("reply")
        self.voters[recipient].receive(PeerMessage(envelope, reply))
        self.voters[recipient].flush()
        for answer in reply.drain():
            if sender in self.frozen:
                self._answers.append((sender, answer))
                continue
            self.voters[sender].receive(LinkAnswer(answer))
            self.voters[sender].flush()
