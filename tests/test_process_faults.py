"""Real processes under two faults; ``make process-faults`` runs all scenarios."""

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from wasabigw_demo import _scenario
from wasabigw_demo.faults import SCENARIOS

CHOSEN = ("balancer-kill", "resend")
SEED = 1
TRAFFIC = replace(_scenario.TRAFFIC, traffic_seconds=10.0, long_seconds=9.0)


class ProcessFaults(unittest.TestCase):
    """Guards against faults that only the real processes together have."""

    def test_killed_balancer_and_killed_leader(self) -> None:
        chosen = [replace(s, traffic=TRAFFIC) for s in SCENARIOS if s.name in CHOSEN]
        self.assertEqual(len(chosen), len(CHOSEN))
        for scenario in chosen:
            with (
                self.subTest(scenario=scenario.name),
                tempfile.TemporaryDirectory() as folder,
            ):
                steps: list[str] = []
                result = _scenario.run_scenario(
                    scenario, Path(folder), SEED, steps.append
                )
                failed = [check for check in result.checks if not check.passed]
                self.assertTrue(result.passed, f"{failed} after {steps}")
