"""Bounds of one report, when the sums of the others are nearly empty."""

import unittest

from wasabigw.core.load.bounds import limit_answer_times, limit_totals
from wasabigw.core.load.rows import ANSWER_TIME, SERVER_WIDTH
from wasabigw.core.load.totals import Totals, add_rows, remove_rows

TAG = 1
NO_ANSWERS = (1.0, 0.0, 0.0, 0.0, 0.0)
ANSWERED = (1.0, 1.0, 1.0, 3.0, 0.05)
ROUNDING_ERROR = 1e-17


class RoundingErrors(unittest.TestCase):
    """Guards against relays that fail when answers cease while links are full."""

    def test_times_are_not_limited_by_what_rounding_has_left(self) -> None:
        others: Totals[int] = Totals(SERVER_WIDTH)
        add_rows(others, {TAG: NO_ANSWERS})
        add_rows(others, {TAG: (0.0, 0.0, 0.0, ROUNDING_ERROR, 0.0)})
        add_rows(others, {TAG: (0.0, 0.0, 0.0, 0.0, 2 * ROUNDING_ERROR)})
        remove_rows(others, {TAG: (0.0, 0.0, 0.0, 0.0, 3 * ROUNDING_ERROR)})
        limited = limit_answer_times({TAG: ANSWERED}, others)
        self.assertEqual(limited[TAG], ANSWERED)

    def test_totals_below_zero_count_as_zero(self) -> None:
        others = (1.0, 1.0, 1.0, 1.0, -50.0)
        limited = limit_totals({TAG: NO_ANSWERS}, others, count=1)
        self.assertEqual(limited[TAG], NO_ANSWERS)

    def test_times_stay_positive(self) -> None:
        others: Totals[int] = Totals(SERVER_WIDTH)
        add_rows(others, {TAG: (1.0, 1.0, 1.0, 1.0, -ROUNDING_ERROR)})
        limited = limit_answer_times({TAG: ANSWERED}, others)
        self.assertGreaterEqual(limited[TAG][ANSWER_TIME], 0.0)


if __name__ == "__main__":
    unittest.main()
