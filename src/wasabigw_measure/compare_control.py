"""Control costs against another version of the source.

Run it with ``python -m wasabigw_measure.compare_control --baseline FOLDER``.

Runs the measurements of both versions in turn, each in a process of its own, and
prints the ratios of this version to the other one.
"""

import json
import os
import statistics
import subprocess
import sys
from pathlib import Path
from typing import Annotated

import typer
from absl import logging

from wasabigw_measure._capacity_control import measure_snapshot
from wasabigw_measure._capacity_entries import measure_size
from wasabigw_measure._capacity_memory import measure_state
from wasabigw_measure._capacity_model import Target

MEMORY_UNIT = 500
_THIS = "wasabigw_measure.compare_control"


def costs(share: float) -> dict[str, float]:
    """Costs of the running version at a share of the target size."""
    target = Target().scaled(share)
    size, snapshot = measure_size(target), measure_snapshot(target)
    memory = measure_state(MEMORY_UNIT)
    found = {
        "upkeep tick": size.tick,
        "ping tick": size.ping,
        "take over a snapshot": size.load,
        "copy the state at a voter": size.copy,
        "bytes of a snapshot": float(snapshot.size),
        "encode a snapshot": snapshot.encode,
        "decode a snapshot": snapshot.decode,
        "memory of a service": memory.service,
        "memory of a backend server": memory.server,
        "derived memory of a service": memory.derived_service,
        "derived memory of a backend server": memory.derived_server,
    }
    for kind, cost in size.entries.items():
        found[f"voter: {kind}"] = cost.voter
        found[f"balancer: {kind}"] = cost.balancer
    return found


def ratios(
    pairs: list[tuple[dict[str, float], dict[str, float]]],
) -> dict[str, list[float]]:
    """Ratios of the first to the second costs of each round, by cost."""
    return {
        name: [own[name] / other[name] for own, other in pairs]
        for name in pairs[0][0]
        if all(other[name] for _, other in pairs)
    }


def _measured(source: Path | None, share: float) -> dict[str, float]:
    environment = dict(os.environ)
    if source is not None:
        environment["PYTHONPATH"] = str(source)
    command = [sys.executable, "-m", _THIS, "--share", str(share), "--raw"]
    done = subprocess.run(
        command, env=environment, capture_output=True, text=True, check=True
    )
    found: dict[str, float] = json.loads(done.stdout)
    return found


def main(
    baseline: Annotated[
        Path | None, typer.Option(help="Source folder of the other version.")
    ] = None,
    share: Annotated[float, typer.Option(help="Share of the target size.")] = 0.5,
    rounds: Annotated[int, typer.Option(help="Rounds of both versions.")] = 3,
    raw: Annotated[bool, typer.Option(help="Print this version as JSON.")] = False,
) -> None:
    """Print the ratios, or the costs of this version as JSON."""
    logging.set_verbosity(logging.ERROR)
    if raw or baseline is None:
        print(json.dumps(costs(share)))
        return
    pairs = [
        (_measured(None, share), _measured(baseline, share)) for _ in range(rounds)
    ]
    print("| cost | before | after | ratio, median (least to most) |")
    print("|---|---|---|---|")
    for name, found in ratios(pairs).items():
        own, other = (
            statistics.median(p[place][name] for p in pairs) for place in (0, 1)
        )
        middle = statistics.median(found)
        spread = f"{middle:.3f} ({min(found):.3f} to {max(found):.3f})"
        print(f"| {name} | {other:.4g} | {own:.4g} | {spread} |")


if __name__ == "__main__":
    typer.run(main)
