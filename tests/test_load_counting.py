"""Counts of requests and openings from the packets of callers."""

import random
import unittest
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_tag_steering import (
    LISTENER,
    RECIFE,
    SALVADOR,
    SEATS,
    SteeringCase,
    boot,
    data,
    opening,
)
from wasabigw.core.ids import Incarnation, NodeId, Revision, Seconds, Tag
from wasabigw.core.load.counting import expire_requests
from wasabigw.core.load.counts import ServerCounts
from wasabigw.core.load.figures import (
    COUNT_WINDOW,
    MAX_REPORTED_SERVERS,
    LoadReport,
    ServerFigures,
    ServiceFigures,
    StratumSizes,
)
from wasabigw.core.load.known import KnownLoad
from wasabigw.core.load.reporting import make_report
from wasabigw.core.load.sampling import quotas, stratum_of, weights_of
from wasabigw.core.requirements import Priority, Requirements
from wasabigw.core.tags.admission.fair_queue import Datagram
from wasabigw.core.tags.admission.room import room_of
from wasabigw.core.tags.decisions import ChoiceReason, Deliver
from wasabigw.core.tags.features import Features
from wasabigw.core.tags.flow_table import expire_flows
from wasabigw.core.tags.link.egress import Admission, make_egress_queue, release, submit
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.steering import record_loss, record_release

ANSWERED = 755
"""Acknowledgement of a caller that has received an answer."""


class CountingCase(SteeringCase):
    """A balancer with one backend server, which has made two reports already."""

    def setUp(self) -> None:
        super().setUp()
        self.register(boot(1))
        for at in (-2.0, -1.0, 0.0):
            self.report(at)

    def report(self, now: float) -> LoadReport:
        sample = random.Random(1).sample
        return make_report(self.state, Incarnation("a"), Seconds(now), sample)

    def figures(self, now: float = 1.0) -> ServerFigures:
        """Figures of the backend server in a report."""
        found = {f.tag: f for f in self.report(now).servers}
        return found.get(Tag(1), ServerFigures(Tag(1), 0, 0, 0, 0, Seconds(0.0)))

    @property
    def in_flight(self) -> int:
        return self.state.servers[Tag(1)].counts.in_flight

    def open(self, now: float = 0.0, port: int = 1) -> None:
        self.decide(opening(port), now)
        self.decide(replace_length(data(1, port), 0), now)


def replace_length(packet: FlowPacket, length: int) -> FlowPacket:
    """The packet with another length of its data."""
    return packet._replace(length=length)


class Requests(CountingCase):
    """Guards against requests that count twice, or stay in flight for ever."""

    def test_a_request_is_in_flight_until_its_answer_is_acknowledged(self) -> None:
        self.open()
        self.assertEqual(self.in_flight, 0)
        self.decide(data(1), now=0.1)
        self.assertEqual(self.in_flight, 1)
        self.decide(replace_length(data(1, acknowledged=ANSWERED), 0), now=0.4)
        found = self.figures()
        self.assertEqual((found.in_flight, found.openings, found.answers), (0, 1, 1))
        self.assertAlmostEqual(found.answer_time, 0.3)

    def test_the_next_request_acknowledges_the_answer_before(self) -> None:
        self.open()
        self.decide(data(1), now=0.1)
        self.decide(data(1, sequence=111, acknowledged=ANSWERED), now=0.5)
        found = self.figures()
        self.assertEqual((found.in_flight, found.answers), (1, 1))

    def test_the_end_of_a_flow_may_acknowledge_the_answer(self) -> None:
        self.open()
        self.decide(data(1), now=0.1)
        end = data(1, closing=True, sequence=111, acknowledged=ANSWERED)
        self.decide(replace_length(end, 0), now=0.2)
        found = self.figures()
        self.assertEqual((found.flows, found.in_flight, found.answers), (0, 0, 1))

    def test_copies_of_data_and_later_packets_of_a_request_count_once(self) -> None:
        self.open()
        for sequence, at in ((101, 0.1), (111, 0.1), (101, 0.3), (111, 0.31)):
            self.decide(data(1, sequence=sequence), now=at)
        self.assertEqual(self.figures(now=0.32).in_flight, 1)

    def test_a_late_copy_neither_begins_nor_answers_a_request(self) -> None:
        self.open()
        self.decide(data(1), now=0.1)
        answered = replace_length(data(1, sequence=111, acknowledged=ANSWERED), 0)
        self.decide(answered, now=0.2)
        self.decide(data(1), now=0.25)
        self.assertEqual(self.in_flight, 0)
        self.decide(data(1, sequence=111, acknowledged=ANSWERED), now=0.3)
        self.decide(data(1), now=0.35)
        self.decide(answered, now=0.4)
        found = self.figures()
        self.assertEqual((found.in_flight, found.answers), (1, 1))

    def test_an_upload_is_in_flight_when_it_was_sent_whole(self) -> None:
        self.open()
        for number in range(60):
            packet = data(1, sequence=101 + 1200 * number)
            self.decide(replace_length(packet, 1200), now=0.1 + 0.05 * number)
            if number:
                self.assertEqual(self.in_flight, 0)
        self.assertEqual(self.figures(now=3.11).in_flight, 1)
        end = replace_length(data(1, sequence=72101, acknowledged=ANSWERED), 0)
        self.decide(end, now=3.35)
        counts = self.state.servers[Tag(1)].counts
        self.assertEqual((counts.in_flight, counts.answers), (0, 1))
        self.assertAlmostEqual(counts.answer_time, 0.3)

    def test_requests_with_data_that_waits_for_the_link_are_not_in_flight(self) -> None:
        self.open()
        self.state.egress = make_egress_queue(1.0)
        datagram = Datagram(bytes(1200), ("10.0.0.1", 8001))
        for number in range(4):
            packet = replace_length(data(1, sequence=101 + 1200 * number), 1200)
            self.decide(packet, now=0.1)
            submit(self.state.egress, packet, datagram, Seconds(0.1))
        self.assertEqual(self.figures(now=0.16).in_flight, 0)
        for waiting in release(self.state.egress, Seconds(0.16)):
            record_release(waiting.packet, self.state, Seconds(0.16))
        self.assertTrue(self.state.egress.is_empty)
        self.assertEqual(self.figures(now=0.3).in_flight, 1)

    def test_a_request_ends_with_its_flow(self) -> None:
        for end in ("reset", "idle", "moved", "closed"):
            with self.subTest(end=end):
                self.setUp()
                self.register(boot(1), boot(2))
                self.decide(data(1))
                self.assertEqual(self.in_flight, 1)
                if end == "reset":
                    self.decide(data(1)._replace(is_reset=True))
                elif end == "idle":
                    expire_flows(self.state, Seconds(100.0))
                elif end == "moved":
                    # A later flow from the same port, opened through another balancer.
                    self.decide(data(2, sequence=101 + 2**31))
                else:
                    self.decide(data(1, closing=True))
                self.assertEqual(self.in_flight, 0)

    def test_data_that_the_link_lost_is_in_flight_once_it_is_sent_again(self) -> None:
        self.open()
        self.decide(data(1), now=0.1)
        record_loss(data(1), self.state)
        self.assertEqual(self.in_flight, 0)
        self.decide(data(1), now=0.3)
        record_release(data(1), self.state, Seconds(0.5))
        self.decide(replace_length(data(1, acknowledged=ANSWERED), 0), now=0.6)
        found = self.figures()
        self.assertEqual((found.in_flight, found.answers), (0, 1))
        self.assertAlmostEqual(found.answer_time, 0.1)

    def test_a_request_of_a_caller_that_moved_to_another_balancer_expires(
        self,
    ) -> None:
        self.open()
        self.decide(data(1), now=0.1)
        expire_requests(self.state, Seconds(3.0))
        self.assertEqual(self.in_flight, 1)
        expire_requests(self.state, Seconds(3.2))
        self.assertEqual(self.in_flight, 0)

    def test_the_answer_of_a_request_sent_by_another_balancer_does_not_count(
        self,
    ) -> None:
        self.decide(replace_length(data(1, acknowledged=600), 0), now=0.1)
        self.decide(replace_length(data(1, acknowledged=ANSWERED), 0), now=0.2)
        found = self.figures()
        self.assertEqual((found.flows, found.in_flight, found.answers), (1, 0, 0))


packets = st.lists(
    st.tuples(
        st.sampled_from(["open", "data", "ack", "close", "reset", "lost", "expire"]),
        st.integers(1, 3),
        st.integers(1, 2),
        st.integers(0, 4),
        st.integers(0, 3),
        st.floats(0.0, 2.0),
    ),
    max_size=60,
)


class Balance(unittest.TestCase):
    """Guards against counts that drift from the flows after any sequence of events."""

    @given(packets)
    @settings(max_examples=200, deadline=None)
    def test_counts_equal_the_flows_in_flight(self, events: list[Any]) -> None:
        case = CountingCase()
        case.setUp()
        case.register(boot(1), boot(2))
        now = 1.0
        for kind, port, tag, sequence, acknowledged, pause in events:
            now += pause
            self.apply(case, kind, port, tag, 101 + 10 * sequence, acknowledged, now)
            for server in case.state.servers.values():
                flows = [f for f in case.state.flows.values() if f.server is server]
                in_flight = sum(flow.is_in_flight for flow in flows)
                self.assertEqual(server.counts.in_flight, in_flight)
                self.assertGreaterEqual(server.counts.openings, 0)

    def apply(
        self,
        case: CountingCase,
        kind: str,
        port: int,
        tag: int,
        sequence: int,
        acknowledged: int,
        now: float,
    ) -> None:
        packet = data(tag, port, sequence=sequence, acknowledged=555 + acknowledged)
        if kind == "open":
            case.decide(opening(port), now)
        elif kind == "expire":
            expire_requests(case.state, Seconds(now))
            expire_flows(case.state, Seconds(now))
        elif kind == "lost":
            record_loss(packet, case.state)
        else:
            packet = packet._replace(
                is_closing=kind == "close",
                is_reset=kind == "reset",
                length=10 if kind == "data" else 0,
            )
            case.decide(packet, now)


class Reports(CountingCase):
    """Guards against reports whose window or sample biases the sums."""

    def test_openings_and_arrivals_of_the_last_two_periods_count(self) -> None:
        self.decide(opening(1), now=0.1)
        self.decide(opening(2), now=0.2)
        # A copy that goes to the same backend server opens no other flow there.
        self.decide(opening(1, repeat=1), now=0.3)
        reports = [self.report(at) for at in (1.0, 2.0, 3.0)]
        arrivals = [r.services[0].arrivals if r.services else 0 for r in reports]
        openings = [r.servers[0].openings if r.servers else 0 for r in reports]
        self.assertEqual(arrivals, [2, 2, 0])
        self.assertEqual(openings, [2, 2, 0])
        self.assertEqual([r.sequence for r in reports], [4, 5, 6])

    def test_a_late_report_counts_no_more_than_the_window(self) -> None:
        for port in range(12):
            self.decide(opening(port), now=2.0 + port / 2)
        self.assertEqual(self.figures(now=7.0).openings, 12 * COUNT_WINDOW / 8)

    def test_an_opening_that_the_link_lost_does_not_count(self) -> None:
        self.decide(opening(1), now=0.1)
        record_loss(opening(1), self.state)
        self.assertEqual(self.figures().openings, 0)

    def test_a_sample_tells_its_size_and_services_are_complete(self) -> None:
        count = 3 * MAX_REPORTED_SERVERS
        self.register(*(boot(tag) for tag in range(1, count + 1)))
        for tag in range(1, count + 1):
            self.decide(data(tag, port=tag))
        report = self.report(1.0)
        self.assertEqual(len(report.servers), MAX_REPORTED_SERVERS)
        self.assertEqual(report.sizes, StratumSizes(count, 0, 0))
        (service,) = report.services
        self.assertEqual(
            (service.service, service.failure_domain, service.in_flight),
            (SEATS, RECIFE, count),
        )

    def test_samples_leave_the_sums_of_all_balancers_unbiased(self) -> None:
        # 60 of 300 backend servers are active, 6 have requests in flight.
        servers = 300
        self.register(*(boot(tag) for tag in range(1, servers + 1)))
        for tag in range(1, servers + 1):
            self.decide(data(tag, port=tag), now=0.1)
            if tag > 6:
                answer = data(tag, port=tag, acknowledged=ANSWERED)
                self.decide(replace_length(answer, 0), now=0.2 if tag < 60 else -5.0)
        for server in list(self.state.servers.values())[60:]:
            server.counts = ServerCounts()
        totals, rounds = Counter[str](), 200
        draws = random.Random(7)
        for number in range(rounds):
            counts = {t: replace(s.counts) for t, s in self.state.servers.items()}
            made = make_report(
                self.state, Incarnation("a"), Seconds(0.3 + number), draws.sample
            )
            for tag, saved in counts.items():
                self.state.servers[tag].counts = saved
            self.assertEqual(len(made.servers), MAX_REPORTED_SERVERS)
            for f in made.servers:
                stratum = stratum_of(f.in_flight, f.openings, f.answers)
                weight = weights_of(made.sizes, made.servers)[stratum.value]
                totals["flows"] += round(f.flows * weight * 1000)
                totals["in flight"] += f.in_flight
                totals["answers"] += round(f.answers * weight * 1000)
        self.assertEqual(totals["in flight"] / rounds, 6)
        self.assertAlmostEqual(totals["flows"] / rounds / 1000, servers, delta=1)
        self.assertAlmostEqual(totals["answers"] / rounds / 1000, 54, delta=1)


class Quotas(unittest.TestCase):
    """Guards against entries that stay empty, or strata that get none."""

    def test_all_entries_are_used_and_no_stratum_is_left_out(self) -> None:
        for sizes, expected in (
            ((3, 4, 5), [3, 4, 5]),
            ((90, 0, 0), [64, 0, 0]),
            ((0, 0, 90), [0, 0, 64]),
            ((90, 90, 90), [32, 16, 16]),
            ((10, 200, 7000), [10, 38, 16]),
            ((10, 2, 7000), [10, 2, 52]),
        ):
            with self.subTest(sizes=sizes):
                self.assertEqual(quotas(sizes, 64), expected)


class StartedBalancer(unittest.TestCase):
    """Guards against counts of unknown length in the first reports of a process."""

    def test_the_first_report_names_only_what_is_open(self) -> None:
        state = TagState(NodeId("balancer-1"), RECIFE)
        state.view.revision = Revision(1)
        report = make_report(
            state, Incarnation("a"), Seconds(5.0), random.Random(1).sample
        )
        self.assertEqual((report.servers, report.services), ((), ()))


class FullLink(unittest.TestCase):
    """Guards against idle backend servers that seem full as the own link is full.

    Callers upload 20 kB each, a third more than a link of 2 Mbit/s carries in both
    directions, and get answers after 0.05 s. Their data waits in the queue of the
    balancer, and their acknowledgements before it.
    """

    LINK_RATE = 250_000
    UPLOAD_INTERVAL = 0.065
    PACKETS = 17
    WINDOW = 4
    SERVERS = 3
    WORK_TIME = 0.05

    def setUp(self) -> None:
        self.case = SteeringCase()
        self.case.setUp()
        state = self.state = self.case.state
        [(key, listener)] = state.listeners.items()
        needs = Requirements(Priority(1), Seconds(1.0))
        state.listeners[key] = replace(listener, requirements=needs)
        state.features = Features(egress_classes=False)
        state.egress = make_egress_queue(2.0)
        near = [boot(tag) for tag in range(1, self.SERVERS + 1)]
        self.case.register(*near, *(boot(90 + n, SALVADOR) for n in range(3)))
        self.arriving: list[tuple[float, FlowPacket]] = []
        self.received: Counter[FlowId] = Counter()

    def know(self, now: float) -> None:
        """Let figures say that the other balancers send little."""
        servers = {
            tag: ServerFigures(tag, 1, 0, 10, 20, Seconds(20 * self.WORK_TIME))
            for tag in self.state.servers
        }
        services = {
            (SEATS, RECIFE): ServiceFigures(SEATS, RECIFE, 10, 0, 200),
            (SEATS, SALVADOR): ServiceFigures(SEATS, SALVADOR, 3, 0, 0),
        }
        self.state.known_load = KnownLoad(Seconds(now), 20, servers, services)

    def deliver(self, packet: FlowPacket, now: float) -> ChoiceReason | None:
        decision = self.case.decide(packet, now)
        assert isinstance(decision, Deliver), decision
        datagram = Datagram(bytes(32 + packet.length), ("10.0.0.1", 8001))
        admission = submit(self.state.egress, packet, datagram, Seconds(now))
        if admission is Admission.SEND:
            self.reach_server(packet, now)
        elif admission is Admission.REJECTED:
            record_loss(packet, self.state)
        for waiting in release(self.state.egress, Seconds(now)):
            record_release(waiting.packet, self.state, Seconds(now))
            self.reach_server(waiting.packet, now)
        return decision.choice if packet.is_opening else None

    def reach_server(self, packet: FlowPacket, now: float) -> None:
        """Let the caller send what follows, which waits before the balancer."""
        flow_id = packet.flow
        tag = int(self.state.flows[flow_id].server.registration.tag)
        numbers: Sequence[int] = ()
        if packet.is_opening:
            numbers = range(self.WINDOW)
        elif packet.length:
            self.received[flow_id] += 1
            numbers = (self.received[flow_id] + self.WINDOW - 1,)
        for number in numbers:
            if number < self.PACKETS:
                sent = data(tag, sequence=101 + 1200 * number)
                sent = sent._replace(flow=flow_id, length=1200)
                self.arriving.append((now, sent))
        if self.received[flow_id] == self.PACKETS and packet.length:
            acked = data(tag, sequence=101 + 1200 * self.PACKETS, acknowledged=ANSWERED)
            ready = now + self.WORK_TIME
            self.arriving.append((ready, acked._replace(flow=flow_id, length=0)))

    def test_the_service_has_room_and_nothing_crosses(self) -> None:
        uploads, link_free_at = 0, 0.0
        opened = Counter[ChoiceReason | None]()
        for step in range(6000):
            now = step * 0.001
            if step % 1000 == 0:
                self.know(now)
            while uploads * self.UPLOAD_INTERVAL <= now:
                uploads += 1
                flow = FlowId(uploads, uploads, LISTENER, 443)
                self.arriving.append((now, opening()._replace(flow=flow)))
            self.arriving.sort(key=lambda entry: entry[0])
            while self.arriving and max(self.arriving[0][0], link_free_at) <= now:
                _, packet = self.arriving.pop(0)
                opened[self.deliver(packet, now)] += 1
                size = 60 + packet.length
                link_free_at = max(link_free_at, now - 0.001) + size / self.LINK_RATE
            room = room_of(SEATS, self.state, Seconds(now))
            assert room is not None
            self.assertLess(room.utilization, 0.5, f"at {now:.2f}")
        self.assertGreater(len(self.state.flows), 80)
        self.assertEqual(set(opened), {None, ChoiceReason.LOAD_SHARE_HERE})
        self.assertEqual(self.state.health_changes, [])


if __name__ == "__main__":
    unittest.main()
