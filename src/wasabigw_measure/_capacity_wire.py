"""Bytes on the wire and processor time of control messages over real HTTP."""

import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Self, TypeVar

from returns.result import Failure, Result, Success

from wasabigw.codec import geneve, ipv4
from wasabigw.codec.geneve import Binding
from wasabigw.codec.messages import encode
from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.log_messages import AnnouncementOutcome
from wasabigw.tasks.control_client import CallProblem, ControlCall, ControlClient
from wasabigw.tasks.ping_frames import ping_frame

TCP_IP_HEADERS = 52
"""Bytes of IPv4 and TCP headers with the timestamp option."""
UDP_IP_HEADERS = 28
SEGMENT = 1_448
"""Payload of one TCP segment in bytes."""
WARM_UP = 20
ANSWER_WAIT = Seconds(10.0)
"""Time after which a call without an answer is not made again."""

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class Exchange:
    """Cost of one request and its response.

    :param sent: bytes from the client, including TCP and IP headers.
    :param received: bytes from the server, including TCP and IP headers.
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
class _TrafficCount:
    size: int = 0
    segments: int = 0

    def add(self, size: int) -> None:
        self.size += size
        self.segments += -(-size // SEGMENT)


@dataclass(slots=True)
class CountingProxy:
    """TCP proxy for one connection to a server that counts bytes and segments."""

    server: Endpoint
    requests: _TrafficCount = field(default_factory=_TrafficCount)
    responses: _TrafficCount = field(default_factory=_TrafficCount)
    _listener: socket.socket = field(default_factory=socket.socket)

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint at which the proxy listens."""
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
        upstream = socket.create_connection((self.server.address, self.server.port))
        pairs = ((client, upstream, self.requests), (upstream, client, self.responses))
        for source, sink, count in pairs:
            arguments = (source, sink, count)
            threading.Thread(target=_copy_stream, args=arguments, daemon=True).start()


def _copy_stream(
    source: socket.socket, sink: socket.socket, count: _TrafficCount
) -> None:
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
    """Measure the cost of a call to a server that runs in this process.

    One acknowledgement without payload is counted per segment. The processor time of
    the server is that of the process minus that of the client's thread. If a call gets
    no answer in time, as on a busy machine, all calls are measured again.
    """
    return until_answered(lambda: _try_exchange(server, call, count))


def until_answered(attempt: Callable[[], Result[Value, CallProblem]]) -> Value:
    """Value of the first attempt without a problem, for up to :data:`ANSWER_WAIT`."""
    deadline = time.monotonic() + ANSWER_WAIT
    while True:
        outcome = attempt()
        if isinstance(outcome, Success) or time.monotonic() > deadline:
            return outcome.unwrap()


def _try_exchange(
    server: Endpoint, call: Callable[[], ControlCall], count: int
) -> Result[Exchange, CallProblem]:
    with CountingProxy(server) as proxy, ControlClient((proxy.endpoint,)) as client:
        warmed_up = _call_repeatedly(client, call, WARM_UP)
        sent, received = _bytes_per_call(proxy.requests, proxy.responses, WARM_UP)
    if isinstance(warmed_up, Failure):
        return warmed_up
    with ControlClient((server,)) as client:
        warmed_up = _call_repeatedly(client, call, WARM_UP)
        process_cpu, client_cpu = time.process_time(), time.thread_time()
        measured = warmed_up.bind(lambda _: _call_repeatedly(client, call, count))
        client_cpu = time.thread_time() - client_cpu
        process_cpu = time.process_time() - process_cpu
    client_share, server_share = client_cpu / count, (process_cpu - client_cpu) / count
    return measured.map(lambda _: Exchange(sent, received, client_share, server_share))


def _call_repeatedly(
    client: ControlClient, call: Callable[[], ControlCall], count: int
) -> Result[None, CallProblem]:
    """Make a number of calls, up to the first one without an answer."""
    for _ in range(count):
        outcome = client.call(call())
        if isinstance(outcome, Failure):
            return outcome
    return Success(None)


def _bytes_per_call(
    requests: _TrafficCount, responses: _TrafficCount, calls: int
) -> tuple[float, float]:
    def direction_bytes(count: _TrafficCount, other: _TrafficCount) -> float:
        headers = (count.segments + other.segments) * TCP_IP_HEADERS
        return (count.size + headers) / calls

    return direction_bytes(requests, responses), direction_bytes(responses, requests)


def ping_bytes() -> int:
    """Size of a PING frame, including UDP and IP headers."""
    return UDP_IP_HEADERS + len(ping_frame(1, 1, reply=False))


def binding_bytes() -> int:
    """Size of a BINDING frame, including UDP and IP headers."""
    option = geneve.encode_binding(Binding(1, 1, 30))
    inner = ipv4.flow_headers(ipv4.PROTOCOL_TCP, 1, 1, 2, 2)
    return UDP_IP_HEADERS + len(geneve.header((option,), oam=True)) + len(inner)


def make_announcement_call(announcement: Any) -> ControlCall:
    """Call that announces a backend server."""
    return ControlCall(
        "POST",
        "/v1/announcements",
        AnnouncementOutcome,
        body=encode(announcement),
        wait=Seconds(5.0),
    )
