"""Scenarios: voters, what happens to them in every run, and the faults besides."""

from dataclasses import dataclass

from wasabigw.core.ids import NodeId
from wasabigw_verify.log_check.disk import (
    first_incarnation,
    make_empty_disk,
    make_founder_disk,
)
from wasabigw_verify.log_check.faults import Budget, FaultKinds
from wasabigw_verify.log_check.steps import (
    ScriptedStep,
)
from wasabigw_verify.log_check.vm_losses import record_start
from wasabigw_verify.log_check.world import (
    Site,
    Vm,
    VmHistory,
    World,
    load_state,
)

A, B, C, D, E = (NodeId(name) for name in "abcde")
DOMAINS = {A: "recife", B: "fortaleza", C: "salvador", D: "recife", E: "fortaleza"}


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is explored.

    :param orders: orders of the election timeouts that are explored.
    :param seeds: voters that found the cluster, which the settings name.
    :param started: control VMs that run from the start.
    :param script: steps that every run takes, in the order of their ticks.
    """

    name: str
    orders: tuple[tuple[NodeId, ...], ...]
    seeds: tuple[NodeId, ...]
    target_voters: int | None
    started: tuple[NodeId, ...]
    script: tuple[ScriptedStep, ...]
    budget: Budget
    kinds: FaultKinds


def initial_world(scenario: Scenario, order: tuple[NodeId, ...]) -> World:
    """State at the start of a scenario."""
    site = Site(order, scenario.seeds, scenario.target_voters, DOMAINS)
    voters = {node: first_incarnation(node) for node in scenario.seeds}
    places = {node: site.place(node) for node in scenario.seeds}
    known = {node: place for node, place in places.items() if place is not None}
    world = World(site, voters, {}, script_length=len(scenario.script))
    for node in sorted(order):
        disk = (
            make_founder_disk(node, voters, known)
            if node in scenario.seeds
            else make_empty_disk(first_incarnation(node), node not in scenario.started)
        )
        world.vms[node] = Vm(disk)
    founder = VmHistory(was_filled=True, filled_at=0)
    world.histories = dict.fromkeys(scenario.seeds, founder)
    for node in scenario.started:
        record_start(world, node)
        state = load_state(world, node, world.vms[node].disk)
        world.vms[node] = Vm(world.vms[node].disk, state)
    return world
