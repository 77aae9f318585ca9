"""Helper that runs one fault scenario with real processes as a test."""

import tempfile
import unittest
from pathlib import Path

from wasabigw_demo._scenario import run_scenario
from wasabigw_demo.faults import SCENARIOS

SEED = 1


def assert_scenario_passes(test: unittest.TestCase, name: str) -> None:
    """Run a scenario; the test fails with the failed checks and the steps."""
    chosen = [scenario for scenario in SCENARIOS if scenario.name == name]
    test.assertEqual(len(chosen), 1)
    with tempfile.TemporaryDirectory() as folder:
        steps: list[str] = []
        result = run_scenario(chosen[0], Path(folder), SEED, steps.append)
        failed = [check for check in result.checks if not check.passed]
        test.assertTrue(result.passed, f"{failed} after {steps}")
