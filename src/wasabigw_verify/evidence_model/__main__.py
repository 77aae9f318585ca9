"""Command of the model: ``python -m wasabigw_verify.evidence_model``."""

import sys
from typing import Annotated

import typer

from wasabigw_verify.evidence_model.callers import TagTaken
from wasabigw_verify.evidence_model.judge import Fault
from wasabigw_verify.evidence_model.runs import run
from wasabigw_verify.evidence_model.search import Report, search
from wasabigw_verify.evidence_model.waits import run_deaths


def main(
    examples: Annotated[int, typer.Option(help="Scenarios to run.")] = 1000,
    seed: Annotated[int, typer.Option(help="Seed of the search.")] = 1,
    fault: Annotated[
        str, typer.Option(help="Shrink a scenario with this fault, such as LOST.")
    ] = "",
    latest_tag: Annotated[
        bool, typer.Option(help="Callers return the tag of the latest answer.")
    ] = False,
    trace: Annotated[bool, typer.Option(help="Print the packets of it.")] = False,
    deaths: Annotated[
        int, typer.Option(help="Print how long callers of dead servers wait.")
    ] = 0,
) -> None:
    """Search for flows of live backend servers that are reset or steered elsewhere."""
    if deaths:
        print(run_deaths(deaths, seed))
        return
    taken = TagTaken.LATEST if latest_tag else TagTaken.CHOSEN
    report = search(examples, seed, Fault[fault] if fault else None, taken)
    _print_counts(report)
    if report.simplest is not None:
        outcome = run(report.simplest)
        print(report.simplest)
        print(*outcome.findings, sep="\n")
        print(*(outcome.trace if trace else ()), sep="\n")
    sys.exit(bool(report.with_findings))


def _print_counts(report: Report) -> None:
    print(f"{report.runs} runs, {report.served} flows served, {report.failed} failed")
    for fault, count in report.with_findings.items():
        print(f"{fault.name}: {count} runs")


if __name__ == "__main__":
    typer.run(main)
