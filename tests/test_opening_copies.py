"""Copies of openings, and the flow that a late answer to one of them must not move."""

import unittest
from dataclasses import replace

from tests.test_tag_steering import SteeringCase, boot, data, opening
from wasabigw.core.ids import Seconds, Tag
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.flow_table import MAX_BYTES_UNSEEN
from wasabigw.core.tags.packets import FlowPacket


def second_copy(port: int = 1) -> FlowPacket:
    """The copy that a caller sends after 0.2 s."""
    return opening(port, repeat=1)


def third_copy(port: int = 1) -> FlowPacket:
    """The copy that a caller sends after 0.6 s."""
    return opening(port, repeat=2)


class LostAnswers(SteeringCase):
    """Guards against two backend servers that answer one opening.

    The answer of the first one was lost, the copy opened the flow at another one, and
    the first one reset it after its second answer had changed the tag (review/11).
    """

    def setUp(self) -> None:
        super().setUp()
        self.register(boot(1), boot(2))
        self.first = self.tag_of(opening())
        self.other = 3 - self.first

    def test_the_second_copy_reaches_the_same_server(self) -> None:
        self.assertEqual(self.tag_of(second_copy(), now=0.2), self.first)

    def test_a_first_copy_that_arrives_twice_reaches_one_server(self) -> None:
        self.assertEqual(self.tag_of(opening(), now=0.05), self.first)

    def test_no_copy_reaches_another_server_if_the_first_answers_others(self) -> None:
        self.decide(data(self.first, port=50), now=0.05)
        self.decide(data(self.first, port=50, acknowledged=600), now=0.15)
        self.assertEqual(self.tag_of(second_copy(), now=0.2), self.first)
        self.assertEqual(self.tag_of(third_copy(), now=0.6), self.first)

    def test_the_last_copy_reaches_another_server_if_none_was_answered(self) -> None:
        # Guards against callers of a lost host whose attempt fails.
        self.decide(second_copy(), now=0.2)
        self.assertEqual(self.tag_of(third_copy(), now=0.6), self.other)

    def test_a_server_that_is_silent_to_another_flow_gets_no_copy(self) -> None:
        # Guards against callers of a lost host that wait for longer than necessary.
        other = [opening(port) for port in range(10, 14)]
        other = [p._replace(flow=p.flow._replace(caller=9)) for p in other]
        tags = {self.tag_of(packet, now=0.01) for packet in other}
        self.assertIn(self.first, tags)
        self.assertEqual(self.tag_of(second_copy(), now=0.2), self.other)

    def test_a_server_that_leaves_gets_no_copy(self) -> None:
        # Guards against openings at a draining server, also by copies.
        drained = boot(self.first, state=RegistrationState.DRAINING)
        self.register(drained, boot(self.other))
        self.assertEqual(self.tag_of(second_copy(), now=0.05), self.other)


class LateAnswers(SteeringCase):
    """Guards against the reset of an open flow by the backend server of a late answer.

    Two backend servers have answered copies of the opening, and the caller returns the
    tag of the latest answer.
    """

    def setUp(self) -> None:
        super().setUp()
        self.register(boot(1), boot(2))
        self.home = self.tag_of(opening())
        self.late = 3 - self.home
        self.decide(data(self.home), now=0.01)

    def test_data_stays_at_the_server_that_was_taken(self) -> None:
        for now in (0.2, 0.6, 5.0):
            self.assertEqual(self.tag_of(data(self.late), now=now), self.home)

    def test_the_end_and_a_reset_reach_the_server_that_was_taken(self) -> None:
        closing = data(self.late, closing=True)
        self.assertEqual(self.tag_of(closing, now=0.2), self.home)
        reset = data(self.late)._replace(is_reset=True, length=0)
        self.assertEqual(self.tag_of(reset, now=0.3), self.home)

    def test_a_flow_that_opened_elsewhere_stays_there(self) -> None:
        self.assertEqual(self.tag_of(data(self.late, port=9)), self.late)
        self.assertEqual(self.tag_of(data(self.home, port=9), now=0.2), self.late)

    def test_a_later_flow_from_the_same_port_follows_its_tag(self) -> None:
        # Guards against packets of a flow that was opened through another balancer.
        for ahead in (MAX_BYTES_UNSEEN + 100, 2**31):
            other = data(self.late, sequence=101 + ahead)
            self.assertEqual(self.tag_of(other, now=0.2), self.late)
            self.decide(data(self.home), now=0.3)

    def test_the_tag_counts_if_the_other_server_is_forgotten(self) -> None:
        self.register(boot(self.late))
        self.assertEqual(self.tag_of(data(self.late), now=0.2), self.late)

    def test_the_tag_counts_if_the_other_host_is_unreachable(self) -> None:
        breaker = self.state.servers[Tag(self.home)].breaker
        breaker.unreachable_at = Seconds(0.1)
        self.assertEqual(self.tag_of(data(self.late), now=0.2), self.late)

    def test_an_open_flow_stays_at_a_server_that_leaves(self) -> None:
        leaving = replace(boot(self.home), state=RegistrationState.DRAINING)
        self.register(leaving, boot(self.late))
        self.assertEqual(self.tag_of(data(self.late), now=0.2), self.home)


if __name__ == "__main__":
    unittest.main()
