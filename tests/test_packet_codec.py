"""Geneve frames and IPv4 packets: checksums, replies and malformed input."""

import struct
import unittest
from typing import Any

import dpkt
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from wasabigw.codec import geneve, ipv4
from wasabigw.core.flows.forwarding import Forwarding, QueriedBalancer

CALLER, SERVICE, BACKEND = 0x0A090001, 0x0A000001, 0x0A010007
ADDRESS = st.integers(1, 0xFFFFFFFE)
PORT = st.integers(1, 0xFFFF)


def packed(address: int) -> bytes:
    """Network form of an address."""
    return struct.pack("!I", address)


def packet(protocol: int, body: bytes, flags: int = ipv4.ACK) -> bytes:
    """Packet of a caller to the service, encoded and checksummed by dpkt."""
    transport: Any
    if protocol == ipv4.PROTOCOL_TCP:
        transport = dpkt.tcp.TCP(sport=5000, dport=80, flags=flags, data=body, seq=9)
    else:
        transport = dpkt.udp.UDP(sport=5000, dport=80, data=body)
        transport.ulen = 8 + len(body)
    ip = dpkt.ip.IP(
        src=packed(CALLER), dst=packed(SERVICE), p=protocol, ttl=9, data=transport
    )
    ip.len = 20 + len(bytes(transport))
    return bytes(ip)


def recomputed(data: bytes) -> bytes:
    """The same packet with checksums that dpkt has recomputed."""
    ip = dpkt.ip.IP(data)
    ip.sum = 0
    if not isinstance(ip.data, bytes):
        ip.data.sum = 0
    return bytes(ip)


class Rewriting(unittest.TestCase):
    """Guards against packets that receivers discard because of a wrong checksum."""

    @given(
        st.sampled_from((6, 17)), st.binary(max_size=40), ADDRESS, PORT, st.booleans()
    )
    def test_checksums_match_a_full_computation(
        self, protocol: int, body: bytes, address: int, port: int, forward: bool
    ) -> None:
        buffer = bytearray(packet(protocol, body))
        segment = ipv4.parse(buffer, 0, len(buffer)).unwrap()
        if forward:
            change = ipv4.make_rewrite(SERVICE, 80, address, port)
            ipv4.rewrite_destination(buffer, segment, change)
        else:
            change = ipv4.make_rewrite(CALLER, 5000, address, port)
            ipv4.rewrite_source(buffer, segment, change)
        self.assertEqual(bytes(buffer), recomputed(bytes(buffer)))
        after = ipv4.parse(buffer, 0, len(buffer)).unwrap()
        self.assertEqual(after.ttl, segment.ttl - 1)
        changed = (
            (after.destination, after.destination_port)
            if forward
            else (after.source, after.source_port)
        )
        self.assertEqual(changed, (address, port))

    def test_udp_without_checksum_stays_without(self) -> None:
        buffer = bytearray(packet(17, b"abc"))
        buffer[26:28] = b"\0\0"
        segment = ipv4.parse(buffer, 0, len(buffer)).unwrap()
        change = ipv4.make_rewrite(SERVICE, 80, BACKEND, 8080)
        ipv4.rewrite_destination(buffer, segment, change)
        self.assertEqual(buffer[26:28], b"\0\0")

    @given(st.sampled_from((6, 17)), ADDRESS, PORT)
    def test_quoted_packet_is_rewritten_with_the_error(
        self, protocol: int, address: int, port: int
    ) -> None:
        answer = bytearray(packet(protocol, b"x" * 9))
        answer[12:16], answer[16:20] = packed(SERVICE), packed(CALLER)
        answer[20:24] = struct.pack("!HH", 80, 5000)
        sent = ipv4.parse(answer, 0, len(answer)).unwrap()
        body = ipv4.unreachable_for(answer, sent, ipv4.CODE_FRAGMENTATION_NEEDED)
        buffer = bytearray(body)
        segment = ipv4.parse(buffer, 0, len(buffer)).unwrap()
        change = ipv4.make_rewrite(SERVICE, 80, address, port)
        ipv4.rewrite_error_destination(buffer, segment, change)
        self.assertEqual(bytes(buffer), recomputed(bytes(buffer)))
        after = ipv4.parse(buffer, 0, len(buffer)).unwrap()
        self.assertEqual(after.destination, address)
        quoted = after.quoted
        assert quoted is not None
        self.assertEqual((quoted.source, quoted.source_port), (address, port))
        self.assertEqual(ipv4.checksum(buffer[quoted.start : quoted.transport]), 0)


class Replies(unittest.TestCase):
    """Guards against resets and ICMP errors that the caller's network stack ignores."""

    def test_reset_acknowledges_an_opening_packet(self) -> None:
        data = packet(6, b"", ipv4.SYN)
        segment = ipv4.parse(data, 0, len(data)).unwrap()
        reply = ipv4.reset_for(data, segment)
        self.assertEqual(reply, recomputed(reply))
        tcp = dpkt.ip.IP(reply).data
        self.assertEqual((tcp.flags, tcp.ack), (ipv4.RST | ipv4.ACK, 10))
        self.assertEqual((tcp.sport, tcp.dport), (80, 5000))

    def test_reset_takes_the_expected_sequence_number(self) -> None:
        data = packet(6, b"abc")
        segment = ipv4.parse(data, 0, len(data)).unwrap()
        tcp = dpkt.ip.IP(ipv4.reset_for(data, segment)).data
        self.assertEqual((tcp.flags, tcp.seq), (ipv4.RST, 0))

    def test_fragmentation_needed_carries_the_mtu(self) -> None:
        data = bytearray(packet(17, b"abcdefgh"))
        data[6:8] = b"\x20\x00"
        segment = ipv4.parse(data, 0, len(data)).unwrap()
        self.assertTrue(segment.is_first_fragment)
        reply = ipv4.fragmentation_needed_for(data, segment)
        self.assertEqual(reply, recomputed(reply))
        icmp = dpkt.ip.IP(reply).data
        self.assertEqual((icmp.type, icmp.code, icmp.data.mtu), (3, 4, 1400))


QUERIED = st.builds(
    QueriedBalancer, st.integers(0, 0xFFFF), st.booleans(), st.integers(0, 0xFFFFFFFF)
)
FORWARDING = st.builds(
    Forwarding,
    st.integers(0, 6),
    st.integers(0, 255),
    st.booleans(),
    st.booleans(),
    st.booleans(),
    st.booleans(),
    st.lists(QUERIED, max_size=geneve.MAX_QUERIED).map(tuple),
)


class Frames(unittest.TestCase):
    """Guards against options that change in transit and input that raises an error."""

    @given(FORWARDING, st.binary(min_size=16, max_size=16), st.integers(0, 2**64 - 1))
    def test_options_round_trip(
        self, forwarding: Forwarding, trace_id: bytes, revision: int
    ) -> None:
        trace = geneve.Trace(trace_id, trace_id[:8])
        binding = geneve.Binding(revision, 7, 30)
        ping = geneve.Ping(3, revision, True)
        options = (
            geneve.encode_forward(forwarding),
            geneve.encode_trace(trace),
            geneve.encode_binding(binding),
            geneve.encode_ping(ping),
        )
        frame = geneve.header(options, oam=True)
        expected = geneve.Frame(len(frame), True, forwarding, trace, binding, ping)
        self.assertEqual(geneve.parse(frame, len(frame)), Success(expected))

    @given(st.binary(max_size=120))
    def test_arbitrary_bytes_never_raise(self, data: bytes) -> None:
        for parsed in (
            geneve.parse(data, len(data)),
            ipv4.parse(data, 0, len(data)),
        ):
            self.assertIsInstance(parsed, (Success, Failure))

    @given(st.sampled_from((6, 17)), st.data())
    def test_corrupt_packets_never_raise(self, protocol: int, data: Any) -> None:
        option = geneve.encode_forward(
            Forwarding(1, 2, queried=(QueriedBalancer(1, True, 3),))
        )
        frame = bytearray(geneve.header((option,)) + packet(protocol, b"abc"))
        for _ in range(data.draw(st.integers(1, 4))):
            frame[data.draw(st.integers(0, 40))] = data.draw(st.integers(0, 255))
        end = data.draw(st.integers(0, len(frame)))
        parsed = geneve.parse(frame, end)
        if isinstance(parsed, Success):
            inner = ipv4.parse(frame, parsed.unwrap().inner, end)
            self.assertIsInstance(inner, (Success, Failure))
