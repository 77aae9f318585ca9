"""``python -m wasabigw_demo``: run the demonstration on loopback."""

from typing import Annotated

import typer

from wasabigw_demo.launcher import DemoOptions, run_demo

application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@application.command()
def main(
    seed: Annotated[int, typer.Option(help="Seed of the stand-ins.")] = 1,
    drop: Annotated[float, typer.Option(help="Share of lost packets.")] = 0.0,
    duplicate: Annotated[float, typer.Option(help="Share of doubled packets.")] = 0.0,
    delay: Annotated[float, typer.Option(help="Longest delay in seconds.")] = 0.0,
    keep: Annotated[bool, typer.Option(help="Keep the temporary folder.")] = False,
) -> None:
    """Start every process, disturb them, and print what callers saw."""
    raise typer.Exit(run_demo(DemoOptions(seed, drop, duplicate, delay, keep)))


if __name__ == "__main__":
    application()
