"""Frames of the data path benchmark: opening, mid-flow and answer packets."""

import struct

from wasabigw.codec import geneve, ipv4
from wasabigw.codec.geneve import Binding
from wasabigw.core.flows.keys import address_number

SERVICE = (address_number("10.0.0.1"), 443)
BACKEND_PORT = 8080
FIRST_CALLER = address_number("172.16.0.0")
CALLER_PORT = 40_000
CALLERS = 1_000
"""Number of callers that send the mid-flow packets."""
PAYLOAD = bytes(500)
"""TCP payload; with its headers, an inner packet has 540 bytes."""

_SOURCE_ADDRESS_OFFSET = geneve.HEADER_LENGTH + 12


def backend_address(number: int) -> int:
    """Address of a backend server."""
    return address_number("10.1.0.0") + number


def tcp_frame(
    source: tuple[int, int],
    destination: tuple[int, int],
    flags: int,
    payload: bytes = PAYLOAD,
) -> bytes:
    """Geneve frame without options around a TCP packet with correct checksums."""
    tcp = struct.pack(
        "!HHIIHHHH", source[1], destination[1], 1, 2, 5 << 12 | flags, 9, 0, 0
    )
    data = tcp + payload
    pseudo_header = struct.pack("!IIBBH", source[0], destination[0], 0, 6, len(data))
    checksum = struct.pack("!H", ipv4.checksum(pseudo_header + data))
    data = data[:16] + checksum + data[18:]
    fields = (0x45, 0, 20 + len(data), 1, 0x4000, 64, 6, 0, source[0], destination[0])
    header = struct.pack("!BBHHHBBHII", *fields)
    checksum = struct.pack("!H", ipv4.checksum(header))
    return geneve.PLAIN_HEADER + header[:10] + checksum + header[12:] + data


def data_frames(count: int) -> list[bytes]:
    """Mid-flow packets from callers."""
    return [
        tcp_frame((FIRST_CALLER + n, CALLER_PORT), SERVICE, ipv4.ACK)
        for n in range(count)
    ]


def answer_frames(count: int, backend_servers: int) -> list[bytes]:
    """Mid-flow packets from backend servers."""
    return [
        tcp_frame(
            (backend_address(n % backend_servers), BACKEND_PORT),
            (FIRST_CALLER + n, CALLER_PORT),
            ipv4.ACK,
        )
        for n in range(count)
    ]


def opening_frame() -> bytearray:
    """Opening packet, whose caller :func:`set_caller` replaces."""
    return bytearray(tcp_frame((FIRST_CALLER, CALLER_PORT), SERVICE, ipv4.SYN, b""))


def set_caller(frame: bytearray, number: int) -> None:
    """Replace the caller of an opening packet, without updating the checksums.

    A balancer updates checksums incrementally and never verifies them.
    """
    struct.pack_into("!I", frame, _SOURCE_ADDRESS_OFFSET, FIRST_CALLER + number)


def binding_frame(number: int, backend_index: int) -> bytes:
    """BINDING frame for the flow of a mid-flow packet."""
    option = geneve.encode_binding(Binding(1, backend_index, 30))
    caller = (FIRST_CALLER + number, CALLER_PORT)
    inner = ipv4.flow_headers(ipv4.PROTOCOL_TCP, *caller, *SERVICE)
    return geneve.header((option,), oam=True) + inner
