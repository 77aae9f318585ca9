"""One run of the fault matrix: traffic, injected faults and the final checks."""

from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from unittest import mock

from wasabigw.core.cluster import Applied, Refusal
from wasabigw.core.commands import (
    Change,
    DrainBalancer,
    ReplaceConfiguration,
    UpdateService,
)
from wasabigw.core.consensus import voter as consensus_voter
from wasabigw.core.ids import FailureDomainId, NodeId, ServiceId
from wasabigw.tasks import voter_task
from wasabigw_verify import promises
from wasabigw_verify.harness.callers import Session
from wasabigw_verify.harness.operators import Operator
from wasabigw_verify.harness.simulation import (
    COURSES,
    DOMAINS,
    SEATS,
    VOTERS,
    Simulation,
    failure_domains,
)
from wasabigw_verify.harness.steps import Step, StepParticipants

SNAPSHOT_INTERVAL = 24
LOG_KEPT_BEHIND_SNAPSHOT = 16
"""Small values, so that a run takes snapshots and followers have to install them."""

INJECTION_START = 9.0
TRIGGER_TIME = 9.5
PROBE_START = 27.0
TRAFFIC_END = 31.0
RUN_END = 44.0
SESSION_INTERVAL = 0.4
PACKET_LOSS = 0.003
MIN_PROBE_SUCCESS_RATE = 0.8
"""Minimum share of the flows to a service opened after the fault that are served."""

Injector = Callable[["Run", StepParticipants], None]


@dataclass(frozen=True, slots=True)
class Injection:
    """A fault that is injected when a step is first reached after the warm-up.

    :param after: seconds after :data:`INJECTION_START`.
    """

    inject: Injector
    step: Step
    after: float = 0.0


@dataclass(slots=True)
class Run:
    """A run with faults.

    :ivar injected: steps at which faults were injected.
    :ivar problems: failures that are not violations of promises.
    """

    seed: int
    injections: Sequence[Injection]
    injected: list[Step] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    simulation: Simulation = field(init=False)
    _pending: list[Injection] = field(init=False)
    _probes: list[Session] = field(default_factory=list)
    _last_change_accepted: bool = False
    _changes: int = 0

    def __post_init__(self) -> None:
        self.simulation = Simulation(self.seed, self._on_step)
        self._pending = list(self.injections)

    def execute(self) -> list[str]:
        """Run to the end and return descriptions of all problems."""
        with ExitStack() as stack:
            for module, name, value in (
                (voter_task, "SNAPSHOT_INTERVAL", SNAPSHOT_INTERVAL),
                (consensus_voter, "LOG_KEPT_BEHIND_SNAPSHOT", LOG_KEPT_BEHIND_SNAPSHOT),
            ):
                stack.enter_context(mock.patch.object(module, name, value))
            self._schedule()
            self.simulation.network.run(RUN_END)
        return self._find_problems()

    def change(self, change: Change | None = None, lost: int = 0) -> None:
        """Let an operator send a change.

        :param lost: number of answers that do not reach the operator.
        """
        Operator(self.simulation, change or self.next_change(), answers_lost=lost)

    def open_flow(self, host: str, service: ServiceId, pauses: list[float]) -> None:
        """Let a caller open a flow in addition to the regular traffic."""
        self.simulation.callers.start(host, service, pauses)

    def next_change(self) -> Change:
        """Make a change that differs from all previous ones."""
        self._changes += 1
        service = self.simulation.services[COURSES]
        deadline = 30.0 + self._changes
        changed = type(service)(
            service.id,
            service.endpoint,
            service.protocol,
            service.failure_domains,
            service.limit_by,
            deadline,
        )
        return UpdateService(changed)

    # Schedule

    def _schedule(self) -> None:
        simulation = self.simulation
        simulation.network.loss_rate = PACKET_LOSS
        for node in VOTERS:
            simulation.start_voter(node)
        for number in range(2 * len(DOMAINS)):
            domain = DOMAINS[number % len(DOMAINS)]
            simulation.start_balancer(NodeId(f"balancer-{number}"), domain)
        services = tuple(simulation.services.values())
        self.change(ReplaceConfiguration(services, failure_domains()))
        for number in range(6):
            domain = DOMAINS[number % len(DOMAINS)]
            simulation.add_backend_server(f"seats-{number}", SEATS, domain, 16)
        for number in range(3):
            simulation.add_backend_server(
                f"courses-{number}", COURSES, DOMAINS[number], 400
            )
        call_later = simulation.network.call_later
        call_later(4.5, self._generate_traffic)
        call_later(TRIGGER_TIME, self.change)
        for injection in self.injections:
            call_later(TRIGGER_TIME + injection.after, self._make_trigger(injection))
        call_later(PROBE_START, self._send_last_change)
        call_later(7.0, self.change)

    def _generate_traffic(self) -> None:
        network = self.simulation.network
        if network.now >= TRAFFIC_END:
            self.simulation.callers.closing = True
            return
        rng = network.random
        domain_hosts = [f"callers-{domain}" for domain in DOMAINS]
        host = rng.choice(["callers", *domain_hosts])
        service = rng.choice((SEATS, SEATS, COURSES))
        long_flow = service == COURSES
        pauses = [
            rng.uniform(0.1, 3.0 if long_flow else 0.5)
            for _ in range(rng.randrange(8 if long_flow else 3))
        ]
        if network.now >= PROBE_START:
            pauses = pauses[:2]
        session = self.simulation.callers.start(host, service, pauses)
        if network.now >= PROBE_START:
            self._probes.append(session)
        network.call_later(
            rng.expovariate(1 / SESSION_INTERVAL), self._generate_traffic
        )

    def _make_trigger(self, injection: Injection) -> Callable[[], None]:
        """Action that leads to the step of a fault, if it does not occur otherwise."""

        def drain() -> None:
            self.change(DrainBalancer(self.simulation.busiest_home()))

        def send_changes() -> None:
            for number in range(SNAPSHOT_INTERVAL):
                self.simulation.network.call_later(0.05 * number, self.change)

        if injection.step in (Step.HANDOVER_BEGUN, Step.HANDOVER_ENDED):
            return drain
        if injection.step is Step.SNAPSHOT_WRITTEN:
            return send_changes
        if injection.step is Step.START_UP:
            return lambda: self.start_new_balancer(DOMAINS[1])
        return self.change

    def start_new_balancer(self, domain: FailureDomainId) -> None:
        """Start a new balancer."""
        name = NodeId(f"balancer-new-{self.simulation.next_number()}")
        self.simulation.start_balancer(name, domain)
        self.simulation.report_step(Step.START_UP, StepParticipants(balancer=name))

    def _send_last_change(self) -> None:
        def done(answer: Applied | Refusal) -> None:
            self._last_change_accepted = isinstance(answer, Applied)

        Operator(self.simulation, self.next_change(), done=done)

    def _on_step(self, step: Step, participants: StepParticipants) -> None:
        now = self.simulation.network.now
        for injection in list(self._pending):
            if injection.step is step and now >= INJECTION_START + injection.after:
                self._pending.remove(injection)
                self.injected.append(step)
                injection.inject(self, participants)

    # Checks

    def _find_problems(self) -> list[str]:
        problems = [
            f"{v.promise} at {v.at:.2f} s: {v.message}"
            for v in promises.check(self.simulation.record)
        ]
        problems += self.problems + self.simulation.problems
        problems += [
            f"the step '{b.step.value}' was not reached" for b in self._pending
        ]
        # With fewer than two admitted disks no majority can form again.
        if not self._last_change_accepted and self.simulation.admitted_disk_count() > 1:
            problems.append("no change is accepted after the fault")
        served = [s for s in self._probes if s.answered]
        for service in (SEATS, COURSES):
            probes = [s for s in self._probes if s.service == service]
            answered = [s for s in served if s.service == service]
            if len(answered) < MIN_PROBE_SUCCESS_RATE * len(probes):
                problems.append(
                    f"{len(answered)} of {len(probes)} flows to {service} were served "
                    "after the fault"
                )
        return problems
