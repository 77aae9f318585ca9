"""Packet tasks with real sockets on loopback, between a caller and a backend server."""

import random
import socket
import struct
import time
import unittest
from contextlib import ExitStack
from typing import Any

from returns.result import Success

from wasabigw.codec import geneve, ipv4
from wasabigw.core.cluster import Endpoint, FailureDomain, Node, Service
from wasabigw.core.commands import (
    BackendServerUp,
    ChangeRequest,
    Command,
    NodeUp,
    ReplaceConfiguration,
    ReportBatch,
)
from wasabigw.core.flows.forwarding import Forwarding
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    FailureDomainId,
    Incarnation,
    NodeId,
    RegionId,
    RequestId,
    Revision,
    Seconds,
    ServiceId,
    Term,
)
from wasabigw.core.log_messages import (
    Announcement,
    AnnouncementAccepted,
    AnnouncementRedirected,
    LogBatch,
    LogEntry,
)
from wasabigw.core.states import BackendServerState, Protocol
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import Tick, monotonic
from wasabigw.tasks.messages import (
    AnnouncementRequest,
    AppliedRevision,
    BalancerStatus,
    FlowRequest,
    HopSpan,
    LogReceived,
    StatusRequest,
)
from wasabigw.tasks.packet_task import (
    PacketTask,
    PacketTaskOutputs,
    PacketTaskSettings,
    make_packet_task,
)

DOMAIN = FailureDomainId("recife")
SEATS = ServiceId("seats")
SERVICE, CALLER, BACKEND = 0x0A000001, 0x0A090001, 0x0A010001
WAIT = Seconds(5.0)


def tcp(
    source: tuple[int, int], destination: tuple[int, int], flags: int, body: bytes = b""
) -> bytes:
    """TCP packet with a valid transport checksum."""
    header = struct.pack(
        "!HHIIHHHH", source[1], destination[1], 1, 2, 5 << 12 | flags, 9, 0, 0
    )
    data = header + body
    pseudo = struct.pack("!IIBBH", source[0], destination[0], 0, 6, len(data))
    value = struct.pack("!H", ipv4.checksum(pseudo + data))
    data = data[:16] + value + data[18:]
    fields = (0x45, 0, 20 + len(data), 1, 0x4000, 64, 6, 0, source[0], destination[0])
    ip = struct.pack("!BBHHHBBHII", *fields)
    return ip[:10] + struct.pack("!H", ipv4.checksum(ip)) + ip[12:] + data


def node(name: str) -> Node:
    """Balancer with a free port on loopback."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        data = Endpoint("127.0.0.1", sock.getsockname()[1])
    return Node(NodeId(name), DOMAIN, data, data, Incarnation(name))


def commands(nodes: list[Node]) -> list[Command]:
    """Commands that create a service with one backend server."""
    service = Service(SEATS, Endpoint("10.0.0.1", 80), Protocol.TCP, (DOMAIN,))
    domains = (FailureDomain(DOMAIN, RegionId("br")),)
    configuration = ReplaceConfiguration((service,), domains)
    up = BackendServerUp(
        BackendServerId("b1"),
        SEATS,
        DOMAIN,
        Endpoint("10.1.0.1", 8080),
        BootId("x"),
        4,
        2000,
        BackendServerState.READY,
        8,
    )
    return [
        ReportBatch(tuple(NodeUp(member) for member in nodes)),
        ChangeRequest(RequestId("r1"), Revision(0), configuration),
        ReportBatch((up,)),
    ]


class Loopback(unittest.TestCase):
    """Guards against a task that fails, or misdelivers packets, on real sockets."""

    def setUp(self) -> None:
        stack = ExitStack()
        self.addCleanup(stack.close)
        self.fabric = stack.enter_context(
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        )
        self.fabric.bind(("127.0.0.1", 0))
        self.fabric.settimeout(WAIT)
        fabric = Endpoint(*self.fabric.getsockname())
        self.nodes = [node("n0"), node("n1")]
        self.spans: Mailbox[HopSpan] = Mailbox("spans")
        self.applied: Mailbox[AppliedRevision] = Mailbox("applied")
        self.reports: Mailbox[Any] = Mailbox("reports")
        self.tasks: list[PacketTask] = []
        for member in self.nodes:
            outputs = PacketTaskOutputs(
                self.reports, Mailbox("handovers"), self.applied, self.spans
            )
            settings = PacketTaskSettings(member, fabric)
            task = make_packet_task(settings, outputs)
            self.tasks.append(stack.enter_context(task))
        # An empty batch first: it confirms the view, so that the tables that follow are
        # known to be complete.
        self.apply_log([])
        log = commands(self.nodes)
        self.apply_log(log)

    def apply_log(self, log: list[Command], fresh_for: float = 60.0) -> None:
        entries = tuple(
            LogEntry(Revision(number), Term(1), command)
            for number, command in enumerate(log, 1)
        )
        batch = LogBatch(Term(1), Revision(len(log)), Seconds(fresh_for), entries)
        for task in self.tasks:
            task.mailbox.post(LogReceived(batch, monotonic()))
        for _ in self.tasks:
            self.assertIsInstance(self.applied.get(WAIT), Success)

    def announce(self) -> PacketTask:
        """Announce the backend server twice, more than a view lease apart.

        :returns: the task that became its home.
        """
        announcement = Announcement(
            BackendServerId("b1"),
            SEATS,
            DOMAIN,
            Endpoint("10.1.0.1", 8080),
            BootId("x"),
            BackendServerState.READY,
            4,
            2000,
        )
        homes = []
        for pause in (1.6, 0.0):
            for task in self.tasks:
                reply: Mailbox[Any] = Mailbox("reply")
                task.mailbox.post(AnnouncementRequest(announcement, reply))
                outcome = reply.get(WAIT).unwrap()
                if isinstance(outcome, AnnouncementAccepted):
                    homes.append(task)
                else:
                    self.assertIsInstance(outcome, AnnouncementRedirected)
            time.sleep(pause)
        return homes[0]

    def send(self, task: PacketTask, frame: bytes) -> None:
        self.fabric.sendto(frame, task.address)

    def receive(self) -> tuple[geneve.Frame, ipv4.Segment, bytes]:
        data = self.fabric.recv(65536)
        frame = geneve.parse(data, len(data)).unwrap()
        segment = ipv4.parse(data, frame.inner, len(data)).unwrap()
        return frame, segment, data

    def status(self, task: PacketTask) -> BalancerStatus:
        reply: Mailbox[BalancerStatus] = Mailbox("reply")
        task.mailbox.post(StatusRequest(reply))
        return reply.get(WAIT).unwrap()

    def test_flow_from_opening_to_answer(self) -> None:
        home = self.announce()
        other = next(task for task in self.tasks if task is not home)
        caller, service = (CALLER, 5000), (SERVICE, 80)
        syn = geneve.PLAIN_HEADER + tcp(caller, service, ipv4.SYN)
        self.send(other, syn)
        _, segment, data = self.receive()
        self.assertEqual(
            (segment.destination, segment.destination_port), (BACKEND, 8080)
        )
        self.assertEqual((segment.source, segment.source_port), caller)
        inner = data[segment.transport : segment.end]
        pseudo = struct.pack("!IIBBH", CALLER, BACKEND, 0, 6, len(inner))
        self.assertEqual(ipv4.checksum(pseudo + inner), 0)
        answer = tcp((BACKEND, 8080), caller, ipv4.SYN | ipv4.ACK)
        self.send(other, geneve.PLAIN_HEADER + answer)
        _, segment, _ = self.receive()
        self.assertEqual((segment.source, segment.source_port), service)
        for task in self.tasks:
            self.send(task, geneve.PLAIN_HEADER + tcp(caller, service, ipv4.ACK, b"x"))
            _, segment, _ = self.receive()
            self.assertEqual(segment.destination, BACKEND)
        self.assertEqual(self.status(home).records, 1)
        endpoint = Endpoint("10.9.0.1", 5000)
        reply: Mailbox[Any] = Mailbox("reply")
        request = FlowRequest(Protocol.TCP, endpoint, Endpoint("10.0.0.1", 80), reply)
        home.mailbox.post(request)
        self.assertEqual(reply.get(WAIT).unwrap().recorded, "b1")

    def test_trace_gets_a_span_for_each_hop(self) -> None:
        trace = geneve.Trace(bytes(range(16)), b"12345678")
        header = geneve.header((geneve.encode_trace(trace),))
        packet = tcp((CALLER, 1), (SERVICE, 80), ipv4.ACK)
        self.send(self.tasks[0], header + packet)
        frame, _, _ = self.receive()
        span = self.spans.get(WAIT).unwrap()
        assert frame.trace is not None
        self.assertEqual(
            (span.trace_id, span.parent_span_id), (trace.trace_id, b"12345678")
        )
        self.assertEqual(frame.trace.span_id, span.span_id)

    def test_unknown_port_gets_a_reset(self) -> None:
        packet = tcp((CALLER, 1), (SERVICE, 81), ipv4.SYN)
        self.send(self.tasks[0], geneve.PLAIN_HEADER + packet)
        _, segment, _ = self.receive()
        self.assertTrue(segment.tcp_flags & ipv4.RST)
        self.assertEqual((segment.source, segment.source_port), (SERVICE, 81))

    def test_forwarded_packets_are_accepted_from_balancers_only(self) -> None:
        option = geneve.encode_forward(Forwarding(1, 0))
        packet = tcp((CALLER, 1), (SERVICE, 81), ipv4.SYN)
        self.send(self.tasks[0], geneve.header((option,)) + packet)
        while self.status(self.tasks[0]).packets.received < 1:
            time.sleep(0.01)
        counts = self.status(self.tasks[0]).packets
        self.assertEqual(counts.dropped, {"unknown-sender": 1})
        self.assertEqual(counts.refused, {})

    def test_malformed_frames_do_not_stop_the_task(self) -> None:
        task = self.tasks[0]
        draws = random.Random(1)
        valid = geneve.PLAIN_HEADER + tcp((CALLER, 1), (SERVICE, 80), ipv4.ACK, b"abc")
        for number in range(500):
            frame = bytearray(valid)
            for _ in range(draws.randrange(1, 5)):
                frame[draws.randrange(len(frame))] = draws.randrange(256)
            self.send(
                task,
                bytes(frame[: draws.randrange(len(frame))])
                if number % 2
                else bytes(frame),
            )
        task.mailbox.post(Tick("second", monotonic()))
        while self.status(task).packets.received < 500:
            time.sleep(0.01)
        self.assertGreater(sum(self.status(task).packets.dropped.values()), 100)
        self.fabric.settimeout(0.2)
        while True:
            try:
                self.fabric.recv(65536)
            except TimeoutError:
                break
        self.fabric.settimeout(WAIT)
        self.send(task, valid)
        _, segment, _ = self.receive()
        self.assertEqual(segment.destination, BACKEND)
