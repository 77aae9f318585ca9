"""Real processes under a fault; ``make process-faults`` runs all scenarios."""

import unittest

from tests.process_scenario import assert_scenario_passes


class ProcessFaults(unittest.TestCase):
    """Guards against faults that only the real processes together have."""

    def test_killed_balancer(self) -> None:
        assert_scenario_passes(self, "balancer-kill")
