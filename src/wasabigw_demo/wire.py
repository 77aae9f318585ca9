"""Codec of Geneve frames and inner packets for hosts behind the fabric.

It uses dpkt and shares no code with :mod:`wasabigw.codec`, so that an error in one
implementation is detected by the other.
"""

import socket
import struct
from dataclasses import dataclass, replace
from enum import IntFlag

import dpkt
from returns.result import Failure, Result, Success

from wasabigw.core.cluster import Endpoint
from wasabigw.core.states import Protocol

ETHERTYPE_IPV4 = 0x0800
GENEVE_OAM_BIT = 0x80
OPTION_CLASS = 0xFF01
TRACE_OPTION = 2
MAX_FRAME_SIZE = 65_535

_GENEVE_HEADER = struct.Struct(">BBHI")
_OPTION_HEADER = struct.Struct(">HBB")
_TRACE = struct.Struct(">16s8sB3x")


class TcpFlag(IntFlag):
    """TCP header flags."""

    FIN = 1
    SYN = 2
    RST = 4
    PSH = 8
    ACK = 16


@dataclass(frozen=True, slots=True)
class TraceContext:
    """W3C trace context carried in the TRACE option."""

    trace_id: bytes
    span_id: bytes
    flags: int = 1


@dataclass(frozen=True, slots=True)
class Frame:
    """A Geneve frame that carries an IPv4 packet."""

    inner: bytes
    trace: TraceContext | None = None


@dataclass(frozen=True, slots=True)
class Segment:
    """A TCP segment with its addresses."""

    source: Endpoint
    destination: Endpoint
    sequence: int
    acknowledgement: int
    flags: TcpFlag
    payload: bytes = b""


@dataclass(frozen=True, slots=True)
class Datagram:
    """A UDP datagram with its addresses."""

    source: Endpoint
    destination: Endpoint
    payload: bytes


@dataclass(frozen=True, slots=True)
class IcmpError:
    """An ICMP error and the endpoints of the packet that it quotes."""

    type: int
    code: int
    quoted_source: Endpoint
    quoted_destination: Endpoint


Packet = Segment | Datagram | IcmpError


@dataclass(frozen=True, slots=True)
class MalformedPacket:
    """A received frame or packet that could not be decoded.

    :param problem: why decoding failed.
    """

    problem: str


@dataclass(frozen=True, slots=True)
class PacketAddresses:
    """Protocol and endpoints of an inner packet."""

    protocol: int
    source: Endpoint
    destination: Endpoint


def encapsulate(frame: Frame) -> bytes:
    """Encode a frame, with a TRACE option if it has a trace context."""
    options = b""
    if frame.trace is not None:
        trace = frame.trace
        body = _TRACE.pack(trace.trace_id, trace.span_id, trace.flags)
        header = _OPTION_HEADER.pack(OPTION_CLASS, TRACE_OPTION, len(body) // 4)
        options = header + body
    header = _GENEVE_HEADER.pack(len(options) // 4, 0, ETHERTYPE_IPV4, 0)
    return header + options + frame.inner


def decapsulate(data: bytes) -> Result[Frame, MalformedPacket]:
    """Decode a Geneve frame."""
    if len(data) < _GENEVE_HEADER.size:
        return Failure(MalformedPacket("shorter than a Geneve header"))
    version_and_length, flags, protocol, _ = _GENEVE_HEADER.unpack_from(data)
    options_end = _GENEVE_HEADER.size + (version_and_length & 0x3F) * 4
    if version_and_length >> 6 or protocol != ETHERTYPE_IPV4 or flags & GENEVE_OAM_BIT:
        return Failure(MalformedPacket("not a Geneve data frame with IPv4"))
    if options_end > len(data):
        return Failure(MalformedPacket("Geneve options exceed the frame"))
    trace = _find_trace(data[_GENEVE_HEADER.size : options_end])
    return Success(Frame(data[options_end:], trace))


def _find_trace(options: bytes) -> TraceContext | None:
    offset = 0
    while offset + _OPTION_HEADER.size <= len(options):
        option_class, option_type, length_words = _OPTION_HEADER.unpack_from(
            options, offset
        )
        offset += _OPTION_HEADER.size
        length = (length_words & 0x1F) * 4
        if (option_class, option_type, length) == (
            OPTION_CLASS,
            TRACE_OPTION,
            _TRACE.size,
        ):
            if offset + length > len(options):
                return None
            return TraceContext(*_TRACE.unpack_from(options, offset))
        offset += length
    return None


def with_trace(data: bytes, trace: TraceContext) -> bytes:
    """Copy of an encoded frame with its trace context replaced."""
    match decapsulate(data):
        case Success(frame):
            return encapsulate(replace(frame, trace=trace))
        case _:
            return data


def build_segment(segment: Segment) -> bytes:
    """IPv4 packet of a TCP segment, with checksums."""
    tcp = dpkt.tcp.TCP(
        sport=segment.source.port,
        dport=segment.destination.port,
        seq=segment.sequence,
        ack=segment.acknowledgement,
        flags=int(segment.flags),
        win=65_535,
        data=segment.payload,
    )
    return _build_ipv4(segment.source, segment.destination, Protocol.TCP, tcp)


def build_datagram(datagram: Datagram) -> bytes:
    """IPv4 packet of a UDP datagram, with checksums."""
    udp = dpkt.udp.UDP(
        sport=datagram.source.port,
        dport=datagram.destination.port,
        data=datagram.payload,
        ulen=8 + len(datagram.payload),
    )
    return _build_ipv4(datagram.source, datagram.destination, Protocol.UDP, udp)


def _build_ipv4(
    source: Endpoint, destination: Endpoint, protocol: Protocol, data: dpkt.Packet
) -> bytes:
    packet = dpkt.ip.IP(
        src=socket.inet_aton(source.address),
        dst=socket.inet_aton(destination.address),
        p=protocol.value,
        ttl=64,
        df=1,
        data=data,
    )
    packet.len = len(packet)
    return bytes(packet)


def parse_addresses(inner: bytes) -> Result[PacketAddresses, MalformedPacket]:
    """Addresses of an inner packet, without verifying checksums.

    The ports are 0 for protocols other than TCP and UDP.
    """
    if len(inner) < 20 or inner[0] >> 4 != 4:
        return Failure(MalformedPacket("not an IPv4 packet"))
    header_length = (inner[0] & 0x0F) * 4
    protocol = inner[9]
    source_port = destination_port = 0
    if protocol in (Protocol.TCP.value, Protocol.UDP.value):
        if len(inner) < header_length + 4:
            return Failure(MalformedPacket("packet too short for its ports"))
        ports = struct.unpack_from(">HH", inner, header_length)
        source_port, destination_port = ports
    source = Endpoint(socket.inet_ntoa(inner[12:16]), source_port)
    destination = Endpoint(socket.inet_ntoa(inner[16:20]), destination_port)
    return Success(PacketAddresses(protocol, source, destination))


def parse_packet(inner: bytes) -> Result[Packet, MalformedPacket]:
    """Decode an IPv4 packet and verify its checksums."""
    try:
        packet = dpkt.ip.IP(inner)
    except dpkt.UnpackError as error:
        return Failure(MalformedPacket(f"not an IPv4 packet: {error}"))
    header_length = packet.hl * 4
    if dpkt.in_cksum(inner[:header_length]) != 0:
        return Failure(MalformedPacket("wrong IPv4 header checksum"))
    if packet.len != len(inner):
        return Failure(
            MalformedPacket("IPv4 total length differs from the packet size")
        )
    body = inner[header_length:]
    if isinstance(packet.data, dpkt.icmp.ICMP):
        return _parse_icmp(body)
    if not _transport_checksum_valid(packet, body):
        return Failure(MalformedPacket("wrong transport checksum"))
    if isinstance(packet.data, dpkt.tcp.TCP):
        return Success(_parse_segment(packet, packet.data))
    if isinstance(packet.data, dpkt.udp.UDP):
        source, destination = _endpoints(packet, packet.data.sport, packet.data.dport)
        return Success(Datagram(source, destination, bytes(packet.data.data)))
    return Failure(MalformedPacket(f"unknown protocol {packet.p}"))


def _parse_segment(packet: dpkt.ip.IP, tcp: dpkt.tcp.TCP) -> Segment:
    source, destination = _endpoints(packet, tcp.sport, tcp.dport)
    flags = TcpFlag(tcp.flags & 0x1F)
    return Segment(source, destination, tcp.seq, tcp.ack, flags, bytes(tcp.data))


def _parse_icmp(body: bytes) -> Result[Packet, MalformedPacket]:
    if dpkt.in_cksum(body) != 0:
        return Failure(MalformedPacket("wrong ICMP checksum"))
    match parse_addresses(body[8:]):
        case Success(quoted):
            return Success(
                IcmpError(body[0], body[1], quoted.source, quoted.destination)
            )
        case _:
            return Failure(MalformedPacket("ICMP message quotes no valid IPv4 packet"))


def _transport_checksum_valid(packet: dpkt.ip.IP, body: bytes) -> bool:
    pseudo_header = (
        packet.src + packet.dst + struct.pack(">BBH", 0, packet.p, len(body))
    )
    return bool(dpkt.in_cksum(pseudo_header + body) == 0)


def _endpoints(
    packet: dpkt.ip.IP, source_port: int, destination_port: int
) -> tuple[Endpoint, Endpoint]:
    source = Endpoint(socket.inet_ntoa(packet.src), source_port)
    destination = Endpoint(socket.inet_ntoa(packet.dst), destination_port)
    return source, destination
