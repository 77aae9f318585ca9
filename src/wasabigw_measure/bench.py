"""Benchmark of the data path.

Run it with ``python -m wasabigw_measure.bench``. It alternates rounds of a real packet
task and of a plain loop that only receives and sends on the same kind of socket, each
in a process of its own. Only the ratios within one run are comparable.
"""

import os
import platform
import statistics
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Annotated

import typer

from wasabigw_measure._bench_run import BenchSettings, Rate, Results, run

_COLUMNS = ("measure", "loop", "balancer", "ratio, median (least to most)")


def main(
    rounds: Annotated[int, typer.Option(help="Rounds of each kind.")] = 5,
    seconds: Annotated[float, typer.Option(help="Seconds of each round.")] = 0.6,
    flows: Annotated[
        int, typer.Option(help="Open flows for memory per flow.")
    ] = 300_000,
    probes: Annotated[int, typer.Option(help="Packets of a latency round.")] = 2_000,
    baseline: Annotated[
        Path | None, typer.Option(help="Source folder of the baseline version.")
    ] = None,
) -> None:
    """Run the benchmark and print its table, and one against a baseline if given."""
    results = run(BenchSettings(rounds, seconds, flows, probes), baseline)
    print(f"Machine: {os.cpu_count()} cores, Python {platform.python_version()}\n")
    for line in table(results, "loop"):
        print(line)
    if baseline is not None:
        print("\nAgainst the version before:\n")
        for line in table(results, "baseline"):
            print(line)


def table(results: Results, base_subject: str) -> list[str]:
    """Lines of a Markdown table with the ratios of the balancer to another subject."""
    lines = [
        _format_row(_COLUMNS).replace("loop", base_subject, 1),
        _format_row(["---"] * len(_COLUMNS)),
    ]
    for kind, rates in results.rates.items():
        if base_subject not in rates:
            lines.append(_single_row(kind, rates["balancer"]))
            continue
        lines.append(
            _rate_ratio_row(
                f"{kind}: packets/s", rates, base_subject, lambda r: r.per_second, 1
            )
        )
        lines.append(
            _rate_ratio_row(
                f"{kind}: us of processor",
                rates,
                base_subject,
                lambda r: r.cpu_seconds,
                1e6,
            )
        )
    for percentile_index, name in enumerate(("p50", "p99")):
        latencies = {
            subject: [pair[percentile_index] * 1e6 for pair in pairs]
            for subject, pairs in results.latencies.items()
        }
        lines.append(
            _ratio_row(
                f"latency {name}, us", latencies[base_subject], latencies["balancer"]
            )
        )
    for subject, bytes_per_flow in results.memory_per_flow.items():
        if subject in ("balancer", base_subject):
            lines.append(
                _format_row(
                    (
                        f"memory of an open flow at {results.flows} flows ({subject})",
                        "",
                        f"{bytes_per_flow:.0f} B",
                        "",
                    )
                )
            )
    for subject, longest_pause in results.gc_pauses.items():
        if subject in ("balancer", base_subject):
            title = f"longest stop by the garbage collector, ms ({subject})"
            lines.append(_format_row((title, "", f"{1e3 * longest_pause:.1f}", "")))
    return lines


def _single_row(kind: str, rates: Sequence[Rate]) -> str:
    rate = statistics.median(r.per_second for r in rates)
    cpu_seconds = statistics.median(r.cpu_seconds for r in rates)
    text = f"{rate:,.0f}/s, {1e6 * cpu_seconds:.1f} us of processor"
    return _format_row((kind, "", text, ""))


def _rate_ratio_row(
    title: str,
    rates: dict[str, list[Rate]],
    base_subject: str,
    value: Callable[[Rate], float],
    scale: float,
) -> str:
    def values_of(subject: str) -> list[float]:
        return [value(rate) * scale for rate in rates[subject]]

    return _ratio_row(title, values_of(base_subject), values_of("balancer"))


def _ratio_row(
    title: str, base_values: Sequence[float], balancer_values: Sequence[float]
) -> str:
    ratios = [
        balancer_value / base_value
        for balancer_value, base_value in zip(balancer_values, base_values, strict=True)
    ]
    spread = f"{statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"
    medians = [
        f"{statistics.median(values):,.1f}" for values in (base_values, balancer_values)
    ]
    return _format_row((title, *medians, spread))


def _format_row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    typer.run(main)
