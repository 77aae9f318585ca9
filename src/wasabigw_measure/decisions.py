"""Compare the project's routing decisions under load and faults with baselines.

Run it with ``python -m wasabigw_measure.decisions``. It prints a Markdown table for
each deployment and asserts nothing.
"""

import random
import statistics
import sys
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor

from wasabigw_measure._decisions_runs import SCENARIOS, Job, RunResult, measure
from wasabigw_measure._decisions_world import SCHEMES
from wasabigw_verify.sessions.deployments import DEPLOYMENTS

SEEDS = (1, 2, 3)
WORKERS = 3
POLL_PERIOD = 2.0
"""Seconds between polls of a balancer that fetches its configuration by polling.

The "plain" columns of the table assume this way of distribution.
"""

Results = dict[Job, RunResult]
RowSpec = tuple[str, Callable[[list[RunResult]], float], str, str]


def _percentage(part: float, whole: float) -> float:
    return 100 * part / whole if whole else 0.0


def _broken_percentage(results: list[RunResult]) -> float:
    return _percentage(
        sum(f.broken_flows for f in results), sum(f.flows for f in results)
    )


def _imbalance(service_index: int) -> Callable[[list[RunResult]], float]:
    return lambda results: statistics.fmean(
        sample for f in results for sample in f.imbalance[service_index]
    )


def _answered_percentage(group: str) -> Callable[[list[RunResult]], float]:
    return lambda results: _percentage(
        sum(f.requests_answered.get(group, 0) for f in results),
        sum(f.requests_sent.get(group, 0) for f in results),
    )


def _longest_gap(group: str) -> Callable[[list[RunResult]], float]:
    return lambda results: max(f.longest_gaps.get(group, 0.0) for f in results)


def _overloaded_percentage(results: list[RunResult]) -> float:
    return _percentage(
        sum(f.overloaded_openings for f in results),
        sum(f.observed_openings for f in results),
    )


def _max_cold_load(results: list[RunResult]) -> float:
    return max(f.max_cold_load for f in results)


def _mean_control_rate(results: list[RunResult]) -> float:
    return statistics.fmean(f.control_rate for f in results)


def _rows() -> Iterable[RowSpec]:
    """Rows of a table as title, measure, scenario and format specification."""
    yield "broken flows %, planned changes", _broken_percentage, "planned", ".2f"
    yield "broken flows %, crashes", _broken_percentage, "crashes", ".2f"
    for scenario in ("planned", "rush"):
        yield f"imbalance, first service, {scenario}", _imbalance(0), scenario, ".2f"
        yield f"imbalance, second service, {scenario}", _imbalance(1), scenario, ".2f"
    for scenario in SCENARIOS:
        title = f"openings above what a backend server bears %, {scenario}"
        yield title, _overloaded_percentage, scenario, ".2f"
    yield "most load of a cold backend server / bearable", _max_cold_load, "rush", ".2f"
    for group in ("reservations", "reads", "second"):
        title = f"requests answered %, {group}"
        yield f"{title}, domain", _answered_percentage(group), "domain", ".2f"
        yield f"longest gap s, {group}, domain", _longest_gap(group), "domain", ".2f"
    for scenario in ("planned", "crashes", "rush"):
        title = f"requests answered %, reservations, {scenario}"
        yield title, _answered_percentage("reservations"), scenario, ".2f"
    for scenario in SCENARIOS:
        yield f"control B/s per node, {scenario}", _mean_control_rate, scenario, ".0f"


def _print_table(number: int, results: Results) -> None:
    print(f"\n{DEPLOYMENTS[number].team}\n")
    print(f"| measure | {' | '.join(SCHEMES)} | project / hash modulo |")
    print("| --- " * (len(SCHEMES) + 2) + "|")
    for title, measure_value, scenario, format_spec in _rows():
        values = [
            measure_value(
                [results[Job(number, scheme, scenario, seed)] for seed in SEEDS]
            )
            for scheme in SCHEMES
        ]
        ratio = f"{values[0] / values[1]:.2f}" if values[1] else "-"
        cells = " | ".join(format(v, format_spec) for v in values)
        print(f"| {title} | {cells} | {ratio} |")


def _print_in_force_delays(results: Results) -> None:
    print(
        "\nSeconds from the first sending of a change until it is in force everywhere"
    )
    print("\n| runs | changes | median | maximum | plain median | plain maximum |")
    print("| --- " * 6 + "|")
    for scenario in ("planned", "crashes", "domain"):
        selected = [
            f
            for job, f in results.items()
            if (job.scenario, job.scheme) == (scenario, "project")
        ]
        in_force = [seconds for f in selected for seconds in f.in_force_delays]
        polled = [
            seconds + _last_poll_delay(f.balancers, index)
            for f in selected
            for index, seconds in enumerate(f.commit_delays)
        ]
        cells = (
            len(in_force),
            *_median_and_maximum(in_force),
            *_median_and_maximum(polled),
        )
        print(f"| {scenario} | " + " | ".join(str(cell) for cell in cells) + " |")


def _median_and_maximum(values: list[float]) -> tuple[str, str]:
    return f"{statistics.median(values):.3f}", f"{max(values):.3f}"


def _last_poll_delay(balancers: int, seed: int) -> float:
    """Seconds until all balancers have polled, each with a random phase."""
    generator = random.Random(seed)
    return max(generator.uniform(0, POLL_PERIOD) for _ in range(balancers))


def main() -> int:
    """Run all jobs in parallel and print the tables."""
    jobs = [
        Job(number, scheme, scenario, seed)
        for number in range(len(DEPLOYMENTS))
        for scheme in SCHEMES
        for scenario in SCENARIOS
        for seed in SEEDS
    ]
    with ProcessPoolExecutor(WORKERS) as pool:
        results = dict(zip(jobs, pool.map(measure, jobs), strict=True))
    for number in range(len(DEPLOYMENTS)):
        _print_table(number, results)
    _print_in_force_delays(results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
