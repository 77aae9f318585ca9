"""A small TCP endpoint as a state machine without sockets or clocks.

It has a fixed window, cumulative acknowledgements, retransmission with backoff,
and in-order delivery (RFC 9293, reduced). Sequence numbers are kept relative to
the initial ones: 0 is the SYN, 1 the first byte.
"""

from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatch

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw_demo.wire import Segment, TcpFlag

SEGMENT_SIZE = 1200
WINDOW_SEGMENTS = 16
RECEIVE_WINDOW = 65_535
INITIAL_TIMEOUT = Seconds(0.25)
MAX_TIMEOUT = Seconds(2.0)
MAX_RETRANSMISSIONS = 14
DUPLICATE_ACKS = 3
_MODULUS = 1 << 32


class TcpState(Enum):
    """Progress of a connection."""

    SYN_SENT = "syn-sent"
    SYN_RECEIVED = "syn-received"
    ESTABLISHED = "established"
    CLOSED = "closed"


class CloseReason(Enum):
    """How a connection ended."""

    FINISHED = "finished"
    REFUSED = "refused"
    RESET = "reset"
    TIMED_OUT = "timed-out"


@dataclass(frozen=True, slots=True)
class Connect:
    """Open the connection actively."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class SegmentArrived:
    """A segment of the connection was received."""

    segment: Segment
    now: Seconds


@dataclass(frozen=True, slots=True)
class SendData:
    """Append bytes to the stream."""

    data: bytes
    now: Seconds


@dataclass(frozen=True, slots=True)
class Finish:
    """Send nothing more after the bytes so far."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Check the retransmission timer."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class Transmit:
    """Put a segment on the wire."""

    segment: Segment


@dataclass(frozen=True, slots=True)
class Opened:
    """The connection is established."""


@dataclass(frozen=True, slots=True)
class Received:
    """Bytes of the peer, in order."""

    data: bytes


@dataclass(frozen=True, slots=True)
class PeerFinished:
    """The peer sends nothing more."""


@dataclass(frozen=True, slots=True)
class Closed:
    """The connection has ended."""

    reason: CloseReason


Decision = Transmit | Opened | Received | PeerFinished | Closed


@dataclass(slots=True)
class Connection:
    """State of one connection.

    :param acknowledged: first sequence number that the peer lacks.
    :param sent: first sequence number that was never sent.
    :param buffer: bytes from ``buffer_start`` on that the peer lacks.
    :param expected: next sequence number of the peer.
    :param early: segments of the peer that arrived before their turn.
    """

    local: Endpoint
    remote: Endpoint
    initial: int
    state: TcpState = TcpState.SYN_SENT
    acknowledged: int = 0
    sent: int = 0
    buffer: bytearray = field(default_factory=bytearray)
    buffer_start: int = 1
    finishing: bool = False
    peer_initial: int = 0
    expected: int = 0
    early: dict[int, bytes] = field(default_factory=dict)
    peer_end: int | None = None
    peer_finished: bool = False
    timeout: Seconds = INITIAL_TIMEOUT
    deadline: Seconds | None = None
    retransmissions: int = 0
    duplicate_acks: int = 0
    recover: int = 0
    close_reason: CloseReason | None = None


def accept(
    segment: Segment, initial: int, now: Seconds
) -> tuple[Connection, list[Decision]]:
    """Connection for a SYN, and the SYN+ACK that answers it."""
    connection = Connection(segment.destination, segment.source, initial)
    connection.state = TcpState.SYN_RECEIVED
    connection.peer_initial = segment.sequence
    connection.expected = 1
    connection.sent = 1
    _start_timer(connection, now)
    return connection, [_segment_at(connection, 0)]


def reset_for(segment: Segment) -> Segment:
    """RST that answers a segment without a connection (RFC 9293, 3.10.7.1)."""
    if segment.flags & TcpFlag.ACK:
        sequence, acknowledgement, flags = segment.acknowledgement, 0, TcpFlag.RST
    else:
        length = len(segment.payload) + bool(segment.flags & TcpFlag.SYN)
        sequence, flags = 0, TcpFlag.RST | TcpFlag.ACK
        acknowledgement = (segment.sequence + length) % _MODULUS
    return Segment(
        segment.destination, segment.source, sequence, acknowledgement, flags
    )


@singledispatch
def handle(event: object, connection: Connection) -> list[Decision]:
    """Advance a connection by one event."""
    raise TypeError(f"no TCP event: {event!r}")


@handle.register
def _(event: Connect, connection: Connection) -> list[Decision]:
    connection.sent = 1
    _start_timer(connection, event.now)
    return [_segment_at(connection, 0)]


@handle.register
def _(event: SendData, connection: Connection) -> list[Decision]:
    connection.buffer += event.data
    return _send_new(connection, event.now)


@handle.register
def _(event: Finish, connection: Connection) -> list[Decision]:
    connection.finishing = True
    return _send_new(connection, event.now)


@handle.register
def _(event: TimePassed, connection: Connection) -> list[Decision]:
    if connection.deadline is None or connection.deadline > event.now:
        return []
    connection.retransmissions += 1
    if connection.retransmissions > MAX_RETRANSMISSIONS:
        return _close(connection, CloseReason.TIMED_OUT)
    connection.timeout = Seconds(min(connection.timeout * 2, MAX_TIMEOUT))
    connection.deadline = Seconds(event.now + connection.timeout)
    connection.recover = connection.sent
    return [_segment_at(connection, connection.acknowledged)]


@handle.register
def _(event: SegmentArrived, connection: Connection) -> list[Decision]:
    segment = event.segment
    if segment.flags & TcpFlag.RST:
        return _reset_arrived(connection, segment)
    if connection.state is TcpState.SYN_SENT:
        return _syn_ack_arrived(connection, segment, event.now)
    if connection.state is TcpState.CLOSED:
        return _acknowledge(connection) if _occupies(segment) else []
    if segment.flags & TcpFlag.SYN:
        if connection.state is TcpState.SYN_RECEIVED:
            return [_segment_at(connection, 0)]
        return _acknowledge(connection)
    decisions: list[Decision] = []
    if segment.flags & TcpFlag.ACK:
        decisions += _acknowledgement_arrived(connection, segment, event.now)
    if connection.state is not TcpState.ESTABLISHED:
        return decisions
    decisions += _data_arrived(connection, segment)
    return decisions + _close_if_complete(connection)


def _occupies(segment: Segment) -> bool:
    return bool(segment.payload or segment.flags & (TcpFlag.FIN | TcpFlag.SYN))


def _reset_arrived(connection: Connection, segment: Segment) -> list[Decision]:
    if connection.state is TcpState.CLOSED:
        return []
    if connection.state is TcpState.SYN_SENT:
        answers_syn = _relative(segment.acknowledgement, connection.initial, 1) == 1
        acceptable = bool(segment.flags & TcpFlag.ACK) and answers_syn
        return _close(connection, CloseReason.REFUSED) if acceptable else []
    at = _relative(segment.sequence, connection.peer_initial, connection.expected)
    if not 0 <= at - connection.expected <= RECEIVE_WINDOW:
        return []
    return _close(connection, CloseReason.RESET)


def _syn_ack_arrived(
    connection: Connection, segment: Segment, now: Seconds
) -> list[Decision]:
    both = TcpFlag.SYN | TcpFlag.ACK
    acknowledged = _relative(segment.acknowledgement, connection.initial, 1)
    if segment.flags & both != both or acknowledged != 1:
        return []
    connection.peer_initial = segment.sequence
    connection.expected = 1
    connection.state = TcpState.ESTABLISHED
    _take_acknowledgement(connection, 1, now)
    return [*_acknowledge(connection), Opened(), *_send_new(connection, now)]


def _acknowledgement_arrived(
    connection: Connection, segment: Segment, now: Seconds
) -> list[Decision]:
    at = _relative(segment.acknowledgement, connection.initial, connection.acknowledged)
    if at == connection.acknowledged:
        return _duplicate_acknowledgement(connection, segment)
    if not connection.acknowledged < at <= connection.sent:
        return []
    _take_acknowledgement(connection, at, now)
    decisions: list[Decision] = []
    if connection.state is TcpState.SYN_RECEIVED:
        connection.state = TcpState.ESTABLISHED
        decisions.append(Opened())
    if at < connection.recover:
        decisions.append(_segment_at(connection, at))
    return decisions + _send_new(connection, now)


def _duplicate_acknowledgement(
    connection: Connection, segment: Segment
) -> list[Decision]:
    if _occupies(segment) or connection.acknowledged == connection.sent:
        return []
    connection.duplicate_acks += 1
    if connection.duplicate_acks != DUPLICATE_ACKS:
        return []
    return [_segment_at(connection, connection.acknowledged)]


def _take_acknowledgement(connection: Connection, at: int, now: Seconds) -> None:
    connection.acknowledged = at
    connection.duplicate_acks = 0
    connection.retransmissions = 0
    connection.timeout = INITIAL_TIMEOUT
    delivered = min(at - connection.buffer_start, len(connection.buffer))
    if delivered > 0:
        del connection.buffer[:delivered]
        connection.buffer_start += delivered
    connection.deadline = None
    if connection.acknowledged < connection.sent:
        _start_timer(connection, now)


def _data_arrived(connection: Connection, segment: Segment) -> list[Decision]:
    if not _occupies(segment):
        return []
    at = _relative(segment.sequence, connection.peer_initial, connection.expected)
    if segment.flags & TcpFlag.FIN:
        connection.peer_end = at + len(segment.payload)
    if segment.payload and at - connection.expected <= RECEIVE_WINDOW:
        connection.early[at] = segment.payload
    data = _take_in_order(connection)
    decisions: list[Decision] = [Received(data)] if data else []
    if connection.peer_end == connection.expected and not connection.peer_finished:
        connection.peer_finished = True
        connection.expected += 1
        decisions.append(PeerFinished())
    return _acknowledge(connection) + decisions


def _take_in_order(connection: Connection) -> bytes:
    taken = bytearray()
    for at in sorted(connection.early):
        if at > connection.expected:
            break
        payload = connection.early.pop(at)
        fresh = payload[connection.expected - at :]
        taken += fresh
        connection.expected += len(fresh)
    return bytes(taken)


def _send_new(connection: Connection, now: Seconds) -> list[Decision]:
    if connection.state is not TcpState.ESTABLISHED:
        return []
    limit = connection.acknowledged + WINDOW_SEGMENTS * SEGMENT_SIZE
    decisions: list[Decision] = []
    while connection.sent < min(_end(connection), limit):
        transmit = _segment_at(connection, connection.sent)
        decisions.append(transmit)
        connection.sent += _length(transmit.segment)
    if decisions and connection.deadline is None:
        _start_timer(connection, now)
    return decisions


def _length(segment: Segment) -> int:
    return len(segment.payload) + bool(segment.flags & TcpFlag.FIN)


def _end(connection: Connection) -> int:
    return connection.buffer_start + len(connection.buffer) + connection.finishing


def _segment_at(connection: Connection, at: int) -> Transmit:
    """Segment that starts at a relative sequence number of the send side."""
    flags = TcpFlag.ACK
    payload = b""
    if at == 0:
        passive = connection.state is TcpState.SYN_RECEIVED
        flags = TcpFlag.SYN | TcpFlag.ACK if passive else TcpFlag.SYN
    else:
        offset = at - connection.buffer_start
        payload = bytes(connection.buffer[offset : offset + SEGMENT_SIZE])
        reaches_end = offset + len(payload) == len(connection.buffer)
        if connection.finishing and reaches_end:
            flags |= TcpFlag.FIN
    return Transmit(_build(connection, at, flags, payload))


def _acknowledge(connection: Connection) -> list[Decision]:
    at = connection.sent
    return [Transmit(_build(connection, at, TcpFlag.ACK, b""))]


def _build(connection: Connection, at: int, flags: TcpFlag, payload: bytes) -> Segment:
    acknowledgement = 0
    if flags & TcpFlag.ACK:
        acknowledgement = (connection.peer_initial + connection.expected) % _MODULUS
    return Segment(
        connection.local,
        connection.remote,
        (connection.initial + at) % _MODULUS,
        acknowledgement,
        flags,
        payload,
    )


def _close_if_complete(connection: Connection) -> list[Decision]:
    all_sent = connection.finishing and connection.acknowledged == _end(connection)
    if not (all_sent and connection.peer_finished):
        return []
    return _close(connection, CloseReason.FINISHED)


def _close(connection: Connection, reason: CloseReason) -> list[Decision]:
    connection.state = TcpState.CLOSED
    connection.close_reason = reason
    connection.deadline = None
    return [Closed(reason)]


def _start_timer(connection: Connection, now: Seconds) -> None:
    connection.deadline = Seconds(now + connection.timeout)


def _relative(number: int, initial: int, near: int) -> int:
    """Relative sequence number closest to ``near``."""
    offset = (number - initial - near) % _MODULUS
    if offset >= _MODULUS // 2:
        offset -= _MODULUS
    return near + offset
