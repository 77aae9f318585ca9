"""Diversion of callers to the balancers of other failure domains."""

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
from wasabigw.core.tags.liveness.caller_diversion import (
    DIVERSION_TIME,
    MIN_UNSERVED_OPENINGS,
    decay_counts,
    should_divert,
)
from wasabigw.core.tags.packets import FlowId, FlowPacket

PARTITIONED_AT = 2.0
"""When the view goes stale, as in a balancer that is partitioned."""
DECIDED_AT = PARTITIONED_AT + 0.7


def openings(count: int, repeat: int = 0) -> Iterable[FlowPacket]:
    """Opening packets, each from another caller."""
    for number in range(count):
        flow = FlowId(0x64400007 + number, 1, LISTENER, 443)
        yield FlowPacket(flow, Tag(0), True, False, False, repeat, 100, 0, 0)


class CallerDiversion(SteeringCase):
    """Guards against balancers that stay ready but can't serve their callers.

    If a failure domain without backend servers for a service was partitioned, all
    openings of its callers were lost until the partition ended.
    """

    def setUp(self) -> None:
        super().setUp()
        self.state.fresh_until = Seconds(PARTITIONED_AT)

    def fail_all(
        self, *boots: Registration, count: int = MIN_UNSERVED_OPENINGS
    ) -> None:
        """Leave openings and their retransmissions unanswered."""
        self.register(*boots)
        for repeat, pause in enumerate((0.0, 0.2, 0.6)):
            for packet in openings(count, repeat):
                self.decide(packet, PARTITIONED_AT + pause)

    def should_divert(self, now: float) -> bool:
        seconds = Seconds(now)
        return should_divert(
            self.state.diversion, self.state.is_fresh(seconds), seconds
        )

    def test_callers_are_diverted_if_only_others_have_backend_servers(self) -> None:
        self.fail_all(boot(1, FORTALEZA), boot(2, FORTALEZA), count=6)
        self.assertTrue(self.should_divert(DECIDED_AT))

    def test_they_stay_if_the_local_backend_servers_have_failed(self) -> None:
        # Balancers in other failure domains can't reach these either.
        self.fail_all(boot(1, RECIFE), boot(2, FORTALEZA), count=6)
        self.assertFalse(self.should_divert(DECIDED_AT))

    def test_they_stay_while_the_view_is_current(self) -> None:
        self.state.fresh_until = Seconds(100.0)
        self.fail_all(boot(1, FORTALEZA), count=6)
        self.assertFalse(self.should_divert(DECIDED_AT))

    def test_they_stay_if_only_a_few_openings_are_unserved(self) -> None:
        self.fail_all(boot(1, FORTALEZA), count=1)
        self.assertFalse(self.should_divert(DECIDED_AT))

    def test_they_stay_while_most_openings_are_served(self) -> None:
        self.register(boot(1))
        for packet in openings(40):
            self.decide(packet, PARTITIONED_AT)
        self.fail_all(boot(2, FORTALEZA), count=6)
        self.assertFalse(self.should_divert(DECIDED_AT))

    def test_the_diversion_ends_when_the_view_is_current_again(self) -> None:
        self.fail_all(boot(1, FORTALEZA), count=6)
        self.assertTrue(self.should_divert(DECIDED_AT))
        self.state.fresh_until = Seconds(100.0)
        self.assertFalse(self.should_divert(DECIDED_AT + 0.2))

    def test_the_diversion_ends_after_its_time(self) -> None:
        self.fail_all(boot(1, FORTALEZA), count=6)
        self.assertTrue(self.should_divert(DECIDED_AT))
        self.assertTrue(self.should_divert(DECIDED_AT + DIVERSION_TIME - 0.1))
        self.assertFalse(self.should_divert(DECIDED_AT + DIVERSION_TIME))

    def test_old_openings_cause_no_diversion(self) -> None:
        self.fail_all(boot(1, FORTALEZA), count=6)
        for _ in range(4):
            decay_counts(self.state.diversion)
        self.assertFalse(self.should_divert(PARTITIONED_AT + 4.0))


if __name__ == "__main__":
    unittest.main()
