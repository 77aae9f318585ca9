"""How each step changes a state."""

from collections.abc import Sequence
from dataclasses import replace
from functools import singledispatch

from wasabigw.core.commands import BringFailureDomainBack, ChangeRequest
from wasabigw.core.consensus.lease import has_leader_lease
from wasabigw.core.ids import FailureDomainId, NodeId, RequestId, Revision, Seconds
from wasabigw.core.states import VoterRole
from wasabigw.core.timing import ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN
from wasabigw_verify.log_check import driver
from wasabigw_verify.log_check.disk import make_empty_disk, next_incarnation
from wasabigw_verify.log_check.safety import check_electable
from wasabigw_verify.log_check.steps import (
    Continue,
    Crash,
    CrashDuringEvent,
    Cut,
    Delay,
    Lose,
    PostponeElection,
    PowerLoss,
    Propose,
    ReplaceDisk,
    ScriptedStep,
    Start,
    Stop,
    TakeSnapshot,
    Terminate,
)
from wasabigw_verify.log_check.vm_losses import (
    record_empty_disk,
    record_removal,
    record_restart,
    record_start,
    record_stop_request,
    record_tick,
)
from wasabigw_verify.log_check.world import (
    TICK,
    LateFlight,
    World,
    copy_voter,
    load_state,
)


@singledispatch
def take(step: object, world: World, script: Sequence[ScriptedStep]) -> None:
    """Take a step in a copy of a state."""
    raise TypeError(f"not a step: {step!r}")


@take.register
def _(step: Continue, world: World, script: Sequence[ScriptedStep]) -> None:
    if world.flights:
        flight, *rest = world.flights
        world.flights = tuple(rest)
        driver.deliver(world, flight)
        _end_stopped(world, flight.recipient)
        return
    world.now += 1
    _release_late(world)
    for node, vm in list(world.vms.items()):
        if vm.starts_at is not None and vm.starts_at <= world.now:
            _start(world, node)
    while world.script_position < len(script):
        scripted = script[world.script_position]
        if scripted.tick > world.now:
            break
        world.script_position += 1
        take(scripted.step, world, script)
    record_tick(world)
    for node in world.running():
        if world.vms[node].state is not None:
            driver.tick_voter(world, node)
            _end_stopped(world, node)


@take.register
def _(step: Lose, world: World, script: Sequence[ScriptedStep]) -> None:
    world.flights = world.flights[1:]


@take.register
def _(step: Delay, world: World, script: Sequence[ScriptedStep]) -> None:
    flight, *rest = world.flights
    world.flights = tuple(rest)
    if step.ticks == 0:
        world.flights += (flight,)
    else:
        world.late += (LateFlight(world.now + step.ticks, flight),)


@take.register
def _(step: Crash, world: World, script: Sequence[ScriptedStep]) -> None:
    if step.loses_sent:
        world.flights = tuple(
            f for f in world.flights if f.envelope.sender != step.node
        )
    _crash(world, step.node, step.down)


@take.register
def _(step: CrashDuringEvent, world: World, script: Sequence[ScriptedStep]) -> None:
    flight, *rest = world.flights
    world.flights = tuple(rest)
    driver.deliver(world, flight, step.effects)
    _crash(world, flight.recipient, step.down)


@take.register
def _(step: Cut, world: World, script: Sequence[ScriptedStep]) -> None:
    vm = world.vms[step.node]
    world.vms[step.node] = replace(vm, cut_until=world.now + step.ticks)


@take.register
def _(step: PowerLoss, world: World, script: Sequence[ScriptedStep]) -> None:
    nodes = world.running()
    world.flights = ()
    world.late = ()
    for node in nodes:
        _stop(world, node)
        if node in step.lost_disks:
            _empty_disk(world, node)
        if step.lost_start or node not in step.lost_disks:
            _start(world, node)


@take.register
def _(step: PostponeElection, world: World, script: Sequence[ScriptedStep]) -> None:
    vm = world.vms[step.node]
    state = copy_voter(world.state(step.node))
    state.election_at = Seconds(state.election_at + postponement(world, step.node))
    world.vms[step.node] = replace(vm, state=state)


@take.register
def _(step: TakeSnapshot, world: World, script: Sequence[ScriptedStep]) -> None:
    driver.take_snapshot(world, step.node)


@take.register
def _(step: Start, world: World, script: Sequence[ScriptedStep]) -> None:
    _start(world, step.node)


@take.register
def _(step: Stop, world: World, script: Sequence[ScriptedStep]) -> None:
    _stop(world, step.node)
    record_removal(world, step.node)


@take.register
def _(step: Terminate, world: World, script: Sequence[ScriptedStep]) -> None:
    if world.vms[step.node].state is not None:
        record_stop_request(world, step.node)
        driver.request_stop(world, step.node)
        _end_stopped(world, step.node)


@take.register
def _(step: ReplaceDisk, world: World, script: Sequence[ScriptedStep]) -> None:
    _stop(world, step.node)
    _empty_disk(world, step.node)
    _start(world, step.node)


@take.register
def _(step: Propose, world: World, script: Sequence[ScriptedStep]) -> None:
    for node in world.running():
        state = world.state(node)
        if state.role is VoterRole.LEADER and has_leader_lease(state, world.time):
            world.proposed += 1
            driver.propose(world, node, _make_change(world.proposed))
            return


def postponement(world: World, node: NodeId) -> Seconds:
    """Time by which an election timer may run out later, up to the longest timeout."""
    jitter = world.site.jitter(node, world.state(node).term)
    spread = ELECTION_TIMEOUT_MAX - ELECTION_TIMEOUT_MIN
    return Seconds(int(spread * (1 - jitter) / TICK) * TICK)


def _make_change(number: int) -> ChangeRequest:
    domain = FailureDomainId(f"domain-{number}")
    return ChangeRequest(
        RequestId(f"r{number}"), Revision(0), BringFailureDomainBack(domain)
    )


def _release_late(world: World) -> None:
    due = tuple(late.flight for late in world.late if late.due <= world.now)
    world.late = tuple(late for late in world.late if late.due > world.now)
    world.flights += due


def _crash(world: World, node: NodeId, down: int | None) -> None:
    _stop(world, node)
    if down == 0:
        _start(world, node)
    elif down is not None:
        world.vms[node] = replace(world.vms[node], starts_at=world.now + down)
    else:
        record_removal(world, node)


def _end_stopped(world: World, node: NodeId) -> None:
    """End a process that may stop as planned."""
    state = world.vms[node].state
    if state is None or state.stop is None or state.stop.outcome is None:
        return
    _stop(world, node)
    record_removal(world, node)


def _stop(world: World, node: NodeId) -> None:
    world.vms[node] = replace(world.vms[node], state=None, starts_at=None)
    world.flights = tuple(
        f for f in world.flights if not (f.is_answer and f.recipient == node)
    )
    world.late = tuple(
        late
        for late in world.late
        if not (late.flight.is_answer and late.flight.recipient == node)
    )


def _start(world: World, node: NodeId) -> None:
    record_start(world, node)
    record_restart(world, node)
    vm = world.vms[node]
    state = load_state(world, node, vm.disk)
    world.vms[node] = replace(vm, state=state, starts_at=None)
    check_electable(world)


def _empty_disk(world: World, node: NodeId) -> None:
    vm = world.vms[node]
    disk = make_empty_disk(next_incarnation(vm.disk.incarnation), is_successor=True)
    world.vms[node] = replace(vm, disk=disk)
    record_empty_disk(world, node)
