"""What happened to the control VMs, and which losses the cluster must tolerate.

Operators promise to lose at most as many control VMs at once as the cluster tolerates.
Whether they keep that promise is told by what happened to the VMs alone. The voters in
the log are not asked: a cluster that can't elect a leader would excuse itself by them.

- A control VM is lost while it is down or cut off, and for :data:`CATCH_UP_TICKS` after
  it was started with an empty disk.
- One that is stopped for good is lost as well. It ceases to count once its successor
  has run for that time: at its end if that was planned or its successor runs in its
  failure domain, and no other loss has disturbed the replacement; and otherwise when
  the others had the same time to notice its end.
"""

from dataclasses import dataclass, replace

from wasabigw.core.ids import NodeId
from wasabigw_verify.log_check.world import VmHistory, World

CATCH_UP_TICKS = 16
"""Ticks (4 s) that a control VM with an empty disk has to get all data."""


@dataclass(frozen=True, slots=True)
class Losses:
    """Control VMs that count as lost.

    :param disks: those of them whose data is lost.
    """

    vms: int
    disks: int


def tolerated(world: World) -> int:
    """Number of control VMs that may be lost at once."""
    return (_wanted(world) - 1) // 2


def count_losses(world: World) -> Losses:
    """Control VMs that are lost now."""
    filled = [
        name
        for name, history in world.histories.items()
        if history.was_filled and history.removed_at is None
    ]
    missing = max(0, _wanted(world) - len(filled))
    removed = sum(
        history.removed_at is not None and world.now < history.counts_until
        for history in world.histories.values()
    )
    emptied = [n for n in filled if world.now < world.histories[n].filled_at]
    away = [n for n in filled if n not in emptied and _is_away(world, n)]
    disks = max(missing, removed) + len(emptied)
    return Losses(disks + len(away), disks)


def is_within_tolerance(world: World) -> bool:
    """Whether no more control VMs and disks are lost than the cluster tolerates."""
    return not world.has_lost_too_many and count_losses(world).vms <= tolerated(world)


def tolerated_disks(world: World) -> int:
    """Number of further disks that may be lost now; negative if too many are."""
    if world.has_lost_too_many:
        return -1
    return tolerated(world) - count_losses(world).vms


def record_start(world: World, node: NodeId) -> None:
    """Record the first start of a control VM, whose disk is empty."""
    if node not in world.histories:
        filled_at = world.now + CATCH_UP_TICKS
        _change(world, node, VmHistory(False, filled_at, started_at=world.now))


def record_empty_disk(world: World, node: NodeId) -> None:
    """Record that a control VM has lost its disk."""
    history = world.histories[node]
    _change(world, node, replace(history, filled_at=world.now + CATCH_UP_TICKS))
    _check_disks(world)


def record_stop_request(world: World, node: NodeId) -> None:
    """Record the begin of a planned stop for good."""
    is_undisturbed = not _is_anyone_lost(world)
    _change(world, node, replace(world.histories[node], is_undisturbed=is_undisturbed))


def record_removal(world: World, node: NodeId) -> None:
    """Record that a control VM has ended for good."""
    history = world.histories[node]
    ended = replace(history, removed_at=world.now, counts_until=world.now)
    _change(world, node, ended)
    if not history.is_undisturbed and not _is_succeeded(world, node):
        until = world.now + CATCH_UP_TICKS
        _change(world, node, replace(ended, counts_until=until))
    _check_disks(world)


def _is_succeeded(world: World, node: NodeId) -> bool:
    """Whether a later control VM of the same failure domain has had time to replace it.

    Another failure domain gives no such claim: after the loss of one voter and of
    another one's disk, two that share a failure domain would have to go on, while the
    other two have to go on without them if that failure domain is lost.
    """
    domains, histories = world.site.domains, world.histories
    ended = histories[node]
    return not _is_anyone_lost(world) and any(
        domains[name] == domains[node]
        and history.was_filled
        and history.removed_at is None
        and history.started_at > ended.started_at
        for name, history in histories.items()
    )


def record_restart(world: World, node: NodeId) -> None:
    """Record that a control VM runs again, so that it was not stopped for good."""
    history = world.histories[node]
    back = replace(
        history,
        removed_at=None,
        counts_until=0,
        is_undisturbed=None,
        returned_until=world.now + CATCH_UP_TICKS,
    )
    _change(world, node, back)


def record_tick(world: World) -> None:
    """Record what the passed time changes."""
    lost = count_losses(world).vms
    is_disturbed = _is_anyone_lost(world)
    for node, history in world.histories.items():
        if history.is_undisturbed and is_disturbed and history.removed_at is None:
            _change(world, node, replace(history, is_undisturbed=False))
        elif not history.was_filled or world.now <= history.filled_at:
            _change(world, node, _filled_by(world, node, history, lost))


def _filled_by(world: World, node: NodeId, history: VmHistory, lost: int) -> VmHistory:
    """Progress of an empty disk, which is only filled while few are lost."""
    if lost > tolerated(world) or _is_away(world, node):
        return replace(history, filled_at=history.filled_at + 1)
    if world.now >= history.filled_at:
        return replace(history, was_filled=True)
    return history


def _is_anyone_lost(world: World) -> bool:
    """Whether a control VM is lost, or was within the catch-up time."""
    returned = (h.returned_until > world.now for h in world.histories.values())
    return count_losses(world).vms > 0 or any(returned)


def _check_disks(world: World) -> None:
    if count_losses(world).disks > tolerated(world):
        world.has_lost_too_many = True


def _is_away(world: World, node: NodeId) -> bool:
    return world.vms[node].state is None or world.is_cut(node)


def _wanted(world: World) -> int:
    return world.site.target_voters or len(world.site.seeds)


def _change(world: World, node: NodeId, history: VmHistory) -> None:
    if world.histories.get(node) != history:
        world.histories = {**world.histories, node: history}
