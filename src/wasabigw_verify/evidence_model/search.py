"""Search for scenarios with findings, shrunk to simple ones."""

from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from hypothesis import HealthCheck, Phase, given, seed, settings

from wasabigw_verify.evidence_model.callers import TagTaken
from wasabigw_verify.evidence_model.judge import Fault, Freed
from wasabigw_verify.evidence_model.runs import run
from wasabigw_verify.evidence_model.scenario import Scenario, with_tags
from wasabigw_verify.evidence_model.strategies import scenarios
from wasabigw_verify.evidence_model.world import Outcome


class FaultFoundError(Exception):
    """A scenario has a finding of the fault that is searched for."""


@dataclass(slots=True)
class Report:
    """Result of a search for one fault, or for any.

    :param runs: runs, including those of the shrinking.
    :param simplest: the last scenario with a finding; the simplest after shrinking.
    """

    runs: int = 0
    with_findings: Counter[Fault] = field(default_factory=Counter)
    freed: list[Freed] = field(default_factory=list)
    served: int = 0
    failed: int = 0
    simplest: Scenario | None = None


def search(
    examples: int,
    number: int,
    fault: Fault | None = None,
    taken: TagTaken = TagTaken.CHOSEN,
) -> Report:
    """Run scenarios, and shrink the first one with a finding of a fault.

    :param number: seed of the search.
    :param fault: the fault to search for; without it, all are counted.
    :param taken: which tag all callers return.
    """
    report = Report()

    def check(drawn: Scenario) -> None:
        scenario = with_tags(drawn, taken)
        outcome = run(scenario)
        _count(outcome, report)
        found = {finding.fault for finding in outcome.findings}
        if fault in found:
            report.simplest = scenario
            raise FaultFoundError(fault)

    wanted = [Phase.generate] if fault is None else [Phase.generate, Phase.shrink]
    limits = settings(
        max_examples=examples,
        deadline=None,
        database=None,
        phases=wanted,
        suppress_health_check=list(HealthCheck),
        print_blob=False,
        report_multiple_bugs=False,
    )
    with suppress(FaultFoundError):
        limits(seed(number)(given(scenarios)(check)))()
    return report


def _count(outcome: Outcome, report: Report) -> None:
    report.runs += 1
    report.with_findings.update({finding.fault for finding in outcome.findings})
    report.freed += outcome.freed
    report.served += outcome.served
    report.failed += outcome.failed
