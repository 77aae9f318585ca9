"""Cells of the fault matrix and how they ended."""

from dataclasses import dataclass
from enum import Enum

from wasabigw_verify.harness.faults import Fault
from wasabigw_verify.harness.steps import Step


class Outcome(Enum):
    """How a cell ended."""

    PASSED = "passed"
    FAILED = "failed"
    CANNOT_OCCUR = "can't occur"
    OPEN = "open"


@dataclass(frozen=True, slots=True)
class Cell:
    """Faults and the steps at which they are injected, in this order."""

    injections: tuple[tuple[Fault, Step], ...]
    seed: int

    @property
    def name(self) -> str:
        """Name in the page and in KNOWN-RED.txt."""
        injections = ", then ".join(
            f"{f.value} at {s.value}" for f, s in self.injections
        )
        return f"{injections} (seed {self.seed})"


@dataclass(frozen=True, slots=True)
class CellResult:
    """Outcome of a cell.

    :param detail: first thing that went wrong, or why the cell can't occur.
    :param digest: of the record, equal in each run of the cell.
    """

    cell: Cell
    outcome: Outcome
    detail: str = ""
    digest: int = 0
