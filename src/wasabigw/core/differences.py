"""Differences between two copies of a table whose entries are immutable."""

from collections.abc import Mapping
from itertools import compress
from operator import is_not
from typing import TypeVar

Key = TypeVar("Key", bound=str)
Entry = TypeVar("Entry")


def changed_keys(
    table: Mapping[Key, Entry], previous: Mapping[Key, Entry]
) -> list[Key]:
    """Keys of entries that are new or are no longer the same object.

    The comparison runs without a Python loop, because a balancer compares thousands
    of entries after each change of the log.
    """
    return list(compress(table, map(is_not, table.values(), map(previous.get, table))))


def removed_keys(
    table: Mapping[Key, Entry], previous: Mapping[Key, Entry], changed: list[Key]
) -> list[Key]:
    """Keys that were removed, sorted.

    :param changed: result of :func:`changed_keys`.
    """
    added = sum(key not in previous for key in changed)
    if len(previous) + added == len(table):
        return []
    return sorted(previous.keys() - table.keys())
