"""Command of the check: ``python -m wasabigw_verify.log_check --bound long``."""

import sys
from enum import Enum
from typing import Annotated

import typer

from wasabigw_verify.log_check.explore import MAX_STATES, Finding, Report, Search
from wasabigw_verify.log_check.scenario import Scenario
from wasabigw_verify.log_check.scenarios import LONG, SHORT
from wasabigw_verify.log_check.trace import describe


class Bound(Enum):
    """Which scenarios are explored."""

    SHORT = "short"
    LONG = "long"


_SCENARIOS = {Bound.SHORT: SHORT, Bound.LONG: LONG}
_FOLLOWING_STEPS = 40


def main(
    bound: Annotated[
        Bound, typer.Option(help="short: the bound of CI; long: a run by hand.")
    ] = Bound.SHORT,
    max_states: Annotated[
        int, typer.Option(help="States of one scenario after which its search ends.")
    ] = MAX_STATES,
    only: Annotated[
        int | None, typer.Option(help="Number of the only scenario to explore.")
    ] = None,
    trace: Annotated[
        bool, typer.Option(help="Print the steps that lead to each finding.")
    ] = False,
) -> None:
    """Explore the scenarios, print the results, and exit with 1 after a finding."""
    reports: list[Report] = []
    print("| scenario | faults | states | steps | depth | time | without a leader |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for number, scenario in enumerate(_SCENARIOS[bound], start=1):
        if only is None or only == number:
            reports.append(Search(scenario, max_states).run())
            _print_report(number, scenario, reports[-1], trace)
    sys.exit(any(report.findings for report in reports))


def _print_report(number: int, scenario: Scenario, report: Report, trace: bool) -> None:
    budget = scenario.budget
    faults = (
        f"{budget.outages} outages, {budget.messages} messages, "
        f"{budget.timers} timers, {budget.snapshots} snapshots"
    )
    states = f"{report.states:,}{'' if report.is_complete else ' (incomplete)'}"
    print(
        f"| {number}. {scenario.name} | {faults} | {states} | {report.steps:,} "
        f"| {report.depth} | {report.seconds:.0f} s | {report.longest:.2f} s |",
        flush=True,
    )
    for finding in report.findings:
        _print_finding(scenario, finding, trace)


def _print_finding(scenario: Scenario, finding: Finding, trace: bool) -> None:
    order = ", ".join(finding.order)
    print(f"FOUND after {len(finding.steps)} steps, order {order}: {finding.reason}")
    for fault in finding.faults:
        print(f"  step {finding.steps.index(fault) + 1}: {fault}")
    if trace:
        lines = describe(scenario, finding.order, finding.steps, _FOLLOWING_STEPS)
        for line in lines:
            print(f"  {line}")


if __name__ == "__main__":
    typer.run(main)
