"""Runs the voters: hands them events and executes their effects."""

from dataclasses import replace
from functools import singledispatch

from wasabigw.core.cluster import ClusterState
from wasabigw.core.commands import Command
from wasabigw.core.consensus import effects
from wasabigw.core.consensus.events import (
    ClockTick,
    EnvelopeReceived,
    Proposed,
    SnapshotTaken,
    StopRequested,
    VoterEvent,
)
from wasabigw.core.consensus.messages import (
    AppendResponse,
    Snapshot,
    VoteResponse,
)
from wasabigw.core.consensus.replication import CommittedEntryError
from wasabigw.core.consensus.state import VoterState
from wasabigw.core.consensus.voter import handle
from wasabigw.core.ids import NodeId
from wasabigw.core.states import VoterRole
from wasabigw_verify.log_check.disk import Disk
from wasabigw_verify.log_check.safety import (
    SafetyError,
    check_electable,
    check_log_is_durable,
    check_vote_is_durable,
    check_voter,
    record_committed,
    record_leader,
)
from wasabigw_verify.log_check.world import Flight, World, copy_voter


class _Execution:
    """Execution of the effects of one event at one voter."""

    def __init__(
        self, world: World, state: VoterState, disk: Disk, sender: NodeId | None
    ) -> None:
        self.world = world
        self.state = state
        self.disk = disk
        self.sender = sender
        self.sent: list[Flight] = []


def tick_voter(world: World, node: NodeId) -> None:
    """Tell a voter that time has passed."""
    _run_event(world, node, ClockTick(world.time, _jitter(world, node)), None)


def deliver(world: World, flight: Flight, effect_limit: int | None = None) -> None:
    """Deliver a message, unless its sender or recipient can't be reached.

    :param effect_limit: number of effects that are executed; ``None`` for all.
    """
    node, envelope = flight.recipient, flight.envelope
    is_down = world.vms[node].state is None
    if is_down or world.is_cut(node) or world.is_cut(envelope.sender):
        return
    event = EnvelopeReceived(envelope, world.time, _jitter(world, node))
    _run_event(world, node, event, envelope.sender, effect_limit)


def propose(world: World, node: NodeId, command: Command) -> None:
    """Propose a command at a voter."""
    _run_event(world, node, Proposed((command,), world.time), None)


def request_stop(world: World, node: NodeId) -> None:
    """Tell a voter that its process is to stop."""
    _run_event(world, node, StopRequested(world.time), None)


def take_snapshot(world: World, node: NodeId) -> None:
    """Take a snapshot at a voter and remove the entries that it replaces.

    The real log keeps entries behind the snapshot for followers that lag; here none,
    as if the log had grown by that number.
    """
    state = world.state(node)
    term = state.log.term_at(state.committed)
    assert term is not None
    cluster = ClusterState(
        state.committed, voters=dict(state.members), voter_places=dict(state.places)
    )
    snapshot = Snapshot(state.committed, term, cluster)
    _run_event(world, node, SnapshotTaken(snapshot), None)
    copied = copy_voter(world.state(node))
    copied.log.compact(snapshot.revision, snapshot.term, 0)
    world.vms[node] = replace(world.vms[node], state=copied)


def _jitter(world: World, node: NodeId) -> float:
    return world.site.jitter(node, world.state(node).term)


def _run_event(
    world: World,
    node: NodeId,
    event: VoterEvent,
    sender: NodeId | None,
    effect_limit: int | None = None,
) -> None:
    vm = world.vms[node]
    assert vm.state is not None
    before = (vm.state.committed, vm.state.log.last_revision, vm.state.role)
    known = len(world.committed)
    execution = _Execution(world, copy_voter(vm.state), vm.disk, sender)
    try:
        decided = handle(event, execution.state)
    except CommittedEntryError as error:
        raise SafetyError(f"{node}: {error}") from error
    for effect in decided[:effect_limit]:
        _execute(effect, execution)
    state = execution.state
    world.vms[node] = replace(vm, disk=execution.disk, state=state)
    world.flights += tuple(execution.sent)
    if effect_limit is not None:
        # The process ends, so only its disk and what it has sent matter.
        return
    after = (state.committed, state.log.last_revision, state.role)
    if after != before or state.role is VoterRole.LEADER:
        check_voter(world, state)
    if len(world.committed) != known or after[1] != before[1]:
        check_electable(world)


@singledispatch
def _execute(effect: object, execution: _Execution) -> None:
    raise TypeError(f"not a voter effect: {effect!r}")


@_execute.register
def _(effect: effects.SaveVote, execution: _Execution) -> None:
    execution.disk = execution.disk.save_vote(effect.record)


@_execute.register
def _(effect: effects.AppendEntries, execution: _Execution) -> None:
    execution.disk = execution.disk.append(effect.entries)


@_execute.register
def _(effect: effects.SaveSnapshot, execution: _Execution) -> None:
    execution.disk = execution.disk.save_snapshot(effect.snapshot)


@_execute.register
def _(effect: effects.InstallSnapshot, execution: _Execution) -> None:
    execution.disk = execution.disk.install_snapshot(effect.snapshot)


@_execute.register
def _(effect: effects.ApplyEntries, execution: _Execution) -> None:
    record_committed(execution.world, execution.state.node, effect.entries)


@_execute.register
def _(effect: effects.SendMessage, execution: _Execution) -> None:
    # A VM can send only to an address that it knows.
    if execution.state.has_address(effect.recipient):
        flight = Flight(effect.recipient, effect.envelope, is_answer=False)
        execution.sent.append(flight)


@_execute.register
def _(effect: effects.AnswerMessage, execution: _Execution) -> None:
    assert execution.sender is not None
    body = effect.envelope.body
    if isinstance(body, VoteResponse) and body.granted:
        check_vote_is_durable(execution.state, execution.disk, execution.sender)
    if isinstance(body, AppendResponse) and body.success:
        check_log_is_durable(execution.state.node, execution.disk, body.matched)
    flight = Flight(execution.sender, effect.envelope, is_answer=True)
    execution.sent.append(flight)


@_execute.register
def _(effect: effects.RoleChanged, execution: _Execution) -> None:
    if effect.role is VoterRole.LEADER:
        record_leader(execution.world, execution.state)


@_execute.register(effects.ElectionFailed)
@_execute.register(effects.StopWithoutStandby)
@_execute.register(effects.StopReady)
def _(effect: object, execution: _Execution) -> None:
    """Reports do not change the state."""
