"""Search for the scenarios that find planted faults."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from wasabigw_verify.evidence_model.runs import run
from wasabigw_verify.evidence_model.scenario import Scenario
from wasabigw_verify.planted_faults import PlantedFault, planted


@dataclass(frozen=True, slots=True)
class Detection:
    """Result of a search for a planted fault.

    :param runs: scenarios that were run with the fault.
    :param scenario: the last of them, if it finds the fault; else ``None``.
    """

    fault: PlantedFault
    runs: int
    scenario: Scenario | None


def scenarios_that_hold(drawn: Iterable[Scenario]) -> list[Scenario]:
    """Those in which the code as it is has no finding."""
    return [scenario for scenario in drawn if not run(scenario).findings]


def detect(fault: PlantedFault, scenarios: Sequence[Scenario]) -> Detection:
    """Run scenarios with a fault until one has a finding.

    :param scenarios: scenarios in which the code as it is has none.
    """
    with planted(fault):
        for number, scenario in enumerate(scenarios, start=1):
            if run(scenario).findings:
                return Detection(fault, number, scenario)
    return Detection(fault, len(scenarios), None)
