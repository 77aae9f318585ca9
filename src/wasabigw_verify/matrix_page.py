"""Text of docs/faults.md."""

from collections.abc import Callable, Sequence

from wasabigw_verify.harness.faults import Fault
from wasabigw_verify.harness.steps import Step
from wasabigw_verify.matrix_cells import CellResult

INTRODUCTION = """\
# Fault matrix

Written by `make fault-matrix`; do not edit. Each row is a fault of section 1.6 of
[the design page](design.md), each column a step. The fault is injected into the
processes that take part in the step, when the step is first reached after the warm-up.
Every cell runs with a fixed seed and with traffic before, during and after the fault.
It passes if all ten promises hold in the record of the run, a change is accepted after
the fault, and at least 80% of the flows to each service that open after it are served.
"""

LIMITS = """\
## Not proved

- Each cell is one run with one seed; another order of events may fail.
- Pairs are one cell each, at steps drawn with a fixed seed, not all combinations.
- The runs drive the core, `VoterTask` and `LogApplication` over an in-memory network
  and disk. Sockets, HTTP, the Geneve codec, the fast path and the storage files have
  tests of their own and do not take part.
- All flows are TCP. Balancers and callers have one clock.
- A backend server that turns cold announces a new boot id; one that loses its caches
  without a restart is not part of the runs.
- A second fault is injected from 1.5 s after the first; more than two never occur
  together.
- Idle timeouts (300 s) do not elapse within a run of 44 s.
"""


def render(
    singles: Sequence[CellResult],
    pairs: Sequence[CellResult],
    outcome_counts: Callable[[Sequence[CellResult]], str],
) -> str:
    """Text of the page, with the table, the failed cells and the pairs."""
    parts = [
        INTRODUCTION,
        f"Single faults, {len(singles)} cells: {outcome_counts(singles)}.",
        f"Pairs of faults, {len(pairs)} cells: {outcome_counts(pairs)}.",
        "## Single faults\n",
        _table(singles),
        *_detail_section("## Cells that failed\n", "failed", [*singles, *pairs]),
        *_detail_section(
            "## Cells that can't occur\n", "can't occur", [*singles, *pairs]
        ),
        *_detail_section("## Open cells\n", "open", [*singles, *pairs]),
        "## Pairs of faults\n",
        "\n".join(f"- {v.outcome.value}: {v.cell.name}" for v in pairs),
        LIMITS,
    ]
    return "\n\n".join(part.strip("\n") for part in parts) + "\n"


def _table(singles: Sequence[CellResult]) -> str:
    outcomes = {result.cell.injections[0]: result.outcome.value for result in singles}
    lines = [
        "| fault | " + " | ".join(step.value for step in Step) + " |",
        "|---|" + "---|" * len(Step),
    ]
    for fault in Fault:
        row = " | ".join(outcomes[fault, step] for step in Step)
        lines.append(f"| {fault.value} | {row} |")
    return "\n".join(lines)


def _detail_section(
    title: str, outcome: str, results: Sequence[CellResult]
) -> list[str]:
    matching = [v for v in results if v.outcome.value == outcome]
    if not matching:
        return []
    return [title, "\n".join(f"- {v.cell.name}: {v.detail}" for v in matching)]
