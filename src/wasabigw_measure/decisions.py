"""Decisions under load and faults against baselines: ``python -m``.

Prints a Markdown table for each deployment; nothing is asserted.
"""

import random
import statistics
import sys
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor

from wasabigw_measure._decisions_runs import KINDS, Figures, Job, measure
from wasabigw_measure._decisions_world import SCHEMES
from wasabigw_verify.sessions.deployments import DEPLOYMENTS

SEEDS = (1, 2, 3)
WORKERS = 3
POLL_PERIOD = 2.0
"""Seconds between two polls of the plain distribution of a configuration."""

Runs = dict[Job, Figures]
Row = tuple[str, Callable[[list[Figures]], float], str, str]


def _percent(part: float, whole: float) -> float:
    return 100 * part / whole if whole else 0.0


def _broken(found: list[Figures]) -> float:
    return _percent(sum(f.broken for f in found), sum(f.flows for f in found))


def _imbalance(place: int) -> Callable[[list[Figures]], float]:
    return lambda found: statistics.fmean(
        sample for f in found for sample in f.imbalance[place]
    )


def _served(group: str) -> Callable[[list[Figures]], float]:
    return lambda found: _percent(
        sum(f.answered.get(group, 0) for f in found),
        sum(f.sent.get(group, 0) for f in found),
    )


def _gap(group: str) -> Callable[[list[Figures]], float]:
    return lambda found: max(f.gaps.get(group, 0.0) for f in found)


def _over(found: list[Figures]) -> float:
    return _percent(sum(f.over for f in found), sum(f.openings for f in found))


def _cold(found: list[Figures]) -> float:
    return max(f.cold_load for f in found)


def _control(found: list[Figures]) -> float:
    return statistics.fmean(f.control for f in found)


def _rows() -> Iterable[Row]:
    """Title, measure, kind of run and format of each row."""
    yield "broken flows %, planned changes", _broken, "planned", ".2f"
    yield "broken flows %, crashes", _broken, "crashes", ".2f"
    for kind in ("planned", "rush"):
        yield f"imbalance, first service, {kind}", _imbalance(0), kind, ".2f"
        yield f"imbalance, second service, {kind}", _imbalance(1), kind, ".2f"
    for kind in KINDS:
        title = f"openings above what a backend server bears %, {kind}"
        yield title, _over, kind, ".2f"
    yield "most load of a cold backend server / bearable", _cold, "rush", ".2f"
    for group in ("reservations", "reads", "second"):
        title = f"requests answered %, {group}"
        yield f"{title}, domain", _served(group), "domain", ".2f"
        yield f"longest gap s, {group}, domain", _gap(group), "domain", ".2f"
    for kind in ("planned", "crashes", "rush"):
        title = f"requests answered %, reservations, {kind}"
        yield title, _served("reservations"), kind, ".2f"
    for kind in KINDS:
        yield f"control B/s per node, {kind}", _control, kind, ".0f"


def _print_table(number: int, runs: Runs) -> None:
    print(f"\n{DEPLOYMENTS[number].team}\n")
    print(f"| measure | {' | '.join(SCHEMES)} | project / hash modulo |")
    print("| --- " * (len(SCHEMES) + 2) + "|")
    for title, value, kind, form in _rows():
        values = [
            value([runs[Job(number, scheme, kind, seed)] for seed in SEEDS])
            for scheme in SCHEMES
        ]
        ratio = f"{values[0] / values[1]:.2f}" if values[1] else "-"
        cells = " | ".join(format(v, form) for v in values)
        print(f"| {title} | {cells} | {ratio} |")


def _print_in_force(runs: Runs) -> None:
    print(
        "\nSeconds from the first sending of a change until it is in force everywhere"
    )
    print("\n| runs | changes | median | maximum | plain median | plain maximum |")
    print("| --- " * 6 + "|")
    for kind in ("planned", "crashes", "domain"):
        found = [
            f for job, f in runs.items() if (job.kind, job.scheme) == (kind, "project")
        ]
        took = [seconds for f in found for seconds in f.in_force]
        plain = [
            seconds + _last_poll(f.balancers, index)
            for f in found
            for index, seconds in enumerate(f.committed)
        ]
        cells = (len(took), *_spread(took), *_spread(plain))
        print(f"| {kind} | " + " | ".join(str(cell) for cell in cells) + " |")


def _spread(values: list[float]) -> tuple[str, str]:
    return f"{statistics.median(values):.3f}", f"{max(values):.3f}"


def _last_poll(balancers: int, seed: int) -> float:
    """When the last of some balancers with drawn phases polls."""
    draw = random.Random(seed)
    return max(draw.uniform(0, POLL_PERIOD) for _ in range(balancers))


def main() -> int:
    """Make all runs and print the tables."""
    jobs = [
        Job(number, scheme, kind, seed)
        for number in range(len(DEPLOYMENTS))
        for scheme in SCHEMES
        for kind in KINDS
        for seed in SEEDS
    ]
    with ProcessPoolExecutor(WORKERS) as pool:
        runs = dict(zip(jobs, pool.map(measure, jobs), strict=True))
    for number in range(len(DEPLOYMENTS)):
        _print_table(number, runs)
    _print_in_force(runs)
    return 0


if __name__ == "__main__":
    sys.exit(main())
