"""Generate the capacity page.

Run it with ``python -m wasabigw_measure.capacity``. It measures on this computer how
costs grow with the size of a cluster, applies the formulas of the page at the target
size, and writes docs/CAPACITY.md and docs/capacity-results.json.
"""

from pathlib import Path
from typing import Annotated

import typer
from absl import logging

from wasabigw_measure import _capacity_page as page
from wasabigw_measure._capacity_model import Budget, Target
from wasabigw_measure._capacity_rows import make_rows
from wasabigw_measure._capacity_run import MeasurementSettings, measure


def main(
    largest: Annotated[
        float, typer.Option(help="Share of the target that the sweep ends with.")
    ] = 1.0,
    flows: Annotated[
        int, typer.Option(help="Flow records and cached bindings in memory.")
    ] = 300_000,
    calls: Annotated[int, typer.Option(help="HTTP exchanges of each kind.")] = 500,
    unit: Annotated[
        int, typer.Option(help="Items that are added to measure memory.")
    ] = 1_000,
    docs: Annotated[
        Path | None, typer.Option(help="Folder of CAPACITY.md; without it, only print.")
    ] = None,
) -> None:
    """Measure, print the tables and, if a folder is given, write them."""
    logging.set_verbosity(logging.ERROR)
    measured = measure(Target(), MeasurementSettings(largest, flows, calls, unit))
    rows = make_rows(measured, Budget())
    print(page.render_section(measured, rows))
    if docs is not None:
        page.write_results(docs, measured, rows)


if __name__ == "__main__":
    typer.run(main)
