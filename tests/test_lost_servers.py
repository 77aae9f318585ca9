"""Refusal of open flows whose backend server is unreachable."""

import unittest

from tests.test_tag_steering import SteeringCase, boot, data, opening
from wasabigw.core.ids import Tag
from wasabigw.core.tags.decisions import Deliver, RefusalReason, Refuse
from wasabigw.core.tags.packets import FlowPacket
from wasabigw.core.tags.steering import is_server_lost, refuse_open_flows


class LostServers(SteeringCase):
    """Guards against callers that wait for an unreachable backend server.

    Without a reset they retransmit after 0.2 and 0.6 s, and time out seconds later.
    """

    def setUp(self) -> None:
        super().setUp()
        self.register(boot(1), boot(2))

    def open(self, port: int, now: float, tag: int = 1) -> None:
        """Open a flow, which counts as a response, and send its first request."""
        self.decide(self.by_caller(data(tag, port=port)), now=now)
        request = data(tag, port=port, acknowledged=600, sequence=111)
        self.decide(self.by_caller(request), now=now)

    @staticmethod
    def by_caller(packet: FlowPacket) -> FlowPacket:
        """The same packet from another caller, whose address is the port number."""
        flow = packet.flow
        return packet._replace(flow=flow._replace(caller=flow.caller_port))

    def send(self, port: int, now: float) -> str:
        """Send or retransmit the request of a caller; returns the decision."""
        packet = self.by_caller(data(1, port=port, acknowledged=600, sequence=111))
        decision = self.decide(packet, now)
        if isinstance(decision, Refuse):
            self.assertIs(decision.reason, RefusalReason.SERVER_LOST)
            return "refused"
        assert isinstance(decision, Deliver)
        return "delivered"

    def test_a_flow_is_refused_at_the_second_retransmission(self) -> None:
        self.open(1, now=1.0)
        sent = [self.send(1, now=now) for now in (1.2, 1.6)]
        self.assertEqual(sent, ["delivered", "refused"])

    def test_the_other_flows_are_refused_at_their_next_data(self) -> None:
        for port in (1, 2):
            self.open(port, now=1.0)
        self.assertEqual(self.send(1, now=1.2), "delivered")
        self.assertEqual(self.send(1, now=1.6), "refused")
        # The first copy of the next request of the other flow.
        self.assertEqual(self.send(2, now=1.7), "refused")

    def test_first_retransmissions_of_two_callers_are_enough(self) -> None:
        for port in (1, 2, 3):
            self.open(port, now=1.0)
        sent = [self.send(port, now=1.2) for port in (1, 2, 3)]
        self.assertEqual(sent, ["delivered", "refused", "refused"])

    def refused_ports(self, port: int) -> list[int]:
        """Ports of the open flows that are refused together with a packet."""
        packet = self.by_caller(data(1, port=port))
        found = refuse_open_flows(packet, self.state)
        self.assertTrue(all(is_server_lost(refused) for refused in found))
        return sorted(refused.packet.flow.caller_port for refused in found)

    def test_idle_flows_are_refused_once_two_callers_confirm_the_failure(self) -> None:
        # Otherwise their next requests would be lost, and for good those that must not
        # be repeated.
        for port in (1, 2, 3, 4):
            self.open(port, now=1.0)
        self.open(5, now=1.0, tag=2)
        self.send(1, now=1.2)
        self.assertEqual(self.refused_ports(1), [])
        self.assertEqual(self.send(2, now=1.2), "refused")
        self.assertEqual(self.refused_ports(2), [1, 3, 4])
        self.assertEqual(self.refused_ports(2), [])
        self.assertEqual(self.state.servers[Tag(1)].open_flows, 0)
        self.assertEqual(self.state.servers[Tag(2)].open_flows, 1)

    def test_the_reset_matches_the_last_acknowledgement(self) -> None:
        for port in (1, 2, 3):
            self.open(port, now=1.0)
        for port in (1, 2):
            self.send(port, now=1.2)
        found = refuse_open_flows(self.by_caller(data(1, port=2)), self.state)
        self.assertEqual({refused.packet.acknowledged for refused in found}, {600})

    def test_two_retransmissions_of_one_caller_confirm_nothing(self) -> None:
        self.open(1, now=1.0)
        sent = [self.send(1, now=now) for now in (1.2, 1.3)]
        self.assertEqual(sent, ["delivered", "delivered"])

    def test_new_flows_avoid_it_from_the_first_retransmission_on(self) -> None:
        self.open(1, now=1.0)
        self.send(1, now=1.2)
        tags = {self.tag_of(opening(p), now=1.3) for p in range(20, 30)}
        self.assertEqual(tags, {2})

    def test_a_response_to_any_caller_keeps_all_flows(self) -> None:
        for port in (1, 2):
            self.open(port, now=1.0)
        self.send(1, now=1.2)
        later = data(1, port=2, acknowledged=700, sequence=121)
        self.decide(self.by_caller(later), now=1.4)
        sent = [self.send(1, now=now) for now in (1.6, 2.4)]
        self.assertEqual(sent, ["delivered", "delivered"])

    def test_retransmissions_that_arrive_at_once_do_not_count(self) -> None:
        # A balancer that was frozen reads all that its callers sent in the meantime.
        self.open(1, now=1.0)
        sent = [self.send(1, now=now) for now in (1.01, 1.01, 1.02)]
        self.assertEqual(sent, ["delivered"] * 3)

    def test_flows_are_delivered_again_some_time_after_a_failure(self) -> None:
        # The backend server may be reachable again with its flows intact.
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
