"""Backends and consumers that speak the packets of PROTOCOL.md, one thread each."""

import http.server
import json
import random
import socket
import struct
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from deployment import HEARTBEAT_MS, Deployment, call

HEAD = struct.Struct(">IHIHIIHBBII")
SYN, ACK, FIN, RST = 128, 32, 8, 16
RETRANSMIT = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
SYN_COPIES = (0.2, 0.6)
SYN_TIMEOUT = 1.4
CONSUMER_DELAY = 0.003
"""One way between the machines and the consumers, as SYSTEM.md has it."""


def number(address: str) -> int:
    """IPv4 address as an integer."""
    return int.from_bytes(socket.inet_aton(address), "big")


def text(address: int) -> str:
    """IPv4 address from an integer."""
    return socket.inet_ntoa(address.to_bytes(4, "big"))


@dataclass(frozen=True, slots=True)
class Packet:
    """A packet without its data's meaning; ``sum`` is 1 for an end's own packets."""

    src: int
    sport: int
    dst: int
    dport: int
    flags: int
    seq: int
    ack: int
    echo: int = 0
    data: bytes = b""
    sum: int = 1

    def encode(self) -> bytes:
        """Bytes of the datagram."""
        head = HEAD.pack(
            self.sum,
            len(self.data),
            self.echo,
            self.sport,
            self.src,
            self.dst,
            self.dport,
            self.flags,
            0,
            self.seq % 2**32,
            self.ack % 2**32,
        )
        return head + self.data


def decode(datagram: bytes) -> Packet:
    """Packet of a datagram."""
    total, length, echo, sport, src, dst, dport, flags, _, seq, ack = HEAD.unpack_from(
        datagram
    )
    data = datagram[HEAD.size : HEAD.size + length]
    return Packet(src, sport, dst, dport, flags, seq, ack, echo, data, total)


@dataclass(slots=True)
class Held:
    """A flow at a backend."""

    own: int
    peer: int
    echo: int
    sent: int = 0
    is_open: bool = False
    synack_at: list[float] = field(default_factory=list)


class Backend:
    """One boot of a backend: its UDP flows, its health check and its pings."""

    def __init__(
        self,
        deployment: Deployment,
        name: str,
        service: str,
        address: str,
        zone: str,
        record: Callable[..., None],
        born: int | None = None,
        work: float = 0.02,
    ) -> None:
        self.deployment, self.name, self.service = deployment, name, service
        self.address, self.zone, self.record = address, zone, record
        self.port = 8080
        self.born = born if born is not None else round(time.time() * 1000)
        self.sequence, self.state, self.work = 0, "ready", work
        digits = "".join(c for c in name if c in "0123456789abcdef")
        self.id = int(digits, 16)
        self.flows: dict[tuple[int, int, int, int], Held] = {}
        self.runs: list[tuple[float, str]] = []
        self.drop: Callable[[Packet], bool] = lambda packet: False
        self.acked: dict[str, float] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address, self.port))
        self._socket.settimeout(0.002)
        self._health = http.server.ThreadingHTTPServer(
            (address, self.port), _health_handler(self)
        )
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, daemon=True),
            threading.Thread(target=self._health.serve_forever, daemon=True),
            threading.Thread(target=self._beat, daemon=True),
        ]

    def start(self) -> None:
        """Begin to serve and to send pings."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End without a word, as in a crash."""
        self._stop.set()
        self._health.shutdown()
        self._health.server_close()
        self._threads[0].join(2)
        self._socket.close()

    def ping(self, node: str | None = None) -> bool:
        """Send one ping, to the nodes in turn until one acknowledges it."""
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "address": f"{self.address}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 4,
                "state": self.state,
                "cold-remaining-ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()
        state = self.state
        for target in [node] if node else self.deployment.controls:
            host = f"{target}:{self.deployment.control_port}"
            try:
                status, _, _ = call(host, "PUT", f"/instances/{self.name}", body)
            except OSError:
                continue
            if 200 <= status < 300:
                self.acked.setdefault(state, time.monotonic())
                return True
        return False

    def leave(self) -> bool:
        """Send the DELETE of a planned shutdown."""
        for target in self.deployment.controls:
            host = f"{target}:{self.deployment.control_port}"
            try:
                if call(host, "DELETE", f"/instances/{self.name}")[0] == 200:
                    return True
            except OSError:
                continue
        return False

    def _beat(self) -> None:
        while not self._stop.is_set():
            self.ping()
            self._stop.wait(HEARTBEAT_MS / 1000)

    def _send(self, packet: Packet) -> None:
        if self.drop(packet):
            return
        target = (text(packet.dst), self.deployment.packet_port)
        self._socket.sendto(packet.encode(), target)

    def _run(self) -> None:
        while not self._stop.is_set():
            self._resend()
            try:
                datagram = self._socket.recv(65_536)
            except TimeoutError:
                continue
            except OSError:
                return
            target = int.from_bytes(datagram[:8], "big")
            if target in (0, self.id):
                self._receive(decode(datagram[8:]))

    def _receive(self, packet: Packet) -> None:
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        held = self.flows.get(key)
        if packet.flags & SYN:
            if held is None or held.peer != packet.seq + 1:
                own = random.randrange(2**32)
                held = self.flows[key] = Held(own, packet.seq + 1, packet.echo)
            held.echo = packet.echo
            held.synack_at = [time.monotonic() + RETRANSMIT[0] + 2 * CONSUMER_DELAY]
            self._answer(packet, held, SYN | ACK, held.own)
            return
        if held is None or (not held.is_open and packet.ack != (held.own + 1) % 2**32):
            if not packet.flags & RST:
                self.record("reset sent by", self.name, "on", packet.sport)
                self._send(
                    Packet(
                        packet.dst,
                        packet.dport,
                        packet.src,
                        packet.sport,
                        RST,
                        packet.ack,
                        0,
                        packet.echo,
                    )
                )
            return
        held.is_open, held.synack_at = True, []
        held.echo = packet.echo
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data and packet.seq % 2**32 == held.peer % 2**32:
            held.peer += len(packet.data)
            self.runs.append((time.monotonic(), packet.data.decode()))
            self.record("run", self.name, packet.data.decode())
            time.sleep(self.work)
            answer = b"done " + packet.data
            self._answer(packet, held, ACK, held.own + 1 + held.sent, answer)
            held.sent += len(answer)
        elif packet.data:
            self._answer(packet, held, ACK, held.own + 1 + held.sent)
        if packet.flags & FIN:
            self._answer(packet, held, FIN | ACK, held.own + 1 + held.sent)

    def _answer(
        self, packet: Packet, held: Held, flags: int, seq: int, data: bytes = b""
    ) -> None:
        self._send(
            Packet(
                packet.dst,
                packet.dport,
                packet.src,
                packet.sport,
                flags,
                seq,
                held.peer,
                held.echo,
                data,
            )
        )

    def _resend(self) -> None:
        """Send the answer to an opening again after 200 ms."""
        now = time.monotonic()
        for key, held in self.flows.items():
            if held.synack_at and now >= held.synack_at[0]:
                held.synack_at = []
                src, sport, dst, dport = key
                self._send(
                    Packet(
                        dst,
                        dport,
                        src,
                        sport,
                        SYN | ACK,
                        held.own,
                        held.peer,
                        held.echo,
                    )
                )


def _health_handler(backend: Backend) -> type[http.server.BaseHTTPRequestHandler]:
    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            self.send_response(200 if backend.state == "ready" else 503)
            self.send_header("Content-Length", "0")
            self.end_headers()

        def log_message(self, *_: object) -> None:
            pass

    return Handler


class Consumer:
    """Opens flows and sends requests on them; takes the first answer to an opening."""

    def __init__(
        self, deployment: Deployment, address: str, record: Callable[..., None]
    ) -> None:
        self.deployment, self.address, self.record = deployment, address, record
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, deployment.packet_port))
        self._next_port = 30_000

    def open(self, listener: str, balancer: str) -> "ConsumerFlow":
        """Flow to a route, through one balancer; not open yet."""
        self._next_port += 1
        return ConsumerFlow(self, self._next_port, listener, balancer)

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()


class ConsumerFlow:
    """A consumer's end of one flow.

    It puts the last echo that it received on the flow into its own packets.
    """

    def __init__(
        self, consumer: Consumer, port: int, listener: str, balancer: str
    ) -> None:
        self.consumer, self.port, self.balancer = consumer, port, balancer
        self.listener = number(listener)
        self.own = random.randrange(2**32)
        self.next, self.peer, self.echo = self.own + 1, 0, 0
        self.is_open, self.was_reset = False, False
        self.answers: list[bytes] = []

    def send(self, flags: int, ack: int, data: bytes = b"", seq: int = -1) -> None:
        """Send a packet through the balancer."""
        packet = Packet(
            number(self.consumer.address),
            self.port,
            self.listener,
            8443,
            flags,
            self.next if seq < 0 else seq,
            ack,
            self.echo if flags != SYN else 0,
            data,
        )
        target = (self.balancer, self.consumer.deployment.packet_port)
        self.consumer.socket.sendto(packet.encode(), target)

    def connect(self) -> bool:
        """Open the flow with copies of the opening after 200 and 600 ms."""
        began, copies = time.monotonic(), 0
        self.send(SYN, 0, seq=self.own)
        while time.monotonic() - began < SYN_TIMEOUT and not self.was_reset:
            if (
                copies < len(SYN_COPIES)
                and time.monotonic() - began >= SYN_COPIES[copies]
            ):
                copies += 1
                self.send(SYN, copies, seq=self.own)
            self.receive(0.001)
            if self.is_open:
                return True
        return False

    def request(self, name: str, limit: float = 3.0) -> bytes | None:
        """Send a request and wait for its answer; ``None`` if none comes."""
        data, began, tries, due = name.encode(), time.monotonic(), 0, 0.0
        seq = self.next
        before = len(self.answers)
        while time.monotonic() - began < limit and not self.was_reset:
            if time.monotonic() >= due:
                self.send(ACK, self.peer, data, seq)
                due = time.monotonic() + RETRANSMIT[min(tries, 7)]
                tries += 1
            self.receive(0.01)
            if len(self.answers) > before:
                self.next = seq + len(data)
                self.send(ACK, self.peer)
                return self.answers[-1]
        return None

    def receive(self, wait: float) -> None:
        """Handle what arrives within a time."""
        end = time.monotonic() + wait
        while (left := end - time.monotonic()) > 0:
            self.consumer.socket.settimeout(left)
            try:
                packet = decode(self.consumer.socket.recv(65_536))
            except TimeoutError:
                return
            if packet.dport == self.port:
                self._handle(packet)

    def _handle(self, packet: Packet) -> None:
        if packet.flags & RST:
            self.was_reset = True
            self.consumer.record("consumer gets a reset", self.port, packet.sum)
            return
        self.echo = packet.echo
        if packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.peer = packet.seq + 1
                self.send(ACK, self.peer)
            elif packet.seq + 1 != self.peer:
                self.consumer.record("second answer to an opening", self.port)
            return
        if packet.data and packet.seq % 2**32 == self.peer % 2**32:
            self.peer += len(packet.data)
            self.answers.append(packet.data)
