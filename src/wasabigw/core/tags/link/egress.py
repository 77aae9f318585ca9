"""Queue of the packets that leave through the link of a balancer.

A link that is full drops packets, and a caller notices a lost packet only after its
retransmission timeout. Packets are therefore sent no faster than the link carries
them, and wait here meanwhile. Each class of traffic has a fair queue
(:mod:`wasabigw.core.tags.admission.fair_queue`) and a guaranteed share of the link.
Classes take turns by start-time fair queueing (Goyal, Vin and Cheng, 1996): what one
leaves unused goes to the others, and one that uses less than its share waits for one
packet of each other class at most.

A packet of data that a caller retransmits while the first copy still waits replaces
that copy, because sending both would only add to the delay.
"""

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from wasabigw.core.ids import Seconds
from wasabigw.core.tags.admission.fair_queue import (
    Backlog,
    Datagram,
    FairQueue,
    Waiting,
    backlog_of,
    drop_newest,
    key_of,
    move,
    packet_count,
    pop_next,
    push,
    replace_copy,
)
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
BUSY_SHARE = 0.8
"""Share of the rate at which the link counts as busy.

Packets to the balancer take the same link and may wait before it while none waits here,
because other traffic and copies that are not sent on take a part of it.
"""
CONGESTION_TIME = Seconds(0.03)
"""Busy time from which packets of callers may have waited before the balancer."""
OVERLOAD_TIME = Seconds(0.2)
"""Busy time from which callers may have sent copies, and packets may be lost."""
RECOVERY_TIME = Seconds(1.0)
"""Time after an overload in which packets that were lost in it are sent again."""
RATE_TIME = Seconds(1.0)
"""Time over which the rate of a class is averaged."""


class LinkClass(Enum):
    """Class of traffic on the link, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"
    LATE = "late"
    """Bulk that can't be carried in time any more, or could not from the beginning."""


LINK_SHARES = {
    LinkClass.URGENT: 0.45,
    LinkClass.NORMAL: 0.3,
    LinkClass.BULK: 0.2,
    LinkClass.LATE: 0.05,
}
"""Guaranteed share of the link of each class.

Small requests seldom use up theirs, so that in practice bulk gets what they leave.
"""


class Admission(Enum):
    """What becomes of a packet that is given to the queue."""

    SEND = "send at once"
    QUEUED = "queued"
    REPLACED = "replaces a copy that waits"
    REJECTED = "the queue is full"


@dataclass(slots=True)
class ClassQueue:
    """Packets of one class.

    :param share: guaranteed share of the link.
    :param start: virtual time from which the next packet of the class is due.
    :param finish: virtual time at which its latest packet was served.
    :param recent: bytes that were given to it, each with a weight that decays with
        :data:`RATE_TIME`.
    :param counted_at: time for which these were computed.
    :param total: bytes that were given to it since the start.
    """

    share: float
    packets: FairQueue = field(default_factory=FairQueue)
    start: float = 0.0
    finish: float = 0.0
    recent: float = 0.0
    counted_at: Seconds = NEVER
    total: int = 0


def _make_classes() -> dict[LinkClass, ClassQueue]:
    classes = {name: ClassQueue(share) for name, share in LINK_SHARES.items()}
    # By turns all of them would take as long as the last one.
    classes[LinkClass.LATE].packets.in_order = True
    return classes


@dataclass(slots=True)
class EgressQueue:
    """Packets that wait for the link, and how much it can take at once.

    :param rate: bytes a second for packets; ``None`` if the link has no known limit.
    :param credit: bytes that may be sent at once; negative after a packet that was
        larger than the credit before it.
    :param updated_at: time for which the credit was computed.
    :param size: bytes that all waiting packets take on the link.
    :param classes: waiting packets by class, most urgent first.
    :param virtual_time: start of the packet that was served last.
    :param turns: openings of uploads that wait until earlier ones have sent
        (:mod:`wasabigw.core.tags.link.upload_turns`), oldest first.
    :param busy_since: when the link last began to be busy without a pause.
    :param busy_until: until when it is busy if no packet follows.
    :param overloaded_until: when it last ended to be busy for :data:`OVERLOAD_TIME`.
    :param evicted: packets that were dropped since :func:`take_evicted` was called.
    """

    rate: float | None = None
    credit: float = 0.0
    updated_at: Seconds = NEVER
    size: int = 0
    classes: dict[LinkClass, ClassQueue] = field(default_factory=_make_classes)
    virtual_time: float = 0.0
    turns: OrderedDict[FlowId, Waiting] = field(default_factory=OrderedDict)
    busy_since: Seconds = NEVER
    busy_until: Seconds = NEVER
    overloaded_until: Seconds = NEVER
    evicted: list[Waiting] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether no packet waits."""
        return self.size == 0 and not self.turns

    @property
    def packet_count(self) -> int:
        """Number of packets that wait."""
        queued = sum(packet_count(c.packets) for c in self.classes.values())
        return queued + len(self.turns)


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
    link_class: LinkClass = LinkClass.NORMAL,
) -> Admission:
    """Give a packet to the queue, which may be sent at once."""
    rate = queue.rate
    if rate is None:
        return Admission.SEND
    size = size_on_link(datagram)
    _update_credit(queue, rate, now)
    if queue.size == 0 and queue.credit > 0:
        queue.credit -= size
        _record_use(queue, size, rate, now)
        _count(queue.classes[link_class], size, now)
        return Admission.SEND
    found = _find_backlog(queue, packet.flow)
    waiting = Waiting(packet, datagram, size, now)
    if found is not None and replace_copy(found[1], waiting):
        return Admission.REPLACED
    if queue.size + size > rate * MAX_QUEUE_TIME and not _make_room(
        queue, packet.flow, size
    ):
        return Admission.REJECTED
    # Making room may have removed the backlog of this flow.
    found = _find_backlog(queue, packet.flow) if found is not None else None
    if found is not None and found[0] is not link_class:
        if packet.length == 0:
            link_class = found[0]
        else:
            _move_backlog(queue, found[1], found[0], link_class)
    members = queue.classes[link_class]
    _activate(queue, members)
    _record_use(queue, size, rate, now)
    _count(members, size, now)
    push(members.packets, waiting)
    queue.size += size
    return Admission.QUEUED


def class_rate(members: ClassQueue, now: Seconds) -> float:
    """Bytes a second that were given to a class lately."""
    return members.recent * math.exp((members.counted_at - now) / RATE_TIME) / RATE_TIME


def size_on_link(datagram: Datagram) -> int:
    """Bytes that a datagram takes on the link."""
    return len(datagram.data) + HEADER_BYTES


def release(queue: EgressQueue, now: Seconds) -> Iterator[Waiting]:
    """Remove and yield the packets that the link can take now."""
    if queue.rate is None:
        return
    _update_credit(queue, queue.rate, now)
    if queue.size > 0:
        queue.busy_until = max(queue.busy_until, now)
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
    if packet.is_opening and packet.flow in queue.turns:
        return True
    if queue.size == 0:
        return False
    found = _find_backlog(queue, packet.flow)
    return found is not None and key_of(packet) in found[1].packets


def has_waiting(queue: EgressQueue, flow: FlowId) -> bool:
    """Whether any packet of a flow still waits to be sent."""
    return queue.size > 0 and _find_backlog(queue, flow) is not None


def is_opening_waiting(queue: EgressQueue, flow: FlowId) -> bool:
    """Whether the opening packet of a flow still waits to be sent."""
    if flow in queue.turns:
        return True
    if queue.size == 0:
        return False
    found = _find_backlog(queue, flow)
    return found is not None and any(
        waiting.packet.is_opening for waiting in found[1].packets.values()
    )


def queue_time(queue: EgressQueue) -> Seconds:
    """Time that the link needs for all packets that wait."""
    return Seconds(queue.size / queue.rate if queue.rate else 0.0)


def is_congested(queue: EgressQueue, now: Seconds) -> bool:
    """Whether packets of callers may have waited for the link of this balancer.

    That callers seem to have no answer then says little about backend servers.
    """
    if now - queue.overloaded_until < RECOVERY_TIME:
        return True
    if queue.size > 0 or now < queue.busy_until:
        return now - queue.busy_since >= CONGESTION_TIME
    was_overloaded = queue.busy_until - queue.busy_since >= OVERLOAD_TIME
    return was_overloaded and now - queue.busy_until < RECOVERY_TIME


def _record_use(queue: EgressQueue, size: int, rate: float, now: Seconds) -> None:
    """Record a packet that the link carries."""
    if queue.size == 0 and now > queue.busy_until:
        if queue.busy_until - queue.busy_since >= OVERLOAD_TIME:
            queue.overloaded_until = queue.busy_until
        queue.busy_since = queue.busy_until = now
    used_until = max(queue.busy_until, now) + size / (rate * BUSY_SHARE)
    queue.busy_until = Seconds(min(used_until, now + OVERLOAD_TIME))


def _count(members: ClassQueue, size: int, now: Seconds) -> None:
    members.recent = class_rate(members, now) * RATE_TIME + size
    members.counted_at = now
    members.total += size


def _has_expired(waiting: Waiting, now: Seconds) -> bool:
    return waiting.packet.is_opening and now - waiting.queued_at > MAX_OPENING_WAIT


def _find_backlog(queue: EgressQueue, flow: FlowId) -> tuple[LinkClass, Backlog] | None:
    """Class and waiting packets of a flow; all of them are in one class."""
    for link_class, members in queue.classes.items():
        if members.packets.size == 0:
            continue
        backlog = backlog_of(members.packets, flow)
        if backlog is not None:
            return link_class, backlog
    return None


def _update_credit(queue: EgressQueue, rate: float, now: Seconds) -> None:
    if now > queue.updated_at:
        gained = (now - queue.updated_at) * rate
        queue.credit = min(queue.credit + gained, rate * BURST_TIME)
        queue.updated_at = now


def _activate(queue: EgressQueue, members: ClassQueue) -> None:
    """Put a class that had no packets in line; it can't save up unused time."""
    if members.packets.size == 0:
        members.start = max(queue.virtual_time, members.finish)


def _move_backlog(
    queue: EgressQueue, backlog: Backlog, source: LinkClass, target: LinkClass
) -> None:
    _activate(queue, queue.classes[target])
    move(backlog, queue.classes[source].packets, queue.classes[target].packets)


def _pop_next(queue: EgressQueue) -> Waiting:
    """Remove the next packet, of the class whose turn it is."""
    waiting_classes = (c for c in queue.classes.values() if c.packets.size > 0)
    members = min(waiting_classes, key=lambda members: members.start)
    waiting = pop_next(members.packets)
    queue.size -= waiting.size
    queue.virtual_time = members.start
    members.finish = members.start + waiting.size / members.share
    members.start = members.finish
    return waiting


def _make_room(queue: EgressQueue, flow: FlowId, size: int) -> bool:
    """Drop packets of the class that has the most for its share until a packet fits.

    :returns: whether it fits; it does not if its own flow has the longest backlog of
        that class.
    """
    assert queue.rate is not None
    while 0 < queue.size > queue.rate * MAX_QUEUE_TIME - size:
        largest = max(queue.classes.values(), key=lambda c: c.packets.size / c.share)
        dropped = drop_newest(largest.packets, spared=flow)
        if dropped is None:
            return False
        queue.size -= dropped.size
        queue.evicted.append(dropped)
    return True
