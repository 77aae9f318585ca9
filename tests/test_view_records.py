"""What logs and gauges say of the view that a process holds."""

import math
import unittest

from tests.test_relay import update
from wasabigw.core.ids import FailureDomainId, NodeId, Seconds
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.updates import apply_view_update
from wasabigw.tasks.tag_metrics import families_of
from wasabigw.telemetry.exposition import render

START = Seconds(100.0)


class Ages(unittest.TestCase):
    """Guards against an old view that is shown as a recent one.

    Without a leader, each answer of a relay with a stored view set the age to 0.
    """

    def setUp(self) -> None:
        self.state = TagState(NodeId("balancer-1"), FailureDomainId("recife"))

    def receive(self, revision: int, fresh_for: float, sent_at: float) -> None:
        sent = Seconds(sent_at)
        apply_view_update(update(revision, fresh_for), sent, self.state, sent)

    def test_an_answer_that_is_not_current_does_not_make_the_view_younger(self) -> None:
        self.receive(5, 1.5, START)
        for poll in range(1, 20):
            self.receive(5, 0.0, START + poll)
        self.assertEqual(self.state.view_age(Seconds(START + 20)), 20.0)

    def test_a_view_that_was_never_current_has_no_age(self) -> None:
        self.receive(5, 0.0, START)
        self.assertEqual(self.state.view_age(Seconds(START + 1)), math.inf)
        families = families_of(self.state, {}, {}, 0, 0, Seconds(START + 1))
        self.assertIn("wasabigw_view_age_seconds +Inf", render(families).decode())


if __name__ == "__main__":
    unittest.main()
