"""All cells of the fault matrix pass and give the same result in each run."""

import unittest

from wasabigw_verify import matrix
from wasabigw_verify.harness.faults import Fault
from wasabigw_verify.harness.network import Network
from wasabigw_verify.harness.steps import Step
from wasabigw_verify.matrix_cells import Cell


class Matrix(unittest.TestCase):
    """Guards against violated promises, an outdated page and runs that differ."""

    def test_all_cells_hold_and_the_page_is_up_to_date(self) -> None:
        results = matrix.run_cells([*matrix.single_cells(), *matrix.pair_cells()])
        failures = [
            f"{v.cell.name}: {v.detail}" for v in matrix.unexpected_failures(results)
        ]
        self.assertEqual(failures, [])
        number = len(matrix.single_cells())
        page = matrix.make_page(results[:number], results[number:])
        self.assertEqual(matrix.PAGE.read_text(encoding="utf-8"), page)

    def test_the_same_cell_gives_the_same_record(self) -> None:
        injection = (Fault.BALANCER_DIES, Step.REQUEST_SENT)
        cell = Cell((injection,), 3)
        self.assertEqual(matrix.run_cell(cell), matrix.run_cell(cell))


class Networks(unittest.TestCase):
    """Guards against faults of the simulated network that affect other messages."""

    def setUp(self) -> None:
        self.network = Network(seed=1)
        self.received: list[str] = []

    def send(self, source: str, destination: str) -> None:
        self.network.send(source, destination, lambda: self.received.append(source))
        self.network.run(self.network.now + 1.0)

    def test_a_host_with_blocked_outbound_messages_receives_others(self) -> None:
        self.network.outbound_blocked.append(frozenset({"a"}))
        self.send("a", "b")
        self.send("b", "a")
        self.assertEqual(self.received, ["b"])
        self.assertFalse(self.network.is_reachable_both_ways("a", "b"))
        self.network.outbound_blocked.clear()
        self.assertTrue(self.network.is_reachable_both_ways("b", "a"))

    def test_a_frozen_host_handles_messages_after_it_is_unfrozen(self) -> None:
        self.network.frozen_until["b"] = 3.0
        self.send("a", "b")
        self.assertEqual(self.received, [])
        self.network.run(3.5)
        self.assertEqual(self.received, ["a"])


class Pairs(unittest.TestCase):
    """Guards against added faults that change the pairs of the other faults."""

    def test_the_pairs_of_the_first_faults_are_unchanged(self) -> None:
        names = [cell.name for cell in matrix.pair_cells()[:120]]
        self.assertFalse(
            any(fault.value in name for fault in matrix.LATER_FAULTS for name in names)
        )
        self.assertEqual(
            names[0],
            "a balancer dies at change stored, then a balancer dies at answer under "
            "way (seed 405)",
        )
