"""Open flows of backend servers that live, while callers retransmit for other reasons.

A balancer sees the packets of callers only. Each test plays a cause of retransmissions
other than the loss of the backend server.
"""

import unittest
from dataclasses import dataclass

from tests.test_tag_steering import SteeringCase, boot, data, opening
from wasabigw.core.ids import Seconds, Tag
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.admission.fair_queue import Datagram
from wasabigw.core.tags.decisions import (
    Deliver,
    Drop,
    DropReason,
    RefusalReason,
    Refuse,
)
from wasabigw.core.tags.link.egress import (
    Admission,
    make_egress_queue,
    release,
    submit,
    take_evicted,
)
from wasabigw.core.tags.liveness.health import Health, health_of
from wasabigw.core.tags.packets import FlowPacket
from wasabigw.core.tags.steering import decide, record_loss, record_release

CALLERS = (1, 2, 3)
REQUEST_SEQUENCE = 111
RETRANSMISSIONS = (0.2, 0.6, 1.4, 3.0)
"""Times after the first copy at which callers retransmit, in seconds."""


@dataclass(frozen=True, slots=True)
class Sent:
    """A packet that a caller sends at a time."""

    at: float
    packet: FlowPacket


def from_caller(packet: FlowPacket) -> FlowPacket:
    """The same packet from another caller, whose address is the port number."""
    flow = packet.flow
    return packet._replace(flow=flow._replace(caller=flow.caller_port))


def request(caller: int, tag: int = 1, length: int = 10) -> FlowPacket:
    """A request of one packet on an open flow."""
    packet = data(tag, port=caller, acknowledged=600, sequence=REQUEST_SEQUENCE)
    return from_caller(packet)._replace(length=length)


def copies(caller: int, until: float) -> list[Sent]:
    """Copies of a request that are sent until its acknowledgement arrives."""
    times = (0.0, *RETRANSMISSIONS)
    return [Sent(at, request(caller)) for at in times if at < until]


class LiveServerCase(SteeringCase):
    """Three callers with a flow each to the first of two backend servers."""

    def setUp(self) -> None:
        super().setUp()
        self.register(boot(1), boot(2))
        for caller in CALLERS:
            self.decide(from_caller(data(1, port=caller)), now=0.1)

    def assert_delivered(self, packet: FlowPacket, now: float) -> None:
        """A packet of an open flow reaches the backend server of the flow."""
        decision = self.decide(packet, now)
        assert isinstance(decision, Deliver), f"{decision} at {now} s"
        self.assertEqual(decision.server.tag, Tag(1))


class Retransmissions(LiveServerCase):
    """Guards against the reset of flows of live backend servers (issue 33)."""

    def play(self, sent: list[Sent], delay: float) -> None:
        for entry in sorted(sent, key=lambda entry: entry.at):
            self.assert_delivered(entry.packet, 1.0 + entry.at + delay)

    def test_packets_that_reach_the_balancer_late(self) -> None:
        # Its link or its receive buffer is full: callers have no answer within 0.2 s.
        delay = 0.5
        sent = [copy for caller in CALLERS for copy in copies(caller, until=delay)]
        self.play(sent, delay)

    def test_acknowledgements_that_are_lost_on_the_way_to_callers(self) -> None:
        sent = [copy for caller in CALLERS for copy in copies(caller, until=2.0)]
        self.play(sent, delay=0.0)

    def test_requests_that_wait_for_a_slot(self) -> None:
        # A backend server may acknowledge every second packet. A request of one packet
        # is then acknowledged by its copy, or by its answer.
        sent = [copy for caller in CALLERS for copy in copies(caller, until=0.7)]
        self.play(sent, delay=0.0)

    def test_new_flows_avoid_a_server_whose_callers_retransmit(self) -> None:
        for caller in CALLERS:
            for now in (1.0, 1.2):
                self.assert_delivered(request(caller), now)
        tags = {self.tag_of(opening(port), now=1.3) for port in range(20, 30)}
        self.assertEqual(tags, {2})


class FullLink(LiveServerCase):
    """Guards against packets that the balancer drops and takes for lost answers."""

    LINK_MEGABITS = 2.0
    UPLOADS = range(100, 400)
    """Callers that fill the link while the others' requests wait for it."""

    def setUp(self) -> None:
        super().setUp()
        self.state.egress = make_egress_queue(self.LINK_MEGABITS)
        for caller in self.UPLOADS:
            self.decide(from_caller(data(2, port=caller)), now=0.1)

    def submit(self, packet: FlowPacket, now: float) -> None:
        datagram = Datagram(bytes(packet.length + 100), ("127.0.0.1", 1))
        admission = submit(self.state.egress, packet, datagram, Seconds(now))
        if admission is Admission.REJECTED:
            record_loss(packet, self.state)
        for evicted in take_evicted(self.state.egress):
            record_loss(evicted.packet, self.state)

    def drain(self, start: float, end: float) -> None:
        now = start
        while now < end:
            now += 0.005
            for waiting in release(self.state.egress, Seconds(now)):
                record_release(waiting.packet, self.state, Seconds(now))

    def test_packets_dropped_to_make_room_are_no_evidence(self) -> None:
        for caller in self.UPLOADS[:10]:
            self.upload(caller)
        self.send_copies(1.0)
        for caller in self.UPLOADS[10:]:
            self.upload(caller)
        self.drain(1.0, 1.2)
        self.send_copies(1.2)
        breaker = self.state.servers[Tag(1)].breaker
        self.assertIs(health_of(breaker, Seconds(1.2)), Health.ANSWERING)
        self.drain(1.2, 1.5)
        self.send_copies(1.6)

    def upload(self, caller: int) -> None:
        packet = request(caller, tag=2, length=1000)
        self.decide(packet, 1.0)
        self.submit(packet, 1.0)

    def send_copies(self, now: float) -> None:
        for caller in CALLERS:
            packet = request(caller, length=1100)
            self.assert_delivered(packet, now)
            self.submit(packet, now)


class LateCopies(SteeringCase):
    """Guards against the reset of a flow by a late copy of its opening.

    Routers hand the copies to several balancers. The one that delivers the flow knows
    a backend server for it, and this one does not.
    """

    def test_a_copy_is_not_refused_if_the_only_server_is_draining(self) -> None:
        self.register(boot(1, state=RegistrationState.DRAINING))
        decision = self.decide(opening(repeat=1), now=1.0)
        self.assertEqual(decision, Drop(DropReason.MAY_BE_OPEN))

    def test_a_copy_is_not_refused_if_its_listener_is_not_known(self) -> None:
        decision = self.decide(opening(repeat=1, listener_port=8443), now=1.0)
        self.assertEqual(decision, Drop(DropReason.MAY_BE_OPEN))

    def test_a_first_copy_that_waited_is_not_refused(self) -> None:
        # The caller has sent the second copy meanwhile, which another balancer took.
        for packet in (opening(), opening(listener_port=8443)):
            decision = decide(packet, self.state, Seconds(1.0), Seconds(0.2))
            self.assertEqual(decision, Drop(DropReason.MAY_BE_OPEN))

    def test_a_first_opening_is_refused_at_once(self) -> None:
        decision = self.decide(opening(), now=1.0)
        assert isinstance(decision, Refuse)
        self.assertIs(decision.reason, RefusalReason.NO_SERVER)


if __name__ == "__main__":
    unittest.main()
