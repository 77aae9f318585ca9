"""Injectors of the faults of docs/design.md, section 1.6."""

from collections.abc import Callable
from enum import Enum

from wasabigw.core.cluster import Applied, Refusal
from wasabigw.core.commands import (
    BringFailureDomainBack,
    Change,
    DrainBackendServer,
    TakeFailureDomainOut,
)
from wasabigw.core.ids import BackendServerId, FailureDomainId, NodeId, ServiceId
from wasabigw_verify import record as r
from wasabigw_verify.harness.backend_servers import BackendServer
from wasabigw_verify.harness.balancers import Balancer
from wasabigw_verify.harness.disks import WriteFault
from wasabigw_verify.harness.operators import Operator
from wasabigw_verify.harness.run import Injector, Run
from wasabigw_verify.harness.simulation import COURSES, DOMAINS, SEATS, VOTERS
from wasabigw_verify.harness.steps import StepParticipants

DOWN_TIME = 4.0
"""Seconds until a stopped process is restarted."""
ISOLATION_TIME = 8.0
"""Seconds until isolated hosts, or a domain taken out, are brought back."""
SLOW_NETWORK_TIME = 5.0
MAX_EXTRA_DELAY = 0.9
HOLD_TIME = 3.0
"""Seconds for which one balancer receives no messages on connections."""
EXTRA_FLOWS = 60
MAX_DOWN_TIME = 8.0
"""Seconds after which processes restart even if not all changes were made."""
MISSED_CHANGES = 200
"""Number of changes made while the processes are down."""
ADMISSION_CHECK_INTERVAL = 0.1
FREEZE_TIME = 3.5
POWER_OFF_TIME = 1.5
"""Seconds until power returns to the control VMs."""
DISK_FULL_TIME = 2.0
"""Seconds for which the disk of each control VM is full."""
SLOW_TIME = 6.0
SLOW_PERIOD = 0.25
SLOW_PAUSE = 0.2
"""Part of each period in which a slow VM handles nothing: a fifth of its speed."""
ADDED_SERVERS = 6
SLOTS_OF_ADDED = 16


class Fault(Enum):
    """Fault that can be injected; the values are part of the names of cells."""

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
    DISKS_FULL = "disks of control VMs are full one after another"
    VOTER_SLOW = "a control VM turns slow"
    SERVERS_ADDED = "empty backend servers are added in bulk"


INJECTORS: dict[Fault, Injector] = {}


def injector(fault: Fault) -> Callable[[Injector], Injector]:
    """Register the function that injects a fault."""

    def register(inject: Injector) -> Injector:
        INJECTORS[fault] = inject
        return inject

    return register


def _balancer(run: Run, participants: StepParticipants) -> Balancer | None:
    """Balancer that takes part in the step, or a random one; ``None`` without any."""
    balancers = run.simulation.balancers
    if participants.balancer in balancers:
        return balancers[participants.balancer]
    names = sorted(balancers)
    return balancers[run.simulation.network.random.choice(names)] if names else None


def _voter(run: Run, participants: StepParticipants) -> NodeId:
    """Voter that takes part in the step, or the leader."""
    return participants.voter or run.simulation.leader() or VOTERS[0]


def _backend_server(run: Run, participants: StepParticipants) -> BackendServer:
    """Backend server that takes part in the step, or a random one."""
    servers = run.simulation.backend_servers
    if participants.backend_server in servers:
        return servers[participants.backend_server]
    return servers[run.simulation.network.random.choice(sorted(servers))]


def _domain(run: Run, participants: StepParticipants) -> FailureDomainId:
    """Failure domain of a process that takes part in the step, or a random one."""
    host = participants.backend_server or participants.voter or participants.balancer
    known = run.simulation.domain_of.get(host or "")
    return known or run.simulation.network.random.choice(DOMAINS)


def _open_extra_flows(run: Run, service: ServiceId, requests: int) -> None:
    """Open flows beside the usual traffic, spread over some seconds."""
    pauses = [0.2] * requests
    for number in range(EXTRA_FLOWS):
        run.simulation.network.call_later(
            number * SLOW_NETWORK_TIME / EXTRA_FLOWS,
            lambda: run.open_flow("callers", service, list(pauses)),
        )


@injector(Fault.BALANCER_DIES)
def _(run: Run, participants: StepParticipants) -> None:
    balancer = _balancer(run, participants)
    if balancer is None:
        return
    name, domain = balancer.name, balancer.node.failure_domain
    run.simulation.stop_balancer(name, planned=False)
    run.simulation.network.call_later(
        DOWN_TIME, lambda: run.simulation.start_balancer(name, domain)
    )


@injector(Fault.BALANCER_JOINS)
def _(run: Run, participants: StepParticipants) -> None:
    run.start_new_balancer(_domain(run, participants))


@injector(Fault.BACKEND_SERVER_DRAINS)
def _(run: Run, participants: StepParticipants) -> None:
    _backend_server(run, participants).drain()


@injector(Fault.BACKEND_SERVER_COLD)
def _(run: Run, participants: StepParticipants) -> None:
    _backend_server(run, participants).restart()


@injector(Fault.UNEVEN_UPDATES)
def _(run: Run, participants: StepParticipants) -> None:
    simulation = run.simulation
    network = simulation.network
    for name in list(simulation.balancers):
        network.max_extra_delay[name] = network.random.uniform(0.0, MAX_EXTRA_DELAY)
    balancer = _balancer(run, participants)
    if balancer is not None:
        network.delayed_until[balancer.name] = network.now + HOLD_TIME
    # Buckets move and flows open while some balancers have not learned of the moves.
    leaving = BackendServerId("courses-0")

    def drained(_: Applied | Refusal) -> None:
        simulation.add(r.BackendServerLeaving(network.now, leaving))

    Operator(simulation, DrainBackendServer(leaving), done=drained)
    _open_extra_flows(run, COURSES, requests=4)
    network.call_later(SLOW_NETWORK_TIME, network.max_extra_delay.clear)


@injector(Fault.VOTER_ISOLATED)
def _(run: Run, participants: StepParticipants) -> None:
    network = run.simulation.network
    isolated = frozenset({str(_voter(run, participants))})
    network.isolated.append(isolated)
    run.change()
    network.call_later(ISOLATION_TIME, lambda: network.isolated.remove(isolated))


@injector(Fault.OPERATORS_RACE)
def _(run: Run, participants: StepParticipants) -> None:
    leader = run.simulation.leader()
    if leader is None:
        run.simulation.network.call_later(
            0.5, lambda: INJECTORS[Fault.OPERATORS_RACE](run, participants)
        )
        return
    expected = run.simulation.voters[leader].task._cluster.configuration_revision
    outcomes: list[Applied | Refusal] = []

    def done(answer: Applied | Refusal) -> None:
        outcomes.append(answer)
        if sum(isinstance(o, Applied) for o in outcomes) > 1:
            run.problems.append("two changes for one revision were accepted")

    for _ in range(3):
        Operator(run.simulation, run.next_change(), expected, done=done)


@injector(Fault.CHANGE_RESENT)
def _(run: Run, participants: StepParticipants) -> None:
    change = run.next_change()
    run.change(change, lost=2)
    run.change()


@injector(Fault.SECOND_VM_LOST)
def _(run: Run, participants: StepParticipants) -> None:
    simulation = run.simulation
    first = _voter(run, participants)
    second = next(name for name in VOTERS if name != first)
    _replace_disk(run, first, 1.0)

    def crash_after_repair() -> None:
        repaired = simulation.disks[first].vote.admitted
        if repaired and first in simulation.voters:
            simulation.crash_voter(second)
            run.change()
            simulation.network.call_later(
                DOWN_TIME, lambda: simulation.start_voter(second)
            )
        else:
            simulation.network.call_later(ADMISSION_CHECK_INTERVAL, crash_after_repair)

    crash_after_repair()


@injector(Fault.DISK_EMPTIED)
def _(run: Run, participants: StepParticipants) -> None:
    _replace_disk(run, _voter(run, participants), DOWN_TIME)
    run.change()


def _replace_disk(run: Run, node: NodeId, down_time: float) -> None:
    run.simulation.crash_voter(node)
    run.simulation.replace_disk(node)
    run.simulation.network.call_later(
        down_time, lambda: run.simulation.start_voter(node)
    )


@injector(Fault.WRITE_TORN)
def _(run: Run, participants: StepParticipants) -> None:
    simulation = run.simulation
    node = participants.voter or simulation.network.random.choice(VOTERS)
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
def _(run: Run, participants: StepParticipants) -> None:
    simulation = run.simulation
    node = _voter(run, participants)
    simulation.crash_voter(node)
    balancer = _balancer(run, participants)
    if balancer is not None:
        simulation.stop_balancer(balancer.name, planned=False)
    remaining = MISSED_CHANGES

    def send(_: Applied | Refusal | None = None) -> None:
        nonlocal remaining
        remaining -= 1
        if remaining < 0:
            restart()
            return
        change: Change = BringFailureDomainBack(DOMAINS[remaining % len(DOMAINS)])
        Operator(simulation, change, done=send)

    def restart() -> None:
        nonlocal remaining
        remaining = 0
        simulation.start_voter(node)
        if balancer is not None and balancer.name not in simulation.balancers:
            simulation.start_balancer(balancer.name, balancer.node.failure_domain)

    send()
    # Without a majority of the voters the changes never complete.
    simulation.network.call_later(MAX_DOWN_TIME, restart)


@injector(Fault.SILENT_CONNECTIONS)
def _(run: Run, participants: StepParticipants) -> None:
    balancer = _balancer(run, participants)
    run.simulation.network.blackhole(_voter(run, participants))
    if balancer is not None:
        run.simulation.network.blackhole(balancer.name)
    run.change()


@injector(Fault.DOMAIN_CUT_OFF)
def _(run: Run, participants: StepParticipants) -> None:
    simulation = run.simulation
    domain = _domain(run, participants)
    isolated = simulation.hosts_in(domain)
    simulation.network.isolated.append(isolated)
    run.change()
    simulation.network.call_later(
        ISOLATION_TIME, lambda: simulation.network.isolated.remove(isolated)
    )


@injector(Fault.DOMAIN_OUT_AND_BACK)
def _(run: Run, participants: StepParticipants) -> None:
    domain = _domain(run, participants)
    run.change(TakeFailureDomainOut(domain))
    back = BringFailureDomainBack(domain)
    run.simulation.network.call_later(ISOLATION_TIME, lambda: run.change(back))


@injector(Fault.BALANCER_FROZEN)
def _(run: Run, participants: StepParticipants) -> None:
    network = run.simulation.network
    balancer = _balancer(run, participants)
    if balancer is not None:
        network.frozen_until[balancer.name] = network.now + FREEZE_TIME
    run.change()


@injector(Fault.DISK_STALLED)
def _(run: Run, participants: StepParticipants) -> None:
    # A voter handles nothing while it waits for its disk.
    network = run.simulation.network
    network.frozen_until[_voter(run, participants)] = network.now + FREEZE_TIME
    run.change()


@injector(Fault.ONE_WAY_CUT)
def _(run: Run, participants: StepParticipants) -> None:
    network = run.simulation.network
    isolated = frozenset({str(_voter(run, participants))})
    network.outbound_blocked.append(isolated)
    run.change()
    network.call_later(
        ISOLATION_TIME, lambda: network.outbound_blocked.remove(isolated)
    )


@injector(Fault.POWER_LOST)
def _(run: Run, participants: StepParticipants) -> None:
    simulation = run.simulation
    faults = list(WriteFault)
    for node in VOTERS:
        # A write in progress at the power failure ends with one of these faults.
        simulation.disks[node].fault = faults[
            simulation.network.random.randrange(len(faults))
        ]
        simulation.crash_voter(node)

    def restart() -> None:
        for node in VOTERS:
            simulation.disks[node].fault = None
            simulation.start_voter(node)

    simulation.network.call_later(POWER_OFF_TIME, restart)
    run.change()


@injector(Fault.DISKS_FULL)
def _(run: Run, participants: StepParticipants) -> None:
    simulation = run.simulation
    first = _voter(run, participants)
    order = [first, *(name for name in VOTERS if name != first)]

    def fill(position: int) -> None:
        for node in VOTERS:
            simulation.disks[node].is_full = False
        if position < len(order):
            simulation.disks[order[position]].is_full = True
            run.change()
            simulation.network.call_later(DISK_FULL_TIME, lambda: fill(position + 1))

    fill(0)


@injector(Fault.VOTER_SLOW)
def _(run: Run, participants: StepParticipants) -> None:
    network = run.simulation.network
    slow = _voter(run, participants)
    for number in range(round(SLOW_TIME / SLOW_PERIOD)):
        network.call_later(
            number * SLOW_PERIOD,
            lambda: network.frozen_until.update({slow: network.now + SLOW_PAUSE}),
        )
    run.change()


@injector(Fault.SERVERS_ADDED)
def _(run: Run, participants: StepParticipants) -> None:
    simulation = run.simulation
    for number in range(ADDED_SERVERS):
        name = f"seats-added-{number}"
        if name not in simulation.backend_servers:
            domain = DOMAINS[number % len(DOMAINS)]
            simulation.add_backend_server(name, SEATS, domain, SLOTS_OF_ADDED)
    _open_extra_flows(run, SEATS, requests=2)
