"""Tests that the decision measurements are reproducible and comparable."""

import unittest
from unittest import mock

from wasabigw_measure import _decisions_runs as runs
from wasabigw_measure._decisions_runs import Job, RunResult, measure
from wasabigw_measure._decisions_world import SCHEMES


class DecisionMeasurement(unittest.TestCase):
    def setUp(self) -> None:
        for name, value in (("TRAFFIC_ENDS", 24.0), ("END", 34.0)):
            patch = mock.patch.object(runs, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def measure(self, scheme: str) -> RunResult:
        return measure(Job(1, scheme, "domain", 4))

    def test_a_run_with_the_same_seed_gives_the_same_figures(self) -> None:
        """Guards against results that depend on anything but the job and its seed."""
        self.assertEqual(self.measure("project"), self.measure("project"))

    def test_schemes_see_callers_at_the_same_rate(self) -> None:
        """Guards against arrivals that depend on the scheme.

        A scheme that gets fewer flows would look better than it is.
        """
        flows = [self.measure(scheme).flows for scheme in SCHEMES]
        self.assertGreater(min(flows), 0)
        self.assertEqual(flows[1], flows[2])
