"""Open flows that upload data through a slow link."""

import unittest

from tests.test_tag_steering import LISTENER, SteeringCase, boot
from wasabigw.core.ids import Seconds, Tag
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.admission.fair_queue import Datagram
from wasabigw.core.tags.decisions import Deliver
from wasabigw.core.tags.link.egress import Admission, make_egress_queue, release, submit
from wasabigw.core.tags.liveness.health import Health, health_of
from wasabigw.core.tags.packets import FlowId, FlowPacket, sequence_distance
from wasabigw.core.tags.steering import record_loss, record_release

DATA_BYTES = 1200
FIRST_SEQUENCE = 2**32 - 5 * DATA_BYTES
"""The sequence numbers of an upload may pass the end of their range."""


def opening(port: int) -> FlowPacket:
    """Opening packet of a caller, whose address is the port number."""
    flow = FlowId(port, port, LISTENER, 443)
    return FlowPacket(flow, Tag(0), True, False, False, 0, FIRST_SEQUENCE - 1, 0, 0)


def data(port: int, number: int) -> FlowPacket:
    """Data packet of an upload, numbered from 0; nothing new is acknowledged in it."""
    flow = FlowId(port, port, LISTENER, 443)
    sequence = (FIRST_SEQUENCE + number * DATA_BYTES) % 2**32
    return FlowPacket(flow, Tag(1), False, False, False, 0, sequence, 555, DATA_BYTES)


class UploadCase(SteeringCase):
    """A balancer with one backend server and two callers that upload to it."""

    def setUp(self) -> None:
        super().setUp()
        self.register(boot(1))
        for port in (1, 2):
            self.decide(opening(port), now=1.0)
            self.decide(data(port, 0)._replace(length=0), now=1.01)

    def health(self, now: float) -> Health:
        return health_of(self.state.servers[Tag(1)].breaker, Seconds(now))


class Progress(UploadCase):
    """Guards against the reset of uploads whose backend server receives them.

    It only acknowledges them, which the balancer does not see, so that the loss of a
    packet in each of two uploads looked like the loss of the backend server.
    """

    def test_data_beyond_the_window_shows_that_the_backend_server_answers(self) -> None:
        for port in (1, 2):
            for number in range(16):
                self.decide(data(port, number), now=1.1)
        self.decide(data(1, 0), now=1.3)
        # The first packet of the first caller has arrived by now.
        self.decide(data(1, 16), now=1.31)
        self.assertIs(self.health(1.31), Health.ANSWERING)
        decision = self.decide(data(2, 0), now=1.32)
        self.assertIsInstance(decision, Deliver)
        decision = self.decide(data(1, 17), now=1.33)
        self.assertIsInstance(decision, Deliver)

    def test_data_within_the_window_shows_nothing(self) -> None:
        for port in (1, 2):
            self.decide(data(port, 0), now=1.1)
        self.decide(data(1, 0), now=1.3)
        self.decide(data(1, 15), now=1.31)
        self.assertIs(self.health(1.31), Health.SILENT)
        self.decide(data(2, 0), now=1.32)
        self.assertIs(self.health(1.32), Health.SILENT)

    def test_distances_pass_the_end_of_the_sequence_numbers(self) -> None:
        self.assertEqual(sequence_distance(2**32 - 10, 5), 15)
        self.assertEqual(sequence_distance(5, 2**32 - 10), -15)


class WaitingData(UploadCase):
    """Guards against taking the balancer's own queue for a lost backend server.

    Callers that uploaded more than a link carries opened thousands of circuit breakers
    of backend servers that answered.
    """

    def setUp(self) -> None:
        super().setUp()
        self.state.egress = make_egress_queue(0.1)

    def send(self, packet: FlowPacket, now: float) -> Admission:
        self.assertIsInstance(self.decide(packet, now), Deliver)
        datagram = Datagram(bytes(DATA_BYTES), ("10.0.0.1", 8001))
        return submit(self.state.egress, packet, datagram, Seconds(now))

    def release(self, now: float) -> None:
        for waiting in release(self.state.egress, Seconds(now)):
            record_release(waiting.packet, self.state, Seconds(now))

    def test_copies_of_data_that_waits_are_no_evidence(self) -> None:
        self.send(data(1, 0), now=1.1)
        self.assertIs(self.send(data(2, 0), now=1.1), Admission.QUEUED)
        for now in (1.3, 1.7):
            self.assertIs(self.send(data(2, 0), now), Admission.REPLACED)
        self.assertIs(self.health(1.7), Health.ANSWERING)

    def test_the_time_for_an_answer_starts_when_data_leaves(self) -> None:
        self.send(data(1, 0), now=1.1)
        self.send(data(2, 0), now=1.1)
        self.send(data(2, 0), now=1.3)
        self.release(now=1.65)
        self.assertTrue(self.state.egress.is_empty)
        self.send(data(2, 0), now=1.7)
        self.assertIs(self.health(1.7), Health.ANSWERING)

    def test_data_whose_successor_waits_is_no_evidence(self) -> None:
        # A backend server acknowledges every second packet.
        self.send(data(1, 0), now=1.1)
        self.send(data(1, 1), now=1.1)
        self.send(data(1, 0), now=1.3)
        self.assertIs(self.health(1.3), Health.ANSWERING)
        for now in (1.5, 1.6, 1.7):
            self.release(now)
        self.assertTrue(self.state.egress.is_empty)
        self.send(data(1, 0), now=1.71)
        self.assertIs(self.health(1.71), Health.ANSWERING)

    def test_data_whose_successor_was_dropped_is_no_evidence(self) -> None:
        self.send(data(1, 0), now=1.1)
        self.decide(data(1, 1), now=1.1)
        record_loss(data(1, 1), self.state)
        self.send(data(1, 0), now=1.3)
        self.assertIs(self.health(1.3), Health.ANSWERING)

    def test_a_copy_of_an_opening_that_has_just_left_is_no_evidence(self) -> None:
        self.send(data(1, 0), now=1.1)
        self.send(opening(3), now=1.1)
        self.release(now=1.29)
        self.assertTrue(self.state.egress.is_empty)
        self.send(opening(3)._replace(repeat=1), now=1.3)
        self.assertIs(self.health(1.3), Health.ANSWERING)

    def test_an_opening_that_waits_is_not_overdue(self) -> None:
        self.send(data(1, 0), now=1.1)
        self.send(opening(3), now=1.1)
        self.send(opening(3), now=1.3)
        self.release(now=1.65)
        for now in (1.7, 1.8, 1.9, 2.64):
            self.send(opening(round(10 * now)), now)
            self.release(now + 0.05)
            self.assertIs(self.health(now), Health.ANSWERING)
        self.send(opening(5), now=2.66)
        self.assertIs(self.health(2.66), Health.SILENT)

    def test_an_opening_that_waits_is_not_overdue_for_other_callers(self) -> None:
        self.send(data(1, 0), now=1.1)
        self.send(opening(3), now=1.1)
        self.send(opening(4), now=1.25)
        self.assertIs(self.health(1.25), Health.ANSWERING)

    def test_an_opening_that_waits_goes_where_its_latest_copy_was_decided_to(
        self,
    ) -> None:
        self.send(data(1, 0), now=1.1)
        self.send(opening(3), now=1.1)
        self.register(boot(1, state=RegistrationState.DRAINING), boot(2))
        self.send(opening(3), now=1.3)
        self.assertIs(self.health(1.3), Health.ANSWERING)
        flow = self.state.flows[opening(3).flow]
        self.assertEqual(flow.server.registration.tag, Tag(2))


class WaitingCallers(UploadCase):
    """Guards against taking the queue before the balancer for lost backend servers.

    Callers send on the link of the balancer as well, so their packets wait before it
    while none waits in it. Circuit breakers of backend servers opened for that.
    """

    def setUp(self) -> None:
        super().setUp()
        self.state.egress = make_egress_queue(2.0)

    def use_link(self, start: float, end: float) -> None:
        """Send packets of other flows, as fast as the link brings them."""
        datagram = Datagram(bytes(DATA_BYTES), ("10.0.0.2", 8001))
        while start < end:
            for _ in release(self.state.egress, Seconds(start)):
                pass
            submit(self.state.egress, data(2, 0), datagram, Seconds(start))
            start += 0.005

    def test_an_opening_is_not_overdue_while_the_link_is_busy(self) -> None:
        self.use_link(1.0, 1.2)
        self.decide(opening(3), now=1.2)
        self.use_link(1.2, 1.4)
        self.decide(opening(4), now=1.4)
        self.assertIs(self.health(1.4), Health.ANSWERING)
        self.decide(data(3, 0)._replace(length=0), now=1.5)
        self.decide(data(4, 0)._replace(length=0), now=1.6)
        self.use_link(1.4, 2.3)
        self.decide(opening(5), now=2.3)
        self.assertIs(self.health(2.3), Health.ANSWERING)

    def test_copies_are_no_evidence_while_the_link_is_busy(self) -> None:
        self.use_link(1.0, 1.2)
        self.decide(data(1, 0), now=1.2)
        self.decide(opening(3), now=1.2)
        self.use_link(1.2, 1.4)
        self.decide(data(1, 0), now=1.4)
        self.decide(opening(3)._replace(repeat=1), now=1.4)
        self.assertIs(self.health(1.4), Health.ANSWERING)

    def test_packets_that_were_lost_in_an_overload_are_no_evidence(self) -> None:
        self.use_link(1.0, 1.3)
        self.decide(data(1, 0), now=1.3)
        self.decide(data(1, 0), now=1.6)
        self.assertIs(self.health(1.6), Health.ANSWERING)

    def test_a_lost_backend_server_is_found_while_the_link_is_busy(self) -> None:
        for kind in ("data", "opening"):
            with self.subTest(kind):
                self.setUp()
                self.use_link(1.0, 1.2)
                for copy, now in enumerate((1.2, 1.4, 1.8, 2.6)):
                    if kind == "data":
                        self.decide(data(1, 0), now)
                    else:
                        sent = opening(3 + copy // 3)
                        self.decide(sent._replace(repeat=copy % 3), now)
                    self.use_link(now, now + 0.1)
                self.decide(opening(9), now=2.71)
                self.assertIs(self.health(2.71), Health.SILENT)

    def test_a_lost_backend_server_is_found_once_the_link_was_idle(self) -> None:
        self.use_link(1.0, 1.02)
        self.decide(opening(3), now=1.02)
        self.use_link(1.02, 1.13)
        self.decide(opening(4), now=1.13)
        self.assertIs(self.health(1.13), Health.ANSWERING)
        self.decide(opening(5), now=1.2)
        self.assertIs(self.health(1.2), Health.SILENT)


if __name__ == "__main__":
    unittest.main()
