"""Work out the capacity page: ``python -m wasabigw_measure.capacity``.

Measures slopes on this machine with the real code, applies the formulas of the page
at the target size, and writes docs/CAPACITY.md and docs/capacity-results.json.
"""

from pathlib import Path
from typing import Annotated

import typer
from absl import logging

from wasabigw_measure import _capacity_page as page
from wasabigw_measure._capacity_model import Budget, Target
from wasabigw_measure._capacity_rows import rows
from wasabigw_measure._capacity_run import Extent, measure


def main(
    largest: Annotated[
        float, typer.Option(help="Share of the target that the sweep ends with.")
    ] = 1.0,
    flows: Annotated[
        int, typer.Option(help="Flow records and cached bindings in memory.")
    ] = 300_000,
    calls: Annotated[int, typer.Option(help="HTTP exchanges of each kind.")] = 500,
    unit: Annotated[int, typer.Option(help="Things of the memory slopes.")] = 1_000,
    docs: Annotated[
        Path | None, typer.Option(help="Folder of CAPACITY.md; prints only if missing.")
    ] = None,
) -> None:
    """Measure, print the tables, and write them if a folder is given."""
    logging.set_verbosity(logging.ERROR)
    measured = measure(Target(), Extent(largest, flows, calls, unit))
    found = rows(measured, Budget())
    print(page.section(measured, found))
    if docs is not None:
        page.write(docs, measured, found)


if __name__ == "__main__":
    typer.run(main)
