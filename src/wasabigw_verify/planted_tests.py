"""Which test modules fail with each planted fault.

``python -m wasabigw_verify.planted_tests tests.test_tag_steering`` and further names of
modules prints a table. Each fault has a process of its own.
"""

import subprocess
import sys
import unittest
from pathlib import Path
from typing import Annotated

import typer

from wasabigw_verify.evidence_model.faults import FAULTS as EVIDENCE_FAULTS
from wasabigw_verify.planted_faults import PlantedFault, planted
from wasabigw_verify.registration_model.faults import FAULTS as REGISTRATION_FAULTS

FAULTS = (*EVIDENCE_FAULTS, *REGISTRATION_FAULTS)
TIME_LIMIT = 120.0
"""Seconds after which the tests of a fault are given up."""


def main(
    modules: Annotated[list[str], typer.Argument(help="Test modules to run.")],
    fault: Annotated[
        str, typer.Option(help="Name of the only fault; prints the failing modules.")
    ] = "",
) -> None:
    """Print which modules fail with each fault.

    Modules that fail without a fault as well can't tell anything, and end the command.
    """
    if fault:
        known = next(known for known in FAULTS if known.name == fault)
        with planted(known):
            print(*_failing_modules(modules))
        return
    failing = _failing_modules(modules)
    if failing:
        sys.exit(f"these fail without a fault: {', '.join(failing)}")
    print("| planted fault | test modules that fail |")
    print("| --- | --- |")
    for known in FAULTS:
        print(f"| {known.name} | {_run_apart(known, modules)} |", flush=True)


def _run_apart(fault: PlantedFault, modules: list[str]) -> str:
    """Names of the failing modules, from a process of their own."""
    command = [sys.executable, "-m", __spec__.name, "--fault", fault.name, *modules]
    try:
        ended = subprocess.run(
            command, capture_output=True, text=True, timeout=TIME_LIMIT, check=False
        )
    except subprocess.TimeoutExpired:
        return f"not ended after {TIME_LIMIT:.0f} s"
    if ended.returncode != 0:
        return "the tests could not be run"
    names = ended.stdout.split()
    return ", ".join(name.removeprefix("tests.test_") for name in names) or "none"


def _failing_modules(modules: list[str]) -> list[str]:
    failing = []
    suites = {
        name: unittest.defaultTestLoader.loadTestsFromName(name) for name in modules
    }
    with Path("/dev/null").open("w", encoding="utf-8") as discarded:
        for name, suite in suites.items():
            runner = unittest.TextTestRunner(discarded, failfast=True)
            if not runner.run(suite).wasSuccessful():
                failing.append(name)
    return failing


if __name__ == "__main__":
    typer.run(main)
