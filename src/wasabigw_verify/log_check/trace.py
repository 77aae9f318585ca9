"""Readable trace of the steps that lead to a finding."""

from collections.abc import Iterator

from wasabigw.core.ids import NodeId
from wasabigw_verify.log_check.safety import SafetyError
from wasabigw_verify.log_check.scenario import Scenario, initial_world
from wasabigw_verify.log_check.steps import Continue, Step
from wasabigw_verify.log_check.transitions import take
from wasabigw_verify.log_check.world import Flight, World


def describe(
    scenario: Scenario,
    order: tuple[NodeId, ...],
    steps: tuple[Step, ...],
    following: int = 0,
) -> Iterator[str]:
    """Lines that describe a run.

    :param following: number of regular steps that are taken after the others.
    """
    world = initial_world(scenario, order)
    for step in (*steps, *(Continue() for _ in range(following))):
        yield _describe_step(world, step)
        try:
            take(step, world, scenario.script)
        except SafetyError as error:
            yield f"{world.time:.2f} s: violated: {error}"
            return
        if isinstance(step, Continue) and world.flights:
            continue
        yield _describe_voters(world)


def _describe_step(world: World, step: Step) -> str:
    if not isinstance(step, Continue):
        return f"{world.time:.2f} s: fault: {step}"
    if not world.flights:
        return f"{world.time:.2f} s: a tick passes"
    return f"{world.time:.2f} s: {_describe_flight(world.flights[0])}"


def _describe_flight(flight: Flight) -> str:
    envelope = flight.envelope
    return (
        f"{envelope.sender} to {flight.recipient}, term {envelope.term}: "
        f"{envelope.body}"
    )


def _describe_voters(world: World) -> str:
    return "  " + "; ".join(
        f"{node} {_describe_voter(world, node)}" for node in world.running()
    )


def _describe_voter(world: World, node: NodeId) -> str:
    state = world.state(node)
    members = ",".join(sorted(state.latest_voters().members))
    return (
        f"{state.role.value} term {state.term} log {state.log.last_revision} "
        f"committed {state.committed} voters {members}"
    )
