"""The fault matrix holds, is repeatable, and notices faults in the product."""

import unittest

from wasabigw_verify import matrix
from wasabigw_verify.harness.faults import Fault
from wasabigw_verify.harness.steps import Step
from wasabigw_verify.matrix_cells import Cell


class Matrix(unittest.TestCase):
    """Guards against faults that break a promise, and against an old page."""

    def test_all_cells_hold_and_the_page_is_up_to_date(self) -> None:
        verdicts = matrix.run_cells([*matrix.single_cells(), *matrix.pair_cells()])
        wrong = [f"{v.cell.name}: {v.detail}" for v in matrix.unexpected(verdicts)]
        self.assertEqual(wrong, [])
        number = len(matrix.single_cells())
        page = matrix.make_page(verdicts[:number], verdicts[number:])
        self.assertEqual(matrix.PAGE.read_text(encoding="utf-8"), page)

    def test_the_same_cell_gives_the_same_record(self) -> None:
        injection = (Fault.BALANCER_DIES, Step.REQUEST_SENT)
        cell = Cell((injection,), 3)
        self.assertEqual(matrix.run_cell(cell), matrix.run_cell(cell))
