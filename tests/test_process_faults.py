"""One fault scenario with real processes; ``make process-faults`` runs all."""

import unittest

from tests.process_scenario import assert_scenario_passes


class ProcessFaults(unittest.TestCase):
    """Guards against faults that occur only between real processes."""

    def test_killed_balancer(self) -> None:
        assert_scenario_passes(self, "balancer-kill")
