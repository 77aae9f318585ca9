"""``python -m wasabigw_demo``: run the demonstration, or faults, on loopback."""

import tempfile
from pathlib import Path
from typing import Annotated

import typer

from wasabigw.core.ids import Seconds
from wasabigw_demo.faults import run_faults, scenario_names
from wasabigw_demo.launcher import DemoOptions, run_demo
from wasabigw_demo.soak.deployment import Shape, Source
from wasabigw_demo.soak.soak import SoakOptions, run_soak

SOAK_FOLDER = Path(tempfile.gettempdir()) / "wasabigw-soak"

application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@application.callback(invoke_without_command=True)
def demo(
    context: typer.Context,
    seed: Annotated[int, typer.Option(help="Seed of the stand-ins.")] = 1,
    drop: Annotated[float, typer.Option(help="Fraction of packets to drop.")] = 0.0,
    duplicate: Annotated[
        float, typer.Option(help="Fraction of packets to duplicate.")
    ] = 0.0,
    delay: Annotated[float, typer.Option(help="Maximum delay in seconds.")] = 0.0,
    keep: Annotated[bool, typer.Option(help="Keep the temporary folder.")] = False,
) -> None:
    """Start all processes, inject faults, and print what callers observed."""
    if context.invoked_subcommand is None:
        options = DemoOptions(seed, drop, duplicate, delay, keep)
        raise typer.Exit(run_demo(options))


@application.command()
def faults(
    names: Annotated[
        list[str] | None, typer.Argument(help="Scenarios; all if none is named.")
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of the stand-ins.")] = 1,
    keep: Annotated[bool, typer.Option(help="Keep the temporary folders.")] = False,
) -> None:
    """Inject faults while traffic is running, and check the records."""
    unknown = sorted({*(names or ())} - {*scenario_names()})
    if unknown:
        known = ", ".join(scenario_names())
        raise typer.BadParameter(f"unknown {', '.join(unknown)}; use any of {known}")
    raise typer.Exit(run_faults(names or (), seed, keep))


@application.command()
def soak(
    seeds: Annotated[str, typer.Option(help="A seed, or a range as 1-50.")] = "1",
    balancers: Annotated[int, typer.Option(help="Number of balancers.")] = 24,
    controls: Annotated[int, typer.Option(help="Number of control VMs.")] = 6,
    servers: Annotated[
        int, typer.Option(help="Backend servers of each of the five services.")
    ] = 6,
    length: Annotated[
        float, typer.Option(help="Seconds of faults before the loss of power.")
    ] = 30.0,
    source: Annotated[
        Source, typer.Option(help="Whether to run target/ or the source tree.")
    ] = Source.BUILT,
    folder: Annotated[
        Path, typer.Option(help="Folder for the runs of failed seeds.")
    ] = SOAK_FOLDER,
    keep: Annotated[bool, typer.Option(help="Keep the runs of all seeds.")] = False,
) -> None:
    """Play seeds of changes, faults and a loss of power on the users' platform."""
    first, _, last = seeds.partition("-")
    if not first.isdecimal() or not (last or first).isdecimal():
        raise typer.BadParameter(f"{seeds!r} is no seed and no range such as 1-50")
    chosen = range(int(first), int(last or first) + 1)
    shape = Shape(controls, balancers, servers)
    options = SoakOptions(chosen, shape, source, Seconds(length), folder, keep)
    raise typer.Exit(run_soak(options))


if __name__ == "__main__":
    application()
