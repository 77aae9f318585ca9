"""UDP socket of a balancer, which tells how long each datagram has waited in it."""

import socket
import struct
import time
from contextlib import ExitStack
from math import inf
from typing import NamedTuple, Self

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.tasks.tag_codec import Address

MAX_DATAGRAM = 65_536
"""Size of the largest possible datagram, in bytes."""
BUFFER_SIZE = 1024 * 1024
"""Size of the receive buffer in the kernel, in bytes."""
_SO_TIMESTAMPNS = 35
"""Linux option that reports when a datagram arrived; :mod:`socket` has no name for it.

Its number is the same on x86-64 and on arm64.
"""
NANOSECONDS = 1_000_000_000
_TIMESTAMP = struct.Struct("@ll")
"""Seconds and nanoseconds of the time of day."""
_ANCILLARY_SIZE = socket.CMSG_SPACE(_TIMESTAMP.size)


class Received(NamedTuple):
    """A datagram.

    :param waited: time that it spent in the receive buffer: zero if the kernel does not
        tell, and infinite if the time of day was set back meanwhile.
    """

    data: bytes
    waited: Seconds


class PacketSocket:
    """Non-blocking UDP socket, open until its context ends."""

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._resources = ExitStack()
        self._resources.enter_context(self._socket)

    @property
    def address(self) -> Address:
        """Address at which datagrams are received."""
        address: Address = self._socket.getsockname()
        return address

    @property
    def buffer_size(self) -> int:
        """Size of the receive buffer that the kernel has granted, in bytes."""
        return self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)

    def __enter__(self) -> Self:
        """Enter the context."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Close the socket."""
        self._resources.close()

    def fileno(self) -> int:
        """Descriptor, for selectors."""
        return self._socket.fileno()

    def bind(self, endpoint: Endpoint) -> None:
        """Begin to receive at an endpoint.

        :raises OSError: if it can't be bound.
        """
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_SIZE)
        self._socket.setsockopt(socket.SOL_SOCKET, _SO_TIMESTAMPNS, 1)
        self._socket.bind((endpoint.address, endpoint.port))

    def receive(self) -> Received:
        """Read the next datagram.

        :raises BlockingIOError: if none is left.
        :raises OSError: for an ICMP error that a datagram sent earlier has caused.
        """
        data, ancillary, _flags, _sender = self._socket.recvmsg(
            MAX_DATAGRAM, _ANCILLARY_SIZE
        )
        for level, kind, value in ancillary:
            if (level, kind) == (socket.SOL_SOCKET, _SO_TIMESTAMPNS):
                return Received(data, _time_since(value))
        return Received(data, Seconds(0.0))

    def is_empty(self) -> bool:
        """Whether no datagram waits.

        :raises OSError: for an ICMP error that a datagram sent earlier has caused.
        """
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        return False

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a datagram.

        :raises OSError: if the kernel does not take it.
        :raises OverflowError: if the port is out of range.
        """
        self._socket.sendto(datagram, address)


def _time_since(timestamp: bytes) -> Seconds:
    seconds, nanoseconds = _TIMESTAMP.unpack(timestamp)
    waited = time.time_ns() - seconds * NANOSECONDS - nanoseconds
    return Seconds(waited / NANOSECONDS if waited >= 0 else inf)


def make_packet_socket() -> PacketSocket:
    """Create the socket; it is bound later."""
    return PacketSocket()
