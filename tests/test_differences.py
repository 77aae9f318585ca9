"""Changes of a table are found, whatever was replaced, added or removed."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from wasabigw.core.differences import changed_keys, removed_keys


class Entry:
    """Compared by identity, as the entries of the replicated state are."""


_POOL = [Entry() for _ in range(4)]
_TABLES = st.dictionaries(st.sampled_from("abcdef"), st.sampled_from(_POOL))


class Differences(unittest.TestCase):
    """Guards against a balancer that overlooks an entry of the log."""

    @given(_TABLES, _TABLES)
    def test_same_as_a_look_at_each_entry(
        self, table: dict[str, Entry], seen: dict[str, Entry]
    ) -> None:
        changed = changed_keys(table, seen)
        expected = [key for key in table if seen.get(key) is not table[key]]
        self.assertEqual(changed, expected)
        gone = sorted(key for key in seen if key not in table)
        self.assertEqual(removed_keys(table, seen, changed), gone)
