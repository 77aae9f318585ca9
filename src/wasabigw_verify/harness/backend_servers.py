"""Backend servers: they announce themselves, run requests and can crash or drain."""

import math
from dataclasses import dataclass, field
from typing import Any

from wasabigw.core.cluster import Endpoint
from wasabigw.core.flows import events as e
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    FailureDomainId,
    FlowKey,
    NodeId,
    Seconds,
    ServiceId,
)
from wasabigw.core.log_messages import (
    Announcement,
    AnnouncementAccepted,
    AnnouncementRedirected,
    LoadReport,
)
from wasabigw.core.states import BackendServerState
from wasabigw.core.timing import (
    ANNOUNCE_INTERVAL,
    FULL_STEP,
    RAMP_STEP_TIME,
    RAMP_STEPS,
)
from wasabigw_verify import record as r
from wasabigw_verify.harness.packets import ANSWER_PARTS, Ask, Packet, Part
from wasabigw_verify.harness.surroundings import BalancerProcess, Surroundings

PART_INTERVAL = 0.15
ANNOUNCE_TIMEOUT = 0.5
CONNECTIONS = 400
"""Connections that each backend server announces; slots may be fewer."""


@dataclass(slots=True)
class _Flow:
    """State of the connection at its end.

    :param ready: parts of the latest answer that exist so far.
    """

    last: int = 0
    ready: list[Part] = field(default_factory=list)


class BackendServer:
    """A backend server of one service.

    :ivar capacity: open flows that it can carry once its caches are full; more than
        ``slots`` if its flows wait for a slot.
    """

    def __init__(
        self,
        simulation: Surroundings,
        name: BackendServerId,
        service: ServiceId,
        domain: FailureDomainId,
        number: int,
        slots: int,
    ) -> None:
        self.simulation = simulation
        self.name = name
        self.service = service
        self.domain = domain
        self.endpoint = Endpoint(f"10.1.0.{number}", 8080)
        self.slots = slots
        self.capacity = slots
        self.alive = True
        self.state = BackendServerState.READY
        self.flows: dict[FlowKey, _Flow] = {}
        self._closed: set[FlowKey] = set()
        self._balancer: NodeId | None = None
        self._boot = 0
        self._started = Seconds(0.0)
        self._heard = True
        self._boot_up()
        simulation.network.every(name, self, ANNOUNCE_INTERVAL, self._announce)

    def _boot_up(self) -> None:
        self._boot += 1
        self._started = self.simulation.network.now
        self.flows.clear()
        self._closed.clear()

    def restart(self) -> None:
        """Start again at once, with cold caches and without any flow."""
        self.simulation.add(
            r.BackendServerCrashed(self.simulation.network.now, self.name)
        )
        self._boot_up()
        self._announce()

    def drain(self) -> None:
        """Take no new flows, and stop once the last flow has ended."""
        if self.state is BackendServerState.READY:
            self.state = BackendServerState.DRAINING
            self.simulation.add(
                r.BackendServerLeaving(self.simulation.network.now, self.name)
            )
            self._announce()

    def rejoin(self) -> None:
        """Start again after a drain, with cold caches."""
        self.state = BackendServerState.READY
        self._boot_up()
        self.simulation.add(
            r.BackendServerReturned(self.simulation.network.now, self.name)
        )
        self._announce()

    @property
    def current_capacity(self) -> int:
        """Open flows that it can carry while its caches fill."""
        age = self.simulation.network.now - self._started
        passed = min(int(age / RAMP_STEP_TIME), len(RAMP_STEPS) - 1)
        return math.ceil(self.capacity * RAMP_STEPS[passed] / FULL_STEP)

    @property
    def _busy_slots(self) -> int:
        open_flows = len(self.flows)
        waits = self.capacity > self.slots
        return min(open_flows, self.slots) if waits else open_flows

    # Announcements

    def _announce(self) -> None:
        if self.state is BackendServerState.DRAINING and not self.flows:
            self.state = BackendServerState.LEAVING
        if not self._heard:
            self._balancer = None
        known = self.simulation.fabric_of(self.name, self.domain)
        if self._balancer is None and known:
            self._balancer = self.simulation.network.random.choice(known).name
        if self._balancer is not None:
            self._heard = False
            self._announce_to(self._balancer)

    def _announce_to(self, to: NodeId) -> None:
        network = self.simulation.network
        announcement = Announcement(
            self.name,
            self.service,
            self.domain,
            self.endpoint,
            BootId(f"{self.name}-{self._boot}"),
            self.state,
            self.slots,
            CONNECTIONS,
            LoadReport(open_connections=len(self.flows), busy_slots=self._busy_slots),
        )

        def deliver() -> None:
            balancer = self.simulation.balancers.get(to)
            if balancer is not None:
                outcome = balancer.announce(announcement)
                network.send(to, self.name, lambda: self._answered(outcome), True)
            else:
                network.send(to, self.name, lambda: self._answered(None), True)

        def reopen() -> None:
            if not self._heard:
                network.reopen(self.name, to)

        network.send(self.name, to, deliver, True)
        network.call_later(ANNOUNCE_TIMEOUT, reopen)

    def _answered(self, outcome: Any) -> None:
        if isinstance(outcome, AnnouncementRedirected):
            if outcome.home != self._balancer:
                self._balancer = outcome.home
                self._announce_to(outcome.home)
        else:
            self._heard = isinstance(outcome, AnnouncementAccepted)

    # Packets

    def receive(self, packet: Packet, via: BalancerProcess, service: ServiceId) -> None:
        """Handle a packet of a caller."""
        event = packet.event
        flow = event.flow
        self.simulation.add(
            r.PacketDelivered(
                self.simulation.network.now,
                flow,
                service,
                self.name,
                self.service,
                self.domain,
                via.name,
                packet.opens,
                packet.content is not None,
            )
        )
        match event:
            case e.FlowOpened():
                self._open(flow)
            case e.FlowData() if flow in self.flows:
                self._take(flow, packet.content)
            case e.FlowClosing() if flow in self.flows or flow in self._closed:
                self.flows.pop(flow, None)
                self._closed.add(flow)
                if not event.reset:
                    self._send(e.AnswerClosing(flow, self.name, Seconds(0.0)))
            case e.FlowData() | e.FlowClosing(reset=False):
                self._send(e.AnswerClosing(flow, self.name, Seconds(0.0), reset=True))

    def reset(self, flow: FlowKey) -> None:
        """Handle a reset of the other side."""
        self.flows.pop(flow, None)

    def _open(self, flow: FlowKey) -> None:
        if flow not in self.flows:
            self.flows[flow] = _Flow()
            now = self.simulation.network.now
            load = len(self.flows)
            self.simulation.add(
                r.LoadObserved(now, self.name, load, self.current_capacity)
            )
        self._send(e.AnswerOpened(flow, self.name, Seconds(0.0)))

    def _take(self, flow: FlowKey, ask: Ask) -> None:
        known = self.flows[flow]
        if ask.number > known.last:
            known.last = ask.number
            known.ready = []
            now = self.simulation.network.now
            self.simulation.add(r.RequestRun(now, ask.request, self.name))
            self._produce(flow, known, ask, 0)
        else:
            for part in known.ready:
                self._send_part(flow, part)

    def _produce(self, flow: FlowKey, known: _Flow, ask: Ask, index: int) -> None:
        def produce() -> None:
            if self.flows.get(flow) is not known:
                return
            part = Part(ask, index)
            known.ready.append(part)
            self._send_part(flow, part)
            if index + 1 < ANSWER_PARTS:
                self._produce(flow, known, ask, index + 1)

        self.simulation.network.call_later(PART_INTERVAL, produce)

    def _send_part(self, flow: FlowKey, part: Part) -> None:
        self._send(e.AnswerData(flow, self.name, Seconds(0.0)), part)

    def _send(self, event: e.AnswerEvent, content: Part | None = None) -> None:
        self.simulation.spray(self.name, Packet(event, content))
