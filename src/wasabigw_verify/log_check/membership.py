"""Memberships in force, and the voters that count towards their majorities."""

from wasabigw.core.ids import NodeId
from wasabigw_verify.log_check.disk import first_incarnation
from wasabigw_verify.log_check.safety import (
    Members,
    apply_changes,
    last_committed,
    members_at,
)
from wasabigw_verify.log_check.world import Vm, World


def memberships_in_force(world: World) -> list[Members]:
    """Committed membership, and the one at the end of the newest log of a voter.

    They differ while a change of the voters is not committed; either may then be the
    one that a leader needs.
    """
    committed = members_at(world, last_committed(world))
    newest = max(world.running(), key=lambda node: _log_end(world.vms[node]))
    latest = _members_of(world.vms[newest])
    return [committed] if latest == committed else [committed, latest]


def counted(world: World, members: Members) -> set[NodeId]:
    """Voters of a membership that run and count towards its majority.

    As ``VoterSet.counts`` documents, a voter whose disk was replaced counts once it
    knows that its admission is committed; an added voter counts at once.
    """
    return {
        node
        for node in world.running()
        if _counts(node, world.vms[node], members) and not world.is_cut(node)
    }


def has_majority(world: World) -> bool:
    """Whether each membership in force has a majority of voters that count."""
    return all(
        2 * len(counted(world, members)) > len(members)
        for members in memberships_in_force(world)
    )


def tolerated_losses(world: World) -> int:
    """Number of disks that may be lost now without the loss of a majority."""
    return min(
        (len(members) - 1) // 2 - (len(members) - len(counted(world, members)))
        for members in memberships_in_force(world)
    )


def _counts(node: NodeId, vm: Vm, members: Members) -> bool:
    if members.get(node) != vm.disk.incarnation:
        return False
    return vm.disk.vote.admitted or vm.disk.incarnation == first_incarnation(node)


def _log_end(vm: Vm) -> tuple[int, int]:
    assert vm.state is not None
    return (vm.state.log.last_term, vm.state.log.last_revision)


def _members_of(vm: Vm) -> Members:
    disk = vm.disk
    members = dict(disk.snapshot.state.voters)
    for entry in disk.entries:
        apply_changes(entry.command, members)
    return members
