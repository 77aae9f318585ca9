"""The measurement of decisions is repeatable and fair."""

import unittest
from unittest import mock

from wasabigw_measure import _decisions_runs as runs
from wasabigw_measure._decisions_runs import Figures, Job, measure
from wasabigw_measure._decisions_world import SCHEMES


class Measurement(unittest.TestCase):
    def setUp(self) -> None:
        for name, value in (("TRAFFIC_ENDS", 24.0), ("END", 34.0)):
            patch = mock.patch.object(runs, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def measure(self, scheme: str) -> Figures:
        return measure(Job(1, scheme, "domain", 4))

    def test_a_run_with_the_same_seed_gives_the_same_figures(self) -> None:
        """Guards against figures that nobody can reproduce."""
        self.assertEqual(self.measure("project"), self.measure("project"))

    def test_schemes_see_callers_at_the_same_rate(self) -> None:
        """Guards against a scheme that looks better with fewer callers."""
        found = [self.measure(scheme).flows for scheme in SCHEMES]
        self.assertGreater(min(found), 0)
        self.assertEqual(found[1], found[2])
