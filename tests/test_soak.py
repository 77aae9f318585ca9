"""Short soak with real processes; ``make soak`` plays long ones."""

import tempfile
import unittest
import warnings
from pathlib import Path

from wasabigw.core.ids import Seconds
from wasabigw_soak.deployment import Shape, Source
from wasabigw_soak.soak import SoakOptions, play_seed
from wasabigw_soak.verdict import BreakShape

SEED = 8
"""Loses the disk of one control VM, and those of two seeds with all power."""
SHAPE = Shape(controls=6, balancers=3, servers=2, idle_routes=40)
LENGTH = Seconds(14.0)


class Soak(unittest.TestCase):
    """Guards against configurations lost and open flows reset by real processes."""

    def test_changes_are_in_force_after_a_loss_of_power_and_of_two_disks(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            options = SoakOptions((SEED,), SHAPE, Source.TREE, LENGTH, Path(folder))
            result = play_seed(options, SEED)
            self.assertTrue(result.passed, result.verdict.breaks)
            self.assertGreater(result.verdict.checks[BreakShape.FLOW_RESET], 0)
            if not result.verdict.is_recovery_judged:
                warnings.warn("recovery not judged: too busy a machine", stacklevel=1)


if __name__ == "__main__":
    unittest.main()
