"""The faults of docs/design.md, section 1.6, as they are injected into a run."""

from collections.abc import Callable
from enum import Enum

from wasabigw.core.cluster import Applied, Refusal
from wasabigw.core.commands import (
    BringFailureDomainBack,
    Change,
    DrainBackendServer,
    TakeFailureDomainOut,
)
from wasabigw.core.ids import BackendServerId, FailureDomainId, NodeId
from wasabigw_verify import record as r
from wasabigw_verify.harness.backend_servers import BackendServer
from wasabigw_verify.harness.balancers import Balancer
from wasabigw_verify.harness.disks import WriteFault
from wasabigw_verify.harness.operators import Operator
from wasabigw_verify.harness.run import Injector, Run
from wasabigw_verify.harness.simulation import COURSES, DOMAINS, VOTERS
from wasabigw_verify.harness.steps import Focus

DOWN_TIME = 4.0
"""Seconds until a process that ended is started again."""
LONG_CUT = 8.0
UNEVEN_TIME = 5.0
UNEVEN_DELAY = 0.9
LATE = 3.0
BURST = 60
LONGEST_DOWN = 8.0
BEHIND = 200
"""Changes that a process misses."""
ADMISSION_CHECK = 0.1
FREEZE = 3.5
POWER_OFF = 1.5
"""Seconds until control VMs that lost power have it again."""


class Fault(Enum):
    """What goes wrong."""

    BALANCER_DIES = "a balancer dies"
    BALANCER_JOINS = "a balancer joins"
    BACKEND_SERVER_DRAINS = "a backend server drains"
    BACKEND_SERVER_COLD = "a backend server turns cold without warning"
    UNEVEN_UPDATES = "updates reach VMs unevenly"
    VOTER_ISOLATED = "a control VM is isolated silently and long"
    OPERATORS_RACE = "operators race with equal revisions"
    CHANGE_RESENT = "a change is resent after a lost answer"
    SECOND_VM_LOST = "a second VM is lost just after a repair"
    DISK_EMPTIED = "a disk is lost or emptied"
    WRITE_TORN = "a write is torn or only partly synced"
    RESTART_BEHIND = "a restart hundreds of changes behind"
    SILENT_CONNECTIONS = "connections go silent while new ones work"
    DOMAIN_CUT_OFF = "a failure domain is cut off"
    DOMAIN_OUT_AND_BACK = "a failure domain is taken out and brought back"
    BALANCER_FROZEN = "a balancer freezes and wakes again"
    DISK_STALLED = "a disk of a control VM stalls"
    ONE_WAY_CUT = "packets of a control VM pass one way only"
    POWER_LOST = "all control VMs lose power"


INJECTORS: dict[Fault, Injector] = {}


def injector(fault: Fault) -> Callable[[Injector], Injector]:
    """Register the function that injects a fault."""

    def register(inject: Injector) -> Injector:
        INJECTORS[fault] = inject
        return inject

    return register


def _balancer(run: Run, focus: Focus) -> Balancer | None:
    """The balancer of the step, or any that is not new."""
    found = run.simulation.balancers
    if focus.balancer in found:
        return found[focus.balancer]
    names = sorted(found)
    return found[run.simulation.network.random.choice(names)] if names else None


def _voter(run: Run, focus: Focus) -> NodeId:
    """The voter of the step, or the leader."""
    return focus.voter or run.simulation.leader() or VOTERS[0]


def _backend_server(run: Run, focus: Focus) -> BackendServer:
    """The backend server of the step, or any."""
    found = run.simulation.backend_servers
    if focus.backend_server in found:
        return found[focus.backend_server]
    return found[run.simulation.network.random.choice(sorted(found))]


def _domain(run: Run, focus: Focus) -> FailureDomainId:
    """Failure domain of the step, or any."""
    place = focus.backend_server or focus.voter or focus.balancer
    known = run.simulation.domain_of.get(place or "")
    return known or run.simulation.network.random.choice(DOMAINS)


@injector(Fault.BALANCER_DIES)
def _(run: Run, focus: Focus) -> None:
    balancer = _balancer(run, focus)
    if balancer is None:
        return
    name, domain = balancer.name, balancer.node.failure_domain
    run.simulation.stop_balancer(name, planned=False)
    run.simulation.network.call_later(
        DOWN_TIME, lambda: run.simulation.start_balancer(name, domain)
    )


@injector(Fault.BALANCER_JOINS)
def _(run: Run, focus: Focus) -> None:
    run.join(_domain(run, focus))


@injector(Fault.BACKEND_SERVER_DRAINS)
def _(run: Run, focus: Focus) -> None:
    _backend_server(run, focus).drain()


@injector(Fault.BACKEND_SERVER_COLD)
def _(run: Run, focus: Focus) -> None:
    _backend_server(run, focus).restart()


@injector(Fault.UNEVEN_UPDATES)
def _(run: Run, focus: Focus) -> None:
    simulation = run.simulation
    network = simulation.network
    for name in list(simulation.balancers):
        network.slow[name] = network.random.uniform(0.0, UNEVEN_DELAY)
    balancer = _balancer(run, focus)
    if balancer is not None:
        network.late[balancer.name] = network.now + LATE
    # Buckets move while some balancers do not know of it, and flows open.
    leaving = BackendServerId("courses-0")

    def drained(_: Applied | Refusal) -> None:
        simulation.add(r.BackendServerLeaving(network.now, leaving))

    Operator(simulation, DrainBackendServer(leaving), done=drained)
    for number in range(BURST):
        pause = number * UNEVEN_TIME / BURST
        network.call_later(pause, lambda: run.open_flow("callers", COURSES, [0.2] * 4))
    network.call_later(UNEVEN_TIME, network.slow.clear)


@injector(Fault.VOTER_ISOLATED)
def _(run: Run, focus: Focus) -> None:
    network = run.simulation.network
    alone = frozenset({str(_voter(run, focus))})
    network.isolated.append(alone)
    run.change()
    network.call_later(LONG_CUT, lambda: network.isolated.remove(alone))


@injector(Fault.OPERATORS_RACE)
def _(run: Run, focus: Focus) -> None:
    leader = run.simulation.leader()
    if leader is None:
        run.simulation.network.call_later(
            0.5, lambda: INJECTORS[Fault.OPERATORS_RACE](run, focus)
        )
        return
    seen = run.simulation.voters[leader].task._cluster.configuration_revision
    outcomes: list[Applied | Refusal] = []

    def done(answer: Applied | Refusal) -> None:
        outcomes.append(answer)
        if sum(isinstance(o, Applied) for o in outcomes) > 1:
            run.problems.append("two changes for one revision were accepted")

    for _ in range(3):
        Operator(run.simulation, run.next_change(), seen, done=done)


@injector(Fault.CHANGE_RESENT)
def _(run: Run, focus: Focus) -> None:
    change = run.next_change()
    run.change(change, lost=2)
    run.change()


@injector(Fault.SECOND_VM_LOST)
def _(run: Run, focus: Focus) -> None:
    simulation = run.simulation
    first = _voter(run, focus)
    second = next(name for name in VOTERS if name != first)
    _lose_disk(run, first, 1.0)

    def watch() -> None:
        repaired = simulation.disks[first].vote.admitted
        if repaired and first in simulation.voters:
            simulation.crash_voter(second)
            run.change()
            simulation.network.call_later(
                DOWN_TIME, lambda: simulation.start_voter(second)
            )
        else:
            simulation.network.call_later(ADMISSION_CHECK, watch)

    watch()


@injector(Fault.DISK_EMPTIED)
def _(run: Run, focus: Focus) -> None:
    _lose_disk(run, _voter(run, focus), DOWN_TIME)
    run.change()


def _lose_disk(run: Run, node: NodeId, down: float) -> None:
    run.simulation.crash_voter(node)
    run.simulation.empty_disk(node)
    run.simulation.network.call_later(down, lambda: run.simulation.start_voter(node))


@injector(Fault.WRITE_TORN)
def _(run: Run, focus: Focus) -> None:
    simulation = run.simulation
    node = focus.voter or simulation.network.random.choice(VOTERS)
    faults = list(WriteFault)
    simulation.disks[node].fault = faults[
        simulation.network.random.randrange(len(faults))
    ]
    run.change()

    def restart() -> None:
        simulation.disks[node].fault = None
        simulation.start_voter(node)

    simulation.network.call_later(DOWN_TIME, restart)


@injector(Fault.RESTART_BEHIND)
def _(run: Run, focus: Focus) -> None:
    simulation = run.simulation
    node = _voter(run, focus)
    simulation.crash_voter(node)
    balancer = _balancer(run, focus)
    if balancer is not None:
        simulation.stop_balancer(balancer.name, planned=False)
    left = BEHIND

    def send(_: Applied | Refusal | None = None) -> None:
        nonlocal left
        left -= 1
        if left < 0:
            restart()
            return
        change: Change = BringFailureDomainBack(DOMAINS[left % len(DOMAINS)])
        Operator(simulation, change, done=send)

    def restart() -> None:
        nonlocal left
        left = 0
        simulation.start_voter(node)
        if balancer is not None and balancer.name not in simulation.balancers:
            simulation.start_balancer(balancer.name, balancer.node.failure_domain)

    send()
    # Without a majority of the voters the changes would never end.
    simulation.network.call_later(LONGEST_DOWN, restart)


@injector(Fault.SILENT_CONNECTIONS)
def _(run: Run, focus: Focus) -> None:
    balancer = _balancer(run, focus)
    run.simulation.network.silence(_voter(run, focus))
    if balancer is not None:
        run.simulation.network.silence(balancer.name)
    run.change()


@injector(Fault.DOMAIN_CUT_OFF)
def _(run: Run, focus: Focus) -> None:
    simulation = run.simulation
    domain = _domain(run, focus)
    cut = simulation.places(domain)
    simulation.network.isolated.append(cut)
    run.change()
    simulation.network.call_later(
        LONG_CUT, lambda: simulation.network.isolated.remove(cut)
    )


@injector(Fault.DOMAIN_OUT_AND_BACK)
def _(run: Run, focus: Focus) -> None:
    domain = _domain(run, focus)
    run.change(TakeFailureDomainOut(domain))
    back = BringFailureDomainBack(domain)
    run.simulation.network.call_later(LONG_CUT, lambda: run.change(back))


@injector(Fault.BALANCER_FROZEN)
def _(run: Run, focus: Focus) -> None:
    network = run.simulation.network
    balancer = _balancer(run, focus)
    if balancer is not None:
        network.frozen[balancer.name] = network.now + FREEZE
    run.change()


@injector(Fault.DISK_STALLED)
def _(run: Run, focus: Focus) -> None:
    # A voter handles nothing while it waits for its disk.
    network = run.simulation.network
    network.frozen[_voter(run, focus)] = network.now + FREEZE
    run.change()


@injector(Fault.ONE_WAY_CUT)
def _(run: Run, focus: Focus) -> None:
    network = run.simulation.network
    alone = frozenset({str(_voter(run, focus))})
    network.muted.append(alone)
    run.change()
    network.call_later(LONG_CUT, lambda: network.muted.remove(alone))


@injector(Fault.POWER_LOST)
def _(run: Run, focus: Focus) -> None:
    simulation = run.simulation
    faults = list(WriteFault)
    for node in VOTERS:
        # The write that is under way when the power goes ends in one of these ways.
        simulation.disks[node].fault = faults[
            simulation.network.random.randrange(len(faults))
        ]
        simulation.crash_voter(node)

    def restart() -> None:
        for node in VOTERS:
            simulation.disks[node].fault = None
            simulation.start_voter(node)

    simulation.network.call_later(POWER_OFF, restart)
    run.change()
