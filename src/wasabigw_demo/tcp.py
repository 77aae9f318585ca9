"""Reduced TCP endpoint (RFC 9293) as a state machine without sockets or clocks.

It has a fixed send window, cumulative acknowledgements, retransmission with
exponential backoff, and in-order delivery. Sequence numbers are kept relative to
the initial ones: 0 is the SYN, 1 the first byte.
"""

from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatch

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw_demo.wire import Segment, TcpFlag

MAX_SEGMENT_SIZE = 1200
SEND_WINDOW_SEGMENTS = 16
RECEIVE_WINDOW = 65_535
INITIAL_RETRANSMISSION_TIMEOUT = Seconds(0.25)
MAX_RETRANSMISSION_TIMEOUT = Seconds(2.0)
MAX_RETRANSMISSIONS = 14
DUPLICATE_ACK_THRESHOLD = 3
_SEQUENCE_MODULUS = 1 << 32


class TcpState(Enum):
    """State of a connection; the closing states of RFC 9293 are not distinguished."""

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
    """Open the connection by sending a SYN."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class SegmentArrived:
    """A segment of the connection was received."""

    segment: Segment
    now: Seconds


@dataclass(frozen=True, slots=True)
class SendData:
    """Append bytes to the send buffer."""

    data: bytes
    now: Seconds


@dataclass(frozen=True, slots=True)
class Finish:
    """Close the sending side: a FIN follows the buffered bytes."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Retransmit if the retransmission timer has expired."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class Transmit:
    """Send a segment."""

    segment: Segment


@dataclass(frozen=True, slots=True)
class Opened:
    """The connection is established."""


@dataclass(frozen=True, slots=True)
class Received:
    """The next bytes of the peer's stream."""

    data: bytes


@dataclass(frozen=True, slots=True)
class PeerClosed:
    """The peer's FIN and all bytes before it have arrived."""


@dataclass(frozen=True, slots=True)
class Closed:
    """The connection has ended."""

    reason: CloseReason


Decision = Transmit | Opened | Received | PeerClosed | Closed


@dataclass(slots=True)
class Connection:
    """State of one connection.

    :param send_unacknowledged: oldest unacknowledged sequence number (SND.UNA).
    :param send_next: next sequence number to send (SND.NXT).
    :param buffer: unacknowledged and unsent bytes, from ``buffer_start`` on.
    :param fin_requested: whether a FIN follows the buffered bytes.
    :param receive_next: next sequence number expected from the peer (RCV.NXT).
    :param out_of_order: payloads received out of order, by sequence number.
    :param peer_fin: sequence number of the peer's FIN, once it is known.
    :param recovery_point: ``send_next`` at the last retransmission timeout; a partial
        acknowledgement below it retransmits the next segment at once.
    """

    local: Endpoint
    remote: Endpoint
    initial_sequence: int
    state: TcpState = TcpState.SYN_SENT
    send_unacknowledged: int = 0
    send_next: int = 0
    buffer: bytearray = field(default_factory=bytearray)
    buffer_start: int = 1
    fin_requested: bool = False
    peer_initial_sequence: int = 0
    receive_next: int = 0
    out_of_order: dict[int, bytes] = field(default_factory=dict)
    peer_fin: int | None = None
    peer_closed: bool = False
    retransmission_timeout: Seconds = INITIAL_RETRANSMISSION_TIMEOUT
    deadline: Seconds | None = None
    retransmissions: int = 0
    duplicate_acks: int = 0
    recovery_point: int = 0
    close_reason: CloseReason | None = None


def accept(
    segment: Segment, initial: int, now: Seconds
) -> tuple[Connection, list[Decision]]:
    """Create a connection for a received SYN, and the SYN+ACK that answers it."""
    connection = Connection(segment.destination, segment.source, initial)
    connection.state = TcpState.SYN_RECEIVED
    connection.peer_initial_sequence = segment.sequence
    connection.receive_next = 1
    connection.send_next = 1
    _start_timer(connection, now)
    return connection, [_segment_at(connection, 0)]


def reset_for(segment: Segment) -> Segment:
    """RST in reply to a segment that belongs to no connection (RFC 9293, 3.10.7.1)."""
    if segment.flags & TcpFlag.ACK:
        sequence, acknowledgement, flags = segment.acknowledgement, 0, TcpFlag.RST
    else:
        length = len(segment.payload) + bool(segment.flags & TcpFlag.SYN)
        sequence, flags = 0, TcpFlag.RST | TcpFlag.ACK
        acknowledgement = (segment.sequence + length) % _SEQUENCE_MODULUS
    return Segment(
        segment.destination, segment.source, sequence, acknowledgement, flags
    )


@singledispatch
def handle(event: object, connection: Connection) -> list[Decision]:
    """Advance a connection by one event."""
    raise TypeError(f"unknown TCP event: {event!r}")


@handle.register
def _(event: Connect, connection: Connection) -> list[Decision]:
    connection.send_next = 1
    _start_timer(connection, event.now)
    return [_segment_at(connection, 0)]


@handle.register
def _(event: SendData, connection: Connection) -> list[Decision]:
    connection.buffer += event.data
    return _send_buffered(connection, event.now)


@handle.register
def _(event: Finish, connection: Connection) -> list[Decision]:
    connection.fin_requested = True
    return _send_buffered(connection, event.now)


@handle.register
def _(event: TimePassed, connection: Connection) -> list[Decision]:
    if connection.deadline is None or connection.deadline > event.now:
        return []
    connection.retransmissions += 1
    if connection.retransmissions > MAX_RETRANSMISSIONS:
        return _close(connection, CloseReason.TIMED_OUT)
    connection.retransmission_timeout = Seconds(
        min(connection.retransmission_timeout * 2, MAX_RETRANSMISSION_TIMEOUT)
    )
    connection.deadline = Seconds(event.now + connection.retransmission_timeout)
    connection.recovery_point = connection.send_next
    return [_segment_at(connection, connection.send_unacknowledged)]


@handle.register
def _(event: SegmentArrived, connection: Connection) -> list[Decision]:
    segment = event.segment
    if segment.flags & TcpFlag.RST:
        return _reset_arrived(connection, segment)
    if connection.state is TcpState.SYN_SENT:
        return _syn_ack_arrived(connection, segment, event.now)
    if connection.state is TcpState.CLOSED:
        return _acknowledge(connection) if _consumes_sequence_numbers(segment) else []
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


def _consumes_sequence_numbers(segment: Segment) -> bool:
    return bool(segment.payload or segment.flags & (TcpFlag.FIN | TcpFlag.SYN))


def _reset_arrived(connection: Connection, segment: Segment) -> list[Decision]:
    if connection.state is TcpState.CLOSED:
        return []
    if connection.state is TcpState.SYN_SENT:
        answers_syn = (
            _relative_sequence(segment.acknowledgement, connection.initial_sequence, 1)
            == 1
        )
        acceptable = bool(segment.flags & TcpFlag.ACK) and answers_syn
        return _close(connection, CloseReason.REFUSED) if acceptable else []
    sequence = _relative_sequence(
        segment.sequence, connection.peer_initial_sequence, connection.receive_next
    )
    if not 0 <= sequence - connection.receive_next <= RECEIVE_WINDOW:
        return []
    return _close(connection, CloseReason.RESET)


def _syn_ack_arrived(
    connection: Connection, segment: Segment, now: Seconds
) -> list[Decision]:
    syn_ack = TcpFlag.SYN | TcpFlag.ACK
    acknowledged = _relative_sequence(
        segment.acknowledgement, connection.initial_sequence, 1
    )
    if segment.flags & syn_ack != syn_ack or acknowledged != 1:
        return []
    connection.peer_initial_sequence = segment.sequence
    connection.receive_next = 1
    connection.state = TcpState.ESTABLISHED
    _apply_acknowledgement(connection, 1, now)
    return [*_acknowledge(connection), Opened(), *_send_buffered(connection, now)]


def _acknowledgement_arrived(
    connection: Connection, segment: Segment, now: Seconds
) -> list[Decision]:
    sequence = _relative_sequence(
        segment.acknowledgement,
        connection.initial_sequence,
        connection.send_unacknowledged,
    )
    if sequence == connection.send_unacknowledged:
        return _duplicate_acknowledgement(connection, segment)
    if not connection.send_unacknowledged < sequence <= connection.send_next:
        return []
    _apply_acknowledgement(connection, sequence, now)
    decisions: list[Decision] = []
    if connection.state is TcpState.SYN_RECEIVED:
        connection.state = TcpState.ESTABLISHED
        decisions.append(Opened())
    if sequence < connection.recovery_point:
        decisions.append(_segment_at(connection, sequence))
    return decisions + _send_buffered(connection, now)


def _duplicate_acknowledgement(
    connection: Connection, segment: Segment
) -> list[Decision]:
    if (
        _consumes_sequence_numbers(segment)
        or connection.send_unacknowledged == connection.send_next
    ):
        return []
    connection.duplicate_acks += 1
    if connection.duplicate_acks != DUPLICATE_ACK_THRESHOLD:
        return []
    return [_segment_at(connection, connection.send_unacknowledged)]


def _apply_acknowledgement(connection: Connection, sequence: int, now: Seconds) -> None:
    connection.send_unacknowledged = sequence
    connection.duplicate_acks = 0
    connection.retransmissions = 0
    connection.retransmission_timeout = INITIAL_RETRANSMISSION_TIMEOUT
    acknowledged_bytes = min(sequence - connection.buffer_start, len(connection.buffer))
    if acknowledged_bytes > 0:
        del connection.buffer[:acknowledged_bytes]
        connection.buffer_start += acknowledged_bytes
    connection.deadline = None
    if connection.send_unacknowledged < connection.send_next:
        _start_timer(connection, now)


def _data_arrived(connection: Connection, segment: Segment) -> list[Decision]:
    if not _consumes_sequence_numbers(segment):
        return []
    sequence = _relative_sequence(
        segment.sequence, connection.peer_initial_sequence, connection.receive_next
    )
    if segment.flags & TcpFlag.FIN:
        connection.peer_fin = sequence + len(segment.payload)
    if segment.payload and sequence - connection.receive_next <= RECEIVE_WINDOW:
        connection.out_of_order[sequence] = segment.payload
    data = _pop_in_order(connection)
    decisions: list[Decision] = [Received(data)] if data else []
    if connection.peer_fin == connection.receive_next and not connection.peer_closed:
        connection.peer_closed = True
        connection.receive_next += 1
        decisions.append(PeerClosed())
    return _acknowledge(connection) + decisions


def _pop_in_order(connection: Connection) -> bytes:
    data = bytearray()
    for sequence in sorted(connection.out_of_order):
        if sequence > connection.receive_next:
            break
        payload = connection.out_of_order.pop(sequence)
        new_bytes = payload[connection.receive_next - sequence :]
        data += new_bytes
        connection.receive_next += len(new_bytes)
    return bytes(data)


def _send_buffered(connection: Connection, now: Seconds) -> list[Decision]:
    if connection.state is not TcpState.ESTABLISHED:
        return []
    limit = connection.send_unacknowledged + SEND_WINDOW_SEGMENTS * MAX_SEGMENT_SIZE
    decisions: list[Decision] = []
    while connection.send_next < min(_stream_end(connection), limit):
        transmit = _segment_at(connection, connection.send_next)
        decisions.append(transmit)
        connection.send_next += _sequence_length(transmit.segment)
    if decisions and connection.deadline is None:
        _start_timer(connection, now)
    return decisions


def _sequence_length(segment: Segment) -> int:
    return len(segment.payload) + bool(segment.flags & TcpFlag.FIN)


def _stream_end(connection: Connection) -> int:
    return connection.buffer_start + len(connection.buffer) + connection.fin_requested


def _segment_at(connection: Connection, sequence: int) -> Transmit:
    """Segment to send that starts at a relative sequence number."""
    flags = TcpFlag.ACK
    payload = b""
    if sequence == 0:
        passive = connection.state is TcpState.SYN_RECEIVED
        flags = TcpFlag.SYN | TcpFlag.ACK if passive else TcpFlag.SYN
    else:
        offset = sequence - connection.buffer_start
        payload = bytes(connection.buffer[offset : offset + MAX_SEGMENT_SIZE])
        reaches_end = offset + len(payload) == len(connection.buffer)
        if connection.fin_requested and reaches_end:
            flags |= TcpFlag.FIN
    return Transmit(_make_segment(connection, sequence, flags, payload))


def _acknowledge(connection: Connection) -> list[Decision]:
    sequence = connection.send_next
    return [Transmit(_make_segment(connection, sequence, TcpFlag.ACK, b""))]


def _make_segment(
    connection: Connection, sequence: int, flags: TcpFlag, payload: bytes
) -> Segment:
    acknowledgement = 0
    if flags & TcpFlag.ACK:
        acknowledgement = (
            connection.peer_initial_sequence + connection.receive_next
        ) % _SEQUENCE_MODULUS
    return Segment(
        connection.local,
        connection.remote,
        (connection.initial_sequence + sequence) % _SEQUENCE_MODULUS,
        acknowledgement,
        flags,
        payload,
    )


def _close_if_complete(connection: Connection) -> list[Decision]:
    send_side_done = (
        connection.fin_requested
        and connection.send_unacknowledged == _stream_end(connection)
    )
    if not (send_side_done and connection.peer_closed):
        return []
    return _close(connection, CloseReason.FINISHED)


def _close(connection: Connection, reason: CloseReason) -> list[Decision]:
    connection.state = TcpState.CLOSED
    connection.close_reason = reason
    connection.deadline = None
    return [Closed(reason)]


def _start_timer(connection: Connection, now: Seconds) -> None:
    connection.deadline = Seconds(now + connection.retransmission_timeout)


def _relative_sequence(number: int, initial: int, reference: int) -> int:
    """Relative sequence number closest to ``reference``."""
    offset = (number - initial - reference) % _SEQUENCE_MODULUS
    if offset >= _SEQUENCE_MODULUS // 2:
        offset -= _SEQUENCE_MODULUS
    return reference + offset
