"""One run of a scenario."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from wasabigw.core.declaration import DEFAULT_IDLE_TIMEOUT
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.registration import Registration
from wasabigw.core.tags.decisions import Receiver
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw_verify.evidence_model.balancers import BalancerNode, Output
from wasabigw_verify.evidence_model.balancers import Phase as BalancerPhase
from wasabigw_verify.evidence_model.callers import Caller
from wasabigw_verify.evidence_model.clock import Clock
from wasabigw_verify.evidence_model.host_checker import Respond
from wasabigw_verify.evidence_model.judge import CONTACT_WINDOW, Finding, Freed, Judge
from wasabigw_verify.evidence_model.network import Leg, LegQuality, Router
from wasabigw_verify.evidence_model.registry import Registrations
from wasabigw_verify.evidence_model.scenario import Disturbance, Scenario, Trouble
from wasabigw_verify.evidence_model.servers import Boot, Host, HostState, Workload
from wasabigw_verify.evidence_model.wire import BalancerReset, Kind, ServerPacket

CALLER_ADDRESS = 0x64400000
POLL_PERIOD = 0.25
POLL_DELAY = 0.01
HEARTBEAT_PERIOD = 0.5
SILENT_AFTER = 2.5
"""Seconds after the death of a boot after which its registration is silent."""
RESTART_AFTER = 0.3
LEAVE_BEFORE_STOP = 1.0
SLOW_PACKET_TIME = 0.02
CLOCK_BEHIND = 10_000
"""Milliseconds by which a clock may be behind that of the boot before."""
DRAIN_SECONDS = 2.0


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


def run(scenario: Scenario) -> Outcome:
    """Run a scenario."""
    return World(scenario).run()


class World:
    """All machines of a run."""

    def __init__(self, scenario: Scenario) -> None:
        self.clock = Clock()
        self.trace: list[str] = []
        self._scenario = scenario
        self._boots: list[Boot] = []
        self._resets_lost_until = -1.0
        self._stale_until = [-1.0] * len(scenario.balancers)
        self.judge = Judge(self._in_touch, DEFAULT_IDLE_TIMEOUT)
        self.registrations = Registrations()
        self._to_balancers = self._leg("to balancers", scenario.to_balancers)
        self._paths = {
            (balancer, host): self._leg(f"{balancer} to {host}", scenario.to_servers)
            for balancer in range(len(scenario.balancers))
            for host in range(len(scenario.servers))
        }
        self._to_callers = self._leg("to callers", scenario.to_callers)
        self._router = Router(self._ready, scenario.moves, self._draws("router"))
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
            self._start(number, f"b-{number}")
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
        for disturbance in scenario.disturbances:
            self._schedule(disturbance)

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

    def _ready(self) -> list[int]:
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

    def _note(self, text: str) -> None:
        self.trace.append(f"{self.clock.now:.3f} {text}")

    def _send_to_balancer(self, packet: FlowPacket) -> None:
        number = self._router.choose(packet.flow)
        if number is None:
            return
        balancer = self.balancers[number]
        self._note(f"caller -> {balancer.name}: {_text(packet)}")
        self._to_balancers.send(lambda: balancer.receive(packet))

    def _send_to_server(
        self,
        balancer: int,
        server: Registration,
        receiver: Receiver,
        packet: FlowPacket,
    ) -> None:
        host = self._host_at(server.endpoint.address)
        path = self._paths[balancer, host.number]
        intended = server.id if receiver is Receiver.NAMED else None
        self._note(f"-> {intended} at host {host.number}: {_text(packet)}")
        path.send(lambda: host.receive(intended, packet))

    def _connect(self, balancer: int, target: Endpoint, answer: Respond) -> None:
        """A connection attempt of a balancer to a host."""
        host = self._host_at(target.address)
        path = self._paths[balancer, host.number]
        self._note(f"balancer-{balancer} connects to host {host.number}")

        def respond() -> None:
            response = host.connection_response()
            if response is not None:
                path.send(lambda: answer(response))

        path.send(respond)

    def _host_at(self, address: str) -> Host:
        return next(h for h in self.hosts if h.address == address)

    def _send_reset(self, reset: BalancerReset) -> None:
        self._note(
            f"{reset.sender} resets {_flow_text(reset.flow)}: {reset.reason.value}"
        )
        caller = self._callers[reset.flow.caller - CALLER_ADDRESS]
        self._to_callers.send(lambda: caller.receive(reset))

    def _send_to_caller(self, packet: ServerPacket) -> None:
        if packet.kind is Kind.RESET and self.clock.now < self._resets_lost_until:
            return
        self._note(f"{packet.sender} -> caller: {_reply_text(packet)}")
        caller = self._callers[packet.flow.caller - CALLER_ADDRESS]
        self._to_callers.send(lambda: caller.receive(packet))

    def _start(self, host: int, name: str, clock_behind: int = 0) -> None:
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
        if now < self._stale_until[number] or now < balancer.suspended_until:
            return
        update = self.registrations.update_since(balancer.state.view.revision)
        self.clock.after(POLL_DELAY, lambda: balancer.update_view(update, now))

    def _schedule(self, disturbance: Disturbance) -> None:
        def begin() -> None:
            self._note(f"DISTURBANCE {disturbance}")
            _TROUBLES[disturbance.trouble](self, disturbance)

        self.clock.after(disturbance.at, begin)

    def balancer_of(self, disturbance: Disturbance) -> BalancerNode:
        """Balancer that a disturbance is for."""
        return self.balancers[disturbance.target % len(self.balancers)]

    def host_of(self, disturbance: Disturbance) -> Host:
        """Host that a disturbance is for."""
        return self.hosts[disturbance.target % len(self.hosts)]

    def hold_view(self, disturbance: Disturbance) -> None:
        """Give a balancer no views for some time."""
        number = disturbance.target % len(self.balancers)
        self._stale_until[number] = self.clock.now + disturbance.seconds

    def stop_balancer(self, disturbance: Disturbance) -> None:
        """Stop a balancer as planned, unless it is the last one."""
        balancer = self.balancer_of(disturbance)
        if len(self._ready()) < 2 or not balancer.is_in_rotation:
            return
        balancer.leave()
        self.clock.after(LEAVE_BEFORE_STOP, balancer.stop)

    def kill(self, disturbance: Disturbance, after: HostState) -> None:
        """End the boot on a host."""
        host = self.host_of(disturbance)
        boot = host.boot
        if boot is None:
            return
        host.kill(after)
        self._callers_of_dead_boots_wait()
        self.clock.after(SILENT_AFTER, lambda: self._mark_silent(boot))

    def _callers_of_dead_boots_wait(self) -> None:
        for caller in self._callers:
            flow = caller.waiting_flow()
            if flow is not None:
                self.judge.caller_waits(flow, self.clock.now)

    def _mark_silent(self, boot: Boot) -> None:
        self.registrations.mark_silent(boot.report)

    def restart(
        self, disturbance: Disturbance, name: str | None, clock_behind: int = 0
    ) -> None:
        """End the boot on a host and start another one there.

        :param name: id of the other one; ``None`` for the same.
        :param clock_behind: milliseconds by which its clock is behind the other's.
        """
        host = self.host_of(disturbance)
        if host.boot is None:
            return
        started = name or str(host.boot.id)
        self.kill(disturbance, HostState.REFUSING)
        start = partial(self._start, clock_behind=clock_behind)
        self.clock.after(RESTART_AFTER, lambda: start(host.number, started))

    def announce_late(self, disturbance: Disturbance) -> None:
        """Let an announcement of a boot arrive after its death."""
        host = self.host_of(disturbance)
        dead = [b for b in self._boots if not b.is_alive and host.address == _at(b)]
        if dead:
            self.registrations.announce(dead[-1].report)
            self.clock.after(SILENT_AFTER, lambda: self._mark_silent(dead[-1]))

    def drain(self, disturbance: Disturbance) -> None:
        """Let the boot on a host leave, and end it some time later."""
        host = self.host_of(disturbance)
        report = host.drain()
        if report is None:
            return
        self.registrations.announce(report)
        boot = host.boot

        def leave() -> None:
            if host.boot is boot:
                self.kill(disturbance, HostState.REFUSING)

        self.clock.after(DRAIN_SECONDS, leave)

    def cut(self, leg: Leg, seconds: float) -> None:
        """Lose all packets on a leg for some time."""
        leg.cut_until = self.clock.now + seconds
        for host in self.hosts:
            host.disturb(seconds)

    def cut_to_balancers(self, disturbance: Disturbance) -> None:
        """Lose all packets of callers for some time."""
        self._to_balancers.cut_until = self.clock.now + disturbance.seconds

    def cut_to_servers(self, disturbance: Disturbance) -> None:
        """Lose all packets to backend servers for some time."""
        for path in self._paths.values():
            self.cut(path, disturbance.seconds)

    def cut_path(self, disturbance: Disturbance) -> None:
        """Lose all packets between one balancer and one host for some time."""
        host = self.host_of(disturbance)
        path = self._paths[disturbance.target % len(self.balancers), host.number]
        path.cut_until = self.clock.now + disturbance.seconds
        host.disturb(disturbance.seconds)

    def impair_path(self, disturbance: Disturbance) -> None:
        """Lose half of the packets between one balancer and one host for some time."""
        host = self.host_of(disturbance)
        path = self._paths[disturbance.target % len(self.balancers), host.number]
        before = path.quality
        path.quality = replace(before, loss=0.5)
        host.disturb(disturbance.seconds)

        def mend() -> None:
            path.quality = before

        self.clock.after(disturbance.seconds, mend)

    def lose_resets(self, disturbance: Disturbance) -> None:
        """Lose the resets of backend servers for some time."""
        self._resets_lost_until = self.clock.now + disturbance.seconds

    def cut_to_callers(self, disturbance: Disturbance) -> None:
        """Lose all packets to callers for some time."""
        self.cut(self._to_callers, disturbance.seconds)


def _suspend(world: World, disturbance: Disturbance) -> None:
    world.balancer_of(disturbance).suspend(disturbance.seconds)


def _slow(world: World, disturbance: Disturbance) -> None:
    balancer = world.balancer_of(disturbance)
    balancer.slow_until = world.clock.now + disturbance.seconds
    balancer.slow_packet_time = SLOW_PACKET_TIME


def _fail_sending(world: World, disturbance: Disturbance) -> None:
    balancer = world.balancer_of(disturbance)
    balancer.failing_until = world.clock.now + disturbance.seconds


def _pause(world: World, disturbance: Disturbance) -> None:
    world.host_of(disturbance).pause(disturbance.seconds)


def _freeze(world: World, disturbance: Disturbance) -> None:
    world.host_of(disturbance).pause(disturbance.seconds, HostState.FROZEN)


def _killing(after: HostState) -> "Callable[[World, Disturbance], None]":
    return lambda world, disturbance: world.kill(disturbance, after)


def _restart_new(world: World, disturbance: Disturbance) -> None:
    world.restart(disturbance, f"b-new-{disturbance.at}")


def _restart_behind(world: World, disturbance: Disturbance) -> None:
    world.restart(disturbance, f"b-behind-{disturbance.at}", CLOCK_BEHIND)


_TROUBLES: dict[Trouble, Callable[[World, Disturbance], None]] = {
    Trouble.SUSPEND_BALANCER: _suspend,
    Trouble.SLOW_BALANCER: _slow,
    Trouble.FAIL_SENDING: _fail_sending,
    Trouble.STALE_VIEW: World.hold_view,
    Trouble.STOP_BALANCER: World.stop_balancer,
    Trouble.PAUSE_SERVER: _pause,
    Trouble.FREEZE_HOST: _freeze,
    Trouble.SILENCE_HOST: _killing(HostState.SILENT),
    Trouble.KILL_SERVER: _killing(HostState.REFUSING),
    Trouble.RESET_BY_HOST: _killing(HostState.RESETTING),
    Trouble.RESTART_SAME_ID: lambda world, d: world.restart(d, None),
    Trouble.RESTART_NEW_ID: _restart_new,
    Trouble.RESTART_CLOCK_BEHIND: _restart_behind,
    Trouble.LATE_ANNOUNCEMENT: World.announce_late,
    Trouble.DRAIN_SERVER: World.drain,
    Trouble.CUT_TO_BALANCERS: World.cut_to_balancers,
    Trouble.CUT_TO_SERVERS: World.cut_to_servers,
    Trouble.LOSE_RESETS: World.lose_resets,
    Trouble.CUT_PATH: World.cut_path,
    Trouble.IMPAIR_PATH: World.impair_path,
    Trouble.CUT_TO_CALLERS: World.cut_to_callers,
}


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
