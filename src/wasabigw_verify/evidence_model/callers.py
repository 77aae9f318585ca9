"""Callers: each opens flows and sends requests on them, one after the other."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

from wasabigw.core.tags.packets import NO_TAG, FlowId, FlowPacket
from wasabigw_verify.evidence_model.balancers import LISTENER, LISTENER_NUMBER
from wasabigw_verify.evidence_model.boots import DEFAULT_WORKLOAD, Workload
from wasabigw_verify.evidence_model.clock import Clock
from wasabigw_verify.evidence_model.judge import Judge
from wasabigw_verify.evidence_model.transport import (
    Acknowledging,
    Receiver,
    Segment,
    Sender,
)
from wasabigw_verify.evidence_model.wire import BalancerReset, Kind, ServerPacket

COPIES_AFTER = (0.2, 0.6)
ATTEMPT_ENDS_AFTER = 1.4
RESET_WINDOW = 76_800
"""Distance from the last acknowledgement within which a reset is accepted."""
RETRY_AFTER = 0.05


class TagTaken(Enum):
    """Which tag a caller returns after two backend servers have answered an opening.

    The platform's pages say "the last that they received", which may mean either.
    """

    LATEST = "of the last answer that arrived"
    CHOSEN = "of the answer that it took"


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """What a caller does.

    :param start: when it opens its first flow.
    :param flows: flows that it opens one after the other, besides further tries.
    :param requests: requests on each flow.
    :param pause: seconds from a response to the next request.
    :param first_pause: seconds from the handshake to the first request.
    :param budget: seconds after which it gives up a request.
    :param keeps_port: whether its flows use the same port again.
    """

    start: float = 0.1
    flows: int = 1
    requests: int = 2
    pause: float = 0.3
    first_pause: float = 0.0
    workload: Workload = DEFAULT_WORKLOAD
    acknowledging: Acknowledging = Acknowledging.EACH
    budget: float = 4.0
    keeps_port: bool = False
    tag_taken: TagTaken = TagTaken.CHOSEN


class Phase(Enum):
    """Life of a flow at its caller."""

    OPENING = "no answer yet"
    OPEN = "open"
    ENDED = "ended"


class CallerFlow:
    """One flow at its caller."""

    def __init__(self, caller: "Caller", flow: FlowId, sequence: int) -> None:
        self.flow = flow
        self.phase = Phase.OPENING
        self.tag = NO_TAG
        self.is_waiting = False
        self._caller = caller
        self._sequence = sequence
        self._receiver = Receiver(0, caller.plan.acknowledging)
        self._requests_left = caller.plan.requests
        self._unread = 0
        self._sent_request_at = 0.0
        self._request = 0
        self._chosen_boot = -1
        self._sender = Sender(
            sequence + 1, self._transmit, caller.clock.after, lambda: None
        )

    def open(self) -> None:
        """Send the opening and its copies."""
        for repeat, delay in enumerate((0.0, *COPIES_AFTER)):
            self._caller.clock.after(delay, partial(self._send_opening, repeat))
        self._caller.clock.after(ATTEMPT_ENDS_AFTER, self._end_attempt)

    def _send_opening(self, repeat: int) -> None:
        if self.phase is Phase.OPENING:
            self._caller.send(
                FlowPacket(
                    self.flow, NO_TAG, True, False, False, repeat, self._sequence, 0, 0
                )
            )

    def _end_attempt(self) -> None:
        if self.phase is Phase.OPENING:
            self._end("no answer", is_failure=True)

    def receive(self, packet: ServerPacket) -> None:
        """Take a packet of a backend server."""
        if self.phase is Phase.ENDED:
            return
        if packet.kind is Kind.RESET:
            self._receive_reset(packet)
        elif packet.kind is Kind.ACCEPT:
            self._receive_accept(packet)
        elif self.phase is Phase.OPEN and packet.boot == self._chosen_boot:
            self._receive_data(packet)

    def _receive_accept(self, packet: ServerPacket) -> None:
        if self.phase is Phase.OPENING:
            if packet.acknowledged != self._sequence + 1:
                return
            self.phase = Phase.OPEN
            self.tag = packet.tag
            self._chosen_boot = packet.boot
            manner = self._caller.plan.acknowledging
            self._receiver = Receiver(packet.sequence + 1, manner)
            if self._caller.plan.first_pause > 0:
                self._acknowledge()
            self._caller.clock.after(self._caller.plan.first_pause, self._send_request)
            return
        if self._caller.plan.tag_taken is TagTaken.LATEST:
            self.tag = packet.tag
        if packet.boot == self._chosen_boot:
            self._acknowledge()

    def _receive_data(self, packet: ServerPacket) -> None:
        self.tag = packet.tag
        self._sender.acknowledge(packet.acknowledged)
        if not packet.length and not packet.closing:
            return
        received, is_due = self._receiver.receive(
            packet.sequence, packet.length, packet.closing
        )
        self._unread += received
        if is_due:
            self._acknowledge()
        self._read_response()

    def _read_response(self) -> None:
        expected = self._caller.plan.workload.response
        is_answered = self._unread >= expected
        if self.is_waiting and (is_answered or self._receiver.is_closed):
            self._unread = 0
            self.is_waiting = False
            if self._requests_left > 0 and not self._receiver.is_closed:
                pause = self._caller.plan.pause
                self._caller.clock.after(pause, self._send_request)
            else:
                self._close()
        elif self._receiver.is_closed and self.phase is Phase.OPEN:
            self._close()

    def _send_request(self) -> None:
        if self.phase is not Phase.OPEN:
            return
        self._requests_left -= 1
        self._request += 1
        self.is_waiting = True
        number = self._request
        self._sender.send(self._caller.plan.workload.request)
        self._caller.judge.request_sent(self.flow, self._caller.clock.now)
        self._caller.clock.after(
            self._caller.plan.budget, lambda: self._end_request(number)
        )

    def _end_request(self, number: int) -> None:
        if self.phase is Phase.OPEN and self.is_waiting and self._request == number:
            self._end("budget spent", is_failure=True)

    def receive_reset(self, reset: BalancerReset) -> None:
        """Take a reset of a balancer."""
        if self.phase is Phase.ENDED:
            return
        if self.phase is Phase.OPEN:
            is_accepted = self._accepts_reset(reset.sequence)
            # One that answers a packet of an earlier flow from the same port is not
            # for this flow.
            is_own = reset.refused.sequence == self._sequence
            if is_accepted or is_own:
                self._caller.judge.reset_by_balancer(reset, self._caller.clock.now)
            if not is_accepted:
                return
        self._end(f"reset by {reset.sender}, {reset.reason.value}", is_failure=True)

    def _receive_reset(self, packet: ServerPacket) -> None:
        if self.phase is Phase.OPENING:
            if packet.acknowledged != self._sequence:
                return
        elif not self._accepts_reset(packet.sequence):
            return
        else:
            self._caller.judge.reset_by_server(packet, self._caller.clock.now)
        self._end(f"reset by {packet.sender}", is_failure=True)

    def _accepts_reset(self, sequence: int) -> bool:
        return abs(sequence - self._receiver.next) <= RESET_WINDOW

    def _close(self) -> None:
        self._sender.send(0, closing=True)
        self._end("closed", is_failure=False)

    def _end(self, reason: str, is_failure: bool) -> None:
        self.phase = Phase.ENDED
        self.is_waiting = False
        self._sender.stop()
        self._caller.judge.flow_left(self.flow, self._caller.clock.now, reason)
        self._caller.flow_ended(is_failure)

    def _transmit(self, segment: Segment) -> None:
        self._send(segment.sequence, segment.length, segment.closing)

    def _acknowledge(self) -> None:
        self._send(self._sender.sent_up_to, 0, False)

    def _send(self, sequence: int, length: int, closing: bool) -> None:
        acknowledged = self._receiver.acknowledged()
        self._caller.send(
            FlowPacket(
                self.flow,
                self.tag,
                False,
                closing,
                False,
                0,
                sequence,
                acknowledged,
                length,
            )
        )


class Caller:
    """A caller with an address of its own.

    :param send: sends a packet to the balancers.
    """

    def __init__(
        self,
        address: int,
        plan: CallerPlan,
        clock: Clock,
        judge: Judge,
        send: Callable[[FlowPacket], None],
        draws: random.Random,
    ) -> None:
        self.plan = plan
        self.clock = clock
        self.judge = judge
        self.send = send
        self.outcomes: list[bool] = []
        self._address = address
        self._draws = draws
        self._port = 40_000
        self._flows_left = plan.flows
        self._tries_left = 3 * plan.flows
        self._current: CallerFlow | None = None
        clock.after(plan.start, self._open)

    def _open(self) -> None:
        if not self.plan.keeps_port:
            self._port += 1
        flow = FlowId(self._address, self._port, LISTENER_NUMBER, LISTENER.port)
        sequence = self._draws.randrange(1, 1 << 20) * 1000
        self._current = CallerFlow(self, flow, sequence)
        self._current.open()

    def receive(self, packet: ServerPacket | BalancerReset) -> None:
        """Take a packet from the network."""
        current = self._current
        if current is None or current.flow != packet.flow:
            return
        if isinstance(packet, BalancerReset):
            current.receive_reset(packet)
        else:
            current.receive(packet)

    def flow_ended(self, is_failure: bool) -> None:
        """Open another flow, if the plan has one, or try again."""
        self.outcomes.append(not is_failure)
        if is_failure and self._tries_left > 0:
            self._tries_left -= 1
        elif not is_failure and self._flows_left > 1:
            self._flows_left -= 1
        else:
            return
        self.clock.after(RETRY_AFTER, self._open)

    def waiting_flow(self) -> FlowId | None:
        """Flow on which it waits for a response."""
        current = self._current
        return current.flow if current is not None and current.is_waiting else None
