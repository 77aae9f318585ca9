"""Speed of the data path: ``python -m wasabigw_measure.bench``.

Runs a real packet task in a process of its own and, in turn, a loop that only receives
and sends on the same kind of socket. Only ratios within one run mean anything.
"""

import os
import platform
import statistics
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Annotated

import typer

from wasabigw_measure._bench_run import Extent, Rate, Results, run

_COLUMNS = ("measure", "loop", "balancer", "ratio, median (least to most)")


def main(
    rounds: Annotated[int, typer.Option(help="Rounds of each kind.")] = 5,
    seconds: Annotated[float, typer.Option(help="Seconds of each round.")] = 0.6,
    flows: Annotated[int, typer.Option(help="Open flows for the memory.")] = 300_000,
    probes: Annotated[int, typer.Option(help="Packets of a latency round.")] = 2_000,
    baseline: Annotated[
        Path | None, typer.Option(help="Source folder of the version before.")
    ] = None,
) -> None:
    """Measure and print a table, with the version before if its source is given."""
    results = run(Extent(rounds, seconds, flows, probes), baseline)
    print(f"Machine: {os.cpu_count()} cores, Python {platform.python_version()}\n")
    for line in table(results, "loop"):
        print(line)
    if baseline is not None:
        print("\nAgainst the version before:\n")
        for line in table(results, "baseline"):
            print(line)


def table(results: Results, base: str) -> list[str]:
    """Markdown lines with the ratios of the balancer to another subject."""
    lines = [_line(_COLUMNS).replace("loop", base, 1), _line(["---"] * len(_COLUMNS))]
    for kind, rates in results.rates.items():
        if base not in rates:
            lines.append(_alone(kind, rates["balancer"]))
            continue
        lines.append(
            _compared(f"{kind}: packets/s", rates, base, lambda r: r.per_second, 1)
        )
        lines.append(
            _compared(f"{kind}: us of processor", rates, base, lambda r: r.cpu, 1e6)
        )
    for place, name in enumerate(("p50", "p99")):
        found = {
            subject: [pair[place] * 1e6 for pair in pairs]
            for subject, pairs in results.latencies.items()
        }
        lines.append(_row(f"latency {name}, us", found[base], found["balancer"]))
    for subject, size in results.memory.items():
        if subject in ("balancer", base):
            lines.append(
                _line(
                    (
                        f"memory of an open flow at {results.flows} flows ({subject})",
                        "",
                        f"{size:.0f} B",
                        "",
                    )
                )
            )
    for subject, longest in results.collections.items():
        if subject in ("balancer", base):
            title = f"longest stop by the garbage collector, ms ({subject})"
            lines.append(_line((title, "", f"{1e3 * longest:.1f}", "")))
    return lines


def _alone(kind: str, rates: Sequence[Rate]) -> str:
    rate = statistics.median(r.per_second for r in rates)
    cpu = statistics.median(r.cpu for r in rates)
    text = f"{rate:,.0f}/s, {1e6 * cpu:.1f} us of processor"
    return _line((kind, "", text, ""))


def _compared(
    title: str,
    rates: dict[str, list[Rate]],
    base: str,
    value: Callable[[Rate], float],
    scale: float,
) -> str:
    def of(subject: str) -> list[float]:
        return [value(rate) * scale for rate in rates[subject]]

    return _row(title, of(base), of("balancer"))


def _row(title: str, base: Sequence[float], own: Sequence[float]) -> str:
    ratios = [mine / other for mine, other in zip(own, base, strict=True)]
    spread = f"{statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"
    medians = [f"{statistics.median(values):,.1f}" for values in (base, own)]
    return _line((title, *medians, spread))


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    typer.run(main)
