"""Runs the tasks of a role until the process is told to stop."""

import secrets
import signal
import threading
from contextlib import ExitStack
from dataclasses import dataclass
from functools import singledispatch
from pathlib import Path

from returns.result import Failure, Result, Success

from wasabigw.bootstrap import INCARNATION_BYTES
from wasabigw.core.apply import apply
from wasabigw.core.cluster import Endpoint, Node
from wasabigw.core.ids import Incarnation, NodeId
from wasabigw.runtime.collector import raise_collection_thresholds
from wasabigw.runtime.timer import TimerService
from wasabigw.settings import Role, Settings
from wasabigw.tasks.balancer import BalancerSettings, make_balancer
from wasabigw.tasks.control_plane import TraceSettings, make_control_plane
from wasabigw.tasks.limits import DEFAULT_LIMITS, ProcessLimits
from wasabigw.tasks.storage import open_storage
from wasabigw.tasks.voter_settings import VoterSettings


@dataclass(frozen=True, slots=True)
class RoleError:
    """A role could not start, or ended because of an error.

    :param message: description of the problem and how to correct it.
    """

    message: str

    def __str__(self) -> str:
        return self.message


@dataclass(frozen=True, slots=True)
class BalancerProcess:
    """Configuration of a process with the role of a balancer."""

    settings: BalancerSettings


@dataclass(frozen=True, slots=True)
class ControlProcess:
    """Configuration of a process with the role of a voter."""

    settings: VoterSettings
    data_folder: Path
    token: str
    limits: ProcessLimits = DEFAULT_LIMITS
    traces: TraceSettings | None = None


def run_role(settings: Settings) -> Result[None, RoleError]:
    """Run the role of the settings until the process gets SIGTERM or SIGINT."""
    raise_collection_thresholds()
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    return _read_token(settings.token_file).bind(
        lambda token: run_process(make_process(settings, token), stop)
    )


def make_process(settings: Settings, token: str) -> BalancerProcess | ControlProcess:
    """Configuration of the process for the role in its settings."""
    if settings.role is Role.CONTROL:
        return _control_process(settings, token)
    return _balancer_process(settings, token)


@singledispatch
def run_process(process: object, stop: threading.Event) -> Result[None, RoleError]:
    """Run a process until ``stop`` is set."""
    raise TypeError(f"unsupported process type: {type(process).__name__}")


@run_process.register
def _(process: BalancerProcess, stop: threading.Event) -> Result[None, RoleError]:
    try:
        with make_balancer(process.settings) as balancer:
            stop.wait()
            balancer.drain()
    except OSError as error:
        return _listen_failure(error)
    return Success(None)


@run_process.register
def _(process: ControlProcess, stop: threading.Event) -> Result[None, RoleError]:
    opened = open_storage(process.data_folder, process.settings.node)
    if not isinstance(opened, Success):
        return Failure(RoleError(str(opened.failure())))
    try:
        with ExitStack() as stack:
            storage = stack.enter_context(opened.unwrap())
            timer = stack.enter_context(TimerService())
            plane = make_control_plane(
                process.settings,
                process.token,
                storage,
                apply,
                timer,
                limits=process.limits,
                traces=process.traces,
            )
            stack.enter_context(plane)
            stop.wait()
            plane.prepare_stop()
    except OSError as error:
        return _listen_failure(error)
    return Success(None)


def _listen_failure(error: OSError) -> Result[None, RoleError]:
    return Failure(
        RoleError(
            f"can't listen on an endpoint of the settings: {error}; check that the "
            "address belongs to this VM and that no other process uses the port"
        )
    )


def _control_process(settings: Settings, token: str) -> ControlProcess:
    assert settings.data_folder is not None
    voters = {NodeId(name): endpoint for name, endpoint in settings.voters.items()}
    return ControlProcess(
        VoterSettings(settings.node, voters),
        settings.data_folder,
        token,
        _limits(settings),
        _traces(settings),
    )


def _balancer_process(settings: Settings, token: str) -> BalancerProcess:
    assert settings.data_endpoint is not None
    assert settings.fabric_endpoint is not None
    api: Endpoint = settings.api_endpoint
    node = Node(
        settings.node,
        settings.own_failure_domain,
        settings.data_endpoint,
        api,
        Incarnation(secrets.token_hex(INCARNATION_BYTES)),
    )
    return BalancerProcess(
        BalancerSettings(
            node,
            settings.fabric_endpoint,
            settings.control_endpoints,
            token,
            settings.trace_file,
            settings.trace_sample_rate,
            _limits(settings),
        )
    )


def _limits(settings: Settings) -> ProcessLimits:
    return ProcessLimits(**settings.limits.model_dump())


def _traces(settings: Settings) -> TraceSettings | None:
    if settings.trace_file is None:
        return None
    return TraceSettings(settings.trace_file, settings.trace_sample_rate)


def _read_token(path: Path) -> Result[str, RoleError]:
    try:
        token = path.read_text(encoding="ascii").strip()
    except (OSError, ValueError) as error:
        return Failure(RoleError(f"can't read the token file {path}: {error}"))
    if not token:
        return Failure(RoleError(f"the token file {path} is empty; write a token"))
    return Success(token)
