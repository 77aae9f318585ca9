"""Clients and servers that exchange the packets of flows over UDP."""

import hashlib
import heapq
import ipaddress
import itertools
import random
import secrets
import selectors
import socket
import struct
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

FlowKey = tuple[str, int, str, int]
"""Addresses and ports of the client's end and of the listener."""

SYN, ACK, FIN, RST = 128, 32, 8, 16
BOUNCED = 2
_HEADER = struct.Struct(">IHIHIIHBBII")
_RECEIVER = struct.Struct(">Q")
_KEY = secrets.token_bytes(16)
"""Key of the sum, known to the two ends only."""
SYN_COPIES_S = (0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
FIRST_RETRY_S = 0.2
LAST_RETRY_S = 1.6
PACKETS_PER_ACKNOWLEDGEMENT = 2
QUEUE = 16
REJECTED = "503 X-Wasabigw-Not-Executed"
MASK = 0xFFFFFFFF


@dataclass(frozen=True)
class Packet:
    """One packet of a flow."""

    src: str
    sport: int
    dst: str
    dport: int
    flags: int
    seq: int
    ack: int
    echo: int = 0
    data: bytes = b""
    checksum: int = 0

    def encode(self) -> bytes:
        """Encode the packet with its sum."""
        return self._header(self._sum(), self.echo) + self.data

    @property
    def is_genuine(self) -> bool:
        """Whether the sum is the one that its sender wrote."""
        return self.checksum == self._sum()

    def _sum(self) -> int:
        content = self._header(0, 0) + self.data
        return int.from_bytes(
            hashlib.blake2b(content, key=_KEY, digest_size=4).digest()
        )

    def _header(self, checksum: int, echo: int) -> bytes:
        return _HEADER.pack(
            checksum,
            len(self.data),
            echo,
            self.sport,
            int(ipaddress.IPv4Address(self.src)),
            int(ipaddress.IPv4Address(self.dst)),
            self.dport,
            self.flags & ~BOUNCED,
            0,
            self.seq & MASK,
            self.ack & MASK,
        )


def decode(datagram: bytes) -> Packet:
    """Decode a packet."""
    checksum, length, echo, sport, src, dst, dport, flags, _, seq, ack = (
        _HEADER.unpack_from(datagram)
    )
    data = datagram[_HEADER.size : _HEADER.size + length]
    source, target = ipaddress.IPv4Address(src), ipaddress.IPv4Address(dst)
    return Packet(
        str(source),
        sport,
        str(target),
        dport,
        flags & ~BOUNCED,
        seq,
        ack,
        echo,
        data,
        checksum,
    )


@dataclass
class _ServerFlow:
    key: FlowKey
    seq: int
    expected: int
    echo: int
    unacknowledged: int = 0
    is_working: bool = False
    is_open: bool = False
    has_ended: bool = False
    opened_at: float = 0.0
    last_answer: Packet | None = None


@dataclass
class Run:
    """A request that a server ran."""

    at: float
    server: str
    request: str
    opened_at: float


@dataclass
class Opening:
    """An opening packet that a server took."""

    at: float
    server: str
    client: str
    port: int


class Server:
    """A backend, which answers each request in one packet.

    It acknowledges every second packet; its answers acknowledge as well. A client sends
    a packet again that is not acknowledged within 200 ms.

    :param caller_port: port on which every client receives packets.
    :param slots: requests that are processed at the same time; :data:`QUEUE` others are
        queued, and further ones are rejected.
    :param work_s: returns how long the next request is processed.
    """

    def __init__(
        self,
        name: str,
        address: str,
        port: int,
        caller_port: int,
        version: str = "",
        slots: int = 4,
        work_s: Callable[[], float] | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.port = port
        self.runs: list[Run] = []
        self.openings: list[Opening] = []
        self.resets: list[tuple[float, str, int]] = []
        self.rejected = 0
        self.longest_wait_s = 0.0
        self._version = version
        self._slots = slots
        self._work_s = work_s
        self._number = int("".join(c for c in name if c in "0123456789abcdef"), 16)
        self._caller_port = caller_port
        self._flows: dict[FlowKey, _ServerFlow] = {}
        self._queue: deque[tuple[float, _ServerFlow, str]] = deque()
        self._working: list[tuple[float, int, _ServerFlow, str]] = []
        self._order = itertools.count()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2**20)
        self._socket.bind((address, port))
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to answer packets."""
        self._thread.start()

    def stop(self) -> None:
        """End the server."""
        self._stopped.set()
        self._thread.join()
        self._socket.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            wait = 0.1
            if self._working:
                wait = min(wait, self._working[0][0] - time.monotonic())
            self._socket.settimeout(max(0.0005, wait))
            try:
                datagram, _ = self._socket.recvfrom(65_536)
            except OSError:
                datagram = b""
            if len(datagram) >= _RECEIVER.size + _HEADER.size:
                (number,) = _RECEIVER.unpack_from(datagram)
                packet = decode(datagram[_RECEIVER.size :])
                if number in (0, self._number) and packet.is_genuine:
                    self._receive(packet)
            self._work()

    def _work(self) -> None:
        now = time.monotonic()
        while self._working and self._working[0][0] <= now:
            _, _, flow, request = heapq.heappop(self._working)
            self._finish(flow, request)
        while self._queue and len(self._working) < self._slots:
            arrived, flow, request = self._queue.popleft()
            self.longest_wait_s = max(self.longest_wait_s, now - arrived)
            self.runs.append(Run(now, self.name, request, flow.opened_at))
            if self._work_s is None:
                self._finish(flow, request)
                continue
            until = now + self._work_s()
            heapq.heappush(self._working, (until, next(self._order), flow, request))

    def _finish(self, flow: _ServerFlow, request: str) -> None:
        text = f"{self.name} {self._version} {request}".encode()
        flow.is_working = False
        flow.last_answer = self._packet(flow, ACK, text)
        flow.seq = (flow.seq + len(text)) & MASK
        flow.unacknowledged = 0
        self._deliver(flow.last_answer)

    def _receive(self, packet: Packet) -> None:
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self._flows.get(key)
        if packet.flags & SYN:
            self._open(key, packet, flow)
        elif flow is None or (flow.has_ended and packet.data):
            self.resets.append((time.monotonic(), packet.src, packet.sport))
            reset = _ServerFlow(key, packet.ack, 0, 0)
            self._deliver(self._packet(reset, RST))
        elif packet.flags & RST:
            del self._flows[key]
        else:
            self._continue(packet, flow)

    def _open(self, key: FlowKey, packet: Packet, flow: _ServerFlow | None) -> None:
        expected = (packet.seq + 1) & MASK
        if flow is None or flow.has_ended or flow.expected != expected:
            flow = _ServerFlow(key, random.getrandbits(32), expected, packet.echo)
            self._flows[key] = flow
            now = time.monotonic()
            self.openings.append(Opening(now, self.name, packet.src, packet.sport))
        if not flow.is_open:
            self._deliver(self._packet(flow, SYN | ACK))

    def _continue(self, packet: Packet, flow: _ServerFlow) -> None:
        flow.echo = packet.echo
        if not flow.is_open:
            if packet.ack != (flow.seq + 1) & MASK:
                return
            flow.is_open, flow.opened_at = True, time.monotonic()
            flow.seq = (flow.seq + 1) & MASK
        if packet.data:
            self._take(packet, flow)
        elif packet.flags & FIN:
            if not flow.has_ended:
                flow.has_ended = True
                flow.expected = (packet.seq + 1) & MASK
            self._deliver(self._packet(flow, FIN | ACK))

    def _take(self, packet: Packet, flow: _ServerFlow) -> None:
        flow.unacknowledged += 1
        if packet.seq == flow.expected:
            flow.expected = (packet.seq + len(packet.data)) & MASK
            flow.is_working = True
            request = packet.data.decode()
            if len(self._queue) < QUEUE:
                self._queue.append((time.monotonic(), flow, request))
            else:
                self.rejected += 1
                self._finish(flow, f"{REJECTED} {request}")
        elif not flow.is_working and flow.last_answer is not None:
            self._deliver(flow.last_answer)
        if flow.unacknowledged >= PACKETS_PER_ACKNOWLEDGEMENT:
            flow.unacknowledged = 0
            self._deliver(self._packet(flow, ACK))

    def _packet(self, flow: _ServerFlow, flags: int, data: bytes = b"") -> Packet:
        src, sport, dst, dport = flow.key
        return Packet(
            dst, dport, src, sport, flags, flow.seq, flow.expected, flow.echo, data
        )

    def _deliver(self, packet: Packet) -> None:
        self._socket.sendto(packet.encode(), (packet.dst, self._caller_port))


@dataclass
class Reset:
    """A reset that a client got on a flow."""

    at: float
    port: int
    is_own: bool
    was_open: bool


@dataclass
class ClientFlow:
    """A flow of a client."""

    port: int
    seq: int
    ack: int = 0
    echo: int = 0
    acknowledged: int = 0
    is_open: bool = False
    opened_at: float = 0.0
    reset: Reset | None = None
    answers: list[bytes] = field(default_factory=list)


class Client:
    """A consumer with one address, whose packets the router sends to an entry VM.

    It handles one flow at a time.

    :param fronts: datagram addresses of the entry VMs in rotation.
    """

    def __init__(
        self, address: str, port: int, fronts: list[str], host: str, host_port: int
    ) -> None:
        self.address = address
        self.resets: list[Reset] = []
        self.forged = 0
        self._front_port = port
        self._fronts = fronts
        self._host, self._host_port = host, host_port
        self._next_port = 40_000 + random.randrange(1000)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address, port))
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._socket, selectors.EVENT_READ)

    def close(self) -> None:
        """Close the socket."""
        self._selector.close()
        self._socket.close()

    def open(self, port: int | None = None) -> ClientFlow | None:
        """Open a flow from a new port, or from the given one."""
        if port is None:
            self._next_port += 1
            port = self._next_port
        flow = ClientFlow(port, random.getrandbits(32))
        began = time.monotonic()
        for number, until in enumerate((*SYN_COPIES_S, OPEN_TIMEOUT_S)):
            self._send(flow, SYN, number)
            if self._wait(flow, began + until):
                break
            if flow.reset is not None:
                return None
        if not flow.is_open:
            return None
        flow.seq = (flow.seq + 1) & MASK
        flow.opened_at = time.monotonic()
        self._send(flow, ACK, flow.ack)
        return flow

    def request(
        self, flow: ClientFlow, request: str, budget_s: float = 2.0
    ) -> bytes | None:
        """Send a request on a flow; returns its answer, or ``None``."""
        deadline = time.monotonic() + budget_s
        delay, data, wanted = FIRST_RETRY_S, request.encode(), len(flow.answers) + 1
        sent_seq = flow.seq
        while time.monotonic() < deadline:
            if flow.acknowledged != (sent_seq + len(data)) & MASK:
                self._send(flow, ACK, flow.ack, data, sent_seq)
            until = min(time.monotonic() + delay, deadline)
            while time.monotonic() < until and flow.reset is None:
                self._receive(flow, until)
                if len(flow.answers) >= wanted:
                    flow.seq = (sent_seq + len(data)) & MASK
                    self._send(flow, ACK, flow.ack)
                    return flow.answers[-1]
            if flow.reset is not None:
                return None
            delay = min(2 * delay, LAST_RETRY_S)
        return None

    def close_flow(self, flow: ClientFlow) -> None:
        """Close a flow: both ends send a FIN, and the client acknowledges the last."""
        self._send(flow, FIN | ACK, flow.ack)
        before = flow.ack
        until = time.monotonic() + 0.5
        while time.monotonic() < until and flow.ack == before and not flow.reset:
            self._receive(flow, until)
        flow.seq = (flow.seq + 1) & MASK
        self._send(flow, ACK, flow.ack)

    def poll(self, flow: ClientFlow, seconds: float) -> None:
        """Receive what arrives for a flow."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self._receive(flow, until)

    def _wait(self, flow: ClientFlow, until: float) -> bool:
        while time.monotonic() < until and not flow.is_open and flow.reset is None:
            self._receive(flow, until)
        return flow.is_open

    def _receive(self, flow: ClientFlow, until: float) -> None:
        if not self._selector.select(max(0.0, until - time.monotonic())):
            return
        datagram, _ = self._socket.recvfrom(65_536)
        packet = decode(datagram)
        if packet.dport != flow.port:
            return
        if packet.flags & RST:
            is_own = not packet.is_genuine and packet.checksum == 0
            flow.reset = Reset(time.monotonic(), flow.port, is_own, flow.is_open)
            self.resets.append(flow.reset)
            return
        if not packet.is_genuine:
            self.forged += 1
            return
        if packet.flags & SYN:
            if not flow.is_open:
                flow.is_open = True
                flow.ack = (packet.seq + 1) & MASK
                flow.echo = packet.echo
            return
        flow.echo = packet.echo or flow.echo
        flow.acknowledged = packet.ack
        if packet.data and packet.seq == flow.ack:
            flow.ack = (flow.ack + len(packet.data)) & MASK
            flow.answers.append(packet.data)
        elif packet.flags & FIN and packet.seq == flow.ack:
            flow.ack = (flow.ack + 1) & MASK

    def _send(
        self,
        flow: ClientFlow,
        flags: int,
        ack: int,
        data: bytes = b"",
        seq: int | None = None,
    ) -> None:
        packet = Packet(
            self.address,
            flow.port,
            self._host,
            self._host_port,
            flags,
            flow.seq if seq is None else seq,
            ack,
            flow.echo,
            data,
        )
        key = f"{self.address}:{flow.port}:{self._host}:{self._host_port}".encode()
        number = int.from_bytes(hashlib.blake2b(key, digest_size=4).digest())
        front = self._fronts[number % len(self._fronts)]
        self._socket.sendto(packet.encode(), (front, self._front_port))
