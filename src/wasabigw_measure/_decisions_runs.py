"""Scenarios of the decision measurements, and the metrics taken from a run.

The scenarios are planned changes, crashes, a failure domain that is taken out and
brought back, and a surge of callers.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import pairwise

from absl import logging

from wasabigw.core.commands import (
    BringFailureDomainBack,
    Change,
    DrainBalancer,
    TakeFailureDomainOut,
    UpdateService,
)
from wasabigw.core.ids import BackendServerId, NodeId, RequestId, ServiceId
from wasabigw_measure._decisions_world import SCHEMES, MeasuredWorld
from wasabigw_verify import record as r
from wasabigw_verify.harness.backend_servers import BackendServer
from wasabigw_verify.harness.callers import SessionState
from wasabigw_verify.promises import PROMISES, violations
from wasabigw_verify.sessions.deployed import frequent_snapshots
from wasabigw_verify.sessions.deployments import DEPLOYMENTS, Deployment

WARM_UP = 20.0
TRAFFIC_ENDS = 80.0
END = 100.0
FIRST_SERVICE_RATE = 12.0
SECOND_SERVICE_RATE = 3.0
RUSH_RATE = 30.0
"""New flows per second; the capacity of the seven backend servers is about 40."""
COLD_PERIOD = 20.0
"""Seconds for which a backend server counts as cold after a restart."""


@dataclass(frozen=True, slots=True)
class Job:
    """Parameters of one run."""

    deployment: int
    scheme: str
    scenario: str
    seed: int


@dataclass(slots=True)
class RunResult:
    """Metrics of one run.

    :param broken_flows: flows that were lost although they should have survived.
    :param imbalance: load samples of the first and of the second service.
    :param requests_sent: by group: ``reservations`` (the non-idempotent requests of
        the first service), ``reads`` (its other requests) and ``second``.
    :param requests_answered: by group.
    :param longest_gaps: longest time without an answer in seconds, by group.
    :param overloaded_openings: openings that left a backend server above its capacity.
    :param max_cold_load: highest ratio of the open flows of a cold backend server to
        its capacity.
    :param in_force_delays: seconds from the first sending of a change until the last
        balancer has applied it.
    :param commit_delays: seconds from the first sending of a change to its commit.
    :param control_rate: mean control bytes per second of a balancer.
    """

    flows: int = 0
    broken_flows: int = 0
    imbalance: list[list[float]] = field(default_factory=lambda: [[], []])
    requests_sent: dict[str, int] = field(default_factory=dict)
    requests_answered: dict[str, int] = field(default_factory=dict)
    longest_gaps: dict[str, float] = field(default_factory=dict)
    observed_openings: int = 0
    overloaded_openings: int = 0
    max_cold_load: float = 0.0
    in_force_delays: list[float] = field(default_factory=list)
    commit_delays: list[float] = field(default_factory=list)
    control_rate: float = 0.0
    balancers: int = 0


def measure(job: Job) -> RunResult:
    """Simulate one run and return its metrics."""
    deployment = DEPLOYMENTS[job.deployment]
    world = MeasuredWorld(deployment, SCHEMES[job.scheme], job.seed)
    world.start_processes()
    world.generate_traffic(deployment.first, FIRST_SERVICE_RATE, WARM_UP, TRAFFIC_ENDS)
    world.generate_traffic(
        deployment.second, SECOND_SERVICE_RATE, WARM_UP, TRAFFIC_ENDS
    )
    SCENARIOS[job.scenario](world)
    world.sample_loads(WARM_UP + 2, TRAFFIC_ENDS)
    logging.set_verbosity(logging.FATAL)
    with frequent_snapshots():
        world.network.run(END)
    return _summarize(world, deployment)


def _backend_server(world: MeasuredWorld, number: int) -> BackendServer:
    name = BackendServerId(f"{world.deployment.first}-{number}")
    return world.backend_servers[name]


def _deadline_change(world: MeasuredWorld, seconds: float) -> Change:
    service = world.services[world.deployment.second]
    return UpdateService(replace(service, request_deadline=seconds))


def _schedule_planned(world: MeasuredWorld) -> None:
    """Schedule the replacement of backend servers and balancers in turn."""
    domains = world.deployment.domains
    for number in range(1, 5):
        server = _backend_server(world, number)
        world.at(10.0 + 12.0 * number, server.drain)
        world.at(19.0 + 12.0 * number, partial(_rejoin_when_unused, world, server))
    for number, domain in enumerate(domains[:2]):
        joining = NodeId(f"{domain}-lb-9")
        leaving = DrainBalancer(NodeId(f"{domain}-lb-1"))
        start = 28.0 + 24.0 * number
        world.at(start, partial(world.start_balancer, joining, domain))
        world.at(start + 4.0, partial(world.send_change, leaving))
    for number in range(8):
        change = _deadline_change(world, 40.0 + number)
        world.at(25.0 + 6.3 * number, partial(world.send_change, change))


def _rejoin_when_unused(world: MeasuredWorld, server: BackendServer) -> None:
    """Restart a drained backend server once all sessions of its flows have ended."""
    sessions = world.callers.sessions
    states = [sessions[flow].state for flow in server.flows]
    if any(state is not SessionState.ENDED for state in states):
        world.network.call_later(0.5, partial(_rejoin_when_unused, world, server))
    else:
        server.rejoin()


def _schedule_crashes(world: MeasuredWorld) -> None:
    """Schedule crashes and restarts of balancers, and isolate the leader for 10 s."""
    for number, domain in enumerate(world.deployment.domains):
        name = NodeId(f"{domain}-lb-1")
        start = 30.0 + 14.0 * number
        world.at(start, partial(world.stop_balancer, name, planned=False))
        world.at(start + 6.0, partial(world.start_balancer, name, domain))
    world.at(50.0, partial(_isolate_leader, world))
    for number in range(8):
        change = _deadline_change(world, 40.0 + number)
        world.at(25.0 + 6.3 * number, partial(world.send_change, change))


def _isolate_leader(world: MeasuredWorld) -> None:
    alone = frozenset({str(world.leader())})
    world.network.isolated.append(alone)
    world.network.call_later(10.0, partial(world.network.isolated.remove, alone))


def _schedule_domain_outage(world: MeasuredWorld) -> None:
    """Schedule that a failure domain is taken out at 30 s and brought back at 50 s."""
    domain = world.deployment.domains[1]
    world.at(30.0, partial(world.send_change, TakeFailureDomainOut(domain)))
    world.at(50.0, partial(world.send_change, BringFailureDomainBack(domain)))


def _schedule_rush(world: MeasuredWorld) -> None:
    """Schedule cold restarts of three backend servers during a surge of new flows."""
    world.generate_traffic(
        world.deployment.first, RUSH_RATE - FIRST_SERVICE_RATE, 30.0, TRAFFIC_ENDS
    )
    for number, time in ((1, 32.0), (2, 33.0), (3, 50.0)):
        world.at(time, _backend_server(world, number).restart)


SCENARIOS: dict[str, Callable[[MeasuredWorld], None]] = {
    "planned": _schedule_planned,
    "crashes": _schedule_crashes,
    "domain": _schedule_domain_outage,
    "rush": _schedule_rush,
}


def _summarize(world: MeasuredWorld, deployment: Deployment) -> RunResult:
    result = RunResult()
    result.flows = sum(isinstance(e, r.FlowEstablished) for e in world.record)
    result.broken_flows = len(list(violations(PROMISES["P1"], world.record)))
    for sample in world.samples:
        service_index = int(sample.service == deployment.second)
        result.imbalance[service_index].append(sample.max_over_mean)
    _count_requests(world, deployment, result)
    _measure_loads(world, result)
    _measure_changes(world, result)
    rates = [
        balancer.control_bytes / (END - balancer.started)
        for balancer in world.metered
        if balancer.alive
    ]
    result.control_rate = sum(rates) / len(rates)
    result.balancers = len(world.balancers)
    return result


def _count_requests(
    world: MeasuredWorld, deployment: Deployment, result: RunResult
) -> None:
    group: dict[RequestId, str] = {}
    service: dict[RequestId, ServiceId] = {}
    answers: dict[str, list[float]] = {}
    for entry in world.record:
        if isinstance(entry, r.RequestSent):
            service[entry.request] = world.service_of(entry.flow)
            first = service[entry.request] == deployment.first
            name = "second" if not first else "reads"
            if first and not entry.idempotent:
                name = "reservations"
            group[entry.request] = name
            result.requests_sent[name] = result.requests_sent.get(name, 0) + 1
        elif isinstance(entry, r.AnswerDelivered):
            name = group[entry.request]
            result.requests_answered[name] = result.requests_answered.get(name, 0) + 1
            if WARM_UP + 2 < entry.at < TRAFFIC_ENDS:
                answers.setdefault(name, []).append(entry.at)
    for name, times in answers.items():
        pairs = pairwise(times)
        result.longest_gaps[name] = max((b - a for a, b in pairs), default=0.0)


def _measure_loads(world: MeasuredWorld, result: RunResult) -> None:
    cold_until: dict[BackendServerId, float] = {}
    for entry in world.record:
        if isinstance(entry, r.BackendServerCrashed):
            cold_until[entry.backend_server] = entry.at + COLD_PERIOD
        elif isinstance(entry, r.LoadObserved):
            result.observed_openings += 1
            result.overloaded_openings += entry.open_flows > entry.current_capacity
            if entry.at < cold_until.get(entry.backend_server, 0.0):
                load = entry.open_flows / entry.current_capacity
                result.max_cold_load = max(result.max_cold_load, load)


def _measure_changes(world: MeasuredWorld, result: RunResult) -> None:
    for change in (e for e in world.record if isinstance(e, r.ChangeAccepted)):
        sent = world.first_sent.get(change.change)
        if sent is None:
            continue
        applied: dict[str, float] = {}
        for entry in world.record:
            if not isinstance(entry, r.RevisionApplied) or entry.at < sent:
                continue
            if entry.revision >= change.revision:
                applied.setdefault(entry.node, entry.at)
        running = _continuously_running(world, sent, max(applied.values()))
        result.commit_delays.append(min(applied.values()) - sent)
        result.in_force_delays.append(max(applied[node] for node in running) - sent)


def _continuously_running(
    world: MeasuredWorld, start: float, end: float
) -> Iterator[NodeId]:
    """Balancers that ran from ``start`` to ``end``."""
    started: dict[NodeId, float] = {}
    for entry in world.record:
        if isinstance(entry, r.NodeStarted) and entry.at <= start:
            started[entry.node] = entry.at
        elif isinstance(entry, r.NodeStopped) and entry.at <= end:
            started.pop(entry.node, None)
    yield from started
