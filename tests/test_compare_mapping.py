"""Tests that the comparison of mapping schemes is reproducible and fair."""

import unittest
from collections import Counter
from unittest import mock

from wasabigw.core.ids import BackendServerId
from wasabigw_measure import _mapping_world as world
from wasabigw_measure._mapping_buckets import StableBuckets
from wasabigw_measure._mapping_run import Run, RunResult
from wasabigw_measure._mapping_scheme import Scheme
from wasabigw_measure._mapping_stateless import HashModulo
from wasabigw_measure._mapping_tables import MAGLEV_TABLE_SIZE, maglev_table


class MappingComparison(unittest.TestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(world, "FLOWS", 400)
        patch.start()
        self.addCleanup(patch.stop)

    def measure(self, scheme: Scheme) -> RunResult:
        return Run(scheme, seed=5).run()

    def test_run_with_the_same_seed_gives_the_same_figures(self) -> None:
        """Guards against results that depend on more than scheme and seed."""
        first = self.measure(StableBuckets("a"))
        self.assertEqual(first, self.measure(StableBuckets("b")))

    def test_schemes_see_the_same_flows_and_changes(self) -> None:
        """Guards against a workload that depends on the scheme.

        A scheme with an easier workload would look better than it is.
        """
        modulo = self.measure(HashModulo("modulo"))
        stable = self.measure(StableBuckets("stable"))
        self.assertEqual(modulo.opened, stable.opened)
        self.assertEqual(modulo.server_changes, stable.server_changes)
        self.assertEqual(modulo.node_changes, stable.node_changes)
        self.assertEqual(modulo.server_changes, world.BACKEND_SERVER_CHANGES)
        self.assertGreater(modulo.misdirected, 0)

    def test_shares_of_the_lookup_table_differ_by_few_slots(self) -> None:
        """Guards against a Maglev table less even than that of the paper."""
        servers = tuple(BackendServerId(f"server-{number}") for number in range(10))
        shares = Counter(maglev_table(servers)).values()
        self.assertEqual(sum(shares), MAGLEV_TABLE_SIZE)
        self.assertLessEqual(max(shares) - min(shares), 1)
