"""All changes of a table are found: replaced, added and removed entries."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from wasabigw.core.differences import changed_keys, removed_keys


class Entry:
    """Compared by identity, as the entries of the replicated state are."""


_POOL = [Entry() for _ in range(4)]
_TABLES = st.dictionaries(st.sampled_from("abcdef"), st.sampled_from(_POOL))


class Differences(unittest.TestCase):
    """Guards against a balancer that misses a change of the replicated state."""

    @given(_TABLES, _TABLES)
    def test_same_result_as_a_comparison_of_each_entry(
        self, table: dict[str, Entry], previous: dict[str, Entry]
    ) -> None:
        changed = changed_keys(table, previous)
        expected = [key for key in table if previous.get(key) is not table[key]]
        self.assertEqual(changed, expected)
        gone = sorted(key for key in previous if key not in table)
        self.assertEqual(removed_keys(table, previous, changed), gone)
