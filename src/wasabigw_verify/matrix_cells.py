"""Cells of the fault matrix and their results."""

from dataclasses import dataclass
from enum import Enum

from wasabigw_verify.harness.faults import Fault
from wasabigw_verify.harness.steps import Step


class Outcome(Enum):
    """Outcome of a cell."""

    PASSED = "passed"
    FAILED = "failed"
    CANNOT_OCCUR = "can't occur"
    OPEN = "open"


@dataclass(frozen=True, slots=True)
class Cell:
    """Faults and the steps at which they are injected, in order of injection."""

    injections: tuple[tuple[Fault, Step], ...]
    seed: int

    @property
    def name(self) -> str:
        """Name of the cell in docs/faults.md and in KNOWN-RED.txt."""
        injections = ", then ".join(
            f"{f.value} at {s.value}" for f, s in self.injections
        )
        return f"{injections} (seed {self.seed})"


@dataclass(frozen=True, slots=True)
class CellResult:
    """Result of a cell.

    :param detail: first problem that was found, or why the cell can't occur.
    :param digest: checksum of the record, which is the same in each run of the cell.
    """

    cell: Cell
    outcome: Outcome
    detail: str = ""
    digest: int = 0
