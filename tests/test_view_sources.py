"""Time that a follower of the delivery view takes to find a current source."""

import unittest

from wasabigw.core.delivery_view import Source
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, Seconds
from wasabigw.core.sources import (
    SourceState,
    next_source,
    record_failure,
    record_stale,
)

RECIFE = FailureDomainId("recife")
HELD = Seconds(0.5)
"""How long a source holds a poll, as the follower asks."""
UNANSWERED = Seconds(0.9)
"""How long the follower waits for a source that accepts a poll but does not answer."""
PAUSE = Seconds(0.02)
SOURCES = 8


def time_to_find(current: Endpoint, state: SourceState, took: Seconds) -> float:
    """Time until ``current`` is polled, if all other sources fail after ``took``."""
    now = Seconds(0.0)
    while now < 60.0:
        source, _ = next_source(state, now)
        if source == current:
            return now
        now = Seconds(now + took)
        record = record_stale if took == HELD else record_failure
        record(state, source, now)
        now = Seconds(now + PAUSE)
    return now


class Search(unittest.TestCase):
    """Guards against a follower that polls the same few sources in turn.

    Followers kept an old configuration for as long as three sources that they
    preferred were not current, although a current one answered.
    """

    def setUp(self) -> None:
        apis = [Endpoint(f"10.0.0.{n}", 7000) for n in range(1, SOURCES + 1)]
        known = tuple(Source(api, RECIFE) for api in apis)
        self.state = SourceState(RECIFE, (), known=known)
        self.least_preferred = apis[-1]

    def test_a_current_source_is_found_behind_sources_that_are_not_current(
        self,
    ) -> None:
        found = time_to_find(self.least_preferred, self.state, HELD)
        self.assertLess(found, SOURCES * (HELD + PAUSE))

    def test_a_source_that_answers_is_found_behind_those_that_do_not(self) -> None:
        found = time_to_find(self.least_preferred, self.state, UNANSWERED)
        self.assertLess(found, SOURCES * (UNANSWERED + PAUSE))


if __name__ == "__main__":
    unittest.main()
