"""Flows of backend servers that can't be reached are given up, and no others."""

import unittest

from tests.test_tag_steering import SteeringCase, boot, data, opening
from wasabigw.core.ids import Tag
from wasabigw.core.tags.decisions import Deliver, Refuse, RefuseReason
from wasabigw.core.tags.packets import FlowPacket
from wasabigw.core.tags.steering import is_server_lost, refuse_open_flows


class LostServers(SteeringCase):
    """Guards against callers that wait for a backend server that is gone.

    Callers send data again after 0.2 and 0.6 s, and give up seconds later.
    """

    def setUp(self) -> None:
        super().setUp()
        self.register(boot(1), boot(2))

    def open(self, port: int, now: float, tag: int = 1) -> None:
        """Open a flow, which is a sign of life, with its first request."""
        self.decide(self.by_caller(data(tag, port=port)), now=now)
        request = data(tag, port=port, acknowledged=600, sequence=111)
        self.decide(self.by_caller(request), now=now)

    @staticmethod
    def by_caller(packet: FlowPacket) -> FlowPacket:
        """The same packet of a caller with an address of its own for each port."""
        flow = packet.flow
        return packet._replace(flow=flow._replace(caller=flow.caller_port))

    def send(self, port: int, now: float) -> str:
        """Let a caller send its request of that time; how it is decided."""
        packet = self.by_caller(data(1, port=port, acknowledged=600, sequence=111))
        decision = self.decide(packet, now)
        if isinstance(decision, Refuse):
            self.assertIs(decision.reason, RefuseReason.SERVER_LOST)
            return "refused"
        assert isinstance(decision, Deliver)
        return "delivered"

    def test_a_flow_is_given_up_with_the_second_copy(self) -> None:
        self.open(1, now=1.0)
        sent = [self.send(1, now=now) for now in (1.2, 1.6)]
        self.assertEqual(sent, ["delivered", "refused"])

    def test_the_other_flows_are_given_up_with_their_next_data(self) -> None:
        for port in (1, 2):
            self.open(port, now=1.0)
        self.assertEqual(self.send(1, now=1.2), "delivered")
        self.assertEqual(self.send(1, now=1.6), "refused")
        # The next request of the other flow, which had none open.
        self.assertEqual(self.send(2, now=1.7), "refused")

    def test_first_copies_of_two_flows_are_enough(self) -> None:
        for port in (1, 2, 3):
            self.open(port, now=1.0)
        sent = [self.send(port, now=1.2) for port in (1, 2, 3)]
        self.assertEqual(sent, ["delivered", "refused", "refused"])

    def given_up(self, port: int) -> list[int]:
        """Ports of the flows that are given up after a refusal."""
        packet = self.by_caller(data(1, port=port))
        found = refuse_open_flows(packet, self.state)
        self.assertTrue(all(is_server_lost(refused) for refused in found))
        return sorted(refused.packet.flow.caller_port for refused in found)

    def test_flows_without_requests_are_given_up_on_the_word_of_two_callers(
        self,
    ) -> None:
        # Their next requests were lost, those that must not be repeated for good.
        for port in (1, 2, 3, 4):
            self.open(port, now=1.0)
        self.open(5, now=1.0, tag=2)
        self.send(1, now=1.2)
        self.assertEqual(self.given_up(1), [])
        self.assertEqual(self.send(2, now=1.2), "refused")
        self.assertEqual(self.given_up(2), [1, 3, 4])
        self.assertEqual(self.given_up(2), [])
        self.assertEqual(self.state.servers[Tag(1)].open_flows, 0)
        self.assertEqual(self.state.servers[Tag(2)].open_flows, 1)

    def test_the_reset_fits_what_the_caller_acknowledged_last(self) -> None:
        for port in (1, 2, 3):
            self.open(port, now=1.0)
        for port in (1, 2):
            self.send(port, now=1.2)
        found = refuse_open_flows(self.by_caller(data(1, port=2)), self.state)
        self.assertEqual({refused.packet.acknowledged for refused in found}, {600})

    def test_two_copies_of_one_flow_are_one_doubt(self) -> None:
        self.open(1, now=1.0)
        sent = [self.send(1, now=now) for now in (1.2, 1.3)]
        self.assertEqual(sent, ["delivered", "delivered"])

    def test_new_flows_avoid_it_from_the_first_copy_on(self) -> None:
        self.open(1, now=1.0)
        self.send(1, now=1.2)
        tags = {self.tag_of(opening(p), now=1.3) for p in range(20, 30)}
        self.assertEqual(tags, {2})

    def test_a_sign_of_life_keeps_all_flows(self) -> None:
        for port in (1, 2):
            self.open(port, now=1.0)
        self.send(1, now=1.2)
        sign = data(1, port=2, acknowledged=700, sequence=121)
        self.decide(self.by_caller(sign), now=1.4)
        sent = [self.send(1, now=now) for now in (1.6, 2.4)]
        self.assertEqual(sent, ["delivered", "delivered"])

    def test_copies_that_arrive_at_once_show_nothing(self) -> None:
        # A balancer that was frozen reads what its callers sent meanwhile.
        self.open(1, now=1.0)
        sent = [self.send(1, now=now) for now in (1.01, 1.01, 1.02)]
        self.assertEqual(sent, ["delivered"] * 3)

    def test_a_loss_is_forgotten(self) -> None:
        # The backend server may be back, and its flows may be alive.
        for port in (1, 2):
            self.open(port, now=1.0)
        self.send(1, now=1.2)
        self.send(1, now=1.6)
        self.assertEqual(self.send(2, now=3.2), "delivered")

    def test_acknowledgements_alone_are_never_refused(self) -> None:
        self.open(1, now=1.0)
        packet = data(1, acknowledged=600, sequence=111)._replace(length=0)
        for now in (1.2, 1.6, 2.4):
            self.assertIsInstance(self.decide(packet, now), Deliver)


if __name__ == "__main__":
    unittest.main()
