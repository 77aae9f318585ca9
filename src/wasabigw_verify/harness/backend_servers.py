"""Backend servers that announce themselves, run requests, drain and restart."""

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
from wasabigw_verify.harness.environment import BalancerProcess, Environment
from wasabigw_verify.harness.packets import (
    ANSWER_PARTS,
    AnswerPart,
    Packet,
    RequestPayload,
)

PART_INTERVAL = 0.15
ANNOUNCE_TIMEOUT = 0.5
CONNECTIONS = 400
"""Maximum number of connections that each backend server announces."""


@dataclass(slots=True)
class _Connection:
    """State of a flow at the backend server.

    :param last_request: number of the latest request.
    :param parts: parts of the latest answer that were sent so far.
    """

    last_request: int = 0
    parts: list[AnswerPart] = field(default_factory=list)


class BackendServer:
    """A backend server of one service.

    :ivar capacity: open flows that it can serve with warm caches; more than ``slots``
        if flows wait for a slot.
    """

    def __init__(
        self,
        simulation: Environment,
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
        self.flows: dict[FlowKey, _Connection] = {}
        self._closed: set[FlowKey] = set()
        self._balancer: NodeId | None = None
        self._boot_count = 0
        self._booted_at = Seconds(0.0)
        self._acknowledged = True
        self._begin_boot()
        simulation.network.call_every(name, self, ANNOUNCE_INTERVAL, self._announce)

    def _begin_boot(self) -> None:
        self._boot_count += 1
        self._booted_at = self.simulation.network.now
        self.flows.clear()
        self._closed.clear()

    def restart(self) -> None:
        """Crash and restart at once, with cold caches and without flows."""
        self.simulation.add(
            r.BackendServerCrashed(self.simulation.network.now, self.name)
        )
        self._begin_boot()
        self._announce()

    def drain(self) -> None:
        """Accept no new flows, and leave after the last flow has ended."""
        if self.state is BackendServerState.READY:
            self.state = BackendServerState.DRAINING
            self.simulation.add(
                r.BackendServerLeaving(self.simulation.network.now, self.name)
            )
            self._announce()

    def rejoin(self) -> None:
        """Restart after a drain, with cold caches."""
        self.state = BackendServerState.READY
        self._begin_boot()
        self.simulation.add(
            r.BackendServerReturned(self.simulation.network.now, self.name)
        )
        self._announce()

    @property
    def current_capacity(self) -> int:
        """Open flows that it can serve at this time, while its caches warm up."""
        age = self.simulation.network.now - self._booted_at
        ramp_step = min(int(age / RAMP_STEP_TIME), len(RAMP_STEPS) - 1)
        return math.ceil(self.capacity * RAMP_STEPS[ramp_step] / FULL_STEP)

    @property
    def _busy_slots(self) -> int:
        open_flows = len(self.flows)
        flows_wait_for_slots = self.capacity > self.slots
        return min(open_flows, self.slots) if flows_wait_for_slots else open_flows

    # Announcements

    def _announce(self) -> None:
        if self.state is BackendServerState.DRAINING and not self.flows:
            self.state = BackendServerState.LEAVING
        if not self._acknowledged:
            self._balancer = None
        candidates = self.simulation.reachable_balancers(self.name, self.domain)
        if self._balancer is None and candidates:
            self._balancer = self.simulation.network.random.choice(candidates).name
        if self._balancer is not None:
            self._acknowledged = False
            self._announce_to(self._balancer)

    def _announce_to(self, to: NodeId) -> None:
        network = self.simulation.network
        announcement = Announcement(
            self.name,
            self.service,
            self.domain,
            self.endpoint,
            BootId(f"{self.name}-{self._boot_count}"),
            self.state,
            self.slots,
            CONNECTIONS,
            LoadReport(open_connections=len(self.flows), busy_slots=self._busy_slots),
        )

        def deliver() -> None:
            balancer = self.simulation.balancers.get(to)
            if balancer is not None:
                outcome = balancer.announce(announcement)
                network.send(to, self.name, lambda: self._handle_reply(outcome), True)
            else:
                network.send(to, self.name, lambda: self._handle_reply(None), True)

        def close_connections() -> None:
            if not self._acknowledged:
                network.close_connections(self.name, to)

        network.send(self.name, to, deliver, True)
        network.call_later(ANNOUNCE_TIMEOUT, close_connections)

    def _handle_reply(self, outcome: Any) -> None:
        if isinstance(outcome, AnnouncementRedirected):
            if outcome.home != self._balancer:
                self._balancer = outcome.home
                self._announce_to(outcome.home)
        else:
            self._acknowledged = isinstance(outcome, AnnouncementAccepted)

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
                self._handle_request(flow, packet.content)
            case e.FlowClosing() if flow in self.flows or flow in self._closed:
                self.flows.pop(flow, None)
                self._closed.add(flow)
                if not event.reset:
                    self._send(e.AnswerClosing(flow, self.name, Seconds(0.0)))
            case e.FlowData() | e.FlowClosing(reset=False):
                self._send(e.AnswerClosing(flow, self.name, Seconds(0.0), reset=True))

    def reset(self, flow: FlowKey) -> None:
        """Handle a reset from a balancer."""
        self.flows.pop(flow, None)

    def _open(self, flow: FlowKey) -> None:
        if flow not in self.flows:
            self.flows[flow] = _Connection()
            now = self.simulation.network.now
            load = len(self.flows)
            self.simulation.add(
                r.LoadObserved(now, self.name, load, self.current_capacity)
            )
        self._send(e.AnswerOpened(flow, self.name, Seconds(0.0)))

    def _handle_request(self, flow: FlowKey, payload: RequestPayload) -> None:
        connection = self.flows[flow]
        if payload.number > connection.last_request:
            connection.last_request = payload.number
            connection.parts = []
            now = self.simulation.network.now
            self.simulation.add(r.RequestRun(now, payload.request, self.name))
            self._produce_part(flow, connection, payload, 0)
        else:
            for part in connection.parts:
                self._send_part(flow, part)

    def _produce_part(
        self,
        flow: FlowKey,
        connection: _Connection,
        payload: RequestPayload,
        index: int,
    ) -> None:
        def produce() -> None:
            if self.flows.get(flow) is not connection:
                return
            part = AnswerPart(payload, index)
            connection.parts.append(part)
            self._send_part(flow, part)
            if index + 1 < ANSWER_PARTS:
                self._produce_part(flow, connection, payload, index + 1)

        self.simulation.network.call_later(PART_INTERVAL, produce)

    def _send_part(self, flow: FlowKey, part: AnswerPart) -> None:
        self._send(e.AnswerData(flow, self.name, Seconds(0.0)), part)

    def _send(self, event: e.AnswerEvent, content: AnswerPart | None = None) -> None:
        self.simulation.send_via_fabric(self.name, Packet(event, content))
