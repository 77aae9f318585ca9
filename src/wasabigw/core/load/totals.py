"""Running sums of rows of figures, from which rows can be taken out again."""

import operator
from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Row = tuple[float, ...]
"""Figures of one backend server or service, in a fixed order."""


@dataclass(slots=True)
class _Sum:
    """Sum of the rows of a key, and how many they are."""

    values: Row
    rows: int = 0


@dataclass(slots=True)
class Totals(Generic[Key]):
    """Sums by key.

    :param width: number of figures in a row.
    :param overall: sums over all keys.
    """

    width: int
    sums: dict[Key, _Sum] = field(default_factory=dict)
    overall: Row = ()

    def __post_init__(self) -> None:
        self.overall = (0.0,) * self.width

    def of(self, key: Key) -> Row:
        """Sum for a key; zeros if it has no rows."""
        known = self.sums.get(key)
        return (0.0,) * self.width if known is None else known.values


def add_rows(totals: Totals[Key], rows: Mapping[Key, Row]) -> None:
    """Add rows to the sums."""
    totals.overall = add(totals.overall, column_sums(rows.values(), totals.width))
    for key, row in rows.items():
        known = totals.sums.get(key)
        if known is None:
            known = totals.sums[key] = _Sum((0.0,) * totals.width)
        known.values = add(known.values, row)
        known.rows += 1


def remove_rows(totals: Totals[Key], rows: Mapping[Key, Row]) -> None:
    """Take rows out of the sums to which they were added."""
    totals.overall = subtract(totals.overall, column_sums(rows.values(), totals.width))
    for key, row in rows.items():
        known = totals.sums[key]
        known.rows -= 1
        if known.rows == 0:
            # Also discards what rounding has left over.
            del totals.sums[key]
        else:
            known.values = subtract(known.values, row)


def column_sums(rows: Iterable[Row], width: int) -> Row:
    """Sum of each figure over rows."""
    sums: Row = (0.0,) * width
    for row in rows:
        sums = add(sums, row)
    return sums


def add(row: Row, other: Row) -> Row:
    """Sum of two rows."""
    return tuple(map(operator.add, row, other))


def subtract(row: Row, other: Row) -> Row:
    """Difference of two rows."""
    return tuple(map(operator.sub, row, other))
