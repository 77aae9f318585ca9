"""Sets of scenarios that a search draws from."""

from enum import Enum

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis.strategies import SearchStrategy

from wasabigw_verify.evidence_model.aimed import aimed_scenarios
from wasabigw_verify.evidence_model.large_worlds import large_scenarios
from wasabigw_verify.evidence_model.scenario import Scenario
from wasabigw_verify.evidence_model.strategies import scenarios


class Worlds(Enum):
    """Kinds of scenarios."""

    SMALL = "small"
    LARGE = "large"
    AIMED = "aimed"


STRATEGIES: dict[Worlds, SearchStrategy[Scenario]] = {
    Worlds.SMALL: scenarios,
    Worlds.LARGE: large_scenarios,
    Worlds.AIMED: aimed_scenarios,
}


def draw_scenarios(worlds: Worlds, count: int, number: int) -> list[Scenario]:
    """Draw scenarios.

    :param number: seed of the draws.
    """
    drawn: list[Scenario] = []

    def keep(scenario: Scenario) -> None:
        drawn.append(scenario)

    limits = settings(
        max_examples=count,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    limits(seed(number)(given(STRATEGIES[worlds])(keep)))()
    return drawn
