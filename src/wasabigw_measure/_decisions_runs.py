"""The runs: planned changes, crashes, a returning failure domain, and a rush."""

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

WARM = 20.0
TRAFFIC_ENDS = 80.0
END = 100.0
FIRST_RATE = 12.0
SECOND_RATE = 3.0
RUSH_RATE = 30.0
"""New flows per second; the seven backend servers bear about 40."""
COLD_TIME = 20.0
"""Seconds after a restart in which a backend server counts as cold."""


@dataclass(frozen=True, slots=True)
class Job:
    """One run."""

    deployment: int
    scheme: str
    kind: str
    seed: int


@dataclass(slots=True)
class Figures:
    """What a run showed; a service is given by its place in the deployment.

    :param broken: lost flows that should have survived.
    :param sent: requests; non-idempotent ones of the first service apart.
    :param gaps: longest seconds without an answer.
    :param over: openings after which a backend server had more than it can bear.
    :param cold_load: most open flows of a cold backend server over what it can bear.
    :param in_force: seconds from the first sending of a change to the last balancer.
    :param committed: seconds from the sending of a change to its commit.
    """

    flows: int = 0
    broken: int = 0
    imbalance: list[list[float]] = field(default_factory=lambda: [[], []])
    sent: dict[str, int] = field(default_factory=dict)
    answered: dict[str, int] = field(default_factory=dict)
    gaps: dict[str, float] = field(default_factory=dict)
    openings: int = 0
    over: int = 0
    cold_load: float = 0.0
    in_force: list[float] = field(default_factory=list)
    committed: list[float] = field(default_factory=list)
    control: float = 0.0
    balancers: int = 0


def measure(job: Job) -> Figures:
    """Make a run."""
    deployment = DEPLOYMENTS[job.deployment]
    world = MeasuredWorld(deployment, SCHEMES[job.scheme], job.seed)
    world.start_processes()
    world.generate_traffic(deployment.first, FIRST_RATE, WARM, TRAFFIC_ENDS)
    world.generate_traffic(deployment.second, SECOND_RATE, WARM, TRAFFIC_ENDS)
    KINDS[job.kind](world)
    world.sample_loads(WARM + 2, TRAFFIC_ENDS)
    logging.set_verbosity(logging.FATAL)
    with frequent_snapshots():
        world.network.run(END)
    return _figures(world, deployment)


def _server(world: MeasuredWorld, number: int) -> BackendServer:
    name = BackendServerId(f"{world.deployment.first}-{number}")
    return world.backend_servers[name]


def _deadline(world: MeasuredWorld, seconds: float) -> Change:
    service = world.services[world.deployment.second]
    return UpdateService(replace(service, request_deadline=seconds))


def _planned(world: MeasuredWorld) -> None:
    """Backend servers and balancers are replaced in turn."""
    domains = world.deployment.domains
    for number in range(1, 5):
        server = _server(world, number)
        world.at(10.0 + 12.0 * number, server.drain)
        world.at(19.0 + 12.0 * number, partial(_rejoin, world, server))
    for number, domain in enumerate(domains[:2]):
        joining = NodeId(f"{domain}-lb-9")
        leaving = DrainBalancer(NodeId(f"{domain}-lb-1"))
        start = 28.0 + 24.0 * number
        world.at(start, partial(world.start_balancer, joining, domain))
        world.at(start + 4.0, partial(world.send_change, leaving))
    for number in range(8):
        change = _deadline(world, 40.0 + number)
        world.at(25.0 + 6.3 * number, partial(world.send_change, change))


def _rejoin(world: MeasuredWorld, server: BackendServer) -> None:
    """Restart a drained backend server once no caller uses a flow of it."""
    sessions = world.callers.sessions
    states = [sessions[flow].state for flow in server.flows]
    if any(state is not SessionState.ENDED for state in states):
        world.network.call_later(0.5, partial(_rejoin, world, server))
    else:
        server.rejoin()


def _crashes(world: MeasuredWorld) -> None:
    """Balancers crash and restart; the leading control VM is isolated for 10 s."""
    for number, domain in enumerate(world.deployment.domains):
        name = NodeId(f"{domain}-lb-1")
        start = 30.0 + 14.0 * number
        world.at(start, partial(world.stop_balancer, name, planned=False))
        world.at(start + 6.0, partial(world.start_balancer, name, domain))
    world.at(50.0, partial(_isolate_leader, world))
    for number in range(8):
        change = _deadline(world, 40.0 + number)
        world.at(25.0 + 6.3 * number, partial(world.send_change, change))


def _isolate_leader(world: MeasuredWorld) -> None:
    alone = frozenset({str(world.leader())})
    world.network.isolated.append(alone)
    world.network.call_later(10.0, partial(world.network.isolated.remove, alone))


def _domain(world: MeasuredWorld) -> None:
    """A failure domain is taken out at 30 s and brought back at 50 s."""
    domain = world.deployment.domains[1]
    world.at(30.0, partial(world.send_change, TakeFailureDomainOut(domain)))
    world.at(50.0, partial(world.send_change, BringFailureDomainBack(domain)))


def _rush(world: MeasuredWorld) -> None:
    """Three backend servers restart cold while many callers come."""
    world.generate_traffic(
        world.deployment.first, RUSH_RATE - FIRST_RATE, 30.0, TRAFFIC_ENDS
    )
    for number, time in ((1, 32.0), (2, 33.0), (3, 50.0)):
        world.at(time, _server(world, number).restart)


KINDS: dict[str, Callable[[MeasuredWorld], None]] = {
    "planned": _planned,
    "crashes": _crashes,
    "domain": _domain,
    "rush": _rush,
}


def _figures(world: MeasuredWorld, deployment: Deployment) -> Figures:
    found = Figures()
    found.flows = sum(isinstance(e, r.FlowEstablished) for e in world.record)
    found.broken = len(list(violations(PROMISES["P1"], world.record)))
    for sample in world.samples:
        place = int(sample.service == deployment.second)
        found.imbalance[place].append(sample.max_over_mean)
    _requests(world, deployment, found)
    _loads(world, found)
    _changes(world, found)
    rates = [
        balancer.control_bytes / (END - balancer.started)
        for balancer in world.metered
        if balancer.alive
    ]
    found.control = sum(rates) / len(rates)
    found.balancers = len(world.balancers)
    return found


def _requests(world: MeasuredWorld, deployment: Deployment, found: Figures) -> None:
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
            found.sent[name] = found.sent.get(name, 0) + 1
        elif isinstance(entry, r.AnswerDelivered):
            name = group[entry.request]
            found.answered[name] = found.answered.get(name, 0) + 1
            if WARM + 2 < entry.at < TRAFFIC_ENDS:
                answers.setdefault(name, []).append(entry.at)
    for name, times in answers.items():
        pairs = pairwise(times)
        found.gaps[name] = max((b - a for a, b in pairs), default=0.0)


def _loads(world: MeasuredWorld, found: Figures) -> None:
    cold_until: dict[BackendServerId, float] = {}
    for entry in world.record:
        if isinstance(entry, r.BackendServerCrashed):
            cold_until[entry.backend_server] = entry.at + COLD_TIME
        elif isinstance(entry, r.LoadObserved):
            found.openings += 1
            found.over += entry.open_flows > entry.current_capacity
            if entry.at < cold_until.get(entry.backend_server, 0.0):
                load = entry.open_flows / entry.current_capacity
                found.cold_load = max(found.cold_load, load)


def _changes(world: MeasuredWorld, found: Figures) -> None:
    for change in (e for e in world.record if isinstance(e, r.ChangeAccepted)):
        sent = world.sent.get(change.change)
        if sent is None:
            continue
        applied: dict[str, float] = {}
        for entry in world.record:
            if not isinstance(entry, r.RevisionApplied) or entry.at < sent:
                continue
            if entry.revision >= change.revision:
                applied.setdefault(entry.node, entry.at)
        running = _running(world, sent, max(applied.values()))
        found.committed.append(min(applied.values()) - sent)
        found.in_force.append(max(applied[node] for node in running) - sent)


def _running(world: MeasuredWorld, start: float, end: float) -> Iterator[NodeId]:
    """Balancers that ran all the time."""
    started: dict[NodeId, float] = {}
    for entry in world.record:
        if isinstance(entry, r.NodeStarted) and entry.at <= start:
            started[entry.node] = entry.at
        elif isinstance(entry, r.NodeStopped) and entry.at <= end:
            started.pop(entry.node, None)
    yield from started
