"""Fair queue of packets: flows take turns by deficit round robin.

The algorithm is that of Shreedhar and Varghese (1995). A flow that has no packets
waiting goes first, as in FQ-CoDel (RFC 8290), so that openings, acknowledgements and
short requests do not wait for uploads.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import chain
from typing import NamedTuple

from wasabigw.core.ids import Seconds
from wasabigw.core.tags.packets import FlowId, FlowPacket

QUANTUM_BYTES = 1300
"""Bytes that a flow may send in its turn; at least the size of a packet."""


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


PacketKey = tuple[int, int]
"""Sequence number and length of data; other packets have a key of their own."""


@dataclass(slots=True)
class Backlog:
    """Waiting packets of a flow, oldest first.

    :param size: bytes that they take on the link.
    :param deficit: bytes that the flow may still send in its turn.
    :param unkeyed: packets without data so far.
    """

    flow: FlowId
    packets: dict[PacketKey, Waiting] = field(default_factory=dict)
    size: int = 0
    deficit: int = QUANTUM_BYTES
    unkeyed: int = 0


@dataclass(slots=True)
class FairQueue:
    """Packets that wait in one queue.

    :param size: bytes that all of them take on the link.
    :param sparse: flows that had nothing waiting when their first packet came.
    :param backlogged: flows that have used up a turn; all of them if ``in_order``.
    :param in_order: whether the flow that has waited longest sends all that it has,
        rather than take turns.
    """

    size: int = 0
    sparse: OrderedDict[FlowId, Backlog] = field(default_factory=OrderedDict)
    backlogged: OrderedDict[FlowId, Backlog] = field(default_factory=OrderedDict)
    in_order: bool = False


def key_of(packet: FlowPacket) -> PacketKey | None:
    """Key that the copies of a packet share; ``None`` if each of them counts.

    Repeated acknowledgements tell the receiver that a packet is missing.
    """
    if packet.length or packet.is_opening:
        return packet.sequence, packet.length
    return None


def replace_copy(backlog: Backlog, waiting: Waiting) -> bool:
    """Replace a waiting copy of a packet, which keeps its place; ``False`` if none.

    The later copy has the newer acknowledgement and tag.
    """
    key = key_of(waiting.packet)
    if key is None or key not in backlog.packets:
        return False
    backlog.packets[key] = waiting
    return True


def backlog_of(queue: FairQueue, flow: FlowId) -> Backlog | None:
    """Waiting packets of a flow, if there are any."""
    return queue.sparse.get(flow) or queue.backlogged.get(flow)


def packet_count(queue: FairQueue) -> int:
    """Number of packets that wait."""
    backlogs = chain(queue.sparse.values(), queue.backlogged.values())
    return sum(len(backlog.packets) for backlog in backlogs)


def push(queue: FairQueue, waiting: Waiting) -> None:
    """Append a packet to the waiting packets of its flow."""
    flow = waiting.packet.flow
    backlog = backlog_of(queue, flow)
    if backlog is None:
        # In order, those that were moved here must not wait for all that come later.
        flows = queue.backlogged if queue.in_order else queue.sparse
        backlog = flows[flow] = Backlog(flow)
    key = key_of(waiting.packet) or _own_key(backlog)
    backlog.packets[key] = waiting
    backlog.size += waiting.size
    queue.size += waiting.size


def pop_next(queue: FairQueue) -> Waiting:
    """Remove the next packet, of the flow whose turn it is."""
    while True:
        flows = queue.sparse or queue.backlogged
        flow, backlog = next(iter(flows.items()))
        key, waiting = next(iter(backlog.packets.items()))
        if backlog.deficit < waiting.size:
            backlog.deficit += QUANTUM_BYTES
            if not queue.in_order:
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


def drop_newest(queue: FairQueue, spared: FlowId) -> Waiting | None:
    """Remove the newest packet of the longest backlog, or of the last one in order.

    :returns: ``None`` if it is the backlog of ``spared``.
    """
    backlog = _last(queue) if queue.in_order else _longest(queue)
    if backlog.flow == spared:
        return None
    _, dropped = backlog.packets.popitem()
    backlog.size -= dropped.size
    queue.size -= dropped.size
    if not backlog.packets:
        queue.sparse.pop(backlog.flow, None)
        queue.backlogged.pop(backlog.flow, None)
    return dropped


def move(backlog: Backlog, source: FairQueue, target: FairQueue) -> None:
    """Move the waiting packets of a flow to the end of another queue."""
    source.sparse.pop(backlog.flow, None)
    source.backlogged.pop(backlog.flow, None)
    source.size -= backlog.size
    target.backlogged[backlog.flow] = backlog
    target.size += backlog.size


def _longest(queue: FairQueue) -> Backlog:
    backlogs = chain(queue.sparse.values(), queue.backlogged.values())
    return max(backlogs, key=lambda backlog: backlog.size)


def _last(queue: FairQueue) -> Backlog:
    return next(reversed(queue.backlogged.values()))


def _own_key(backlog: Backlog) -> PacketKey:
    backlog.unkeyed += 1
    return -backlog.unkeyed, 0
