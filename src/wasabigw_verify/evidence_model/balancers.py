"""Balancer node: the only part of the model that calls ``wasabigw.core.tags``.

It follows ``wasabigw.tasks.tag_packet_task``: one packet after the other is decided
on, sent or given to the queue of the link, and the queue is released when it is due.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from wasabigw.core.delivery_view import ViewUpdate
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, NodeId, Seconds, Tag
from wasabigw.core.registration import Registration
from wasabigw.core.tags.admission.fair_queue import Datagram
from wasabigw.core.tags.decisions import Deliver, Receiver, Refuse
from wasabigw.core.tags.flow_table import expire_flows
from wasabigw.core.tags.link.egress import (
    Admission,
    make_egress_queue,
    release,
    submit,
    take_evicted,
    time_to_release,
)
from wasabigw.core.tags.liveness.host_checks import UNUSED_PORT, HostCheck, HostChecked
from wasabigw.core.tags.liveness.unreachable_hosts import record_check
from wasabigw.core.tags.packets import FlowPacket
from wasabigw.core.tags.state import TagState, listeners_of
from wasabigw.core.tags.steering import decide, record_loss, record_release
from wasabigw.core.tags.updates import apply_declaration, apply_view_update
from wasabigw_verify.evidence_model.clock import Callback, Clock
from wasabigw_verify.evidence_model.deployment import DOMAINS, declaration
from wasabigw_verify.evidence_model.host_checker import HostChecker, Respond
from wasabigw_verify.evidence_model.moments import Moment
from wasabigw_verify.evidence_model.wire import BalancerReset

HEADER_BYTES = 32
RECEIVER_BYTES = 10
MAINTENANCE_PERIOD = 1.0
HANDOVER_PACKETS = 4
"""Packets that are handled until the checker takes a request."""
PACKETS_PER_WAKE_UP = 64
"""Most packets that are handled before the results of checks are taken."""
STOP_CHECK_PERIOD = 0.005
VIEW_CHECK_PERIOD = 0.005
READINESS_MISSES = 1.0
"""Seconds of suspension after which routers take a balancer out of rotation."""


class Phase(Enum):
    """Life of a balancer."""

    SERVING = "serving"
    LEAVING = "out of rotation before a planned stop"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Machine of a balancer.

    :param link_megabits: capacity of its link; ``None`` if the link is never full.
    :param buffer: packets that fit into the receive buffer.
    :param packet_time: seconds of work for each packet.
    """

    link_megabits: float | None = None
    buffer: int = 800
    packet_time: float = 0.0001
    failure_domain: FailureDomainId = DOMAINS[0]


class Output(NamedTuple):
    """Where a balancer sends packets, and who learns of its checks."""

    to_server: Callable[[Registration, Receiver, FlowPacket], None]
    to_caller: Callable[[BalancerReset], None]
    connect: Callable[[Endpoint, Respond], None]
    notify: Callable[[Moment, Endpoint], None]


class _Received(NamedTuple):
    """A packet in the receive buffer, and when it arrived."""

    packet: FlowPacket
    at: Seconds


class BalancerNode:
    """A balancer with its receive buffer and its link.

    :param suspended_until: until when the process does not run.
    :param slow_until: until when each packet takes ``slow_packet_time``.
    :param failing_until: until when the kernel refuses to send packets.
    :param dropped_at_stop: packets that the process had taken when it stopped.
    :param overflows: packets that found the receive buffer full.
    :param rejections: packets that found the queue of the link full.
    """

    def __init__(
        self, name: str, settings: BalancerSettings, clock: Clock, output: Output
    ) -> None:
        self.name = NodeId(name)
        self.phase = Phase.SERVING
        self.suspended_until = -1.0
        self.slow_until = -1.0
        self.slow_packet_time = 0.0
        self.failing_until = -1.0
        self._suspended_since = 0.0
        self.dropped_at_stop = 0
        self.overflows = 0
        self.rejections = 0
        self._settings = settings
        self._clock = clock
        self._output = output
        self._received: deque[_Received] = deque()
        self._is_working = False
        self._free_at = 0.0
        self._release_at: float | None = None
        self._deliveries: dict[tuple[Tag, Receiver], Deliver] = {}
        egress = make_egress_queue(settings.link_megabits)
        domain = settings.failure_domain
        self._state = TagState(self.name, domain, egress=egress)
        self._checker = HostChecker(
            clock,
            self._connect,
            self._when_running,
            self._post_result,
            lambda: HANDOVER_PACKETS * self._packet_time(),
        )
        self._results: deque[HostChecked] = deque()
        self._handled = 0
        self._unconnectable: dict[str, float] = {}
        apply_declaration(declaration(), self._state)
        clock.after(MAINTENANCE_PERIOD, self._maintain)

    @property
    def state(self) -> TagState:
        """State of the decisions."""
        return self._state

    @property
    def is_in_rotation(self) -> bool:
        """Whether routers send packets here."""
        now = self._clock.now
        is_missed = now - self._suspended_since >= READINESS_MISSES
        is_suspended = now < self.suspended_until
        return self.phase is Phase.SERVING and not (is_suspended and is_missed)

    def suspend(self, seconds: float) -> None:
        """Stop the process for some time; its buffer still receives."""
        if self._clock.now >= self.suspended_until:
            self._suspended_since = self._clock.now
        self.suspended_until = max(self.suspended_until, self._clock.now + seconds)

    def update_view(self, update: ViewUpdate, sent_at: Seconds) -> None:
        """Take the answer to a poll."""
        apply_view_update(update, sent_at, self._state, self._clock.now)

    def fail_connecting(self, address: str, seconds: float) -> None:
        """Let attempts to connect to a backend server fail for some time.

        Its own system has no local port left for that endpoint; attempts to an unused
        port of the same host can be made.
        """
        self._unconnectable[address] = self._clock.now + seconds

    def lose_listeners(self, seconds: float) -> None:
        """Let it have no listeners for some time."""
        known = listeners_of(declaration())
        self._state.listeners = {}

        def learn() -> None:
            self._state.listeners = known

        self._clock.after(seconds, learn)

    def receive(self, packet: FlowPacket) -> None:
        """Put a packet into the receive buffer, if it fits."""
        if self.phase is Phase.STOPPED:
            return
        if len(self._received) >= self._settings.buffer:
            self.overflows += 1
            return
        self._received.append(_Received(packet, self._clock.now))
        self._schedule_work(self._free_at - self._clock.now)

    def leave(self) -> None:
        """Begin a planned stop: routers send packets elsewhere."""
        self.phase = Phase.LEAVING

    def stop(self) -> None:
        """End the process as planned, after the packets that it has taken."""
        if self._received or not self._state.egress.is_empty:
            self._clock.after(STOP_CHECK_PERIOD, self.stop)
            return
        self.exit()

    def exit(self) -> None:
        """End the process; what it has taken and not sent is lost."""
        waiting = self._state.egress.packet_count
        self.dropped_at_stop = len(self._received) + waiting
        self.phase = Phase.STOPPED

    def _schedule_work(self, delay: float) -> None:
        if not self._is_working:
            self._is_working = True
            self._clock.after(delay, self._work)

    def _work(self) -> None:
        self._is_working = False
        now = self._clock.now
        if now < self.suspended_until:
            self._schedule_work(self.suspended_until - now)
            return
        if self.phase is Phase.STOPPED:
            return
        if not self._received or self._handled >= PACKETS_PER_WAKE_UP:
            self._take_results()
        if not self._received:
            return
        if not self._state.has_view:
            self._schedule_work(VIEW_CHECK_PERIOD)
            return
        self._handled += 1
        received = self._received.popleft()
        self._handle(received.packet, now, Seconds(now - received.at))
        self._handle_due()
        self._free_at = now + self._packet_time()
        if self._received or self._results:
            self._schedule_work(self._packet_time())

    def _packet_time(self) -> float:
        if self._clock.now < self.slow_until:
            return self.slow_packet_time
        return self._settings.packet_time

    def _handle(self, packet: FlowPacket, now: Seconds, waited: Seconds) -> None:
        decision = decide(packet, self._state, now, waited)
        self._state.health_changes.clear()
        if isinstance(decision, Deliver):
            self._deliver(decision, now)
        elif isinstance(decision, Refuse):
            self._refuse(decision)
        for check in self._state.host_checks:
            self._checker.start(check)
            self._output.notify(Moment.CHECK_REQUESTED, check.endpoint)
        self._state.host_checks.clear()

    def _post_result(self, result: HostChecked, check: HostCheck) -> None:
        self._results.append(result)
        self._output.notify(Moment.CHECK_ENDED, check.endpoint)
        self._schedule_work(self._free_at - self._clock.now)

    def _take_results(self) -> None:
        self._handled = 0
        while self._results:
            result = self._results.popleft()
            for refusal in record_check(result, self._state, self._clock.now):
                self._refuse(refusal)

    def _connect(self, target: Endpoint, answer: Respond) -> bool:
        failing_until = self._unconnectable.get(target.address, -1.0)
        if target.port == UNUSED_PORT:
            failing_until = -1.0
        if self._clock.now < max(self.failing_until, failing_until):
            return False
        self._output.connect(target, answer)
        return True

    def _when_running(self, callback: Callback) -> None:
        """Run a callback, after a suspension if there is one."""
        if self.phase is Phase.STOPPED:
            return
        if self._clock.now < self.suspended_until:
            delay = self.suspended_until - self._clock.now
            self._clock.after(delay, lambda: self._when_running(callback))
            return
        callback()

    def _refuse(self, refusal: Refuse) -> None:
        packet = refusal.packet
        reset = BalancerReset(
            packet.flow, self.name, packet.acknowledged, refusal.reason, packet
        )
        if self._clock.now >= self.failing_until:
            self._output.to_caller(reset)

    def _deliver(self, decision: Deliver, now: Seconds) -> None:
        packet, server = decision.packet, decision.server
        self._deliveries[server.tag, decision.receiver] = decision
        data = f"{server.tag} {decision.receiver.name}".ljust(RECEIVER_BYTES).encode()
        data += bytes(HEADER_BYTES + packet.length)
        endpoint = server.endpoint
        datagram = Datagram(data, (endpoint.address, endpoint.port))
        egress = self._state.egress
        admission = submit(egress, packet, datagram, now)
        if admission is Admission.SEND:
            self._send(packet, datagram)
        elif admission is Admission.REJECTED:
            self.rejections += 1
            record_loss(packet, self._state)
        for evicted in take_evicted(egress):
            record_loss(evicted.packet, self._state)

    def _handle_due(self) -> None:
        egress, now = self._state.egress, self._clock.now
        if egress.is_empty:
            return
        for waiting in release(egress, now):
            record_release(waiting.packet, self._state, now)
            self._send(waiting.packet, waiting.datagram)
        for expired in take_evicted(egress):
            record_loss(expired.packet, self._state)
        delay = time_to_release(egress, now)
        if delay is not None and (self._release_at is None or self._release_at <= now):
            self._release_at = now + delay
            self._clock.after(delay, self._release)

    def _release(self) -> None:
        self._release_at = None
        self._when_running(self._handle_due)

    def _send(self, packet: FlowPacket, datagram: Datagram) -> None:
        if self._clock.now < self.failing_until:
            record_loss(packet, self._state)
            return
        tag, receiver = datagram.data[:RECEIVER_BYTES].decode().split()
        decision = self._deliveries[Tag(int(tag)), Receiver[receiver]]
        server = decision.server
        out = packet._replace(tag=server.tag)
        self._output.to_server(server, decision.receiver, out)

    def _maintain(self) -> None:
        if self._clock.now >= self.suspended_until:
            expire_flows(self._state, self._clock.now)
        self._clock.after(MAINTENANCE_PERIOD, self._maintain)
