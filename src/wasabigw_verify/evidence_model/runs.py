"""A run of a scenario, from its start to what it has shown."""

from wasabigw_verify.evidence_model.scenario import Scenario
from wasabigw_verify.evidence_model.troubles import schedule
from wasabigw_verify.evidence_model.world import Outcome, World


def run(scenario: Scenario) -> Outcome:
    """Run a scenario."""
    world = World(scenario)
    schedule(scenario.disturbances, world)
    return world.run()
