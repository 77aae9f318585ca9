"""Hosts of backend servers, and the boots that run on them one after the other."""

from collections.abc import Callable
from dataclasses import replace
from enum import Enum

from wasabigw.core.commands import BootAnnounced
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import BackendServerId, Seconds
from wasabigw.core.tags.liveness.host_checks import Attempt
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw_verify.evidence_model.boots import (
    LONG_AGO,
    Boot,
    FlowPhase,
    ServerFlow,
    ServerSettings,
    Workload,
)
from wasabigw_verify.evidence_model.clock import Callback, Clock
from wasabigw_verify.evidence_model.judge import Judge
from wasabigw_verify.evidence_model.transport import (
    FIRST_RETRANSMISSION,
    LONGEST_INTERVAL,
    Receiver,
    Segment,
    Sender,
)
from wasabigw_verify.evidence_model.wire import Kind, ServerPacket

MOST_RETRANSMISSIONS = 8
PORT = 8080


class HostState(Enum):
    """What a host does with packets."""

    RUNNING = "a boot receives them"
    PAUSED = "they wait until the boot runs again"
    FROZEN = "they wait, and connections get no answer, until the host runs again"
    SILENT = "nothing answers, and connections time out"
    REFUSING = "the boot is gone: connections are refused, packets get no answer"
    RESETTING = "the boot is gone: connections are refused, packets are reset"


class Host:
    """A host of backend servers, and the boot that runs there.

    :param to_caller: sends a packet to a caller.
    """

    def __init__(
        self,
        number: int,
        settings: ServerSettings,
        clock: Clock,
        judge: Judge,
        to_caller: Callable[[ServerPacket], None],
        workload: Callable[[FlowId], Workload],
    ) -> None:
        self.number = number
        self.address = f"10.0.0.{number}"
        self.failure_domain = settings.failure_domain
        self.state = HostState.RUNNING
        self.paused_until = -1.0
        self.queue_full_until = -1.0
        self.connections_dropped_until = -1.0
        self.connections_rejected_until = -1.0
        self._refuses_from: float | None = None
        self.boot: Boot | None = None
        self._settings = settings
        self._clock = clock
        self._judge = judge
        self._to_caller = to_caller
        self._workload = workload
        self._backlog: list[Callback] = []
        self._disturbed_at = LONG_AGO

    def connection_response(self, port: int) -> Attempt | None:
        """Response to a connection attempt; ``None`` if there is none.

        The kernel of a host accepts connections while the boot stands still, and
        ignores them while the queue of those that were not accepted yet is full.
        """
        is_dropped = self._clock.now < self.connections_dropped_until
        if is_dropped or self.state in (HostState.SILENT, HostState.FROZEN):
            return None
        if port != PORT and self._settings.is_firewalled:
            return None
        is_rejected = self._clock.now < self.connections_rejected_until
        if is_rejected or port != PORT or self.boot is None or not self._listens:
            return Attempt.REFUSED
        is_full = self._clock.now < self.queue_full_until
        return None if is_full else Attempt.ACCEPTED

    @property
    def _listens(self) -> bool:
        has_stopped = (
            self._refuses_from is not None and self._clock.now >= self._refuses_from
        )
        return self._settings.accepts_connections and not has_stopped

    @property
    def _stands_still(self) -> bool:
        return self.state in (HostState.PAUSED, HostState.FROZEN)

    def start(self, name: str, number: int, clock_behind: int = 0) -> Boot:
        """Start a boot; another one must not run.

        :param clock_behind: milliseconds by which the clock of the host is behind.
        """
        report = BootAnnounced(
            id=BackendServerId(name),
            service=self._settings.service,
            failure_domain=self._settings.failure_domain,
            endpoint=Endpoint(self.address, PORT),
            started_at=1_000_000 + round(self._clock.now * 1000) - clock_behind,
            slots=self._settings.slots,
            draining=False,
            cold_for=Seconds(0.0),
        )
        self.boot = Boot(report.id, number, self._settings, report)
        self.boot.disturbed_at = self._disturbed_at
        self.state = HostState.RUNNING
        self._refuses_from = None
        return self.boot

    def kill(self, after: HostState) -> None:
        """End the boot without a word.

        :param after: how the host treats packets from then on.
        """
        self.state = after
        self._backlog.clear()
        boot, self.boot = self.boot, None
        if boot is not None:
            boot.is_alive = False
            boot.died_at = boot.disturbed_at = self._clock.now
            for flow in boot.flows.values():
                flow.sender.stop()
            self._judge.boot_died(boot.number, self._clock.now)

    def drain(self) -> BootAnnounced | None:
        """Let the boot leave; returns its announcement."""
        boot = self.boot
        if boot is None:
            return None
        boot.is_draining = True
        boot.report = replace(boot.report, draining=True)
        return boot.report

    def refuse_connections(self, delay: float) -> None:
        """Let the boot accept no connections from some time on."""
        self._refuses_from = self._clock.now + delay

    def pause(self, seconds: float, state: HostState = HostState.PAUSED) -> None:
        """Stop the boot for some time; packets wait meanwhile.

        :param state: whether the boot or the whole host stands still.
        """
        if self.boot is None:
            return
        self.state = state
        self.paused_until = max(self.paused_until, self._clock.now + seconds)
        if state is HostState.FROZEN:
            self.disturb(seconds)
        self.boot.disturbed_at = max(self.boot.disturbed_at, self.paused_until)
        self._clock.after(seconds, self._resume)

    def disturb(self, seconds: float) -> None:
        """Record that the host or its links are impaired for some time.

        This outlasts the boot: the next one on the host is not in touch either.
        """
        self._disturbed_at = max(self._disturbed_at, self._clock.now + seconds)
        if self.boot is not None:
            self.boot.disturbed_at = max(self.boot.disturbed_at, self._disturbed_at)

    def _resume(self) -> None:
        if not self._stands_still or self._clock.now < self.paused_until:
            return
        self.state = HostState.RUNNING
        backlog, self._backlog = self._backlog, []
        for callback in backlog:
            self._run(callback)

    def _run(self, callback: Callback) -> None:
        """Run a callback of the boot, or keep it until the boot runs again."""
        if self._stands_still:
            self._backlog.append(callback)
        elif self.state is HostState.RUNNING:
            callback()

    def _after(self, boot: Boot, delay: float, callback: Callback) -> None:
        def due() -> None:
            if boot.is_alive:
                self._run(callback)

        self._clock.after(delay, due)

    def receive(self, intended: BackendServerId | None, packet: FlowPacket) -> None:
        """A packet arrives at the address of the host.

        :param intended: ``None`` if it is for whichever boot runs there.
        """
        if self.state is HostState.RESETTING and not packet.is_reset:
            self._reset(packet, BackendServerId(f"host {self.number}"), 0)
        boot = self.boot
        if boot is not None and boot.is_alive:
            self._run(lambda: self._take(boot, intended, packet))

    def _take(
        self, boot: Boot, intended: BackendServerId | None, packet: FlowPacket
    ) -> None:
        if intended not in (None, boot.id) or not boot.is_alive:
            return
        self._judge.packet_reached(packet, boot.number, self._clock.now)
        if packet.is_opening:
            self._open(boot, packet)
            return
        flow = boot.flows.get(packet.flow)
        if flow is None:
            if not packet.is_reset:
                self._reset(packet, boot.id, boot.number)
            return
        flow.tag = packet.tag
        if packet.is_reset:
            self._end(boot, flow)
        elif flow.phase is FlowPhase.ENDED:
            self._answer_ended(boot, flow, packet)
        elif flow.phase is FlowPhase.HALF_OPEN and not self._completes(flow, packet):
            self._reset(packet, boot.id, boot.number)
        else:
            self._receive_on(boot, flow, packet)

    def _open(self, boot: Boot, packet: FlowPacket) -> None:
        known = boot.flows.get(packet.flow)
        if known is None or known.first_sequence != packet.sequence:
            held = sum(f.phase is not FlowPhase.ENDED for f in boot.flows.values())
            if held >= boot.settings.max_flows:
                return
            if known is not None:
                known.sender.stop()
            known = boot.flows[packet.flow] = self._make_flow(boot, packet)
            self._accept_again(boot, known, FIRST_RETRANSMISSION, MOST_RETRANSMISSIONS)
        known.tag = packet.tag
        self._accept(boot, known)

    def _accept(self, boot: Boot, flow: ServerFlow) -> None:
        self._send(boot, flow, Kind.ACCEPT, flow.own_sequence, 0, False)

    def _accept_again(
        self, boot: Boot, flow: ServerFlow, delay: float, left: int
    ) -> None:
        """Send the answer to an opening again until the handshake ends."""

        def due() -> None:
            is_current = boot.flows.get(flow.flow) is flow
            if is_current and flow.phase is FlowPhase.HALF_OPEN and left > 0:
                self._accept(boot, flow)
                following = min(2 * delay, LONGEST_INTERVAL)
                self._accept_again(boot, flow, following, left - 1)

        self._after(boot, delay, due)

    def _make_flow(self, boot: Boot, packet: FlowPacket) -> ServerFlow:
        # The sequence numbers of two boots differ, as the callers tell them by these.
        own = 1_000_000 * (boot.number + 1) + packet.sequence % 997 * 1000
        receiver = Receiver(packet.sequence + 1, boot.settings.acknowledging)

        def transmit(segment: Segment) -> None:
            self._send(
                boot,
                flow,
                Kind.DATA,
                segment.sequence,
                segment.length,
                segment.closing,
            )

        sender = Sender(
            own + 1,
            transmit,
            lambda delay, callback: self._after(boot, delay, callback),
            lambda: self._end(boot, flow),
            MOST_RETRANSMISSIONS,
        )
        flow = ServerFlow(
            packet.flow, packet.sequence, own, packet.tag, receiver, sender
        )
        return flow

    @staticmethod
    def _completes(flow: ServerFlow, packet: FlowPacket) -> bool:
        return packet.acknowledged == flow.own_sequence + 1

    def _receive_on(self, boot: Boot, flow: ServerFlow, packet: FlowPacket) -> None:
        if flow.phase is FlowPhase.HALF_OPEN:
            flow.phase = FlowPhase.OPEN
            self._judge.flow_opened(
                flow.flow, flow.first_sequence, boot.number, self._clock.now
            )
        flow.sender.acknowledge(packet.acknowledged)
        if packet.length or packet.is_closing:
            received, is_due = flow.receiver.receive(
                packet.sequence, packet.length, packet.is_closing
            )
            flow.unread += received
            self._read_requests(boot, flow)
            if is_due:
                self._acknowledge(boot, flow)
        if flow.receiver.is_closed and flow.unanswered == 0:
            self._end(boot, flow)

    def _read_requests(self, boot: Boot, flow: ServerFlow) -> None:
        size = self._workload(flow.flow).request
        while flow.unread >= size:
            flow.unread -= size
            if boot.busy < boot.settings.slots:
                self._serve(boot, flow)
            elif len(boot.waiting) < boot.settings.queue:
                flow.unanswered += 1
                boot.waiting.append(flow)
            else:
                flow.sender.send(self._workload(flow.flow).response, boot.is_draining)

    def _serve(self, boot: Boot, flow: ServerFlow) -> None:
        boot.busy += 1
        flow.unanswered += 1
        self._after(boot, boot.settings.service_time, lambda: self._done(boot, flow))

    def _done(self, boot: Boot, flow: ServerFlow) -> None:
        boot.busy -= 1
        flow.unanswered -= 1
        if flow.phase is FlowPhase.OPEN:
            flow.sender.send(self._workload(flow.flow).response, boot.is_draining)
        while boot.waiting and boot.busy < boot.settings.slots:
            following = boot.waiting.popleft()
            following.unanswered -= 1
            if following.phase is FlowPhase.OPEN:
                self._serve(boot, following)

    def _acknowledge(self, boot: Boot, flow: ServerFlow) -> None:
        self._send(boot, flow, Kind.DATA, flow.sender.sent_up_to, 0, False)

    def _answer_ended(self, boot: Boot, flow: ServerFlow, packet: FlowPacket) -> None:
        if packet.is_closing:
            self._acknowledge(boot, flow)
        elif packet.length:
            self._reset(packet, boot.id, boot.number)

    def _end(self, boot: Boot, flow: ServerFlow) -> None:
        flow.phase = FlowPhase.ENDED
        flow.sender.stop()
        self._judge.flow_ended(flow.flow, flow.first_sequence, boot.number)

    def _send(
        self,
        boot: Boot,
        flow: ServerFlow,
        kind: Kind,
        sequence: int,
        length: int,
        closing: bool,
    ) -> None:
        self._to_caller(
            ServerPacket(
                flow.flow,
                kind,
                boot.id,
                boot.number,
                flow.tag,
                sequence,
                flow.receiver.acknowledged(),
                length,
                closing,
            )
        )

    def _reset(self, packet: FlowPacket, sender: BackendServerId, number: int) -> None:
        self._to_caller(
            ServerPacket(
                packet.flow,
                Kind.RESET,
                sender,
                number,
                packet.tag,
                packet.acknowledged,
                packet.sequence,
            )
        )
