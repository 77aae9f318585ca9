"""Fault scenarios with real processes: ``python -m wasabigw_demo faults [NAME…]``."""

import signal
import time
from collections.abc import Sequence

from wasabigw_demo import (
    _faults_backend_servers,
    _faults_balancers,
    _faults_control,
    _faults_operators,
)
from wasabigw_demo._scenario import Scenario, ScenarioResult, run_scenario
from wasabigw_demo.launcher import (
    INTERRUPTED_CODE,
    print_step,
    raise_interrupt,
    run_folder,
)

SCENARIOS: tuple[Scenario, ...] = (
    *_faults_balancers.SCENARIOS,
    *_faults_control.SCENARIOS,
    *_faults_backend_servers.SCENARIOS,
    *_faults_operators.SCENARIOS,
)


def scenario_names() -> list[str]:
    """Names of all scenarios."""
    return [scenario.name for scenario in SCENARIOS]


def run_faults(names: Sequence[str], seed: int, keep: bool) -> int:
    """Run scenarios one after the other; returns the exit code.

    :param names: names of the scenarios; all if empty.
    :param keep: whether the folders of the runs are kept.
    """
    signal.signal(signal.SIGTERM, raise_interrupt)
    chosen = [s for s in SCENARIOS if not names or s.name in names]
    results = []
    try:
        for scenario in chosen:
            results.append(_run(scenario, seed, keep))
    except KeyboardInterrupt:
        print("\nThe run was interrupted; its processes were ended.")
        return INTERRUPTED_CODE
    _print_table(chosen, results)
    return 0 if results and all(result.passed for result in results) else 1


def _run(scenario: Scenario, seed: int, keep: bool) -> ScenarioResult:
    print(f"\n{scenario.name}: {scenario.summary}")
    with run_folder(keep) as folder:
        result = run_scenario(scenario, folder, seed, print_step)
    for check in result.checks:
        mark = "ok  " if check.passed else "FAIL"
        print(f"  {mark} {check.name:42} {check.detail}")
    events = ", ".join(f"{name} x{count}" for name, count in result.events.items())
    print(f"  warnings and errors in the logs: {events or 'none'}")
    return result


def _print_table(
    scenarios: Sequence[Scenario], results: Sequence[ScenarioResult]
) -> None:
    print(f"\n{time.strftime('%Y-%m-%d %H:%M')}")
    for scenario, result in zip(scenarios, results, strict=True):
        held = sum(check.passed for check in result.checks)
        verdict = "held  " if result.passed else "FAILED"
        print(
            f"  {verdict} {scenario.name:17} {held:2}/{len(result.checks):2} checks "
            f"{result.seconds:5.1f} s  {scenario.summary}"
        )
