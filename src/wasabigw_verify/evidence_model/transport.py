"""Sending and receiving of bytes, the same at both ends of a flow."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from wasabigw_verify.evidence_model.clock import Callback
from wasabigw_verify.evidence_model.wire import PACKET_BYTES

MAX_IN_FLIGHT = 16
FIRST_RETRANSMISSION = 0.2
LONGEST_INTERVAL = 1.6
"""Seconds until a missing packet is sent again: the first time, and at most."""


class Acknowledging(Enum):
    """When an end acknowledges packets that arrive in order."""

    EACH = "each packet at once"
    SECOND = "every second packet"


@dataclass(slots=True, eq=False)
class Segment:
    """A packet with data, or the one that closes its direction."""

    sequence: int
    length: int
    closing: bool
    retransmissions: int = 0

    @property
    def end(self) -> int:
        """Sequence number after it; closing takes one number."""
        return self.sequence + self.length + self.closing


class Sender:
    """Sends bytes and retransmits what is not acknowledged.

    :param after: runs a callback after some time, unless its host has failed.
    :param most: retransmissions of a packet after which it gives up; ``None`` if it
        never does.
    """

    def __init__(
        self,
        sequence: int,
        transmit: Callable[[Segment], None],
        after: Callable[[float, Callback], None],
        give_up: Callback,
        most: int | None = None,
    ) -> None:
        self.next = sequence
        self._transmit = transmit
        self._after = after
        self._give_up = give_up
        self._most = most
        self._waiting: deque[Segment] = deque()
        self._in_flight: list[Segment] = []
        self._stopped = False

    @property
    def is_idle(self) -> bool:
        """Whether all has been acknowledged."""
        return not self._waiting and not self._in_flight

    @property
    def sent_up_to(self) -> int:
        """Sequence number of the next packet that was not sent yet."""
        return self._waiting[0].sequence if self._waiting else self.next

    def send(self, length: int, closing: bool = False) -> None:
        """Send some bytes, and close the direction after them."""
        while length > 0 or closing:
            size = min(length, PACKET_BYTES)
            length -= size
            segment = Segment(self.next, size, closing and length == 0)
            self.next = segment.end
            self._waiting.append(segment)
            closing = closing and not segment.closing
        self._send_waiting()

    def acknowledge(self, acknowledged: int) -> None:
        """Forget what the other end has received."""
        self._in_flight = [s for s in self._in_flight if s.end > acknowledged]
        self._send_waiting()

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True

    def _send_waiting(self) -> None:
        while self._waiting and len(self._in_flight) < MAX_IN_FLIGHT:
            if self._stopped:
                return
            segment = self._waiting.popleft()
            self._in_flight.append(segment)
            self._transmit(segment)
            self._wait(segment, FIRST_RETRANSMISSION)

    def _wait(self, segment: Segment, interval: float) -> None:
        self._after(interval, lambda: self._retransmit(segment, interval))

    def _retransmit(self, segment: Segment, interval: float) -> None:
        if self._stopped or segment not in self._in_flight:
            return
        if segment.retransmissions == self._most:
            self._stopped = True
            self._give_up()
            return
        segment.retransmissions += 1
        self._transmit(segment)
        self._wait(segment, min(2 * interval, LONGEST_INTERVAL))


class Receiver:
    """Puts the packets of the other end in order.

    :param next: sequence number of the next byte; acknowledges all before it.
    """

    def __init__(self, sequence: int, manner: Acknowledging) -> None:
        self.next = sequence
        self.is_closed = False
        self._manner = manner
        self._early: dict[int, tuple[int, bool]] = {}
        self._unacknowledged = 0

    def receive(self, sequence: int, length: int, closing: bool) -> tuple[int, bool]:
        """Take a packet with data, or the one that closes the direction.

        :returns: how many bytes are newly in order, and whether to acknowledge now.
        """
        is_new = sequence == self.next
        if sequence >= self.next:
            self._early[sequence] = (length, closing)
        received = 0
        while self.next in self._early:
            size, closes = self._early.pop(self.next)
            received += size
            self.next += size + closes
            self.is_closed = self.is_closed or closes
        self._unacknowledged += 1
        is_due = self._manner is Acknowledging.EACH or self._unacknowledged >= 2
        return received, is_due or not is_new or self.is_closed

    def acknowledged(self) -> int:
        """Acknowledgement number for a packet that is sent now."""
        self._unacknowledged = 0
        return self.next
