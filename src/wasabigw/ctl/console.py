"""Output of the tool: results on stdout, progress and errors on stderr.

With ``--output json``, each command prints exactly one JSON object on stdout, also for
an error.
"""

import json
import re
import sys
from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from enum import Enum
from typing import Any, NoReturn

import typer

from wasabigw.core.ids import RequestId, Revision
from wasabigw.core.log_messages import InForce
from wasabigw.ctl.actions import ShowProgress
from wasabigw.ctl.errors import CtlError, error_lines, exit_code

_WORD_START = re.compile(r"(?<!^)(?=[A-Z])")


class Output(Enum):
    """Format of the result on stdout."""

    TEXT = "text"
    JSON = "json"


def show_result(output: Output, lines: Iterable[str], value: Mapping[str, Any]) -> None:
    """Print the result of a command.

    :param lines: text output.
    :param value: JSON output.
    """
    if output is Output.JSON:
        typer.echo(json.dumps(value))
        return
    for line in lines:
        typer.echo(line)


def exit_with_error(output: Output, error: CtlError) -> NoReturn:
    """Print an error and exit with its exit code."""
    lines = error_lines(error)
    code = exit_code(error)
    if output is Output.JSON:
        outcome = _WORD_START.sub("-", type(error).__name__).lower()
        value = {"outcome": outcome, "exit_code": int(code), "messages": list(lines)}
        typer.echo(json.dumps(value))
    else:
        for line in lines:
            typer.echo(line, err=True)
    raise typer.Exit(code)


def show_request(request_id: RequestId, expected: Revision) -> None:
    """Print the options that repeat the command, before the change is sent."""
    typer.echo(f"request id {request_id}, expected revision {expected}", err=True)


@contextmanager
def progress() -> Iterator[ShowProgress]:
    """Show on stderr on how many balancers a change is in force.

    On a terminal one line is updated; otherwise each change of the count is printed.
    """
    display = _Progress(sys.stderr.isatty())
    try:
        yield display.show
    finally:
        display.end()


class _Progress:
    def __init__(self, is_terminal: bool) -> None:
        self._is_terminal = is_terminal
        self._last = ""

    def show(self, in_force: InForce) -> None:
        text = _progress_text(in_force)
        if text == self._last:
            return
        if self._is_terminal:
            typer.echo(f"\r{text.ljust(len(self._last))}", nl=False, err=True)
        else:
            typer.echo(text, err=True)
        self._last = text

    def end(self) -> None:
        if self._is_terminal and self._last:
            typer.echo(err=True)


def _progress_text(in_force: InForce) -> str:
    count = sum(node.in_force for node in in_force.nodes)
    return (
        f"revision {in_force.revision} in force on {count} of "
        f"{len(in_force.nodes)} balancers"
    )
