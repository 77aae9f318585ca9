"""Encoding and decoding of the platform's packets, byte by byte."""

import unittest

from wasabigw.core.cluster import Endpoint, Registration
from wasabigw.core.ids import BackendServerId, FailureDomainId, ServiceId, Tag
from wasabigw.core.tags.decisions import Receiver
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw_platform.packets import PlatformPackets, receiver_number

OPENING = bytes.fromhex(
    "a1b2c3d5 0000 00000000 9c41 64400007 c6120001 01bb 80 00 11223344 00000000"
)
"""SYN from 100.64.0.7:40001 to 198.18.0.1:443."""

FLOW = FlowId(0x64400007, 40001, 0xC6120001, 443)
SERVER = Registration(
    Tag(0x01020304),
    BackendServerId("i-7f3a91c2"),
    ServiceId("seats"),
    FailureDomainId("recife"),
    Endpoint("10.128.0.9", 8080),
    1000,
    4,
)


def packet(flags: int, echo: int, ack: int, payload: bytes = b"") -> bytes:
    """A packet of the flow of :data:`OPENING`."""
    head = bytearray(OPENING)
    head[4:6] = len(payload).to_bytes(2, "big")
    head[6:10] = echo.to_bytes(4, "big")
    head[22] = flags
    head[28:32] = ack.to_bytes(4, "big")
    return bytes(head) + payload


class Packets(unittest.TestCase):
    """Guards against packets that differ from the format of the platform."""

    def setUp(self) -> None:
        self.codec = PlatformPackets(8172)

    def parsed(self, datagram: bytes) -> FlowPacket:
        found = self.codec.parse(datagram)
        assert isinstance(found, FlowPacket), found
        return found

    def test_an_opening_packet(self) -> None:
        expected = FlowPacket(FLOW, Tag(0), True, False, False, 0, 0x11223344, 0, 0)
        self.assertEqual(self.parsed(OPENING), expected)

    def test_acknowledgement_of_an_opening_packet_counts_retransmissions(self) -> None:
        found = self.parsed(packet(128, 0, 2))
        self.assertEqual((found.repeat, found.acknowledged), (2, 0))

    def test_data_and_the_end_of_a_flow(self) -> None:
        found = self.parsed(packet(32, 7, 900, b"GET"))
        expected = (Tag(7), False, 0, 900, 3)
        self.assertEqual(
            (
                found.tag,
                found.is_opening,
                found.repeat,
                found.acknowledged,
                found.length,
            ),
            expected,
        )
        self.assertTrue(self.parsed(packet(32 | 8, 7, 900)).is_closing)
        self.assertTrue(self.parsed(packet(16, 7, 900)).is_reset)

    def test_malformed_datagrams_give_the_reason(self) -> None:
        cases = {
            b"": "malformed-short",
            OPENING[:31]: "malformed-short",
            OPENING + b"x": "malformed-length",
            packet(32, 7, 1, b"x" * 1201): "malformed-length",
            packet(128 | 32, 0, 0): "malformed-flags",
        }
        for datagram, reason in cases.items():
            with self.subTest(reason=reason, length=len(datagram)):
                self.assertEqual(self.codec.parse(datagram), reason)

    def test_a_delivery_prepends_the_receiver_and_changes_only_the_tag(self) -> None:
        sent = packet(32, 7, 900, b"GET")
        datagram, address = self.codec.encode_delivery(sent, SERVER, Receiver.NAMED)
        self.assertEqual(address, ("10.128.0.9", 8080))
        self.assertEqual(datagram[:8], bytes.fromhex("000000007f3a91c2"))
        self.assertEqual(datagram[8:14], sent[:6])
        self.assertEqual(datagram[14:18], bytes.fromhex("01020304"))
        self.assertEqual(datagram[18:], sent[10:])

    # A backend server ignores a packet that names the one that ran at its address.
    def test_a_delivery_to_any_receiver_names_none(self) -> None:
        sent = packet(32, 7, 900, b"GET")
        named, _ = self.codec.encode_delivery(sent, SERVER, Receiver.NAMED)
        datagram, address = self.codec.encode_delivery(sent, SERVER, Receiver.ANY)
        self.assertEqual(address, ("10.128.0.9", 8080))
        self.assertEqual(datagram, bytes(8) + named[8:])

    def test_a_reset_equals_the_example_of_the_platform(self) -> None:
        datagram, address = self.codec.encode_reset(self.parsed(OPENING))
        expected = (
            "00000000 0000 00000000 01bb c6120001 64400007 9c41 10 00 00000000 00000000"
        )
        self.assertEqual(datagram, bytes.fromhex(expected))
        self.assertEqual(address, ("100.64.0.7", 8172))

    def test_a_reset_of_an_open_flow_has_the_expected_sequence_number(self) -> None:
        datagram, _ = self.codec.encode_reset(self.parsed(packet(32, 7, 0xABCDEF)))
        self.assertEqual(int.from_bytes(datagram[24:28], "big"), 0xABCDEF)

    def test_receiver_number_consists_of_the_hex_digits_of_the_id(self) -> None:
        cases = {"i-7f3a91c2": 0x7F3A91C2, "i-": None, "x": None, "f" * 17: None}
        for name, number in cases.items():
            with self.subTest(name=name):
                self.assertEqual(receiver_number(BackendServerId(name)), number)


if __name__ == "__main__":
    unittest.main()
