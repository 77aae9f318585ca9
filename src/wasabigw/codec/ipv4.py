"""IPv4 packets with TCP, UDP or ICMP: decoding, address rewriting and replies.

Checksums are updated incrementally (RFC 1624, equation 3).
"""

import struct
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from wasabigw.codec.geneve import Buffer
from wasabigw.codec.malformed import Malformed, MalformedCause

PROTOCOL_ICMP = 1
PROTOCOL_TCP = 6
PROTOCOL_UDP = 17

FIN = 0x01
SYN = 0x02
RST = 0x04
ACK = 0x10

MORE_FRAGMENTS = 0x2000
FRAGMENT_OFFSET = 0x1FFF
FRAGMENT_MASK = MORE_FRAGMENTS | FRAGMENT_OFFSET

ICMP_ECHO_REPLY = 0
ICMP_UNREACHABLE = 3
ICMP_ECHO = 8
ICMP_ERRORS = frozenset({3, 11, 12})
CODE_PORT_UNREACHABLE = 3
CODE_FRAGMENTATION_NEEDED = 4
CODE_ADMIN_PROHIBITED = 13
PATH_MTU = 1400
"""MTU in bytes, which reserves space for the Geneve header and its options."""

REPLY_TTL = 64

_IP = struct.Struct("!BBHHHBBHII")
_PORTS = struct.Struct("!HH")
_TCP = struct.Struct("!HHIIHHHH")
_UDP = struct.Struct("!HHHH")
_ICMP = struct.Struct("!BBHHH")
_WORD = struct.Struct("!H")
_LONG = struct.Struct("!I")

IP_HEADER_LENGTH = 20
_TTL_DELTA = 0xFEFF
"""Sum of ~m + m' for a decrement of the TTL by one."""
_CHECKSUM_OFFSET = {PROTOCOL_TCP: 16, PROTOCOL_UDP: 6}
_MIN_TRANSPORT_LENGTH = {PROTOCOL_TCP: 20, PROTOCOL_UDP: 8, PROTOCOL_ICMP: 8}


@dataclass(slots=True)
class Segment:
    """Decoded fields of an IPv4 packet.

    :param start: offset of the IPv4 header in the buffer.
    :param transport: offset of the transport header.
    :param end: offset after the last byte of the packet.
    :param tcp_flags: flags of the TCP header, 0 for other protocols.
    :param quoted: packet that an ICMP error quotes.
    """

    start: int
    transport: int
    end: int
    ttl: int
    protocol: int
    source: int
    destination: int
    source_port: int = 0
    destination_port: int = 0
    tcp_flags: int = 0
    fragment: int = 0
    icmp_type: int = 0
    quoted: "Segment | None" = None

    @property
    def is_fragment(self) -> bool:
        """Whether the packet is a fragment."""
        return bool(self.fragment & FRAGMENT_MASK)

    @property
    def is_first_fragment(self) -> bool:
        """Whether the packet is the fragment that holds the transport header."""
        return self.fragment & FRAGMENT_MASK == MORE_FRAGMENTS


def parse(buffer: Buffer, start: int, end: int) -> Result[Segment, Malformed]:
    """Decode an IPv4 packet and its transport or ICMP header.

    :param start: offset of the IPv4 header.
    :param end: offset after the last received byte.
    """
    if end - start < IP_HEADER_LENGTH:
        return _malformed(MalformedCause.IP_LENGTH, start)
    fields = _IP.unpack_from(buffer, start)
    first, _, total, _, fragment, ttl, protocol, _, source, destination = fields
    if first >> 4 != 4:
        return _malformed(MalformedCause.IP_VERSION, start)
    length = (first & 0x0F) * 4
    if length < IP_HEADER_LENGTH or total < length or start + total > end:
        return _malformed(MalformedCause.IP_LENGTH, start)
    transport = start + length
    stop = start + total
    packet = Segment(
        start,
        transport,
        stop,
        ttl,
        protocol,
        source,
        destination,
        fragment=fragment,
    )
    if protocol not in _MIN_TRANSPORT_LENGTH:
        return _malformed(MalformedCause.UNSUPPORTED_TRANSPORT, start + 9)
    if fragment & FRAGMENT_OFFSET:
        return Success(packet)
    if stop - transport < _MIN_TRANSPORT_LENGTH[protocol]:
        return _malformed(MalformedCause.TRANSPORT_LENGTH, transport)
    if protocol == PROTOCOL_ICMP:
        return _parse_icmp(buffer, packet)
    return _parse_ports(buffer, packet)


def _parse_ports(buffer: Buffer, packet: Segment) -> Result[Segment, Malformed]:
    source_port, destination_port = _PORTS.unpack_from(buffer, packet.transport)
    if packet.protocol == PROTOCOL_TCP:
        offset = (buffer[packet.transport + 12] >> 4) * 4
        if offset < 20 or packet.transport + offset > packet.end:
            return _malformed(MalformedCause.TRANSPORT_LENGTH, packet.transport + 12)
        packet.tcp_flags = buffer[packet.transport + 13]
    packet.source_port = source_port
    packet.destination_port = destination_port
    return Success(packet)


def _parse_icmp(buffer: Buffer, packet: Segment) -> Result[Segment, Malformed]:
    kind = buffer[packet.transport]
    quoted = None
    if kind in ICMP_ERRORS and not packet.fragment & FRAGMENT_MASK:
        quoted = _parse_quoted(buffer, packet.transport + 8, packet.end)
        if quoted is None:
            return _malformed(MalformedCause.QUOTED_PACKET, packet.transport + 8)
    elif kind not in (ICMP_ECHO, ICMP_ECHO_REPLY) and kind not in ICMP_ERRORS:
        return _malformed(MalformedCause.UNSUPPORTED_ICMP, packet.transport)
    packet.icmp_type = kind
    packet.quoted = quoted
    return Success(packet)


def _parse_quoted(buffer: Buffer, start: int, end: int) -> Segment | None:
    """Decode a quoted packet, which may be truncated after 8 bytes of its payload."""
    if end - start < IP_HEADER_LENGTH + 8:
        return None
    first, *_, ttl, protocol, _, source, destination = _IP.unpack_from(buffer, start)
    length = (first & 0x0F) * 4
    transport = start + length
    if first >> 4 != 4 or length < IP_HEADER_LENGTH or end - transport < 8:
        return None
    if protocol not in _CHECKSUM_OFFSET:
        return None
    ports = _PORTS.unpack_from(buffer, transport)
    return Segment(
        start, transport, end, ttl, protocol, source, destination, ports[0], ports[1]
    )


def checksum(data: Buffer) -> int:
    """Internet checksum (RFC 1071)."""
    padded = bytes(data) + b"\0" * (len(data) % 2)
    total = sum(struct.unpack(f"!{len(padded) // 2}H", padded))
    return _fold(total) ^ 0xFFFF


def _fold(total: int) -> int:
    while total > 0xFFFF:
        total = (total & 0xFFFF) + (total >> 16)
    return total


def _address_delta(old: int, new: int) -> int:
    """Sum of ~m + m' over both words of an address."""
    inverted = old ^ 0xFFFFFFFF
    return (inverted >> 16) + (inverted & 0xFFFF) + (new >> 16) + (new & 0xFFFF)


@dataclass(frozen=True, slots=True)
class Rewrite:
    """Replacement of an address and port, with its effect on the checksums.

    :param ip_delta: change of the IPv4 checksum, with a TTL decrement of one.
    :param transport_delta: change of the TCP or UDP checksum.
    """

    old_address: int
    old_port: int
    new_address: int
    new_port: int
    ip_delta: int
    transport_delta: int


def make_rewrite(
    old_address: int, old_port: int, new_address: int, new_port: int
) -> Rewrite:
    """Prepare the replacement of an address and port."""
    address = _address_delta(old_address, new_address)
    port = (old_port ^ 0xFFFF) + new_port
    return Rewrite(
        old_address,
        old_port,
        new_address,
        new_port,
        _fold(address + _TTL_DELTA),
        _fold(address + port),
    )


def update(value: int, delta: int) -> int:
    """Update a checksum incrementally (RFC 1624): HC' = ~(~HC + ~m + m')."""
    total = (value ^ 0xFFFF) + delta
    total = (total & 0xFFFF) + (total >> 16)
    return total ^ 0xFFFF


def rewrite_destination(buffer: bytearray, segment: Segment, change: Rewrite) -> None:
    """Replace the destination and decrement the TTL."""
    _decrement_ttl(buffer, segment, change.ip_delta)
    _LONG.pack_into(buffer, segment.start + 16, change.new_address)
    _WORD.pack_into(buffer, segment.transport + 2, change.new_port)
    _update_transport(buffer, segment, change.transport_delta)


def rewrite_source(buffer: bytearray, segment: Segment, change: Rewrite) -> None:
    """Replace the source and decrement the TTL."""
    _decrement_ttl(buffer, segment, change.ip_delta)
    _LONG.pack_into(buffer, segment.start + 12, change.new_address)
    _WORD.pack_into(buffer, segment.transport, change.new_port)
    _update_transport(buffer, segment, change.transport_delta)


def rewrite_error_destination(
    buffer: bytearray, segment: Segment, change: Rewrite
) -> None:
    """Replace the destination of an ICMP error and the source of the quoted packet."""
    _decrement_ttl(buffer, segment, change.ip_delta)
    _LONG.pack_into(buffer, segment.start + 16, change.new_address)
    _rewrite_quoted(buffer, segment, change, 12, 0)


def rewrite_error_source(buffer: bytearray, segment: Segment, change: Rewrite) -> None:
    """Replace the source of an ICMP error and the destination of the quoted packet.

    A source other than the old address is a router on the path and is not replaced.
    """
    if segment.source == change.old_address:
        _decrement_ttl(buffer, segment, change.ip_delta)
        _LONG.pack_into(buffer, segment.start + 12, change.new_address)
    else:
        decrement_ttl(buffer, segment)
    _rewrite_quoted(buffer, segment, change, 16, 2)


def decrement_ttl(buffer: bytearray, segment: Segment) -> None:
    """Decrement the TTL of a packet that is otherwise forwarded unchanged."""
    _decrement_ttl(buffer, segment, _TTL_DELTA)


def _decrement_ttl(buffer: bytearray, segment: Segment, delta: int) -> None:
    buffer[segment.start + 8] = segment.ttl - 1
    _update_word(buffer, segment.start + 10, delta)


def _update_word(buffer: bytearray, offset: int, delta: int) -> None:
    old = _WORD.unpack_from(buffer, offset)[0]
    _WORD.pack_into(buffer, offset, update(old, delta))


def _update_transport(buffer: bytearray, segment: Segment, delta: int) -> None:
    offset = segment.transport + _CHECKSUM_OFFSET[segment.protocol]
    old = _WORD.unpack_from(buffer, offset)[0]
    if segment.protocol == PROTOCOL_UDP:
        if old == 0:  # Zero means that the sender computed no checksum (RFC 768).
            return
        _WORD.pack_into(buffer, offset, update(old, delta) or 0xFFFF)
        return
    _WORD.pack_into(buffer, offset, update(old, delta))


def _rewrite_quoted(
    buffer: bytearray,
    segment: Segment,
    change: Rewrite,
    address_offset: int,
    port_offset: int,
) -> None:
    quoted = segment.quoted
    if quoted is None:
        return
    before = _sum_of_quoted(buffer, quoted)
    address_delta = _fold(_address_delta(change.old_address, change.new_address))
    _LONG.pack_into(buffer, quoted.start + address_offset, change.new_address)
    _update_word(buffer, quoted.start + 10, address_delta)
    _WORD.pack_into(buffer, quoted.transport + port_offset, change.new_port)
    if quoted.protocol == PROTOCOL_UDP:
        _update_transport(buffer, quoted, change.transport_delta)
    after = _sum_of_quoted(buffer, quoted)
    delta = _fold((before ^ 0xFFFF) + after)
    _update_word(buffer, segment.transport + 2, delta)


def _sum_of_quoted(buffer: bytearray, quoted: Segment) -> int:
    data = buffer[quoted.start : quoted.transport + 8]
    return checksum(data) ^ 0xFFFF


def reset_for(buffer: Buffer, segment: Segment) -> bytes:
    """RST that answers a TCP segment (RFC 9293, section 3.10.7.1)."""
    fields = _TCP.unpack_from(buffer, segment.transport)
    sequence, acknowledged, offset_flags = fields[2], fields[3], fields[4]
    if segment.tcp_flags & ACK:
        numbers = (acknowledged, 0, 5 << 12 | RST)
    else:
        header = (offset_flags >> 12) * 4
        length = segment.end - segment.transport - header
        length += bool(segment.tcp_flags & SYN) + bool(segment.tcp_flags & FIN)
        numbers = (0, (sequence + length) & 0xFFFFFFFF, 5 << 12 | RST | ACK)
    ports = (segment.destination_port, segment.source_port)
    tcp = _TCP.pack(*ports, *numbers, 0, 0, 0)
    return _with_ip(segment, PROTOCOL_TCP, _with_pseudo_checksum(segment, tcp))


def unreachable_for(buffer: Buffer, segment: Segment, code: int, mtu: int = 0) -> bytes:
    """ICMP destination unreachable that quotes a packet (RFC 792)."""
    quoted = bytes(buffer[segment.start : min(segment.end, segment.transport + 8)])
    body = _ICMP.pack(ICMP_UNREACHABLE, code, 0, 0, mtu) + quoted
    value = checksum(body)
    body = body[:2] + _WORD.pack(value) + body[4:]
    return _with_ip(segment, PROTOCOL_ICMP, body)


def fragmentation_needed_for(buffer: Buffer, segment: Segment) -> bytes:
    """ICMP error that tells the sender the path MTU (RFC 1191)."""
    return unreachable_for(buffer, segment, CODE_FRAGMENTATION_NEEDED, PATH_MTU)


def flow_headers(
    protocol: int, source: int, source_port: int, destination: int, port: int
) -> bytes:
    """IPv4 and transport headers without payload that identify a flow."""
    ports = _UDP.pack(source_port, port, 8, 0)
    if protocol == PROTOCOL_TCP:
        ports = _TCP.pack(source_port, port, 0, 0, 5 << 12 | ACK, 0, 0, 0)
    total = IP_HEADER_LENGTH + len(ports)
    return _ip_header(total, protocol, source, destination) + ports


def _with_pseudo_checksum(segment: Segment, tcp: bytes) -> bytes:
    pseudo = struct.pack(
        "!IIBBH", segment.destination, segment.source, 0, PROTOCOL_TCP, len(tcp)
    )
    return tcp[:16] + _WORD.pack(checksum(pseudo + tcp)) + tcp[18:]


def _with_ip(segment: Segment, protocol: int, body: bytes) -> bytes:
    total = IP_HEADER_LENGTH + len(body)
    header = _ip_header(total, protocol, segment.destination, segment.source)
    return header + body


def _ip_header(total: int, protocol: int, source: int, destination: int) -> bytes:
    fields = (0x45, 0, total, 0, 0x4000, REPLY_TTL, protocol, 0, source, destination)
    header = _IP.pack(*fields)
    return header[:10] + _WORD.pack(checksum(header)) + header[12:]


def _malformed(cause: MalformedCause, offset: int) -> Result[Segment, Malformed]:
    return Failure(Malformed(cause, offset))
