"""Real processes under two faults; ``make process-faults`` runs all scenarios."""

import tempfile
import unittest
from pathlib import Path

from wasabigw_demo._scenario import run_scenario
from wasabigw_demo.faults import SCENARIOS

CHOSEN = ("balancer-kill", "resend")
SEED = 1


class ProcessFaults(unittest.TestCase):
    """Guards against faults that only the real processes together have."""

    def test_killed_balancer_and_killed_leader(self) -> None:
        chosen = [scenario for scenario in SCENARIOS if scenario.name in CHOSEN]
        self.assertEqual(len(chosen), len(CHOSEN))
        for scenario in chosen:
            with (
                self.subTest(scenario=scenario.name),
                tempfile.TemporaryDirectory() as folder,
            ):
                steps: list[str] = []
                result = run_scenario(scenario, Path(folder), SEED, steps.append)
                failed = [check for check in result.checks if not check.passed]
                self.assertTrue(result.passed, f"{failed} after {steps}")
