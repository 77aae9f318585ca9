"""The sessions: what operators do and what goes wrong, at which time."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from wasabigw.core.commands import (
    BringFailureDomainBack,
    Change,
    DrainBalancer,
    SetServiceFailureDomains,
    TakeFailureDomainOut,
    UpdateService,
)
from wasabigw.core.ids import BackendServerId, NodeId
from wasabigw_verify.harness.backend_servers import BackendServer
from wasabigw_verify.sessions.narrator import Narrator

WARM = 20.0
"""Time at which all backend servers have passed their ramp."""
DRAIN_OF_CALLERS = 25.0
"""Seconds from the last new flow to the end of a session."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """A session."""

    key: str
    title: str
    play: Callable[[Narrator], None]


def _deadline(narrator: Narrator, seconds: float) -> Change:
    simulation = narrator.simulation
    service = simulation.services[simulation.deployment.second]
    return UpdateService(replace(service, request_deadline=seconds))


def _traffic(narrator: Narrator, first: float, second: float, end: float) -> None:
    simulation = narrator.simulation
    simulation.generate_traffic(simulation.deployment.first, first, WARM, end)
    simulation.generate_traffic(simulation.deployment.second, second, WARM, end)


def _server(narrator: Narrator, number: int) -> BackendServer:
    name = BackendServerId(f"{narrator.simulation.deployment.first}-{number}")
    return narrator.simulation.backend_servers[name]


def _restart(narrator: Narrator, number: int) -> None:
    server = _server(narrator, number)
    narrator.tell(server.name, f"restarts cold with {len(server.flows)} open flows")
    server.restart()


def ordinary_day(narrator: Narrator) -> None:
    """A day of changes, each of which happens in any week."""
    simulation = narrator.simulation
    first, domains = simulation.deployment.first, simulation.deployment.domains
    _traffic(narrator, 5.0, 1.0, 85.0)
    simulation.generate_traffic(first, 6.0, 40.0, 65.0)
    leaving, crashing = NodeId(f"{domains[0]}-lb-1"), NodeId(f"{domains[1]}-lb-1")
    joining = NodeId(f"{domains[0]}-lb-9")

    def join() -> None:
        narrator.tell(joining, "starts")
        simulation.start_balancer(joining, domains[0])

    def drain() -> None:
        narrator.tell(_server(narrator, 4).name, "drains")
        _server(narrator, 4).drain()

    def rejoin() -> None:
        narrator.tell(_server(narrator, 4).name, "starts again after its drain")
        _server(narrator, 4).rejoin()

    def crash() -> None:
        narrator.tell(crashing, "crashes")
        simulation.stop_balancer(crashing, planned=False)

    def restart() -> None:
        narrator.tell(crashing, "starts again")
        simulation.start_balancer(crashing, domains[1])

    at = simulation.at
    at(25.0, lambda: narrator.send_change("operator-1", _deadline(narrator, 45.0)))
    at(30.0, join)
    at(34.0, lambda: narrator.send_change("operator-1", DrainBalancer(leaving)))
    at(44.0, drain)
    at(56.0, rejoin)
    at(62.0, crash)
    at(67.0, restart)
    at(74.0, lambda: _restart(narrator, 2))


def domain_leaves_and_returns(narrator: Narrator) -> None:
    """Operators take a failure domain out of service and bring it back."""
    simulation = narrator.simulation
    domain = simulation.deployment.domains[1]
    _traffic(narrator, 8.0, 1.5, 75.0)
    out, back = TakeFailureDomainOut(domain), BringFailureDomainBack(domain)
    simulation.at(30.0, lambda: narrator.send_change("operator-1", out))
    simulation.at(50.0, lambda: narrator.send_change("operator-1", back))


def enrolment_rush(narrator: Narrator) -> None:
    """Three backend servers restart cold while many callers come."""
    simulation = narrator.simulation
    _traffic(narrator, 4.0, 1.0, 75.0)
    simulation.generate_traffic(simulation.deployment.first, 26.0, 30.0, 60.0)
    for number, time in ((1, 29.0), (2, 30.0), (3, 38.0)):
        simulation.at(time, partial(_restart, narrator, number))


def racing_operators(narrator: Narrator) -> None:
    """Changes with equal revisions, and resent ones after lost answers."""
    simulation = narrator.simulation
    deployment = simulation.deployment
    domain = deployment.domains[2]
    two = deployment.domains[:2]
    _traffic(narrator, 6.0, 1.0, 60.0)

    def race(*changes: Change) -> None:
        expected = simulation.configuration_revision()
        for number, change in enumerate(changes, 1):
            narrator.send_change(f"operator-{number}", change, expected)

    narrow = SetServiceFailureDomains(deployment.second, two)
    wide = SetServiceFailureDomains(deployment.second, deployment.domains)
    out, back = TakeFailureDomainOut(domain), BringFailureDomainBack(domain)
    at = simulation.at
    at(25.0, lambda: race(*(_deadline(narrator, s) for s in (40.0, 41.0, 42.0))))
    at(30.0, lambda: narrator.send_change("operator-2", narrow, lost=2))
    at(30.3, lambda: narrator.send_change("operator-3", _deadline(narrator, 43.0)))
    at(38.0, lambda: race(wide, out, _deadline(narrator, 44.0)))
    at(44.0, lambda: narrator.send_change("operator-1", out, lost=1))
    at(46.0, lambda: race(back, out))
    at(52.0, lambda: narrator.send_change("operator-1", back))


def control_vm_isolated(narrator: Narrator) -> None:
    """The leading control VM is cut off silently and healed later."""
    simulation = narrator.simulation
    _traffic(narrator, 6.0, 1.0, 65.0)
    alone: list[frozenset[str]] = []

    def isolate() -> None:
        leader = simulation.leader()
        assert leader is not None
        narrator.tell(leader, "is isolated silently while it leads")
        alone.append(frozenset({str(leader)}))
        simulation.network.isolated.append(alone[0])

    def heal() -> None:
        (name,) = alone[0]
        narrator.tell(name, "is reachable again")
        simulation.network.isolated.remove(alone[0])

    out = TakeFailureDomainOut(simulation.deployment.domains[2])
    back = BringFailureDomainBack(simulation.deployment.domains[2])
    simulation.at(
        26.0, lambda: narrator.send_change("operator-1", _deadline(narrator, 40.0))
    )
    simulation.at(28.0, isolate)
    simulation.at(
        28.1, lambda: narrator.send_change("operator-1", _deadline(narrator, 41.0))
    )
    simulation.at(36.0, lambda: narrator.send_change("operator-2", out))
    simulation.at(46.0, heal)
    simulation.at(48.0, lambda: narrator.send_change("operator-2", back))


SCENARIOS = (
    Scenario("ordinary-day", "an ordinary day, compressed", ordinary_day),
    Scenario(
        "domain-returns",
        "a failure domain leaves and returns",
        domain_leaves_and_returns,
    ),
    Scenario(
        "enrolment-rush", "an enrolment rush with cold backend servers", enrolment_rush
    ),
    Scenario("racing-operators", "operators race and resend", racing_operators),
    Scenario(
        "control-vm-isolated",
        "a control VM is isolated and healed",
        control_vm_isolated,
    ),
)
