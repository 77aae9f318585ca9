"""Shared implementation of the commands that change the configuration."""

from collections.abc import Iterable
from typing import Any

import typer
from returns.result import Result, Success

from wasabigw.codec import messages
from wasabigw.core import commands
from wasabigw.core.preview import ConfigurationView, Difference
from wasabigw.ctl.actions import (
    BuildChange,
    ChangeOptions,
    ChangePreview,
    InForceChange,
    run_change,
)
from wasabigw.ctl.connection import connect
from wasabigw.ctl.console import (
    Output,
    exit_with_error,
    progress,
    show_request,
    show_result,
)
from wasabigw.ctl.errors import WrongInput


def constant_change(change: commands.Change) -> BuildChange:
    """Builder for a change that doesn't depend on the current configuration."""

    def build(view: ConfigurationView) -> Result[commands.Change, WrongInput]:
        return Success(change)

    return build


def send_change(
    context: typer.Context, build: BuildChange, options: ChangeOptions, output: Output
) -> None:
    """Send a change, wait until it is in force and print the outcome, or preview it."""
    with connect(context, output) as api, progress() as show_progress:
        outcome = run_change(api, build, options, show_request, show_progress)
    if not isinstance(outcome, Success):
        exit_with_error(output, outcome.failure())
    result = outcome.unwrap()
    if isinstance(result, ChangePreview):
        _show_preview(result, output)
    else:
        _show_in_force(result, output)


def _show_in_force(result: InForceChange, output: Output) -> None:
    revision = result.applied.revision
    count = len(result.in_force.nodes)
    value: dict[str, Any] = {
        "outcome": "in-force",
        "exit_code": 0,
        "request_id": result.request.request_id,
        "expected_revision": result.request.expected_revision,
        "revision": revision,
        "configuration_revision": result.applied.configuration_revision,
        "balancers": count,
    }
    show_result(output, (f"revision {revision} in force on {count} balancers",), value)


def _show_preview(result: ChangePreview, output: Output) -> None:
    value = {
        "outcome": "dry-run",
        "exit_code": 0,
        "expected_revision": result.expected_revision,
        "change": messages.to_json(result.change, commands.Change),
        "differences": [messages.to_json(item) for item in result.differences],
    }
    show_result(output, _preview_lines(result.differences), value)


def _preview_lines(differences: Iterable[Difference]) -> list[str]:
    lines = [f"{item.key}: {item.before} -> {item.after}" for item in differences]
    return lines or ["no differences"]
