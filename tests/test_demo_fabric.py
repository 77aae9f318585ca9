"""The fabric stand-in sprays packets over balancers and injects faults."""

import random
import unittest
from ipaddress import IPv4Network

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import NodeId, Seconds
from wasabigw_demo import fabric_core, wire
from wasabigw_demo.addresses import Route
from wasabigw_demo.fabric_core import DeliveryQueue, FabricState, Faults, FlowEndpoints

CALLER = Endpoint("10.1.0.7", 4000)
SERVICE = Endpoint("198.51.100.1", 53)
BACKEND_SERVER = Endpoint("10.2.0.1", 5300)
CALLER_HOST = Endpoint("127.0.0.1", 9001)
BACKEND_SERVER_HOST = Endpoint("127.0.0.1", 9002)
BALANCERS = {
    NodeId(f"balancer-{number}"): Endpoint("127.0.0.1", 9100 + number)
    for number in range(3)
}
NOW = Seconds(0.0)
NO_FAULTS = Faults()


def make_state(faults: Faults = NO_FAULTS) -> FabricState:
    """Fabric with three balancers and two hosts."""
    return FabricState(
        balancers=dict(BALANCERS),
        hosts=(
            Route(IPv4Network("10.1.0.0/24"), CALLER_HOST),
            Route(IPv4Network("10.2.0.1"), BACKEND_SERVER_HOST),
        ),
        services=(IPv4Network("198.51.100.0/24"),),
        backend_servers=(IPv4Network("10.2.0.0/24"),),
        generator=random.Random(3),
        faults=faults,
    )


def frame(source: Endpoint, destination: Endpoint) -> bytes:
    """Encoded frame with a datagram."""
    datagram = wire.Datagram(source, destination, b"data")
    return wire.encapsulate(wire.Frame(wire.build_datagram(datagram)))


class Spray(unittest.TestCase):
    def test_packets_of_one_flow_use_every_balancer(self) -> None:
        """Guards against a demonstration that does not test shared flow state.

        It would not if one balancer received all packets of a flow.
        """
        state = make_state()
        to_service = frame(CALLER, SERVICE)
        for _ in range(60):
            fabric_core.route(to_service, CALLER_HOST, state, NOW)
        packets = state.flows[FlowEndpoints(17, CALLER, SERVICE)]
        self.assertEqual(set(packets.forward), set(BALANCERS))

    def test_packets_of_backend_servers_are_sprayed_on_the_way_back(self) -> None:
        """Guards against answers that bypass the balancers on the way to the caller."""
        state = make_state()
        back = frame(BACKEND_SERVER, CALLER)
        targets = {
            delivery.destination
            for _ in range(60)
            for delivery in fabric_core.route(back, BACKEND_SERVER_HOST, state, NOW)
        }
        self.assertEqual(targets, set(BALANCERS.values()))

    def test_spread_sends_the_answer_to_another_balancer_than_the_request(
        self,
    ) -> None:
        """Guards against a short flow that uses only one balancer."""
        state = make_state()
        state.spread = True
        for _ in range(60):
            [request] = fabric_core.route(
                frame(CALLER, SERVICE), CALLER_HOST, state, NOW
            )
            back = frame(BACKEND_SERVER, CALLER)
            [answer] = fabric_core.route(back, BACKEND_SERVER_HOST, state, NOW)
            self.assertNotEqual(request.destination, answer.destination)

    def test_packets_of_balancers_go_to_the_inner_destination(self) -> None:
        state = make_state()
        source = BALANCERS[NodeId("balancer-1")]
        forward = fabric_core.route(frame(CALLER, BACKEND_SERVER), source, state, NOW)
        reverse = fabric_core.route(frame(SERVICE, CALLER), source, state, NOW)
        self.assertEqual(
            [delivery.destination for delivery in forward], [BACKEND_SERVER_HOST]
        )
        self.assertEqual([delivery.destination for delivery in reverse], [CALLER_HOST])
        self.assertEqual(state.flow_servers[(17, CALLER)], {BACKEND_SERVER})

    def test_failed_balancer_gets_packets_until_the_health_delay_has_passed(
        self,
    ) -> None:
        """Guards against a fabric that detects a crash at once.

        The callers would then never lose packets to a crashed balancer.
        """
        state = make_state()
        failed = NodeId("balancer-0")
        self.assertTrue(fabric_core.mark_failed(state, failed, Seconds(10.0)))
        for now, expected in ((10.9, True), (11.1, False)):
            targets = {
                delivery.destination
                for _ in range(60)
                for delivery in fabric_core.route(
                    frame(CALLER, SERVICE), CALLER_HOST, state, Seconds(now)
                )
            }
            self.assertEqual(BALANCERS[failed] in targets, expected)

    def test_unknown_addresses_and_malformed_frames_are_counted(self) -> None:
        state = make_state()
        unknown = frame(CALLER, Endpoint("192.0.2.1", 1))
        self.assertEqual(fabric_core.route(unknown, CALLER_HOST, state, NOW), [])
        self.assertEqual(fabric_core.route(b"\x00", CALLER_HOST, state, NOW), [])
        self.assertEqual(state.dropped, {"no host": 1, "malformed": 1})


class FaultInjection(unittest.TestCase):
    """Guards against configured faults that are never injected."""

    def test_drops_and_duplicates_with_the_given_probabilities(self) -> None:
        state = make_state(Faults(drop=0.3, duplicate=0.5))
        data = frame(CALLER, SERVICE)
        copies = [
            len(fabric_core.route(data, CALLER_HOST, state, NOW)) for _ in range(1000)
        ]
        self.assertAlmostEqual(copies.count(0) / 1000, 0.3, delta=0.05)
        self.assertAlmostEqual(copies.count(2) / 1000, 0.35, delta=0.05)

    def test_delay_reorders_packets(self) -> None:
        state = make_state(Faults(delay=Seconds(1.0)))
        queue = DeliveryQueue()
        sent = [frame(CALLER, Endpoint(SERVICE.address, port)) for port in range(20)]
        for data in sent:
            for delivery in fabric_core.route(data, CALLER_HOST, state, NOW):
                queue.add(delivery)
        self.assertEqual(queue.take_due(Seconds(-0.1)), [])
        arrived = [delivery.frame for delivery in queue.take_due(Seconds(1.0))]
        self.assertCountEqual(arrived, sent)
        self.assertNotEqual(arrived, sent)
