"""Bounds of what one report contributes to the sums.

A balancer whose figures are wrong must not move more than a few shares of the load.
What it reports in total counts at most as a small multiple of what the others report
on average. So do the answer times of each backend server.
"""

from collections.abc import Mapping

from wasabigw.core.load.rows import ANSWER_TIME, ANSWERS
from wasabigw.core.load.totals import Key, Row, Totals, column_sums

MAX_TIMES_MEAN = 4.0
"""How many times the mean of the other reports one report counts at most."""
SLACK = 4.0
"""What a report may contribute in total while the others report nothing."""
MIN_ANSWERS = 0.5
"""Fewest answers of the others by which times are limited.

Sums from which rows were taken out keep rounding errors of either sign.
"""


def limit_totals(rows: Mapping[Key, Row], others: Row, count: int) -> dict[Key, Row]:
    """Reduce rows in proportion, so that no total exceeds its limit.

    :param others: totals of the other reports.
    :param count: number of the other reports; without any there is no limit.
    """
    if not rows or count == 0:
        return dict(rows)
    own = column_sums(rows.values(), len(others))
    factors = [_factor(a, b / count) for a, b in zip(own, others, strict=True)]
    if len(factors) > ANSWER_TIME:
        # Times are limited with the answers that they belong to.
        factors[ANSWER_TIME] = factors[ANSWERS]
    if min(factors) == 1.0:
        return dict(rows)
    return {
        key: tuple(a * b for a, b in zip(row, factors, strict=True))
        for key, row in rows.items()
    }


def _factor(own: float, mean: float) -> float:
    limit = MAX_TIMES_MEAN * max(mean, 0.0) + SLACK
    return limit / own if own > limit else 1.0


def limit_answer_times(rows: Mapping[Key, Row], others: Totals[Key]) -> dict[Key, Row]:
    """Limit the mean answer time of each row by that of the others.

    :param others: sums of the other reports.
    """
    return {key: _with_limited_time(row, others.of(key)) for key, row in rows.items()}


def _with_limited_time(row: Row, others: Row) -> Row:
    if row[ANSWERS] <= 0 or others[ANSWERS] < MIN_ANSWERS:
        return row
    mean = max(others[ANSWER_TIME], 0.0) / others[ANSWERS]
    limit = MAX_TIMES_MEAN * mean * row[ANSWERS]
    return row if row[ANSWER_TIME] <= limit else (*row[:ANSWER_TIME], limit)
