"""Balancers that send their callers to other failure domains."""

import unittest
from collections.abc import Iterable

from tests.test_tag_steering import (
    FORTALEZA,
    LISTENER,
    RECIFE,
    SteeringCase,
    boot,
)
from wasabigw.core.ids import Seconds, Tag
from wasabigw.core.registration import Registration
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.reach import (
    DIVERSION_TIME,
    MIN_UNSERVED_OPENINGS,
    decay_counts,
    should_divert,
)

CUT_AT = 2.0
"""When the view goes stale, as that of a balancer that is cut off."""
DECIDED_AT = CUT_AT + 0.7


def openings(count: int, repeat: int = 0) -> Iterable[FlowPacket]:
    """Opening packets of as many callers."""
    for number in range(count):
        flow = FlowId(0x64400007 + number, 1, LISTENER, 443)
        yield FlowPacket(flow, Tag(0), True, False, False, repeat, 100, 0, 0)


class Reaches(SteeringCase):
    """Guards against callers that only the balancers of other domains could serve.

    A failure domain without backend servers for a service was cut off. Its balancers
    stayed ready, so that all openings of its callers were lost until the cut ended.
    """

    def setUp(self) -> None:
        super().setUp()
        self.state.fresh_until = Seconds(CUT_AT)

    def fail_all(
        self, *boots: Registration, count: int = MIN_UNSERVED_OPENINGS
    ) -> None:
        """Let openings and their copies go unanswered."""
        self.register(*boots)
        for repeat, pause in enumerate((0.0, 0.2, 0.6)):
            for packet in openings(count, repeat):
                self.decide(packet, CUT_AT + pause)

    def should_divert(self, now: float) -> bool:
        seconds = Seconds(now)
        return should_divert(
            self.state.diversion, self.state.is_fresh(seconds), seconds
        )

    def test_callers_are_sent_away_if_only_others_have_backend_servers(self) -> None:
        self.fail_all(boot(1, FORTALEZA), boot(2, FORTALEZA), count=6)
        self.assertTrue(self.should_divert(DECIDED_AT))

    def test_they_stay_where_own_backend_servers_have_failed(self) -> None:
        # Balancers elsewhere reach no more of them.
        self.fail_all(boot(1, RECIFE), boot(2, FORTALEZA), count=6)
        self.assertFalse(self.should_divert(DECIDED_AT))

    def test_they_stay_while_the_view_is_current(self) -> None:
        self.state.fresh_until = Seconds(100.0)
        self.fail_all(boot(1, FORTALEZA), count=6)
        self.assertFalse(self.should_divert(DECIDED_AT))

    def test_a_few_unserved_openings_show_nothing(self) -> None:
        self.fail_all(boot(1, FORTALEZA), count=1)
        self.assertFalse(self.should_divert(DECIDED_AT))

    def test_they_stay_while_most_openings_are_served(self) -> None:
        self.register(boot(1))
        for packet in openings(40):
            self.decide(packet, CUT_AT)
        self.fail_all(boot(2, FORTALEZA), count=6)
        self.assertFalse(self.should_divert(DECIDED_AT))

    def test_they_come_back_when_the_view_is_current_again(self) -> None:
        self.fail_all(boot(1, FORTALEZA), count=6)
        self.assertTrue(self.should_divert(DECIDED_AT))
        self.state.fresh_until = Seconds(100.0)
        self.assertFalse(self.should_divert(DECIDED_AT + 0.2))

    def test_they_come_back_after_a_time_so_that_it_is_tried_again(self) -> None:
        self.fail_all(boot(1, FORTALEZA), count=6)
        self.assertTrue(self.should_divert(DECIDED_AT))
        self.assertTrue(self.should_divert(DECIDED_AT + DIVERSION_TIME - 0.1))
        self.assertFalse(self.should_divert(DECIDED_AT + DIVERSION_TIME))

    def test_what_was_noted_is_forgotten(self) -> None:
        self.fail_all(boot(1, FORTALEZA), count=6)
        for _ in range(4):
            decay_counts(self.state.diversion)
        self.assertFalse(self.should_divert(CUT_AT + 4.0))


if __name__ == "__main__":
    unittest.main()
