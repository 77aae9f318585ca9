"""Fault scenarios, and how one is run against real processes."""

import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

from wasabigw.core.ids import Seconds
from wasabigw.core.timing import SETTLE_TIME
from wasabigw_demo._commands import TrafficOptions
from wasabigw_demo._control import ControlApi
from wasabigw_demo._layout import Layout, make_layout
from wasabigw_demo._outcome import Check
from wasabigw_demo._record_checks import Expectation, check_traffic
from wasabigw_demo._system import DemoFailedError, System

DEFAULT_TRAFFIC = TrafficOptions(
    traffic_seconds=14.0, long_seconds=12.0, request_timeout=8.0
)
SETTLE_MARGIN = Seconds(0.3)
"""Wait in addition to the settle time; then flows spread over all backend servers."""
CALLERS_TIMEOUT = Seconds(40.0)
_EVENT_LINE = re.compile(r"^[WEF]\d{4} .*?(WGW-\d+)")


class FaultRun:
    """Running system of a scenario, and the checks that the scenario adds."""

    def __init__(self, system: System, print_step: Callable[[str], None]) -> None:
        self._system = system
        self._control = ControlApi(system)
        self._print_step = print_step
        self._started_at = time.monotonic()
        self._checks: list[Check] = []
        self._final_checks: list[Callable[[], Check]] = []
        self._breakable: frozenset[str] = frozenset()

    @property
    def system(self) -> System:
        """Running processes."""
        return self._system

    @property
    def layout(self) -> Layout:
        """Layout of the processes."""
        return self._system.layout

    @property
    def control(self) -> ControlApi:
        """Client of the control API."""
        return self._control

    @property
    def checks(self) -> list[Check]:
        """Results of the checks that the scenario added."""
        return [*self._checks, *(final_check() for final_check in self._final_checks)]

    @property
    def expectation(self) -> Expectation:
        """Backend servers whose flows may break."""
        return Expectation(self._breakable)

    def print_step(self, text: str) -> None:
        """Print a step of the scenario."""
        self._print_step(text)

    def sleep_until(self, seconds: float) -> None:
        """Sleep until a number of seconds after the start of the traffic."""
        time.sleep(max(0.0, self._started_at + seconds - time.monotonic()))

    def check(self, name: str, passed: bool, detail: object = "") -> None:
        """Add the result of a check."""
        self._checks.append(Check(name, bool(passed), str(detail)))

    def check_at_end(self, rule: Callable[[], Check]) -> None:
        """Add a check on the records, to be run after all processes have ended."""
        self._final_checks.append(rule)

    def allow_broken_flows(self, *backend_servers: str) -> None:
        """Allow the flows of backend servers to break."""
        self._breakable |= frozenset(backend_servers)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fault that is injected while traffic is running.

    :param inject: called while traffic is running; injects the fault and adds checks.
    :param relayed: whether the voters are reached through relays.
    :param connections: connections that each backend server announces, if not the
        default.
    """

    name: str
    summary: str
    inject: Callable[[FaultRun], None]
    relayed: bool = False
    connections: int | None = None
    traffic: TrafficOptions = DEFAULT_TRAFFIC


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Result of a scenario.

    :param events: number of warnings and errors in the logs, by event number.
    """

    name: str
    checks: list[Check]
    seconds: float
    events: dict[str, int] = field(default_factory=dict)

    @property
    def passed(self) -> bool:
        """Whether all checks passed."""
        return bool(self.checks) and all(check.passed for check in self.checks)


def run_scenario(
    scenario: Scenario, folder: Path, seed: int, print_step: Callable[[str], None]
) -> ScenarioResult:
    """Start all processes, inject the fault, stop them, and check the records."""
    started_at = time.monotonic()
    layout = _layout(scenario, folder)
    options = _with_seed(scenario.traffic, seed)
    unexpected_ends: dict[str, int] = {}
    checks: list[Check] = []
    run: FaultRun | None = None
    try:
        with System(layout, options, print_step) as system:
            system.start_all_but_callers()
            time.sleep(SETTLE_TIME + SETTLE_MARGIN)
            run = FaultRun(system, print_step)
            system.start_callers()
            scenario.inject(run)
            system.wait_for_callers(CALLERS_TIMEOUT)
            unexpected_ends = system.unexpected_ends()
        checks += [*check_traffic(layout, run.expectation), *run.checks]
    except DemoFailedError as error:
        checks += run.checks if run is not None else []
        checks.append(Check("the scenario ran to its end", False, str(error)))
    checks += [_check_unexpected_ends(unexpected_ends), _check_no_traceback(layout)]
    seconds = time.monotonic() - started_at
    return ScenarioResult(scenario.name, checks, seconds, _count_events(layout))


def _layout(scenario: Scenario, folder: Path) -> Layout:
    if scenario.connections is None:
        return make_layout(folder, scenario.relayed)
    return make_layout(folder, scenario.relayed, scenario.connections)


def _with_seed(options: TrafficOptions, seed: int) -> TrafficOptions:
    return replace(options, seed=seed)


def _check_unexpected_ends(unexpected_ends: dict[str, int]) -> Check:
    detail = ", ".join(f"{name} exit {code}" for name, code in unexpected_ends.items())
    return Check("no process stopped by itself", not unexpected_ends, detail or "none")


def _check_no_traceback(layout: Layout) -> Check:
    logs = sorted(layout.folder.glob("*.log"))
    with_traceback = [
        p.stem for p in logs if "Traceback" in p.read_text(errors="replace")
    ]
    return Check(
        "no traceback in a log", not with_traceback, " ".join(with_traceback) or "none"
    )


def _count_events(layout: Layout) -> dict[str, int]:
    counts: dict[str, int] = {}
    for node in (*layout.voters, *layout.balancers):
        path = layout.log(node.id)
        lines = path.read_text(errors="replace").splitlines() if path.exists() else []
        for line in lines:
            found = _EVENT_LINE.match(line)
            if found is not None:
                counts[found[1]] = counts.get(found[1], 0) + 1
    return dict(sorted(counts.items()))
