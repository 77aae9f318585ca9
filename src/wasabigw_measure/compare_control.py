"""Compare the control costs of this version with those of another version.

Run it with ``python -m wasabigw_measure.compare_control --baseline FOLDER``. It runs
the measurements of the two versions alternately, each in a process of its own, and
prints the ratios of this version to the other one. The names of the costs stay
compatible, because both versions must report the same names.
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
_MODULE = "wasabigw_measure.compare_control"


def measure_costs(share: float) -> dict[str, float]:
    """Measure the costs of the running version at a share of the target size."""
    target = Target().scaled(share)
    size, snapshot = measure_size(target), measure_snapshot(target)
    memory = measure_state(MEMORY_UNIT)
    measured = {
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
        measured[f"voter: {kind}"] = cost.voter
        measured[f"balancer: {kind}"] = cost.balancer
    return measured


def ratios(
    pairs: list[tuple[dict[str, float], dict[str, float]]],
) -> dict[str, list[float]]:
    """Ratios of the first to the second version in each round, by name of the cost.

    Costs that are zero in the second version are left out.
    """
    return {
        name: [
            this_version[name] / other_version[name]
            for this_version, other_version in pairs
        ]
        for name in pairs[0][0]
        if all(other_version[name] for _, other_version in pairs)
    }


def _run_version(source: Path | None, share: float) -> dict[str, float]:
    environment = dict(os.environ)
    if source is not None:
        environment["PYTHONPATH"] = str(source)
    command = [sys.executable, "-m", _MODULE, "--share", str(share), "--raw"]
    done = subprocess.run(
        command, env=environment, capture_output=True, text=True, check=True
    )
    measured: dict[str, float] = json.loads(done.stdout)
    return measured


def main(
    baseline: Annotated[
        Path | None, typer.Option(help="Source folder of the other version.")
    ] = None,
    share: Annotated[float, typer.Option(help="Share of the target size.")] = 0.5,
    rounds: Annotated[int, typer.Option(help="Rounds of both versions.")] = 3,
    raw: Annotated[bool, typer.Option(help="Print this version as JSON.")] = False,
) -> None:
    """Print the ratios or, without a baseline, the costs of this version as JSON."""
    logging.set_verbosity(logging.ERROR)
    if raw or baseline is None:
        print(json.dumps(measure_costs(share)))
        return
    pairs = [
        (_run_version(None, share), _run_version(baseline, share))
        for _ in range(rounds)
    ]
    print("| cost | before | after | ratio, median (least to most) |")
    print("|---|---|---|---|")
    for name, version_ratios in ratios(pairs).items():
        this_version, other_version = (
            statistics.median(p[index][name] for p in pairs) for index in (0, 1)
        )
        median = statistics.median(version_ratios)
        spread = (
            f"{median:.3f} ({min(version_ratios):.3f} to {max(version_ratios):.3f})"
        )
        print(f"| {name} | {other_version:.4g} | {this_version:.4g} | {spread} |")


if __name__ == "__main__":
    typer.run(main)
