"""What a front end has to offer for delivery by tags: its encodings."""

from typing import Protocol

from returns.result import Result

from wasabigw.core.declaration import Declaration
from wasabigw.core.registration import DeclaredDocument, Registration
from wasabigw.core.tags.packets import FlowPacket

Address = tuple[str, int]


class FlowPacketCodec(Protocol):
    """Encoding of the packets that callers and backend servers exchange."""

    def parse(self, datagram: bytes) -> FlowPacket | str:
        """Packet of a caller, or why the datagram is none in a word for counters."""

    def encode_delivery(
        self, datagram: bytes, server: Registration
    ) -> tuple[bytes, Address]:
        """Datagram that carries a packet to a backend server, with its tag."""

    def encode_reset(self, packet: FlowPacket) -> tuple[bytes, Address]:
        """Datagram that tells the caller of a packet that its flow is refused."""


class DocumentDecoder(Protocol):
    """Reads the documents in which operators declare a configuration."""

    def __call__(self, document: DeclaredDocument) -> Result[Declaration, str]:
        """Declaration, or what is wrong with the document."""
