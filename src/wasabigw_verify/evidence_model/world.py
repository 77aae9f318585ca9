"""Machines of a run, and the network between them."""

import random
from dataclasses import dataclass
from functools import partial

from wasabigw.core.declaration import DEFAULT_IDLE_TIMEOUT
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.registration import Registration
from wasabigw.core.tags.decisions import Receiver
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw_verify.evidence_model.balancers import BalancerNode, Output
from wasabigw_verify.evidence_model.balancers import Phase as BalancerPhase
from wasabigw_verify.evidence_model.boots import Boot, Workload
from wasabigw_verify.evidence_model.callers import Caller
from wasabigw_verify.evidence_model.clock import Clock
from wasabigw_verify.evidence_model.host_checker import Respond
from wasabigw_verify.evidence_model.hosts import Host
from wasabigw_verify.evidence_model.judge import CONTACT_WINDOW, Finding, Freed, Judge
from wasabigw_verify.evidence_model.network import Leg, LegQuality, Router
from wasabigw_verify.evidence_model.registry import Registrations
from wasabigw_verify.evidence_model.scenario import Disturbance, Scenario
from wasabigw_verify.evidence_model.wire import BalancerReset, Kind, ServerPacket

CALLER_ADDRESS = 0x64400000
POLL_PERIOD = 0.25
POLL_DELAY = 0.01
HEARTBEAT_PERIOD = 0.5


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a run has shown.

    :param served: flows that callers closed after all responses.
    :param failed: flows that ended otherwise.
    """

    findings: tuple[Finding, ...]
    freed: tuple[Freed, ...]
    served: int
    failed: int
    trace: tuple[str, ...]


class World:
    """All machines of a run."""

    def __init__(self, scenario: Scenario) -> None:
        self.clock = Clock()
        self.trace: list[str] = []
        self._scenario = scenario
        self._boots: list[Boot] = []
        self.resets_lost_until = -1.0
        self.stale_until = [-1.0] * len(scenario.balancers)
        self.judge = Judge(self._in_touch, DEFAULT_IDLE_TIMEOUT)
        self.registrations = Registrations()
        self.to_balancers = self._leg("to balancers", scenario.to_balancers)
        self.paths = {
            (balancer, host): self._leg(f"{balancer} to {host}", scenario.to_servers)
            for balancer in range(len(scenario.balancers))
            for host in range(len(scenario.servers))
        }
        self.to_callers = self._leg("to callers", scenario.to_callers)
        self._router = Router(
            self.ready_balancers, scenario.moves, self._draws("router")
        )
        self.balancers = [
            BalancerNode(
                f"balancer-{number}",
                settings,
                self.clock,
                Output(
                    partial(self._send_to_server, number),
                    self._send_reset,
                    partial(self._connect, number),
                ),
            )
            for number, settings in enumerate(scenario.balancers)
        ]
        self.hosts = [
            Host(
                number,
                settings,
                self.clock,
                self.judge,
                self._send_to_caller,
                self._workload,
            )
            for number, settings in enumerate(scenario.servers)
        ]
        for number in range(len(self.hosts)):
            self.start(number, f"b-{number}")
        self._callers = [
            Caller(
                CALLER_ADDRESS + number,
                plan,
                self.clock,
                self.judge,
                self._send_to_balancer,
                self._draws(f"caller {number}"),
            )
            for number, plan in enumerate(scenario.callers)
        ]
        for number in range(len(self.balancers)):
            self._poll(number)

    def run(self) -> Outcome:
        """Run until the end of the scenario."""
        self.clock.run_until(self._scenario.length)
        self.judge.end()
        for balancer in self.balancers:
            self.judge.balancer_stopped(
                balancer.name, balancer.dropped_at_stop, self.clock.now
            )
        outcomes = [outcome for caller in self._callers for outcome in caller.outcomes]
        return Outcome(
            tuple(self.judge.findings),
            tuple(self.judge.freed),
            outcomes.count(True),
            outcomes.count(False),
            tuple(self.trace),
        )

    def _draws(self, name: str) -> random.Random:
        return random.Random(f"{self._scenario.seed} {name}")

    def _leg(self, name: str, quality: LegQuality) -> Leg:
        return Leg(self.clock, quality, self._draws(name))

    def _in_touch(self, number: int, now: float) -> bool:
        boot = self._boots[number]
        return boot.is_alive and now - boot.disturbed_at >= CONTACT_WINDOW

    def ready_balancers(self) -> list[int]:
        """Numbers of the balancers that routers send packets to."""
        ready = [n for n, b in enumerate(self.balancers) if b.is_in_rotation]
        if ready:
            return ready
        return [
            n
            for n, b in enumerate(self.balancers)
            if b.phase is not BalancerPhase.STOPPED
        ]

    def _workload(self, flow: FlowId) -> Workload:
        return self._scenario.callers[flow.caller - CALLER_ADDRESS].workload

    def note(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f"{self.clock.now:.3f} {text}")

    def _send_to_balancer(self, packet: FlowPacket) -> None:
        number = self._router.choose(packet.flow)
        if number is None:
            return
        balancer = self.balancers[number]
        self.note(f"caller -> {balancer.name}: {_text(packet)}")
        self.to_balancers.send(lambda: balancer.receive(packet))

    def _send_to_server(
        self,
        balancer: int,
        server: Registration,
        receiver: Receiver,
        packet: FlowPacket,
    ) -> None:
        host = self._host_at(server.endpoint.address)
        path = self.paths[balancer, host.number]
        intended = server.id if receiver is Receiver.NAMED else None
        self.note(f"-> {intended} at host {host.number}: {_text(packet)}")
        path.send(lambda: host.receive(intended, packet))

    def _connect(self, balancer: int, target: Endpoint, answer: Respond) -> None:
        """A connection attempt of a balancer to a host."""
        host = self._host_at(target.address)
        path = self.paths[balancer, host.number]
        self.note(f"balancer-{balancer} connects to host {host.number}")

        def respond() -> None:
            response = host.connection_response()
            if response is not None:
                path.send(lambda: answer(response))

        path.send(respond)

    def _host_at(self, address: str) -> Host:
        return next(h for h in self.hosts if h.address == address)

    def _send_reset(self, reset: BalancerReset) -> None:
        self.note(
            f"{reset.sender} resets {_flow_text(reset.flow)}: {reset.reason.value}"
        )
        caller = self._callers[reset.flow.caller - CALLER_ADDRESS]
        self.to_callers.send(lambda: caller.receive(reset))

    def _send_to_caller(self, packet: ServerPacket) -> None:
        if packet.kind is Kind.RESET and self.clock.now < self.resets_lost_until:
            return
        self.note(f"{packet.sender} -> caller: {_reply_text(packet)}")
        caller = self._callers[packet.flow.caller - CALLER_ADDRESS]
        self.to_callers.send(lambda: caller.receive(packet))

    def start(self, host: int, name: str, clock_behind: int = 0) -> None:
        """Start a boot on a host, which announces itself."""
        boot = self.hosts[host].start(name, len(self._boots), clock_behind)
        self._boots.append(boot)
        self._announce(boot)

    def _announce(self, boot: Boot) -> None:
        if boot.is_alive:
            self.registrations.announce(boot.report)
            self.clock.after(HEARTBEAT_PERIOD, lambda: self._announce(boot))

    def _poll(self, number: int) -> None:
        balancer, now = self.balancers[number], self.clock.now
        self.clock.after(POLL_PERIOD, lambda: self._poll(number))
        if now < self.stale_until[number] or now < balancer.suspended_until:
            return
        update = self.registrations.update_since(balancer.state.view.revision)
        self.clock.after(POLL_DELAY, lambda: balancer.update_view(update, now))

    def balancer_of(self, disturbance: Disturbance) -> BalancerNode:
        """Balancer that a disturbance is for."""
        return self.balancers[disturbance.target % len(self.balancers)]

    def host_of(self, disturbance: Disturbance) -> Host:
        """Host that a disturbance is for."""
        return self.hosts[disturbance.target % len(self.hosts)]

    def path_of(self, disturbance: Disturbance) -> Leg:
        """Path from the balancer to the host that a disturbance is for."""
        balancer = disturbance.target % len(self.balancers)
        return self.paths[balancer, self.host_of(disturbance).number]

    def callers_of_dead_boots_wait(self) -> None:
        """Tell the judge which callers wait for a response of a boot that has died."""
        for caller in self._callers:
            flow = caller.waiting_flow()
            if flow is not None:
                self.judge.caller_waits(flow, self.clock.now)

    def dead_boots_at(self, host: Host) -> list[Boot]:
        """Boots that have died on a host, oldest first."""
        return [b for b in self._boots if not b.is_alive and _at(b) == host.address]


def _at(boot: Boot) -> str:
    return boot.report.endpoint.address


def _flow_text(flow: FlowId) -> str:
    return f"{flow.caller - CALLER_ADDRESS}:{flow.caller_port}"


def _text(packet: FlowPacket) -> str:
    kind = "SYN" if packet.is_opening else "FIN" if packet.is_closing else "data"
    return (
        f"{kind} {_flow_text(packet.flow)} tag {packet.tag} "
        f"seq {packet.sequence} ack {packet.acknowledged} len {packet.length}"
    )


def _reply_text(packet: ServerPacket) -> str:
    return (
        f"{packet.kind.value} {_flow_text(packet.flow)} tag {packet.tag} "
        f"seq {packet.sequence} ack {packet.acknowledged} len {packet.length}"
    )
