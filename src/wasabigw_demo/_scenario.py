"""One fault scenario: its run against real processes and its result."""

import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

from wasabigw.core.ids import Seconds
from wasabigw.core.timing import SETTLE_TIME
from wasabigw_demo._commands import TrafficOptions
from wasabigw_demo._control import Control
from wasabigw_demo._layout import Layout, make_layout
from wasabigw_demo._outcome import Check
from wasabigw_demo._record_checks import Expectation, check_traffic
from wasabigw_demo._system import DemoFailedError, System

TRAFFIC = TrafficOptions(traffic_seconds=14.0, long_seconds=12.0, request_timeout=8.0)
SETTLE_MARGIN = Seconds(0.3)
"""Beyond the settle time, so that flows spread over all backend servers."""
CALLER_LIMIT = Seconds(40.0)
_EVENT = re.compile(r"^[WEF]\d{4} .*?(WGW-\d+)")


class FaultRun:
    """What a scenario uses while traffic is running."""

    def __init__(self, system: System, say: Callable[[str], None]) -> None:
        self._system = system
        self._control = Control(system)
        self._say = say
        self._began = time.monotonic()
        self._checks: list[Check] = []
        self._late_checks: list[Callable[[], Check]] = []
        self._may_break: frozenset[str] = frozenset()

    @property
    def system(self) -> System:
        """The processes."""
        return self._system

    @property
    def layout(self) -> Layout:
        """What was started."""
        return self._system.layout

    @property
    def control(self) -> Control:
        """The control API."""
        return self._control

    @property
    def checks(self) -> list[Check]:
        """Results of the scenario's own checks."""
        return [*self._checks, *(late() for late in self._late_checks)]

    @property
    def expectation(self) -> Expectation:
        """Which flows may break."""
        return Expectation(self._may_break)

    def say(self, text: str) -> None:
        """Show a step."""
        self._say(text)

    def at(self, seconds: float) -> None:
        """Sleep until a time after the start of the traffic."""
        time.sleep(max(0.0, self._began + seconds - time.monotonic()))

    def check(self, name: str, passed: bool, detail: object = "") -> None:
        """Note a condition."""
        self._checks.append(Check(name, bool(passed), str(detail)))

    def check_later(self, rule: Callable[[], Check]) -> None:
        """Check a condition on the records after all processes have ended."""
        self._late_checks.append(rule)

    def may_break(self, *backends: str) -> None:
        """Allow that flows of backend servers end."""
        self._may_break |= frozenset(backends)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fault, caused while traffic is running.

    :param cause: runs in the time of the traffic, and notes its own checks.
    """

    name: str
    summary: str
    cause: Callable[[FaultRun], None]
    relayed: bool = False
    connections: int | None = None
    traffic: TrafficOptions = TRAFFIC


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """What a run of a scenario showed.

    :param events: warnings and errors in the logs of the system by number.
    """

    name: str
    checks: list[Check]
    seconds: float
    events: dict[str, int] = field(default_factory=dict)

    @property
    def passed(self) -> bool:
        """Whether all checks held."""
        return bool(self.checks) and all(check.passed for check in self.checks)


def run_scenario(
    scenario: Scenario, folder: Path, seed: int, say: Callable[[str], None]
) -> ScenarioResult:
    """Start everything, cause the fault, end everything and check the records."""
    began = time.monotonic()
    layout = _layout(scenario, folder)
    options = _with_seed(scenario.traffic, seed)
    ends: dict[str, int] = {}
    checks: list[Check] = []
    run: FaultRun | None = None
    try:
        with System(layout, options, say) as system:
            system.start_everything()
            time.sleep(SETTLE_TIME + SETTLE_MARGIN)
            run = FaultRun(system, say)
            system.start_callers()
            scenario.cause(run)
            system.wait_for_callers(CALLER_LIMIT)
            ends = system.unexpected_ends()
        checks += [*check_traffic(layout, run.expectation), *run.checks]
    except DemoFailedError as error:
        checks += run.checks if run is not None else []
        checks.append(Check("the scenario ran to its end", False, str(error)))
    checks += [_nothing_stopped(ends), _no_traceback(layout)]
    seconds = time.monotonic() - began
    return ScenarioResult(scenario.name, checks, seconds, _events(layout))


def _layout(scenario: Scenario, folder: Path) -> Layout:
    if scenario.connections is None:
        return make_layout(folder, scenario.relayed)
    return make_layout(folder, scenario.relayed, scenario.connections)


def _with_seed(options: TrafficOptions, seed: int) -> TrafficOptions:
    return replace(options, seed=seed)


def _nothing_stopped(ends: dict[str, int]) -> Check:
    detail = ", ".join(f"{name} exit {code}" for name, code in ends.items())
    return Check("no process stopped by itself", not ends, detail or "none")


def _no_traceback(layout: Layout) -> Check:
    logs = sorted(layout.folder.glob("*.log"))
    bad = [p.stem for p in logs if "Traceback" in p.read_text(errors="replace")]
    return Check("no traceback in a log", not bad, " ".join(bad) or "none")


def _events(layout: Layout) -> dict[str, int]:
    counts: dict[str, int] = {}
    for node in (*layout.voters, *layout.balancers):
        path = layout.log(node.id)
        lines = path.read_text(errors="replace").splitlines() if path.exists() else []
        for line in lines:
            found = _EVENT.match(line)
            if found is not None:
                counts[found[1]] = counts.get(found[1], 0) + 1
    return dict(sorted(counts.items()))
