"""Open flows that upload data through a slow link."""

import unittest

from tests.test_tag_steering import LISTENER, SteeringCase, boot
from wasabigw.core.ids import Seconds, Tag
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.decisions import Deliver
from wasabigw.core.tags.egress import Admission, make_egress_queue, release, submit
from wasabigw.core.tags.fair_queue import Datagram
from wasabigw.core.tags.health import Health, health_of
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
        self.send(opening(4), now=1.7)
        self.assertIs(self.health(1.7), Health.ANSWERING)
        self.send(opening(5), now=1.8)
        self.assertIs(self.health(1.8), Health.SILENT)

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


if __name__ == "__main__":
    unittest.main()
