"""Bucket tables move few buckets and keep former backend servers as candidates."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from wasabigw.core import buckets
from wasabigw.core.ids import BackendServerId, BucketNumber, Revision
from wasabigw.core.states import CandidateReason
from wasabigw.core.timing import BUCKETS_PER_SERVICE

NAMES = [BackendServerId(f"b{number}") for number in range(8)]
WEIGHTS = st.dictionaries(
    st.sampled_from(NAMES), st.integers(min_value=0, max_value=8), max_size=8
)


class AssignBuckets(unittest.TestCase):
    """Guards against flows broken by unnecessary moves, and against imbalance."""

    @given(WEIGHTS, WEIGHTS)
    def test_quotas_are_met_after_any_change(
        self, before: dict[BackendServerId, int], after: dict[BackendServerId, int]
    ) -> None:
        empty = buckets.empty_table().current
        first = buckets.assign_buckets(empty, before)
        second = buckets.assign_buckets(first, after)
        counts = {name: second.count(name) for name in set(second) if name}
        self.assertEqual(counts, buckets.quotas(after) | counts)
        if any(after.values()):
            self.assertEqual(sum(counts.values()), BUCKETS_PER_SERVICE)

    def test_join_moves_only_buckets_of_the_new_backend_server(self) -> None:
        weights = dict.fromkeys(NAMES[:7], 1)
        first = buckets.assign_buckets(buckets.empty_table().current, weights)
        second = buckets.assign_buckets(first, {**weights, NAMES[7]: 1})
        receivers = {b for a, b in zip(first, second, strict=True) if a != b}
        self.assertEqual(receivers, {NAMES[7]})

    def test_former_backend_server_stays_a_candidate_until_released(self) -> None:
        table = buckets.empty_table()
        one = buckets.assign_buckets(table.current, {NAMES[0]: 1})
        buckets.move_buckets(table, one, Revision(1), NAMES)
        two = buckets.assign_buckets(table.current, {NAMES[1]: 1})
        buckets.move_buckets(table, two, Revision(2), NAMES)
        bucket = BucketNumber(0)
        [candidate] = table.others[bucket]
        self.assertEqual(candidate.backend_server, NAMES[0])
        self.assertIs(candidate.reason, CandidateReason.FORMER)
        buckets.release_candidates(table, NAMES[0], [bucket], Revision(2))
        self.assertNotIn(bucket, table.others)
