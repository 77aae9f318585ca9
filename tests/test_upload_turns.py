"""Uploads that begin at the same moment at a balancer with a narrow link."""

from tests.test_link_classes import LinkCase, data, opening
from tests.test_tag_steering import LISTENER
from wasabigw.core.ids import Seconds
from wasabigw.core.tags.admission.fair_queue import Datagram
from wasabigw.core.tags.features import Features
from wasabigw.core.tags.link.egress import MAX_OPENING_WAIT, make_egress_queue
from wasabigw.core.tags.link.upload_turns import (
    SILENCE_TIME,
    expire_turns,
    needs_turn,
    take_turns,
    wait_for_turn,
)
from wasabigw.core.tags.liveness.domain_suspicion import collect_evidence
from wasabigw.core.tags.openings import pop_overdue
from wasabigw.core.tags.state import RequestSize
from wasabigw.core.tags.steering import record_release

PACKETS = 17
"""Packets of a usual upload of 20,000 bytes."""
CALLERS = range(1, 4)


class UploadTurns(LinkCase):
    """Guards against windows of several uploads that flood the link into a balancer.

    Each caller sends 16 packets at once as soon as its flow is open. Two of them took
    longer than the 0.1 s that a link of 2 Mbit/s queues, and all callers lost packets.
    """

    def setUp(self) -> None:
        super().setUp()
        for caller in CALLERS:
            self.begin(caller)

    def begin(self, caller: int, now: float = 0.0) -> None:
        """Decide on an opening and let it wait for its turn."""
        self.tag_of(opening(caller), now)
        datagram = Datagram(b"", ("10.0.0.1", 1))
        wait_for_turn(opening(caller), datagram, self.state, Seconds(now))

    def taken(self, now: float) -> list[int]:
        """Callers whose uploads may begin."""
        callers = []
        for waiting in take_turns(self.state, Seconds(now)):
            record_release(waiting.packet, self.state, Seconds(now))
            callers.append(waiting.packet.flow.caller)
        return callers

    def upload(self, caller: int, packets: int, now: float) -> None:
        tag = self.state.flows[opening(caller).flow].server.registration.tag
        for number in range(packets):
            self.decide(data(caller, tag, number), now)

    def test_the_next_begins_when_little_is_missing_of_the_one_before(self) -> None:
        self.assertEqual(self.taken(0.0), [1])
        self.upload(1, 8, now=0.02)
        self.assertEqual(self.taken(0.03), [])
        self.upload(1, PACKETS, now=0.08)
        self.assertEqual(self.taken(0.09), [2])

    def test_a_short_upload_ends_its_turn_with_its_answer(self) -> None:
        self.taken(0.0)
        self.upload(1, 2, now=0.02)
        tag = self.state.flows[opening(1).flow].server.registration.tag
        answer = data(1, tag, 2, acknowledged=300)._replace(length=0)
        self.decide(answer, 0.05)
        self.assertEqual(self.taken(0.06), [2])

    def test_a_silent_caller_holds_up_others_for_a_bounded_time(self) -> None:
        self.taken(0.0)
        self.assertEqual(self.taken(SILENCE_TIME - 0.01), [])
        self.assertEqual(self.taken(SILENCE_TIME), [2])

    def test_a_copy_keeps_its_place_and_is_no_evidence(self) -> None:
        self.taken(0.0)
        self.upload(1, 2, now=0.02)
        self.decide(opening(2)._replace(repeat=1), 0.2)
        self.begin(2, now=0.2)
        collect_evidence(self.state, Seconds(0.25))
        self.assertEqual(self.state.health_changes, [])
        self.assertEqual(self.state.suspicions, {})
        self.assertEqual(pop_overdue(self.state, Seconds(0.25)), [])
        self.assertEqual(self.taken(0.03 + SILENCE_TIME), [2])

    def test_one_that_waits_too_long_is_dropped(self) -> None:
        self.taken(0.0)
        late = Seconds(MAX_OPENING_WAIT + 0.01)
        dropped = [w.packet.flow.caller for w in expire_turns(self.state, late)]
        self.assertEqual(dropped, list(CALLERS)[1:])
        self.assertTrue(self.state.egress.is_empty)

    def test_on_a_fast_link_all_begin_at_once(self) -> None:
        turns = self.state.egress.turns
        self.state.egress = make_egress_queue(100.0)
        self.state.egress.turns = turns
        self.assertEqual(self.taken(0.0), list(CALLERS))

    def test_only_uploads_at_a_classed_link_take_turns(self) -> None:
        self.assertTrue(needs_turn(opening(9), self.state))
        self.assertFalse(needs_turn(data(9, 1, 0), self.state))
        self.state.features = Features(egress_classes=False)
        self.assertFalse(needs_turn(opening(9), self.state))
        self.state.features = Features()
        self.state.request_sizes[LISTENER, 80] = RequestSize(900.0, 9)
        self.assertFalse(needs_turn(opening(9), self.state))
