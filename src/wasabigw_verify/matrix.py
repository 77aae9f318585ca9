"""Fault matrix: simulated runs with each fault at each step and with pairs of faults.

``python -m wasabigw_verify.matrix`` runs all cells, prints the page and writes it to
docs/faults.md. It exits with 1 if a cell fails that KNOWN-RED.txt does not list.
"""

import random
import sys
import zlib
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from itertools import combinations_with_replacement
from multiprocessing import get_context
from pathlib import Path

import typer
from absl import logging

from wasabigw_verify.harness.faults import INJECTORS, Fault
from wasabigw_verify.harness.run import Injection, Run
from wasabigw_verify.harness.steps import Step
from wasabigw_verify.matrix_cells import Cell, CellResult, Outcome
from wasabigw_verify.matrix_page import render

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "faults.md"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
CELL_PREFIX = "cell: "

SEED = 1
PAIR_SEED = 7
LATER_PAIR_SEED = 8
LATEST_PAIR_SEED = 9
LATER_FAULTS = frozenset(
    {
        Fault.BALANCER_FROZEN,
        Fault.DISK_STALLED,
        Fault.ONE_WAY_CUT,
        Fault.POWER_LOST,
    }
)
LATEST_FAULTS = frozenset({Fault.DISKS_FULL, Fault.VOTER_SLOW, Fault.SERVERS_ADDED})
"""Faults whose pairs, also those with earlier faults, have a seed of their own.

A fault added to the others would change the steps and seeds drawn for their pairs, and
so the names of their cells.
"""
SECOND_FAULT_DELAY = 1.5
"""Seconds from the earliest injection of the first fault of a pair to the second."""
PROCESSES = 4

CANNOT_OCCUR: dict[tuple[Fault, Step], str] = {}
"""Combinations of a fault and a step that can't occur, each with the reason."""


def single_cells() -> list[Cell]:
    """Cells with each fault at each step."""
    return [Cell(((fault, step),), SEED) for fault in Fault for step in Step]


def pair_cells() -> list[Cell]:
    """Cells with each pair of faults, also of one fault twice, at random steps.

    The seeds are fixed, so that the cells and their names stay the same.
    """
    added = LATER_FAULTS | LATEST_FAULTS
    groups = (
        ([f for f in Fault if f not in added], frozenset(Fault), PAIR_SEED),
        ([f for f in Fault if f not in LATEST_FAULTS], LATER_FAULTS, LATER_PAIR_SEED),
        (list(Fault), LATEST_FAULTS, LATEST_PAIR_SEED),
    )
    cells: list[Cell] = []
    for faults, required, seed in groups:
        pairs = combinations_with_replacement(faults, 2)
        cells += _draw_cells([p for p in pairs if not required.isdisjoint(p)], seed)
    return cells


def _draw_cells(pairs: Sequence[tuple[Fault, Fault]], seed: int) -> Iterator[Cell]:
    """Cells of pairs of faults, with steps and seeds drawn from a generator."""
    rng = random.Random(seed)
    steps = list(Step)
    for first, second in pairs:
        injections = ((first, rng.choice(steps)), (second, rng.choice(steps)))
        yield Cell(injections, rng.randrange(1, 1000))


def run_cell(cell: Cell) -> CellResult:
    """Run a cell and check its record."""
    reasons = [
        CANNOT_OCCUR[injection]
        for injection in cell.injections
        if injection in CANNOT_OCCUR
    ]
    if reasons:
        return CellResult(cell, Outcome.CANNOT_OCCUR, reasons[0])
    logging.set_verbosity(logging.FATAL)
    injections = [
        Injection(INJECTORS[fault], step, position * SECOND_FAULT_DELAY)
        for position, (fault, step) in enumerate(cell.injections)
    ]
    run = Run(cell.seed, injections)
    problems = run.execute()
    digest = zlib.crc32(repr(run.simulation.record).encode())
    if problems:
        return CellResult(cell, Outcome.FAILED, problems[0], digest)
    return CellResult(cell, Outcome.PASSED, "", digest)


def run_cells(cells: Sequence[Cell]) -> list[CellResult]:
    """Run cells in several processes and return the results in the same order."""
    context = get_context("spawn")
    with ProcessPoolExecutor(PROCESSES, mp_context=context) as pool:
        return list(pool.map(run_cell, cells, chunksize=4))


def known_red() -> frozenset[str]:
    """Names of the cells that KNOWN-RED.txt lists as failing."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    cells = (line for line in lines if line.startswith(CELL_PREFIX))
    return frozenset(line.removeprefix(CELL_PREFIX).strip() for line in cells)


def unexpected_failures(results: Sequence[CellResult]) -> list[CellResult]:
    """Results of the cells that failed and are not listed in KNOWN-RED.txt."""
    listed = known_red()
    failed = [v for v in results if v.outcome is Outcome.FAILED]
    return [result for result in failed if result.cell.name not in listed]


def outcome_counts(results: Sequence[CellResult]) -> str:
    """Number of cells with each outcome, as text."""
    counts = [(o, sum(v.outcome is o for v in results)) for o in Outcome]
    return ", ".join(f"{number} {outcome.value}" for outcome, number in counts)


def make_page(singles: Sequence[CellResult], pairs: Sequence[CellResult]) -> str:
    """Text of docs/faults.md."""
    return render(singles, pairs, outcome_counts)


def main() -> None:
    """Run all cells of the fault matrix and write docs/faults.md."""
    results = run_cells([*single_cells(), *pair_cells()])
    singles = results[: len(single_cells())]
    page = make_page(singles, results[len(singles) :])
    PAGE.write_text(page, encoding="utf-8")
    print(page)
    print(f"{len(results)} cells: {outcome_counts(results)}")
    failures = unexpected_failures(results)
    for result in failures:
        print(f"FAILED {result.cell.name}: {result.detail}")
    sys.exit(bool(failures))


if __name__ == "__main__":
    typer.run(main)
