"""Task that sends the flow records of a draining balancer to the new homes."""

from returns.result import Success

from wasabigw.codec.messages import encode
from wasabigw.core.flows.handover import Handover
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Stop, Task
from wasabigw.tasks.control_client import CallProblem, ControlCall, ControlClient
from wasabigw.tasks.messages import HandoverOut, HandoverTaken
from wasabigw.tasks.traffic import TrafficMailbox
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log

MAX_ATTEMPTS = 3
"""Maximum number of calls for one handover; its records are lost if all fail.

The backup may still have copies of the records; otherwise the new homes determine the
backend servers of the flows by elimination.
"""
MAX_QUEUED_HANDOVERS = 1024
"""Capacity of the mailbox; further handovers are lost."""


class HandoverSender(Task[HandoverOut]):
    """Sends each handover on a connection of its own."""

    def __init__(
        self, mailbox: Mailbox[HandoverOut | Stop], traffic: TrafficMailbox
    ) -> None:
        super().__init__("handover-sender", mailbox)
        self._traffic = traffic

    def receive(self, message: HandoverOut) -> None:
        """Send a handover, and retry if the call fails."""
        body = encode(message.handover, Handover)
        call = ControlCall("POST", "/v1/handover", HandoverTaken, body=body)
        problem: CallProblem | None = None
        for _ in range(MAX_ATTEMPTS):
            with ControlClient((message.to,), self._traffic) as client:
                outcome = client.call(call)
            if isinstance(outcome, Success):
                return
            problem = outcome.failure()
        log(
            BalancerEvent.HANDOVER_LOST,
            backend_server=message.handover.backend_server,
            address=message.to.address,
            port=message.to.port,
            problem=""
            if problem is None
            else f"{problem.kind.value}: {problem.detail}",
        )


def make_handover_sender(traffic: TrafficMailbox = None) -> HandoverSender:
    """Create the task; its mailbox receives the handovers of the packet task."""
    mailbox: Mailbox[HandoverOut | Stop] = Mailbox("handovers", MAX_QUEUED_HANDOVERS)
    return HandoverSender(mailbox, traffic)
