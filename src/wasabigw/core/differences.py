"""What has changed between two copies of a table whose entries are never changed."""

from collections.abc import Mapping
from itertools import compress
from operator import is_not
from typing import TypeVar

Key = TypeVar("Key", bound=str)
Entry = TypeVar("Entry")


def changed_keys(table: Mapping[Key, Entry], seen: Mapping[Key, Entry]) -> list[Key]:
    """Keys of entries that are new or another object than before.

    It runs without a step of the interpreter for each entry, because a balancer
    compares thousands of entries after each change of the log.
    """
    return list(compress(table, map(is_not, table.values(), map(seen.get, table))))


def removed_keys(
    table: Mapping[Key, Entry], seen: Mapping[Key, Entry], changed: list[Key]
) -> list[Key]:
    """Keys that are gone, sorted.

    :param changed: result of :func:`replaced`.
    """
    added = sum(key not in seen for key in changed)
    if len(seen) + added == len(table):
        return []
    return sorted(seen.keys() - table.keys())
