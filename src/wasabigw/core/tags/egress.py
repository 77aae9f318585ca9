"""Fair queue of the packets that leave through the link of a balancer.

A link that is full drops packets, and a caller notices a lost packet only after its
retransmission timeout. Packets are therefore sent no faster than the link carries
them, and wait here meanwhile. Flows take turns by deficit round robin (Shreedhar and
Varghese, 1995). A flow that has no packets waiting goes first, as in FQ-CoDel
(RFC 8290), so that openings, acknowledgements and short requests do not wait for
uploads.

A packet of data that a caller retransmits while the first copy still waits replaces
that copy, because sending both would only add to the delay.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from itertools import chain
from typing import NamedTuple

from wasabigw.core.ids import Seconds
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.view_lease import NEVER

HEADER_BYTES = 28
"""Bytes that IPv4 and UDP add to each datagram."""
BYTES_PER_MEGABIT = 125_000
DATA_SHARE = 0.95
"""Share of the link for packets; polls, readiness checks and metrics use the rest."""
BURST_TIME = Seconds(0.02)
"""Sending time that an idle link accumulates; timers fire some milliseconds late."""
RELEASE_INTERVAL = Seconds(0.005)
"""Minimum pause between two releases, which limits the wake-ups of the task."""
MAX_QUEUE_TIME = Seconds(1.0)
"""Sending time of the packets that may wait in total."""
MAX_OPENING_WAIT = Seconds(0.5)
"""Time after which an opening that waits is dropped.

A balancer that was suspended must not open a flow by a decision from before. Callers
retransmit openings within this time.
"""
QUANTUM_BYTES = 1300
"""Bytes that a flow may send in its turn; at least the size of a packet."""


class Admission(Enum):
    """What becomes of a packet that is given to the queue."""

    SEND = "send at once"
    QUEUED = "queued"
    REPLACED = "replaces a copy that waits"
    REJECTED = "the queue is full"


class Datagram(NamedTuple):
    """An encoded packet, and the address and port that it is sent to."""

    data: bytes
    address: tuple[str, int]


class Waiting(NamedTuple):
    """A packet that waits for the link.

    :param size: bytes that it takes on the link.
    :param queued_at: when it was given to the queue, or its latest copy.
    """

    packet: FlowPacket
    datagram: Datagram
    size: int
    queued_at: Seconds


_Key = tuple[int, int]
"""Sequence number and length of data; other packets have a key of their own."""


@dataclass(slots=True)
class _Backlog:
    """Waiting packets of a flow, oldest first.

    :param size: bytes that they take on the link.
    :param deficit: bytes that the flow may still send in its turn.
    :param unkeyed: packets without data so far.
    """

    flow: FlowId
    packets: dict[_Key, Waiting] = field(default_factory=dict)
    size: int = 0
    deficit: int = QUANTUM_BYTES
    unkeyed: int = 0


@dataclass(slots=True)
class EgressQueue:
    """Packets that wait for the link, and how much it can take at once.

    :param rate: bytes a second for packets; ``None`` if the link has no known limit.
    :param credit: bytes that may be sent at once; negative after a packet that was
        larger than the credit before it.
    :param updated_at: time for which the credit was computed.
    :param size: bytes that all waiting packets take on the link.
    :param sparse: flows that had nothing waiting when their first packet came.
    :param backlogged: flows that have used up a turn.
    :param evicted: packets that were dropped since :func:`take_evicted` was called.
    """

    rate: float | None = None
    credit: float = 0.0
    updated_at: Seconds = NEVER
    size: int = 0
    sparse: OrderedDict[FlowId, _Backlog] = field(default_factory=OrderedDict)
    backlogged: OrderedDict[FlowId, _Backlog] = field(default_factory=OrderedDict)
    evicted: list[Waiting] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether no packet waits."""
        return self.size == 0


def make_egress_queue(link_megabits: float | None) -> EgressQueue:
    """Create an empty queue.

    :param link_megabits: capacity of the link in Mbit/s; ``None`` or 0 if it is not
        known.
    """
    if not link_megabits:
        return EgressQueue()
    return EgressQueue(link_megabits * BYTES_PER_MEGABIT * DATA_SHARE)


def submit(
    queue: EgressQueue,
    packet: FlowPacket,
    datagram: Datagram,
    now: Seconds,
) -> Admission:
    """Give a packet to the queue, which may be sent at once."""
    rate = queue.rate
    if rate is None:
        return Admission.SEND
    size = len(datagram.data) + HEADER_BYTES
    _update_credit(queue, rate, now)
    if queue.size == 0 and queue.credit > 0:
        queue.credit -= size
        return Admission.SEND
    backlog = _backlog_of(queue, packet.flow)
    waiting = Waiting(packet, datagram, size, now)
    if backlog is not None and _replace_copy(backlog, waiting):
        return Admission.REPLACED
    if queue.size + size > rate * MAX_QUEUE_TIME and not _make_room(
        queue, packet.flow, size
    ):
        return Admission.REJECTED
    if backlog is None:
        backlog = queue.sparse[packet.flow] = _Backlog(packet.flow)
    key = _key_of(packet) or _own_key(backlog)
    backlog.packets[key] = waiting
    backlog.size += size
    queue.size += size
    return Admission.QUEUED


def release(queue: EgressQueue, now: Seconds) -> Iterator[Waiting]:
    """Remove and yield the packets that the link can take now."""
    if queue.rate is None:
        return
    _update_credit(queue, queue.rate, now)
    while queue.size > 0 and queue.credit > 0:
        waiting = _pop_next(queue)
        if _has_expired(waiting, now):
            queue.evicted.append(waiting)
            continue
        queue.credit -= waiting.size
        yield waiting


def take_evicted(queue: EgressQueue) -> list[Waiting]:
    """Remove and return the packets that were dropped to make room or as too old."""
    evicted, queue.evicted = queue.evicted, []
    return evicted


def time_to_release(queue: EgressQueue, now: Seconds) -> Seconds | None:
    """Time until :func:`release` should be called; ``None`` if nothing waits."""
    if queue.size == 0 or queue.rate is None:
        return None
    due = queue.updated_at - queue.credit / queue.rate
    return Seconds(max(due - now, RELEASE_INTERVAL))


def is_waiting(queue: EgressQueue, packet: FlowPacket) -> bool:
    """Whether a copy of a packet still waits to be sent."""
    if queue.size == 0:
        return False
    backlog = _backlog_of(queue, packet.flow)
    return backlog is not None and _key_of(packet) in backlog.packets


def is_opening_waiting(queue: EgressQueue, flow: FlowId) -> bool:
    """Whether the opening packet of a flow still waits to be sent."""
    if queue.size == 0:
        return False
    backlog = _backlog_of(queue, flow)
    return backlog is not None and any(
        waiting.packet.is_opening for waiting in backlog.packets.values()
    )


def queue_time(queue: EgressQueue) -> Seconds:
    """Time that the link needs for all packets that wait."""
    return Seconds(queue.size / queue.rate if queue.rate else 0.0)


def _key_of(packet: FlowPacket) -> _Key | None:
    """Key that the copies of a packet share; ``None`` if each of them counts.

    Repeated acknowledgements tell the receiver that a packet is missing.
    """
    if packet.length or packet.is_opening:
        return packet.sequence, packet.length
    return None


def _has_expired(waiting: Waiting, now: Seconds) -> bool:
    return waiting.packet.is_opening and now - waiting.queued_at > MAX_OPENING_WAIT


def _replace_copy(backlog: _Backlog, waiting: Waiting) -> bool:
    """Replace a waiting copy of a packet, which keeps its place; ``False`` if none.

    The later copy has the newer acknowledgement and tag.
    """
    key = _key_of(waiting.packet)
    if key is None or key not in backlog.packets:
        return False
    backlog.packets[key] = waiting
    return True


def _own_key(backlog: _Backlog) -> _Key:
    backlog.unkeyed += 1
    return -backlog.unkeyed, 0


def _backlog_of(queue: EgressQueue, flow: FlowId) -> _Backlog | None:
    return queue.sparse.get(flow) or queue.backlogged.get(flow)


def _update_credit(queue: EgressQueue, rate: float, now: Seconds) -> None:
    if now > queue.updated_at:
        gained = (now - queue.updated_at) * rate
        queue.credit = min(queue.credit + gained, rate * BURST_TIME)
        queue.updated_at = now


def _pop_next(queue: EgressQueue) -> Waiting:
    """Remove the next packet, of the flow whose turn it is."""
    while True:
        flows = queue.sparse or queue.backlogged
        flow, backlog = next(iter(flows.items()))
        key, waiting = next(iter(backlog.packets.items()))
        if backlog.deficit < waiting.size:
            backlog.deficit += QUANTUM_BYTES
            del flows[flow]
            queue.backlogged[flow] = backlog
            continue
        del backlog.packets[key]
        backlog.deficit -= waiting.size
        backlog.size -= waiting.size
        queue.size -= waiting.size
        if not backlog.packets:
            del flows[flow]
        return waiting


def _make_room(queue: EgressQueue, flow: FlowId, size: int) -> bool:
    """Drop the newest packets of the longest backlog until a packet fits.

    :returns: whether it fits; it does not if its own flow has the longest backlog.
    """
    assert queue.rate is not None
    while 0 < queue.size > queue.rate * MAX_QUEUE_TIME - size:
        backlogs = chain(queue.sparse.values(), queue.backlogged.values())
        longest = max(backlogs, key=lambda backlog: backlog.size)
        if longest.flow == flow:
            return False
        _, dropped = longest.packets.popitem()
        longest.size -= dropped.size
        queue.size -= dropped.size
        queue.evicted.append(dropped)
        if not longest.packets:
            queue.sparse.pop(longest.flow, None)
            queue.backlogged.pop(longest.flow, None)
    return True
