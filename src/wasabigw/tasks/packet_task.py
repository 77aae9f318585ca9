"""Task that owns the UDP socket and the state of a balancer."""

import random
import selectors
import socket
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatchmethod
from time import thread_time
from typing import Any, Self

from returns.result import Success

from wasabigw.codec import geneve, ipv4
from wasabigw.codec.geneve import Frame
from wasabigw.codec.ipv4 import Segment
from wasabigw.core import backend_home, reachability
from wasabigw.core.cluster import Endpoint, Node
from wasabigw.core.flows.admission_port import HomeAdmission
from wasabigw.core.flows.decisions import Decision, DropReason
from wasabigw.core.flows.diversion import apply_reachability
from wasabigw.core.flows.events import (
    BackendServerRenewed,
    BindingReceived,
    FlowOpened,
    Forwarded,
    HandoverReceived,
    TakenOutLocally,
    TimerTick,
    UnknownDestination,
)
from wasabigw.core.flows.keys import endpoint_number, flow_key
from wasabigw.core.flows.metrics import admitted_shares
from wasabigw.core.flows.routing import handle
from wasabigw.core.flows.state import BalancerState, make_state
from wasabigw.core.home_events import (
    AnnouncementReceived,
    HomeDecision,
    HomeTick,
    ReplyToAnnouncement,
)
from wasabigw.core.home_load import server_loads
from wasabigw.core.ids import FailureDomainId, Seconds
from wasabigw.core.log_messages import AnnouncementAccepted
from wasabigw.core.reachability import PingAnswered, PingDue
from wasabigw.core.view import is_fresh
from wasabigw.runtime.mailbox import Mailbox, SelectableMailbox
from wasabigw.runtime.selector_task import SelectorTask
from wasabigw.runtime.task import Stop
from wasabigw.runtime.timer import Tick, monotonic
from wasabigw.tasks.balancer_queries import flow_path, status_of
from wasabigw.tasks.fast_path import FastPath
from wasabigw.tasks.hop_tracing import Hop, HopTracer
from wasabigw.tasks.limits import DEFAULT_LIMITS, ProcessLimits
from wasabigw.tasks.log_application import LogApplication
from wasabigw.tasks.messages import (
    AnnouncementRequest,
    FlowRequest,
    HandoverRequest,
    HandoverTaken,
    HopSpan,
    LocalOutDone,
    LocalOutRequest,
    LogReceived,
    PacketDropReason,
    PacketTaskMessage,
    StatusRequest,
)
from wasabigw.tasks.metrics_task import PacketMetrics
from wasabigw.tasks.packet_events import (
    PacketEvent,
    ServiceFragment,
    classify,
    prepare_rewrites,
)
from wasabigw.tasks.packet_output import Address, Packet, PacketOutput, execute
from wasabigw.tasks.ping_frames import ping_frame
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log

RECEIVE_BUFFER = 65_536
"""Size of the largest possible datagram, in bytes."""
SOCKET_BUFFER = 4 * 1024 * 1024
"""Kernel buffer in bytes; it holds about 100 ms of packets at full rate."""
PACKETS_PER_WAKE_UP = 64
"""Maximum number of packets handled before the mailbox is checked again."""

MAINTENANCE_TICK = "upkeep"
MAINTENANCE_PERIOD = Seconds(0.25)
"""Period of the tick that drives leases, ramps, expiry and handovers."""
PING_TICK = "ping"
PING_PERIOD = Seconds(1.0)
METRICS_TICK = "measure"
METRICS_PERIOD = Seconds(1.0)
"""Period at which the packet task sends its counters to the metrics task."""


@dataclass(frozen=True, slots=True)
class PacketTaskSettings:
    """Settings of the packet task.

    :param node: this balancer, as it registers with the control VMs.
    :param fabric: endpoint that receives frames for callers and backend servers.
    :param trace_sample_rate: share of flow openings that start a trace, 0 to 1.
    """

    node: Node
    fabric: Endpoint
    trace_sample_rate: float = 0.0
    limits: ProcessLimits = DEFAULT_LIMITS


@dataclass(frozen=True, slots=True)
class PacketTaskOutputs:
    """Mailboxes of the tasks that the packet task sends messages to.

    :param reports: receives ``SendReports``.
    :param handovers: receives ``HandoverOut``.
    :param applied: receives ``AppliedRevision``.
    :param spans: receives ``HopSpan``; ``None`` if spans are not exported.
    :param metrics: receives ``PacketMetrics``; ``None`` if metrics are disabled.
    """

    reports: Mailbox[Any]
    handovers: Mailbox[Any]
    applied: Mailbox[Any]
    spans: Mailbox[HopSpan] | None = None
    metrics: Mailbox[Any] | None = None


class PacketTask(SelectorTask[PacketTaskMessage]):
    """Forwards packets and acts as the home of backend servers.

    It waits for its socket and its mailbox at the same time. Instances are created by
    :func:`make_packet_task`.
    """

    def __init__(
        self,
        settings: PacketTaskSettings,
        outputs: PacketTaskOutputs,
        mailbox: SelectableMailbox[PacketTaskMessage | Stop],
    ) -> None:
        super().__init__("packets", mailbox)
        node = settings.node
        self._settings = settings
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._home = backend_home.make_home_state(node.id)
        admission = HomeAdmission(self._home)
        self._state: BalancerState = make_state(
            node.id, node.failure_domain, admission, prepare_rewrites
        )
        self._state.cache.limit = settings.limits.flow_cache_entries
        self._state.records.limit = settings.limits.flow_records
        self._fast_path = FastPath(self._state)
        self._output = PacketOutput(
            self._socket, settings.fabric, outputs.reports, outputs.handovers
        )
        self._log = LogApplication(self._state, self._home, outputs.applied)
        self._tracer = HopTracer(node.id, settings.trace_sample_rate, outputs.spans)
        self._metrics = outputs.metrics
        self._random = random.SystemRandom()
        self._buffer = bytearray(RECEIVE_BUFFER)
        self._view = memoryview(self._buffer)

    @property
    def address(self) -> Address:
        """Address at which the task receives frames, after its context was entered."""
        address: Address = self._socket.getsockname()
        return address

    def __enter__(self) -> Self:
        """Bind the socket and start the task.

        Binding happens here rather than in the thread of the task, so that an error
        is raised to whoever enters the context.

        :raises OSError: if the address of the node can't be bound.
        """
        data = self._settings.node.data
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER)
        self._socket.bind((data.address, data.port))
        granted = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        address, port = self.address
        log(
            BalancerEvent.SOCKET_OPENED,
            node=self._settings.node.id,
            address=address,
            port=port,
            buffer=granted,
        )
        self._resources.enter_context(self._output)
        self._selector.register(
            self._socket, selectors.EVENT_READ, self._receive_packets
        )
        return super().__enter__()

    def _receive_packets(self, _events: int) -> None:
        now = monotonic()
        fresh = is_fresh(self._state.view, now)
        receive = self._socket.recvfrom_into
        send = self._socket.sendto
        buffer, view, fabric = self._buffer, self._view, self._output.fabric
        fast_path = self._fast_path
        fast_path.now = now
        rewrite = fast_path.rewrite
        received = direct = 0
        for _ in range(PACKETS_PER_WAKE_UP):
            try:
                length, sender = receive(buffer)
            except BlockingIOError:
                break
            except OSError:
                # Reports an ICMP error for a frame that was sent earlier.
                continue
            received += 1
            if fresh and rewrite(buffer, length):
                try:
                    send(view[:length], fabric)
                except OSError:
                    self._output.counts.drop(PacketDropReason.SEND_FAILED)
                else:
                    direct += 1
                continue
            self._receive_frame(length, sender, now)
        self._output.counts.received += received
        self._output.counts.direct += direct

    def _receive_frame(self, length: int, sender: Address, now: Seconds) -> None:
        """Handle a frame that the fast path did not rewrite."""
        sampled = self._fast_path.sampled
        self._fast_path.sampled = False
        counts = self._output.counts
        parsed = geneve.parse(self._buffer, length)
        if not isinstance(parsed, Success):
            counts.drop(parsed.failure().cause)
            return
        frame = parsed.unwrap()
        if frame.ping is not None:
            counts.control_received += length
            self._receive_ping(frame, sender, now)
            return
        inner = ipv4.parse(self._buffer, frame.inner, length)
        if not isinstance(inner, Success):
            counts.drop(inner.failure().cause)
            return
        if frame.binding is not None:
            counts.control_received += length
            self._receive_binding(frame, inner.unwrap(), sender, now)
            return
        self._receive_packet(frame, inner.unwrap(), sampled, sender, now)

    def _receive_packet(
        self,
        frame: Frame,
        segment: Segment,
        sampled: bool,
        sender: Address,
        now: Seconds,
    ) -> None:
        event = classify(segment, self._state.routes, sampled, now)
        if isinstance(event, PacketDropReason):
            self._output.counts.drop(event)
            return
        if isinstance(event, ServiceFragment):
            self._output.counts.drop(PacketDropReason.FRAGMENT)
            self._output.reply(ipv4.fragmentation_needed_for(self._buffer, segment))
            return
        decisions = self._decide(event, frame, sender)
        hop = self._begin_hop(event, frame)
        packet = Packet(self._buffer, frame, segment, hop)
        self._execute(decisions, packet)
        if hop is not None:
            reason = getattr(decisions[0], "reason", None) if decisions else None
            outcome = type(decisions[0]).__name__ if decisions else "none"
            text = None if reason is None else str(reason.value)
            self._tracer.end(hop, outcome, text)

    def _decide(
        self, event: PacketEvent, frame: Frame, sender: Address
    ) -> Sequence[Decision]:
        if frame.forwarding is None:
            return handle(event, self._state)
        node = self._output.node_at(sender)
        if node is None:
            self._output.counts.drop(PacketDropReason.UNKNOWN_SENDER)
            return ()
        if isinstance(event, UnknownDestination):
            # The sender knows the destination, of which this balancer has not learnt
            # yet, so the packet is dropped and not refused.
            self._output.counts.drop(DropReason.UNKNOWN_SERVICE)
            return ()
        return handle(Forwarded(node, frame.forwarding, event), self._state)

    def _begin_hop(self, event: PacketEvent, frame: Frame) -> Hop | None:
        if frame.trace is not None:
            return self._tracer.continue_trace(frame.trace)
        if isinstance(event, FlowOpened) and frame.forwarding is None:
            return self._tracer.start_sampled_trace()
        return None

    def _receive_binding(
        self, frame: Frame, segment: Segment, sender: Address, now: Seconds
    ) -> None:
        node = self._output.node_at(sender)
        route = self._state.routes.by_endpoint.get(
            endpoint_number(
                segment.protocol, segment.destination, segment.destination_port
            )
        )
        if node is None or route is None or frame.binding is None:
            self._output.counts.drop(PacketDropReason.UNKNOWN_SENDER)
            return
        flow = flow_key(
            segment.protocol,
            segment.source,
            segment.source_port,
            segment.destination,
            segment.destination_port,
        )
        lifetime = Seconds(frame.binding.lifetime)
        index = frame.binding.backend_index
        received = BindingReceived(node, flow, route.id, index, lifetime, now)
        self._execute(handle(received, self._state), None)

    def _receive_ping(self, frame: Frame, sender: Address, now: Seconds) -> None:
        node = self._output.node_at(sender)
        if node is None or frame.ping is None:
            self._output.counts.drop(PacketDropReason.UNKNOWN_SENDER)
            return
        if frame.ping.reply:
            self._receive_ping_reply(frame.ping.sequence, now)
            return
        reply = ping_frame(frame.ping.sequence, frame.ping.sent_at, reply=True)
        self._output.counts.control_sent += len(reply)
        self._output.send_frame(reply, sender)

    def _receive_ping_reply(self, sequence: int, now: Seconds) -> None:
        before = reachability.unreachable(self._state.reachability)
        answered = PingAnswered(sequence, now)
        reachability.handle(answered, self._state.reachability)
        for domain in before - reachability.unreachable(self._state.reachability):
            log(BalancerEvent.FAILURE_DOMAIN_REACHABLE, failure_domain=domain)
            apply_reachability(self._state, now)

    def _send_pings(self, now: Seconds) -> None:
        nodes = tuple(self._state.cluster.nodes.values())
        due = PingDue(nodes, self._random.random(), now)
        sent_at = int(now * 1_000_000)
        before = reachability.unreachable(self._state.reachability)
        for ping in reachability.handle(due, self._state.reachability):
            frame = ping_frame(ping.sequence, sent_at, reply=False)
            self._output.counts.control_sent += len(frame)
            self._output.send_to_node(ping.node, frame)
        self._log_reachability(before)

    def _post_metrics(self, now: Seconds) -> None:
        if self._metrics is None:
            return
        counts, flow_metrics = self._output.counts, self._state.metrics
        self._metrics.post(
            PacketMetrics(
                counts.snapshot(),
                dict(flow_metrics.broken),
                server_loads(self._home),
                tuple(admitted_shares(flow_metrics, now)),
                Seconds(thread_time()),
                counts.control_received,
                counts.control_sent,
            )
        )

    def _log_reachability(self, before: frozenset[FailureDomainId]) -> None:
        after = reachability.unreachable(self._state.reachability)
        for domain in sorted(after - before):
            log(BalancerEvent.FAILURE_DOMAIN_UNREACHABLE, failure_domain=domain)

    def _execute(self, decisions: Sequence[Decision], packet: Packet | None) -> None:
        for decision in decisions:
            execute(decision, self._output, packet)

    def _execute_home(self, decisions: Sequence[HomeDecision]) -> None:
        for decision in decisions:
            if not isinstance(decision, ReplyToAnnouncement):
                execute(decision, self._output, None)

    @singledispatchmethod
    def receive(self, message: PacketTaskMessage) -> None:
        """Handle a message."""
        raise TypeError(f"unsupported message type: {type(message).__name__}")

    @receive.register
    def _(self, message: LogReceived) -> None:
        decisions = self._log.apply(message, monotonic())
        self._output.use_cluster_state(self._state.cluster)
        for decision in decisions:
            if not isinstance(decision, ReplyToAnnouncement):
                execute(decision, self._output, None)

    @receive.register
    def _(self, message: AnnouncementRequest) -> None:
        now = monotonic()
        announcement = message.announcement
        received = AnnouncementReceived(announcement, now)
        decisions = backend_home.handle(received, self._home)
        for decision in decisions:
            if not isinstance(decision, ReplyToAnnouncement):
                continue
            if isinstance(decision.outcome, AnnouncementAccepted):
                name, boot_id = announcement.id, announcement.boot_id
                renewed = BackendServerRenewed(name, boot_id, now)
                self._execute(handle(renewed, self._state), None)
            message.reply.post(decision.outcome)
        self._execute_home(decisions)

    @receive.register
    def _(self, message: StatusRequest) -> None:
        counts = self._output.counts.snapshot()
        message.reply.post(status_of(self._state, counts, monotonic()))

    @receive.register
    def _(self, message: FlowRequest) -> None:
        message.reply.post(flow_path(self._state, message, monotonic()))

    @receive.register
    def _(self, message: HandoverRequest) -> None:
        received = HandoverReceived(message.handover, monotonic())
        self._execute(handle(received, self._state), None)
        message.reply.post(HandoverTaken(message.handover.backend_server))

    @receive.register
    def _(self, message: LocalOutRequest) -> None:
        domain = self._state.failure_domain
        log(BalancerEvent.TAKEN_OUT_LOCALLY, failure_domain=domain)
        self._execute(handle(TakenOutLocally(domain, monotonic()), self._state), None)
        message.reply.post(LocalOutDone(domain))

    @receive.register
    def _(self, message: Tick) -> None:
        if message.token == PING_TICK:
            self._send_pings(message.now)
            return
        if message.token == METRICS_TICK:
            self._post_metrics(message.now)
            return
        self._log.log_freshness_change(message.now)
        self._execute_home(backend_home.handle(HomeTick(message.now), self._home))
        self._execute(handle(TimerTick(message.now), self._state), None)


def make_packet_task(
    settings: PacketTaskSettings, outputs: PacketTaskOutputs
) -> PacketTask:
    """Create the packet task of a balancer; entering its context binds the socket."""
    mailbox: SelectableMailbox[PacketTaskMessage | Stop] = SelectableMailbox(
        "packets", settings.limits.mailbox_messages
    )
    return PacketTask(settings, outputs, mailbox)
