"""Command line of the daemon ``wasabigw``.

Exit codes are stable: 0 success, 1 internal error, 2 usage error, 3 invalid settings,
4 the role could not start or ended with an error, 5 bootstrap failed.
"""

import json
from enum import Enum, IntEnum
from pathlib import Path
from typing import Annotated, NoReturn

import typer
from absl import flags, logging
from returns.result import Success

from wasabigw import __version__
from wasabigw.answer_file import answers_schema
from wasabigw.bootstrap import bootstrap
from wasabigw.core.problems import Problems
from wasabigw.ctl.settings import tool_settings_schema
from wasabigw.roles import run_role
from wasabigw.settings import LogLevel, Settings, load_settings, settings_schema
from wasabigw.settings_page import settings_page
from wasabigw.tasks import storage
from wasabigw.telemetry.events_daemon import DaemonEvent
from wasabigw.telemetry.log_events import log


class ExitCode(IntEnum):
    """Exit codes of ``wasabigw``."""

    SUCCESS = 0
    INTERNAL_ERROR = 1
    USAGE = 2
    SETTINGS = 3
    ROLE = 4
    BOOTSTRAP = 5


class SchemaName(Enum):
    """Files that have a JSON schema."""

    SETTINGS = "settings"
    TOOL_SETTINGS = "tool-settings"
    ANSWERS = "answers"


class SchemaFormat(Enum):
    """Output format of a schema."""

    JSON = "json"
    MARKDOWN = "markdown"


_LOG_LEVELS = {
    LogLevel.DEBUG: logging.DEBUG,
    LogLevel.INFO: logging.INFO,
    LogLevel.WARNING: logging.WARNING,
    LogLevel.ERROR: logging.ERROR,
}
_SCHEMAS = {
    SchemaName.SETTINGS: settings_schema,
    SchemaName.TOOL_SETTINGS: tool_settings_schema,
    SchemaName.ANSWERS: answers_schema,
}

app = typer.Typer(
    name="wasabigw",
    help="Layer-4 load balancer: the daemon.",
    epilog=(
        "Exit codes: 0 success, 1 internal error, 2 usage error, 3 invalid settings, "
        "4 the role failed, 5 bootstrap failed."
    ),
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)

SettingsFile = Annotated[
    Path,
    typer.Option("--settings", envvar="WASABIGW_SETTINGS", help="JSON settings file."),
]


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(f"wasabigw {__version__}")
        raise typer.Exit


@app.callback()
def _options(
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
    pass


@app.command()
def run(settings_file: SettingsFile) -> None:
    """Run the role given in the settings until SIGTERM or SIGINT."""
    settings = _settings(settings_file)
    logging.set_verbosity(_LOG_LEVELS[settings.log_level])
    log(
        DaemonEvent.STARTING,
        version=__version__,
        role=settings.role.value,
        node=settings.node,
        failure_domain=settings.failure_domain,
    )
    outcome = run_role(settings)
    if not isinstance(outcome, Success):
        log(DaemonEvent.ROLE_FAILED, node=settings.node, reason=outcome.failure())
        raise typer.Exit(ExitCode.ROLE)
    log(DaemonEvent.ENDED, node=settings.node)


@app.command()
def check(settings_file: SettingsFile) -> None:
    """Check a settings file and report all problems."""
    settings = _settings(settings_file)
    typer.echo(f"{settings_file}: valid settings of {settings.role.value}")


@app.command("bootstrap")
def bootstrap_command(
    settings_file: SettingsFile,
    first: Annotated[
        bool,
        typer.Option("--first", help="This is the first voter of a new cluster."),
    ] = False,
) -> None:
    """Create the data folder of a voter, and the token file unless it exists.

    Use --first for exactly one voter of a new cluster. The leader admits all others,
    and a voter whose disk was replaced.
    """
    settings = _settings(settings_file)
    outcome = bootstrap(settings, first, storage.bootstrap)
    if not isinstance(outcome, Success):
        _fail(str(outcome.failure()), ExitCode.BOOTSTRAP)
    created = outcome.unwrap()
    if created.data_folder is not None:
        log(
            DaemonEvent.DATA_FOLDER_CREATED,
            folder=created.data_folder,
            node=settings.node,
        )
    if created.token_created:
        log(DaemonEvent.TOKEN_CREATED, path=created.token_file)
    outcome_text = "created" if created.token_created else "kept"
    typer.echo(f"token file {created.token_file} {outcome_text}")


@app.command()
def schema(
    name: Annotated[
        SchemaName, typer.Argument(help="Kind of file that the schema describes.")
    ] = SchemaName.SETTINGS,
    format_: Annotated[
        SchemaFormat, typer.Option("--format", help="Markdown is for settings only.")
    ] = SchemaFormat.JSON,
) -> None:
    """Print the JSON schema of a file, or the reference page of the settings."""
    if format_ is SchemaFormat.JSON:
        typer.echo(json.dumps(_SCHEMAS[name](), indent=2))
        return
    if name is not SchemaName.SETTINGS:
        _fail(
            f"--format markdown is not available for {name.value}, only for settings",
            ExitCode.USAGE,
        )
    typer.echo(settings_page(), nl=False)


def main() -> None:
    """Entry point of the console script."""
    logging.use_absl_handler()
    # absl logs a warning with each message unless its flags are parsed.
    flags.FLAGS.mark_as_parsed()
    app()


def _settings(path: Path) -> Settings:
    outcome = load_settings(path)
    if not isinstance(outcome, Success):
        _fail_with_problems(path, outcome.failure())
    settings: Settings = outcome.unwrap()
    return settings


def _fail_with_problems(path: Path, problems: Problems) -> NoReturn:
    typer.echo(f"{path}: {len(problems)} problems", err=True)
    for problem in problems:
        typer.echo(f"  {problem}", err=True)
    raise typer.Exit(ExitCode.SETTINGS)


def _fail(message: str, code: ExitCode) -> NoReturn:
    typer.echo(message, err=True)
    raise typer.Exit(code)


if __name__ == "__main__":
    main()
