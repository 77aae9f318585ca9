"""``python -m wasabigw_demo``: run the demonstration, or faults, on loopback."""

from typing import Annotated

import typer

from wasabigw_demo.faults import run_faults, scenario_names
from wasabigw_demo.launcher import DemoOptions, run_demo

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


if __name__ == "__main__":
    application()
