"""Scenarios of the sessions: operator changes and failures with their times."""

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
from wasabigw_verify.sessions.transcript_writer import TranscriptWriter

WARMED_UP_AT = 20.0
"""Time at which all backend servers have completed their ramp, in seconds."""
DRAIN_TIME = 25.0
"""Seconds from the last new flow to the end of a session."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario.

    :param key: name of the scenario in file names.
    :param schedule: schedules the traffic and events of the scenario.
    """

    key: str
    title: str
    schedule: Callable[[TranscriptWriter], None]


def _deadline(writer: TranscriptWriter, seconds: float) -> Change:
    simulation = writer.simulation
    service = simulation.services[simulation.deployment.second]
    return UpdateService(replace(service, request_deadline=seconds))


def _traffic(writer: TranscriptWriter, first: float, second: float, end: float) -> None:
    simulation = writer.simulation
    simulation.generate_traffic(simulation.deployment.first, first, WARMED_UP_AT, end)
    simulation.generate_traffic(simulation.deployment.second, second, WARMED_UP_AT, end)


def _server(writer: TranscriptWriter, number: int) -> BackendServer:
    name = BackendServerId(f"{writer.simulation.deployment.first}-{number}")
    return writer.simulation.backend_servers[name]


def _restart(writer: TranscriptWriter, number: int) -> None:
    server = _server(writer, number)
    writer.add_line(server.name, f"restarts cold with {len(server.flows)} open flows")
    server.restart()


def ordinary_day(writer: TranscriptWriter) -> None:
    """Changes and failures that are usual within a week, in one session."""
    simulation = writer.simulation
    first, domains = simulation.deployment.first, simulation.deployment.domains
    _traffic(writer, 5.0, 1.0, 85.0)
    simulation.generate_traffic(first, 6.0, 40.0, 65.0)
    leaving, crashing = NodeId(f"{domains[0]}-lb-1"), NodeId(f"{domains[1]}-lb-1")
    joining = NodeId(f"{domains[0]}-lb-9")

    def join() -> None:
        writer.add_line(joining, "starts")
        simulation.start_balancer(joining, domains[0])

    def drain() -> None:
        writer.add_line(_server(writer, 4).name, "drains")
        _server(writer, 4).drain()

    def rejoin() -> None:
        writer.add_line(_server(writer, 4).name, "starts again after its drain")
        _server(writer, 4).rejoin()

    def crash() -> None:
        writer.add_line(crashing, "crashes")
        simulation.stop_balancer(crashing, planned=False)

    def restart() -> None:
        writer.add_line(crashing, "starts again")
        simulation.start_balancer(crashing, domains[1])

    at = simulation.at
    at(25.0, lambda: writer.send_change("operator-1", _deadline(writer, 45.0)))
    at(30.0, join)
    at(34.0, lambda: writer.send_change("operator-1", DrainBalancer(leaving)))
    at(44.0, drain)
    at(56.0, rejoin)
    at(62.0, crash)
    at(67.0, restart)
    at(74.0, lambda: _restart(writer, 2))


def domain_leaves_and_returns(writer: TranscriptWriter) -> None:
    """Operators take a failure domain out of service and bring it back."""
    simulation = writer.simulation
    domain = simulation.deployment.domains[1]
    _traffic(writer, 8.0, 1.5, 75.0)
    out, back = TakeFailureDomainOut(domain), BringFailureDomainBack(domain)
    simulation.at(30.0, lambda: writer.send_change("operator-1", out))
    simulation.at(50.0, lambda: writer.send_change("operator-1", back))


def enrolment_rush(writer: TranscriptWriter) -> None:
    """Three backend servers restart cold during a peak of new flows."""
    simulation = writer.simulation
    _traffic(writer, 4.0, 1.0, 75.0)
    simulation.generate_traffic(simulation.deployment.first, 26.0, 30.0, 60.0)
    for number, time in ((1, 29.0), (2, 30.0), (3, 38.0)):
        simulation.at(time, partial(_restart, writer, number))


def racing_operators(writer: TranscriptWriter) -> None:
    """Operators send changes for the same revision and resend after lost answers."""
    simulation = writer.simulation
    deployment = simulation.deployment
    domain = deployment.domains[2]
    two = deployment.domains[:2]
    _traffic(writer, 6.0, 1.0, 60.0)

    def race(*changes: Change) -> None:
        expected = simulation.configuration_revision()
        for number, change in enumerate(changes, 1):
            writer.send_change(f"operator-{number}", change, expected)

    narrow = SetServiceFailureDomains(deployment.second, two)
    wide = SetServiceFailureDomains(deployment.second, deployment.domains)
    out, back = TakeFailureDomainOut(domain), BringFailureDomainBack(domain)
    at = simulation.at
    at(25.0, lambda: race(*(_deadline(writer, s) for s in (40.0, 41.0, 42.0))))
    at(30.0, lambda: writer.send_change("operator-2", narrow, lost=2))
    at(30.3, lambda: writer.send_change("operator-3", _deadline(writer, 43.0)))
    at(38.0, lambda: race(wide, out, _deadline(writer, 44.0)))
    at(44.0, lambda: writer.send_change("operator-1", out, lost=1))
    at(46.0, lambda: race(back, out))
    at(52.0, lambda: writer.send_change("operator-1", back))


def control_vm_isolated(writer: TranscriptWriter) -> None:
    """The network of the leading control VM drops all messages for some time."""
    simulation = writer.simulation
    _traffic(writer, 6.0, 1.0, 65.0)
    isolated_hosts: list[frozenset[str]] = []

    def isolate() -> None:
        leader = simulation.leader()
        assert leader is not None
        writer.add_line(leader, "is isolated silently while it leads")
        isolated_hosts.append(frozenset({str(leader)}))
        simulation.network.isolated.append(isolated_hosts[0])

    def heal() -> None:
        (name,) = isolated_hosts[0]
        writer.add_line(name, "is reachable again")
        simulation.network.isolated.remove(isolated_hosts[0])

    out = TakeFailureDomainOut(simulation.deployment.domains[2])
    back = BringFailureDomainBack(simulation.deployment.domains[2])
    simulation.at(
        26.0, lambda: writer.send_change("operator-1", _deadline(writer, 40.0))
    )
    simulation.at(28.0, isolate)
    simulation.at(
        28.1, lambda: writer.send_change("operator-1", _deadline(writer, 41.0))
    )
    simulation.at(36.0, lambda: writer.send_change("operator-2", out))
    simulation.at(46.0, heal)
    simulation.at(48.0, lambda: writer.send_change("operator-2", back))


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
