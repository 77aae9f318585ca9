"""Task of a host behind the fabric: TCP and UDP over Geneve on one UDP socket."""

import random
import selectors
import socket
from abc import ABC, abstractmethod
from contextlib import suppress
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from absl import logging
from returns.result import Failure, Success

from wasabigw.core.cluster import Endpoint, endpoint_key
from wasabigw.core.ids import Seconds
from wasabigw.runtime.mailbox import SelectableMailbox
from wasabigw.runtime.task import Stop, Task
from wasabigw.runtime.timer import monotonic
from wasabigw_demo import tcp, wire
from wasabigw_demo.addresses import socket_address
from wasabigw_demo.records import RecordKind, RecordWriter
from wasabigw_demo.spans import SpanName, child_context, record_span
from wasabigw_demo.wire import TraceContext

TICK_PERIOD = Seconds(0.05)
"""Period of :meth:`Application.tick`."""
TIME_WAIT = Seconds(3.0)
"""How long a closed connection still acknowledges retransmitted segments."""
MAX_FRAMES_PER_READ = 64
"""Frames that are read before the mailbox is checked."""
MAX_CONNECTIONS = 10_000
TRACED_PACKETS = 3
"""Number of packets of a traced flow that carry the trace context."""
RECEIVE_BUFFER_SIZE = 4 * 1024 * 1024
_SYN_MASK = wire.TcpFlag.SYN | wire.TcpFlag.ACK | wire.TcpFlag.RST


@dataclass(frozen=True, slots=True)
class FlowId:
    """Local and remote endpoint of a flow."""

    local: Endpoint
    remote: Endpoint


@dataclass(slots=True)
class _Trace:
    context: TraceContext
    packets_left: int = TRACED_PACKETS


class Application(ABC):
    """Application on a host; all methods are called in the host's thread."""

    @abstractmethod
    def opened(self, host: "Host", flow: FlowId) -> None:
        """A TCP connection is established."""

    @abstractmethod
    def received(self, host: "Host", flow: FlowId, data: bytes) -> None:
        """The next bytes of the stream arrived on a TCP connection."""

    @abstractmethod
    def peer_closed(self, host: "Host", flow: FlowId) -> None:
        """The peer has closed its sending side of a TCP connection."""

    @abstractmethod
    def closed(self, host: "Host", flow: FlowId, reason: tcp.CloseReason) -> None:
        """A TCP connection has ended."""

    @abstractmethod
    def datagram_received(self, host: "Host", flow: FlowId, payload: bytes) -> None:
        """A UDP datagram arrived."""

    @abstractmethod
    def tick(self, host: "Host", now: Seconds) -> None:
        """Called each :data:`TICK_PERIOD`."""

    def accepts(self, flow: FlowId) -> bool:
        """Whether to accept a connection that a peer opens."""
        return False

    @abstractmethod
    def unreachable(self, host: "Host", flow: FlowId) -> None:
        """An ICMP error reports that datagrams of a flow were not delivered."""

    @abstractmethod
    def message_received(self, host: "Host", message: Any) -> None:
        """A message was posted to the mailbox of the host."""


class Host(Task[Any]):
    """Owns the UDP socket, the connections and the application.

    :param listen: endpoint of the Geneve socket.
    :param fabric: endpoint of the fabric, to which all frames are sent.
    :param seed: seed of initial sequence numbers and span ids.
    """

    def __init__(
        self,
        name: str,
        listen: Endpoint,
        fabric: Endpoint,
        application: Application,
        records: RecordWriter,
        seed: int,
    ) -> None:
        self._inbox: SelectableMailbox[Any] = SelectableMailbox(name)
        super().__init__(name, self._inbox)
        self._fabric = fabric
        self._application = application
        self._records = records
        self._random = random.Random(seed)
        self._connections: dict[FlowId, tcp.Connection] = {}
        self._time_wait_ends: dict[FlowId, Seconds] = {}
        self._traces: dict[FlowId, _Trace] = {}
        self._next_tick = Seconds(0.0)
        self._malformed = 0
        self._packets = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE
        )
        self._socket.setblocking(False)
        self._socket.bind(socket_address(listen))

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint of the Geneve socket."""
        return Endpoint(*self._socket.getsockname())

    @property
    def now(self) -> Seconds:
        """Monotonic time of the process."""
        return monotonic()

    @property
    def packets(self) -> int:
        """Number of packets that were received and decoded."""
        return self._packets

    @property
    def malformed(self) -> int:
        """Number of frames that were dropped because they could not be decoded."""
        return self._malformed

    def connect(self, flow: FlowId) -> None:
        """Open a TCP connection."""
        initial = self._random.getrandbits(32)
        self._connections[flow] = tcp.Connection(flow.local, flow.remote, initial)
        self._handle_event(flow, tcp.Connect(monotonic()))

    def send(self, flow: FlowId, data: bytes) -> None:
        """Send bytes on a TCP connection."""
        self._handle_event(flow, tcp.SendData(data, monotonic()))

    def finish(self, flow: FlowId) -> None:
        """Close the sending side of a TCP connection."""
        self._handle_event(flow, tcp.Finish(monotonic()))

    def send_datagram(self, flow: FlowId, payload: bytes) -> None:
        """Send a UDP datagram."""
        datagram = wire.Datagram(flow.local, flow.remote, payload)
        self._transmit(flow, wire.build_datagram(datagram))

    def trace(self, flow: FlowId, context: TraceContext) -> None:
        """Attach a trace context to the next packets of a flow."""
        self._traces[flow] = _Trace(context)

    def receive(self, message: Any) -> None:
        """Pass a message on to the application."""
        self._application.message_received(self, message)

    def run(self) -> None:
        """Process frames, messages and timers until :class:`Stop` arrives."""
        with selectors.DefaultSelector() as selector:
            selector.register(self._socket, selectors.EVENT_READ)
            selector.register(self._inbox, selectors.EVENT_READ)
            while True:
                selector.select(self._select_timeout())
                self._read_frames()
                for message in self._inbox.drain():
                    if isinstance(message, Stop):
                        return
                    self.receive(message)
                self._run_timers(monotonic())

    def close(self) -> None:
        """Close the socket and the mailbox."""
        self._socket.close()
        self._inbox.__exit__(None, None, None)

    def _select_timeout(self) -> float:
        deadlines = [
            connection.deadline
            for connection in self._connections.values()
            if connection.deadline is not None
        ]
        return max(0.0, min([self._next_tick, *deadlines]) - monotonic())

    def _run_timers(self, now: Seconds) -> None:
        for flow, connection in list(self._connections.items()):
            if connection.deadline is not None and connection.deadline <= now:
                self._handle_event(flow, tcp.TimePassed(now))
        if now < self._next_tick:
            return
        self._next_tick = Seconds(now + TICK_PERIOD)
        for flow, end in list(self._time_wait_ends.items()):
            if end <= now:
                del self._time_wait_ends[flow]
                self._connections.pop(flow, None)
                self._traces.pop(flow, None)
        self._application.tick(self, now)

    def _read_frames(self) -> None:
        for _ in range(MAX_FRAMES_PER_READ):
            try:
                data = self._socket.recv(wire.MAX_FRAME_SIZE)
            except (BlockingIOError, ConnectionRefusedError):
                return
            match wire.decapsulate(data):
                case Success(frame):
                    self._frame_arrived(frame)
                case Failure(problem):
                    self._drop_frame(problem)

    def _frame_arrived(self, frame: wire.Frame) -> None:
        match wire.parse_packet(frame.inner):
            case Success(packet):
                self._packets += 1
                self._packet_arrived(packet, frame.trace)
            case Failure(problem):
                self._drop_frame(problem)

    def _drop_frame(self, problem: wire.MalformedPacket) -> None:
        self._malformed += 1
        logging.warning("%s dropped a malformed frame: %s", self.name, problem.problem)

    @singledispatchmethod
    def _packet_arrived(self, packet: object, trace: TraceContext | None) -> None:
        raise TypeError(f"unknown packet type: {packet!r}")

    @_packet_arrived.register
    def _(self, packet: wire.Segment, trace: TraceContext | None) -> None:
        flow = FlowId(packet.destination, packet.source)
        self._continue_trace(flow, trace)
        now = monotonic()
        if flow in self._connections:
            self._handle_event(flow, tcp.SegmentArrived(packet, now))
        elif packet.flags & wire.TcpFlag.RST:
            return
        elif self._should_accept(packet, flow):
            initial = self._random.getrandbits(32)
            connection, decisions = tcp.accept(packet, initial, now)
            self._connections[flow] = connection
            self._execute_all(flow, decisions)
        else:
            self._record_stray(packet, now)
            self._transmit(flow, wire.build_segment(tcp.reset_for(packet)))

    @_packet_arrived.register
    def _(self, packet: wire.Datagram, trace: TraceContext | None) -> None:
        flow = FlowId(packet.destination, packet.source)
        self._continue_trace(flow, trace)
        self._application.datagram_received(self, flow, packet.payload)

    @_packet_arrived.register
    def _(self, packet: wire.IcmpError, trace: TraceContext | None) -> None:
        flow = FlowId(packet.quoted_source, packet.quoted_destination)
        self._application.unreachable(self, flow)

    def _record_stray(self, packet: wire.Segment, now: Seconds) -> None:
        """Record a segment that belongs to no connection of this host."""
        self._records.write(
            RecordKind.STRAY,
            at=now,
            remote=endpoint_key(packet.source),
            opening=packet.flags & _SYN_MASK == wire.TcpFlag.SYN,
            flags=int(packet.flags),
            size=len(packet.payload),
        )

    def _should_accept(self, packet: wire.Segment, flow: FlowId) -> bool:
        is_syn = packet.flags & _SYN_MASK == wire.TcpFlag.SYN
        has_room = len(self._connections) < MAX_CONNECTIONS
        return is_syn and has_room and self._application.accepts(flow)

    def _continue_trace(self, flow: FlowId, trace: TraceContext | None) -> None:
        if trace is None:
            return
        context = child_context(trace, self._random)
        record_span(self._records, SpanName(self.name, "receive"), trace, context)
        if flow not in self._traces:
            self._traces[flow] = _Trace(context)

    def _handle_event(self, flow: FlowId, event: object) -> None:
        connection = self._connections.get(flow)
        if connection is not None:
            self._execute_all(flow, tcp.handle(event, connection))

    def _execute_all(self, flow: FlowId, decisions: list[tcp.Decision]) -> None:
        for decision in decisions:
            self._execute(decision, flow)

    @singledispatchmethod
    def _execute(self, decision: object, flow: FlowId) -> None:
        raise TypeError(f"unknown TCP decision: {decision!r}")

    @_execute.register
    def _(self, decision: tcp.Transmit, flow: FlowId) -> None:
        self._transmit(flow, wire.build_segment(decision.segment))

    @_execute.register
    def _(self, decision: tcp.Opened, flow: FlowId) -> None:
        self._application.opened(self, flow)

    @_execute.register
    def _(self, decision: tcp.Received, flow: FlowId) -> None:
        self._application.received(self, flow, decision.data)

    @_execute.register
    def _(self, decision: tcp.PeerClosed, flow: FlowId) -> None:
        self._application.peer_closed(self, flow)

    @_execute.register
    def _(self, decision: tcp.Closed, flow: FlowId) -> None:
        self._time_wait_ends[flow] = Seconds(monotonic() + TIME_WAIT)
        self._application.closed(self, flow, decision.reason)

    def _transmit(self, flow: FlowId, inner: bytes) -> None:
        trace = self._traces.get(flow)
        context = None
        if trace is not None and trace.packets_left > 0:
            trace.packets_left -= 1
            context = trace.context
        frame = wire.encapsulate(wire.Frame(inner, context))
        # A full socket buffer drops the packet; TCP and the callers retransmit it.
        with suppress(BlockingIOError, ConnectionRefusedError):
            self._socket.sendto(frame, socket_address(self._fabric))
