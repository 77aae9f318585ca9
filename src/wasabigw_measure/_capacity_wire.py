"""Bytes on the wire and processor time of the control messages, over real HTTP."""

import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Self

from wasabigw.codec import geneve, ipv4
from wasabigw.codec.geneve import Binding
from wasabigw.codec.messages import encode
from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.log_messages import AnnouncementOutcome
from wasabigw.tasks.control_client import ControlCall, ControlClient
from wasabigw.tasks.ping_frames import ping_frame

TCP_IP_HEADERS = 52
"""Bytes of IPv4 and TCP headers with the timestamp option."""
UDP_IP_HEADERS = 28
SEGMENT = 1_448
"""Bytes of payload in one TCP segment."""
WARM_UP = 20


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request and its response.

    :param sent: bytes of the request, with TCP and IP.
    :param received: bytes of the response, with TCP and IP.
    :param client: seconds of processor time at the client.
    :param server: seconds of processor time at the server.
    """

    sent: float
    received: float
    client: float
    server: float

    @property
    def total(self) -> float:
        """Bytes in both directions."""
        return self.sent + self.received


@dataclass(slots=True)
class _Count:
    size: int = 0
    segments: int = 0

    def add(self, size: int) -> None:
        self.size += size
        self.segments += -(-size // SEGMENT)


@dataclass(slots=True)
class CountingRelay:
    """Relays one TCP connection at a time to a server and counts the bytes."""

    server: Endpoint
    requests: _Count = field(default_factory=_Count)
    responses: _Count = field(default_factory=_Count)
    _listener: socket.socket = field(default_factory=socket.socket)

    @property
    def endpoint(self) -> Endpoint:
        """Where clients connect."""
        address, port = self._listener.getsockname()
        return Endpoint(address, port)

    def __enter__(self) -> Self:
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        try:
            client, _ = self._listener.accept()
        except OSError:
            return
        onward = socket.create_connection((self.server.address, self.server.port))
        pairs = ((client, onward, self.requests), (onward, client, self.responses))
        for source, sink, count in pairs:
            arguments = (source, sink, count)
            threading.Thread(target=_pump, args=arguments, daemon=True).start()


def _pump(source: socket.socket, sink: socket.socket, count: _Count) -> None:
    with source:
        while data := source.recv(65_536):
            count.add(len(data))
            sink.sendall(data)
        try:
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            return


def measure_exchange(
    server: Endpoint, call: Callable[[], ControlCall], count: int
) -> Exchange:
    """Cost of a call to a running server of this process.

    Each segment counts with one acknowledgement without payload. The processor time
    of the server is that of the whole process without the client's thread.
    """
    with CountingRelay(server) as relay, ControlClient((relay.endpoint,)) as client:
        for _ in range(WARM_UP):
            client.call(call()).unwrap()
        sent, received = _wire(relay.requests, relay.responses, WARM_UP)
    with ControlClient((server,)) as client:
        for _ in range(WARM_UP):
            client.call(call()).unwrap()
        whole, own = time.process_time(), time.thread_time()
        for _ in range(count):
            client.call(call()).unwrap()
        own = time.thread_time() - own
        whole = time.process_time() - whole
    return Exchange(sent, received, own / count, (whole - own) / count)


def _wire(requests: _Count, responses: _Count, calls: int) -> tuple[float, float]:
    def wire(count: _Count, other: _Count) -> float:
        headers = (count.segments + other.segments) * TCP_IP_HEADERS
        return (count.size + headers) / calls

    return wire(requests, responses), wire(responses, requests)


def ping_bytes() -> int:
    """Bytes of a PING frame with UDP and IP."""
    return UDP_IP_HEADERS + len(ping_frame(1, 1, reply=False))


def binding_bytes() -> int:
    """Bytes of a BINDING frame with UDP and IP."""
    option = geneve.encode_binding(Binding(1, 1, 30))
    inner = ipv4.flow_headers(ipv4.PROTOCOL_TCP, 1, 1, 2, 2)
    return UDP_IP_HEADERS + len(geneve.header((option,), oam=True)) + len(inner)


def announcement_call(announcement: Any) -> ControlCall:
    """Call that announces a backend server."""
    return ControlCall(
        "POST",
        "/v1/announcements",
        AnnouncementOutcome,
        body=encode(announcement),
        wait=Seconds(5.0),
    )
