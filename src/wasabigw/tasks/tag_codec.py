"""Codecs that a front end provides for delivery by tags."""

from typing import Protocol

from returns.result import Result

from wasabigw.core.declaration import Declaration
from wasabigw.core.registration import DeclaredDocument, Registration
from wasabigw.core.tags.decisions import Receiver
from wasabigw.core.tags.packets import FlowPacket

Address = tuple[str, int]


class FlowPacketCodec(Protocol):
    """Codec of the packets that callers and backend servers exchange."""

    def parse(self, datagram: bytes) -> FlowPacket | str:
        """Parse a datagram.

        :returns: the packet of a caller, or the name of the counter for datagrams that
            are rejected for the same reason.
        """

    def encode_delivery(
        self, datagram: bytes, server: Registration, receiver: Receiver
    ) -> tuple[bytes, Address]:
        """Encode the delivery of a packet to a backend server, with its tag."""

    def encode_reset(self, packet: FlowPacket) -> tuple[bytes, Address]:
        """Encode a reset, which tells the caller that its flow is refused."""


class DocumentDecoder(Protocol):
    """Decoder of the documents in which operators declare a configuration."""

    def __call__(self, document: DeclaredDocument) -> Result[Declaration, str]:
        """Decode a document; a failure says what is wrong with it."""
