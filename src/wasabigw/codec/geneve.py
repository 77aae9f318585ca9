"""Geneve frames (RFC 8926) and the options that balancers exchange."""

import struct
from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from wasabigw.codec.malformed import Malformed, MalformedCause
from wasabigw.core.flows.forwarding import Forwarding, QueriedBalancer

Buffer = bytes | bytearray | memoryview

HEADER_LENGTH = 8
PLAIN_HEADER = bytes.fromhex("0000080000000000")
"""Header of a frame without options that carries IPv4."""
ETHERTYPE_IPV4 = 0x0800
OPTION_CLASS = 0xFF01
FLAG_OAM = 0x80
FLAG_CRITICAL = 0x40
OPTION_CRITICAL = 0x80
MAX_OPTIONS = 63 * 4

TYPE_FORWARD = 1
TYPE_TRACE = 2
TYPE_BINDING = 3
TYPE_PING = 4

_HEADER = struct.Struct("!BBHI")
_OPTION = struct.Struct("!HBB")
_FORWARD = struct.Struct("!BBH")
_QUERIED = struct.Struct("!HBxI")
_TRACE = struct.Struct("!16s8sB3x")
_BINDING = struct.Struct("!QIHxx")
_PING = struct.Struct("!HBxQ")

_RESOLVE = 0x01
_SAMPLE = 0x02
_DELIVER = 0x04
_COPY = 0x08
_INCOMPLETE = 0x01
MAX_QUERIED = 9
"""Largest number of queried balancers that a FORWARD option holds."""
_PING_REPLY = 0x01
TRACE_SAMPLED = 0x01


@dataclass(frozen=True, slots=True)
class Trace:
    """W3C trace context of a packet.

    :param trace_id: 16 bytes.
    :param span_id: 8 bytes; span of the balancer that sent the frame.
    """

    trace_id: bytes
    span_id: bytes
    flags: int = TRACE_SAMPLED


@dataclass(frozen=True, slots=True)
class Binding:
    """Backend server that a home balancer has recorded for a flow.

    :param lifetime: seconds for which the receiver may cache the binding.
    """

    revision: int
    backend_index: int
    lifetime: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Reachability check; the reply returns the sequence number and the time.

    :param sent_at: microseconds on the clock of the sender.
    """

    sequence: int
    sent_at: int
    reply: bool


@dataclass(slots=True)
class Frame:
    """Decoded header and options of a Geneve frame.

    :param inner: offset of the inner packet.
    """

    inner: int
    oam: bool = False
    forwarding: Forwarding | None = None
    trace: Trace | None = None
    binding: Binding | None = None
    ping: Ping | None = None


def parse(buffer: Buffer, end: int) -> Result[Frame, Malformed]:
    """Decode the header and the options of a frame.

    :param end: length of the datagram in bytes.
    """
    if end < HEADER_LENGTH:
        return _malformed(MalformedCause.FRAME_TOO_SHORT, end)
    first, flags, protocol, _ = _HEADER.unpack_from(buffer)
    if first >> 6:
        return _malformed(MalformedCause.GENEVE_VERSION, 0)
    inner = HEADER_LENGTH + (first & 0x3F) * 4
    if inner > end:
        return _malformed(MalformedCause.GENEVE_OPTIONS, HEADER_LENGTH)
    oam = bool(flags & FLAG_OAM)
    if protocol != ETHERTYPE_IPV4:
        return _malformed(MalformedCause.INNER_PROTOCOL, 2)
    if inner == HEADER_LENGTH:
        return Success(Frame(inner, oam))
    return _parse_options(buffer, inner, oam)


def _parse_options(buffer: Buffer, inner: int, oam: bool) -> Result[Frame, Malformed]:
    found: dict[int, Forwarding | Trace | Binding | Ping] = {}
    position = HEADER_LENGTH
    while position < inner:
        option_class, kind, length = _OPTION.unpack_from(buffer, position)
        start = position + _OPTION.size
        stop = start + (length & 0x1F) * 4
        if stop > inner:
            return _malformed(MalformedCause.GENEVE_OPTIONS, position)
        known = option_class == OPTION_CLASS and kind in _DECODERS
        if not known and kind & OPTION_CRITICAL:
            return _malformed(MalformedCause.UNKNOWN_CRITICAL_OPTION, position)
        if known:
            value = _DECODERS[kind](buffer, start, stop)
            if value is None or kind in found:
                return _malformed(MalformedCause.GENEVE_OPTIONS, position)
            found[kind] = value
        position = stop
    return Success(
        Frame(
            inner,
            oam,
            found.get(TYPE_FORWARD),  # type: ignore[arg-type]
            found.get(TYPE_TRACE),  # type: ignore[arg-type]
            found.get(TYPE_BINDING),  # type: ignore[arg-type]
            found.get(TYPE_PING),  # type: ignore[arg-type]
        )
    )


def _decode_forward(buffer: Buffer, start: int, stop: int) -> Forwarding | None:
    count, rest = divmod(stop - start - _FORWARD.size, _QUERIED.size)
    if count < 0 or rest or count > MAX_QUERIED:
        return None
    hops, flags, bucket = _FORWARD.unpack_from(buffer, start)
    if bucket > 0xFF:
        return None
    queried = []
    for number in range(count):
        offset = start + _FORWARD.size + number * _QUERIED.size
        tag, state, candidate = _QUERIED.unpack_from(buffer, offset)
        queried.append(QueriedBalancer(tag, bool(state & _INCOMPLETE), candidate))
    return Forwarding(
        hops,
        bucket,
        bool(flags & _RESOLVE),
        bool(flags & _SAMPLE),
        bool(flags & _DELIVER),
        bool(flags & _COPY),
        tuple(queried),
    )


def _decode_trace(buffer: Buffer, start: int, stop: int) -> Trace | None:
    if stop - start != _TRACE.size:
        return None
    return Trace(*_TRACE.unpack_from(buffer, start))


def _decode_binding(buffer: Buffer, start: int, stop: int) -> Binding | None:
    if stop - start != _BINDING.size:
        return None
    return Binding(*_BINDING.unpack_from(buffer, start))


def _decode_ping(buffer: Buffer, start: int, stop: int) -> Ping | None:
    if stop - start != _PING.size:
        return None
    sequence, flags, sent_at = _PING.unpack_from(buffer, start)
    return Ping(sequence, sent_at, bool(flags & _PING_REPLY))


_DECODERS = {
    TYPE_FORWARD: _decode_forward,
    TYPE_TRACE: _decode_trace,
    TYPE_BINDING: _decode_binding,
    TYPE_PING: _decode_ping,
}


def encode_forward(value: Forwarding) -> bytes:
    """FORWARD option; only the last :data:`MAX_QUERIED` queried balancers fit."""
    flags = (
        (_RESOLVE if value.resolve else 0)
        | (_SAMPLE if value.sample else 0)
        | (_DELIVER if value.deliver else 0)
        | (_COPY if value.copy else 0)
    )
    body = _FORWARD.pack(value.hops, flags, value.bucket)
    for queried in value.queried[-MAX_QUERIED:]:
        state = _INCOMPLETE if queried.incomplete else 0
        body += _QUERIED.pack(queried.node_tag, state, queried.candidate)
    return _option(TYPE_FORWARD, body)


def encode_trace(value: Trace) -> bytes:
    """TRACE option."""
    body = _TRACE.pack(value.trace_id, value.span_id, value.flags)
    return _option(TYPE_TRACE, body)


def encode_binding(value: Binding) -> bytes:
    """BINDING option."""
    body = _BINDING.pack(value.revision, value.backend_index, value.lifetime)
    return _option(TYPE_BINDING, body)


def encode_ping(value: Ping) -> bytes:
    """PING option."""
    flags = _PING_REPLY if value.reply else 0
    return _option(TYPE_PING, _PING.pack(value.sequence & 0xFFFF, flags, value.sent_at))


def header(options: Sequence[bytes] = (), *, oam: bool = False) -> bytes:
    """Header of a frame that carries IPv4, with the given encoded options."""
    body = b"".join(options)
    first = len(body) // 4
    return _HEADER.pack(first, FLAG_OAM if oam else 0, ETHERTYPE_IPV4, 0) + body


def _option(kind: int, body: bytes) -> bytes:
    return _OPTION.pack(OPTION_CLASS, kind, len(body) // 4) + body


def _malformed(cause: MalformedCause, offset: int) -> Result[Frame, Malformed]:
    return Failure(Malformed(cause, offset))
