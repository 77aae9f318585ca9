"""Typer application ``wasabigwctl``, the command-line tool of operators.

The exit codes are those of :class:`wasabigw.ctl.errors.ExitCode`.
"""

from pathlib import Path
from typing import Annotated

import typer
from absl import flags, logging

from wasabigw import __version__
from wasabigw.ctl.connection import ConnectionOptions
from wasabigw.ctl.explain import explain
from wasabigw.ctl.operation_commands import drain_app, failure_domain_app
from wasabigw.ctl.questionnaire_commands import (
    apply,
    generate_command,
    questionnaire,
)
from wasabigw.ctl.route_command import route
from wasabigw.ctl.service_commands import service_app
from wasabigw.ctl.view_commands import flow, in_force, state

app = typer.Typer(
    name="wasabigwctl",
    help="Operate a layer-4 load balancer.",
    epilog=(
        "Exit codes: 0 in force, 1 internal error, 2 invalid command line, 3 invalid "
        "input, 4 refused, 5 conflict, 6 unavailable, 7 outcome unknown, 8 not yet "
        "in force, 9 token rejected, 10 unexpected response, 11 partly done."
    ),
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.add_typer(service_app, name="service")
app.add_typer(failure_domain_app, name="failure-domain")
app.add_typer(drain_app, name="drain")
app.command()(state)
app.command("in-force")(in_force)
app.command()(flow)
app.command()(questionnaire)
app.command("generate")(generate_command)
app.command()(apply)
app.command()(explain)
app.command()(route)


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(f"wasabigwctl {__version__}")
        raise typer.Exit


@app.callback()
def _options(
    context: typer.Context,
    settings: Annotated[
        Path | None,
        typer.Option(
            "--settings", envvar="WASABIGWCTL_SETTINGS", help="JSON settings file."
        ),
    ] = None,
    control: Annotated[
        list[str] | None,
        typer.Option(
            "--control", help="API endpoint of a control VM (address:port); repeatable."
        ),
    ] = None,
    token_file: Annotated[
        Path | None, typer.Option("--token-file", help="File with the operator token.")
    ] = None,
    time_limit: Annotated[
        float | None,
        typer.Option("--time-limit", help="Time limit of the command in seconds."),
    ] = None,
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_print_version,
            is_eager=True,
            help="Show the version and exit.",
        ),
    ] = False,
) -> None:
    context.obj = ConnectionOptions(
        settings, tuple(control or ()), token_file, time_limit
    )


def main() -> None:
    """Entry point of the console script."""
    logging.use_absl_handler()
    # Until its flags are parsed, absl prints a warning with each line it logs.
    flags.FLAGS.mark_as_parsed()
    app()


if __name__ == "__main__":
    main()
