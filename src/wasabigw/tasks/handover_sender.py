"""Task that sends the records of a draining balancer to the new homes."""

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

ATTEMPTS = 3
"""Calls for one handover; its records are lost after them.

The flows still have a copy at their backup, or are found by elimination.
"""
WAITING_HANDOVERS = 1024
"""Handovers that wait; at the limit further ones are lost."""


class HandoverSender(Task[HandoverOut]):
    """Sends each handover with a connection of its own."""

    def __init__(
        self, mailbox: Mailbox[HandoverOut | Stop], traffic: TrafficMailbox
    ) -> None:
        super().__init__("handover-sender", mailbox)
        self._traffic = traffic

    def receive(self, message: HandoverOut) -> None:
        """Send a handover, again if the receiver did not take it."""
        body = encode(message.handover, Handover)
        call = ControlCall("POST", "/v1/handover", HandoverTaken, body=body)
        problem: CallProblem | None = None
        for _ in range(ATTEMPTS):
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
    """Task whose mailbox is given to the packet task for its handovers."""
    mailbox: Mailbox[HandoverOut | Stop] = Mailbox("handovers", WAITING_HANDOVERS)
    return HandoverSender(mailbox, traffic)
