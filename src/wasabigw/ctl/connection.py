"""Connection options of the command line, and the API client made from them."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import typer
from opentelemetry import trace
from returns.result import Result, Success

from wasabigw.core.ids import NodeId, Seconds
from wasabigw.core.problems import Problems
from wasabigw.ctl.api import Api
from wasabigw.ctl.console import Output, exit_with_error
from wasabigw.ctl.errors import WrongInput
from wasabigw.ctl.link import ApiLink, Timeouts
from wasabigw.ctl.settings import ToolSettings, load_tool_settings
from wasabigw.ctl.token import read_token
from wasabigw.runtime.timer import monotonic
from wasabigw.telemetry.trace_file import TraceFileTask
from wasabigw.telemetry.tracing import make_disabled_tracer, make_tracer

TOOL_NODE = NodeId("wasabigwctl")
TRACE_FILE_BYTES = 16 * 1024 * 1024
Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class ConnectionOptions:
    """Options before the command; each one overrides the settings file."""

    settings_file: Path | None = None
    control: tuple[str, ...] = ()
    token_file: Path | None = None
    time_limit: float | None = None

    def values(self) -> dict[str, Any]:
        """Options that were given, by settings key."""
        given: dict[str, Any] = {}
        if self.control:
            given["control_endpoints"] = list(self.control)
        if self.token_file is not None:
            given["token_file"] = self.token_file
        if self.time_limit is not None:
            given["time_limit"] = self.time_limit
        return given


def value_or_exit(outcome: Result[Value, Problems], output: Output) -> Value:
    """Value of an outcome; exits with an error if the input was invalid."""
    if not isinstance(outcome, Success):
        exit_with_error(output, WrongInput(outcome.failure()))
    value: Value = outcome.unwrap()
    return value


def tool_settings(context: typer.Context, output: Output) -> ToolSettings:
    """Settings file with the options before the command applied."""
    options: ConnectionOptions = context.obj
    loaded = load_tool_settings(options.settings_file, options.values())
    return value_or_exit(loaded, output)


@contextmanager
def connect(context: typer.Context, output: Output) -> Iterator[Api]:
    """Client of the API whose time limit starts now."""
    settings = tool_settings(context, output)
    token = value_or_exit(read_token(settings.token_file), output)
    timeouts = Timeouts(
        Seconds(settings.connect_timeout), Seconds(settings.read_timeout)
    )
    deadline = Seconds(monotonic() + settings.time_limit)
    with _tracer(settings) as tracer, ApiLink(token, timeouts, tracer) as link:
        yield Api(link, settings.control_endpoints, deadline)


@contextmanager
def _tracer(settings: ToolSettings) -> Iterator[trace.Tracer]:
    if settings.trace_file is None:
        yield make_disabled_tracer()
        return
    with TraceFileTask(settings.trace_file, TRACE_FILE_BYTES) as task:
        yield make_tracer(TOOL_NODE, 1.0, task.mailbox)
