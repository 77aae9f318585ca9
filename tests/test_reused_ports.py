"""Callers that use the port of an ended flow again."""

import unittest
from dataclasses import replace

from tests.test_tag_steering import (
    DOCUMENTS,
    SALVADOR,
    SEATS,
    SteeringCase,
    boot,
    data,
    opening,
)
from wasabigw.core.declaration import (
    Declaration,
    DeclaredService,
    Listener,
    ServiceShare,
)
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds, ServiceId, Tag
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.decisions import Deliver
from wasabigw.core.tags.flow_table import expire_flows
from wasabigw.core.tags.packets import SEQUENCE_NUMBERS, FlowPacket
from wasabigw.core.tags.updates import apply_declaration

NEW_SEQUENCE = 3_000_000_000
"""Sequence number of the opening of a later flow, far from that of the first one."""


def new_opening(sequence: int = NEW_SEQUENCE, repeat: int = 0) -> FlowPacket:
    """Opening packet of a later flow from the same port."""
    return opening(repeat=repeat)._replace(sequence=sequence)


def acknowledgement(tag: int, acknowledged: int) -> FlowPacket:
    """Packet without data that acknowledges what the backend server sent."""
    return data(tag, sequence=112, acknowledged=acknowledged)._replace(length=0)


def reset(tag: int) -> FlowPacket:
    """Reset of a flow by its caller."""
    return data(tag)._replace(is_reset=True, length=0)


class ReusedPortCase(SteeringCase):
    """A balancer with one backend server of each service."""

    def setUp(self) -> None:
        super().setUp()
        self.register(boot(1), replace(boot(2), service=DOCUMENTS))

    def route_to(self, service: ServiceId) -> None:
        """Declare a configuration with another service behind the listener."""
        version = (self.state.declared_version or 0) + 1
        endpoint = Endpoint("198.18.0.1", 443)
        listener = Listener(endpoint, (ServiceShare(service, 1),), Seconds(3.0))
        services = (DeclaredService(SEATS), DeclaredService(DOCUMENTS))
        apply_declaration(Declaration(version, (listener,), services), self.state)

    def open_flow(self, now: float = 0.0) -> None:
        """Open a flow at the backend server of the first service."""
        self.assertEqual(self.tag_of(opening(), now), 1)
        self.decide(data(1), now + 0.01)
        self.decide(acknowledgement(1, acknowledged=600), now + 0.1)

    def close_flow(self, now: float = 0.2) -> None:
        """Close the flow from both ends, as seen by the balancer."""
        self.decide(data(1, closing=True, acknowledged=600), now)
        self.decide(acknowledgement(1, acknowledged=601), now + 0.01)


class LaterFlows(ReusedPortCase):
    """Guards against a new flow that opens where an ended one from its port was open.

    The last acknowledgement of a closed flow added it to the table as open, and an
    opening of an open flow is taken for a copy, which is delivered to the same backend
    server whatever the configuration, drains and evacuations say.
    """

    def check_opens_at(self, tag: int, packet: FlowPacket, now: float) -> None:
        decision = self.decide(packet, now)
        self.assertIsInstance(decision, Deliver)
        assert isinstance(decision, Deliver)
        self.assertEqual(decision.server.tag, tag)

    def test_a_closed_flow_does_not_decide_the_service(self) -> None:
        self.open_flow()
        self.close_flow()
        self.route_to(DOCUMENTS)
        self.check_opens_at(2, new_opening(), now=4.0)

    def test_a_flow_that_the_backend_server_ended_does_not_decide_it(self) -> None:
        # The balancer sees no packet of a backend server, so the flow seems open.
        self.open_flow()
        self.route_to(DOCUMENTS)
        self.check_opens_at(2, new_opening(), now=1.0)

    def test_a_flow_that_the_caller_reset_does_not_decide_it(self) -> None:
        self.open_flow()
        self.decide(reset(1), now=0.2)
        self.route_to(DOCUMENTS)
        self.check_opens_at(2, new_opening(), now=0.3)

    def test_a_flow_opened_through_another_balancer_does_not_decide_it(self) -> None:
        for sequence in (NEW_SEQUENCE, 100_000):
            with self.subTest(sequence=sequence):
                self.decide(acknowledgement(1, acknowledged=601), now=0.1)
                self.route_to(DOCUMENTS)
                self.check_opens_at(2, new_opening(sequence), now=0.3)
                self.decide(reset(2), now=0.4)

    def test_it_does_not_open_at_a_draining_server(self) -> None:
        self.open_flow()
        self.close_flow()
        draining = boot(1, state=RegistrationState.DRAINING)
        self.register(draining, boot(3))
        self.check_opens_at(3, new_opening(), now=1.0)

    def test_it_does_not_open_in_a_failure_domain_out_of_service(self) -> None:
        self.register(boot(4, SALVADOR))
        self.assertEqual(self.tag_of(opening()), 4)
        self.decide(data(4), 0.01)
        self.decide(data(4, closing=True), 0.2)
        self.decide(acknowledgement(4, acknowledged=601), 0.3)
        self.register(boot(4, SALVADOR), boot(5))
        self.take_out(SALVADOR)
        self.check_opens_at(5, new_opening(), now=1.0)

    def test_copies_of_the_later_opening_follow_it_once_it_is_open(self) -> None:
        self.open_flow()
        self.close_flow()
        self.route_to(DOCUMENTS)
        self.check_opens_at(2, new_opening(), now=1.0)
        later = data(2, sequence=NEW_SEQUENCE + 1, acknowledged=900)
        self.decide(later, now=1.1)
        self.route_to(SEATS)
        self.check_opens_at(2, new_opening(repeat=1), now=1.2)

    def test_the_same_sequence_number_after_seconds_is_no_copy(self) -> None:
        self.open_flow()
        self.close_flow()
        self.route_to(DOCUMENTS)
        self.check_opens_at(2, opening(), now=4.0)


class Copies(ReusedPortCase):
    """Guards against a copy of an opening that reaches a second backend server.

    The caller would put the tag of the second one into the packets of its open flow.
    """

    def check_is_copy(self, packet: FlowPacket, now: float) -> None:
        self.route_to(DOCUMENTS)
        decision = self.decide(packet, now)
        assert isinstance(decision, Deliver), decision
        self.assertEqual(decision.server.tag, 1)

    def test_a_late_copy_follows_the_open_flow(self) -> None:
        self.open_flow()
        self.check_is_copy(opening(repeat=2), now=0.9)

    def test_a_copy_that_was_held_up_for_seconds_follows_the_open_flow(self) -> None:
        self.open_flow()
        self.check_is_copy(opening(repeat=1), now=6.0)

    def test_a_late_copy_follows_a_flow_that_has_just_closed(self) -> None:
        self.open_flow()
        self.close_flow()
        self.check_is_copy(opening(), now=0.5)

    def test_a_copy_follows_a_flow_opened_through_another_balancer(self) -> None:
        self.decide(data(1, sequence=1_301, acknowledged=600), now=0.3)
        self.check_is_copy(opening(repeat=1), now=0.4)

    def test_sequence_numbers_may_pass_the_end_of_their_range(self) -> None:
        self.decide(data(1, sequence=5, acknowledged=600), now=0.3)
        copy = opening(repeat=1)._replace(sequence=SEQUENCE_NUMBERS - 7)
        self.check_is_copy(copy, now=0.4)


class ClosedFlows(ReusedPortCase):
    """Guards against closed flows that count as load of their backend server."""

    def open_flows(self) -> int:
        return self.state.servers[Tag(1)].open_flows

    def test_the_last_acknowledgement_does_not_open_a_closed_flow(self) -> None:
        self.open_flow()
        self.assertEqual(self.open_flows(), 1)
        self.close_flow()
        self.assertEqual(self.open_flows(), 0)

    def test_a_closed_flow_is_not_counted_off_twice(self) -> None:
        self.open_flow()
        self.close_flow()
        self.close_flow()
        self.decide(reset(1), now=0.5)
        self.open_flow(now=5.0)
        self.close_flow(now=6.0)
        expire_flows(self.state, Seconds(60.0))
        self.assertEqual((self.open_flows(), self.state.flows), (0, {}))

    def test_a_flow_that_closed_at_another_balancer_is_not_counted(self) -> None:
        self.close_flow()
        self.assertEqual(self.open_flows(), 0)


if __name__ == "__main__":
    unittest.main()
