"""Queue of the packets that leave through the link of a balancer."""

import unittest
from collections import Counter
from collections.abc import Iterable

from hypothesis import given
from hypothesis import strategies as st

from wasabigw.core.ids import Seconds, Tag
from wasabigw.core.tags.admission.fair_queue import Datagram
from wasabigw.core.tags.link.egress import (
    BURST_TIME,
    HEADER_BYTES,
    MAX_QUEUE_TIME,
    Admission,
    EgressQueue,
    is_waiting,
    make_egress_queue,
    queue_time,
    release,
    submit,
    time_to_release,
)
from wasabigw.core.tags.packets import FlowId, FlowPacket

LINK_MEGABITS = 2.0
DATA_BYTES = 1200
DATAGRAM_BYTES = 1240
UPLOAD_WINDOW = 16
"""Packets that a caller sends before it waits for an acknowledgement."""


def packet(
    port: int, number: int = 0, length: int = DATA_BYTES, acknowledged: int = 0
) -> FlowPacket:
    """Packet of the flow from a port; data packets of a flow are numbered from 0."""
    flow = FlowId(0x64400007, port, 0xC6120001, 443)
    sequence = 1000 + number * DATA_BYTES
    return FlowPacket(
        flow, Tag(1), False, False, False, 0, sequence, acknowledged, length
    )


def opening(port: int) -> FlowPacket:
    """Opening packet of the flow from a port."""
    return packet(port, length=0)._replace(is_opening=True)


def datagram_of(sent: FlowPacket) -> Datagram:
    """Datagram with a packet."""
    size = DATAGRAM_BYTES - DATA_BYTES + sent.length
    return Datagram(bytes(size), ("10.0.0.1", 8000))


class Link:
    """Sends packets through a queue and records when each one leaves."""

    def __init__(self, megabits: float | None = LINK_MEGABITS) -> None:
        self.queue: EgressQueue = make_egress_queue(megabits)
        self.now = Seconds(0.0)
        self.left: list[tuple[Seconds, FlowPacket]] = []

    def submit(self, *packets: FlowPacket) -> list[Admission]:
        return [self._submit(sent) for sent in packets]

    def _submit(self, sent: FlowPacket) -> Admission:
        outcome = submit(self.queue, sent, datagram_of(sent), self.now)
        if outcome is Admission.SEND:
            self.left.append((self.now, sent))
        return outcome

    def run_until(self, end: float) -> None:
        """Release what is due until a time."""
        while (pause := time_to_release(self.queue, self.now)) is not None:
            if self.now + pause > end:
                break
            self.now = Seconds(self.now + pause)
            for waiting in release(self.queue, self.now):
                self.left.append((self.now, waiting.packet))
        self.now = Seconds(end)

    def ports(self) -> list[int]:
        return [sent.flow.caller_port for _, sent in self.left]

    def time_of(self, wanted: FlowPacket) -> float:
        return next(time for time, sent in self.left if sent == wanted)


def upload(port: int, first: int = 0) -> list[FlowPacket]:
    """A window of data that a caller sends at once."""
    return [packet(port, number) for number in range(first, first + UPLOAD_WINDOW)]


def bytes_of(packets: Iterable[FlowPacket]) -> int:
    """Bytes of packets on the link."""
    return sum(len(datagram_of(sent).data) + HEADER_BYTES for sent in packets)


class Pacing(unittest.TestCase):
    """Guards against bursts that overflow the link, which loses their last packets."""

    def test_a_window_of_an_upload_leaves_at_the_rate_of_the_link(self) -> None:
        link = Link()
        link.submit(*upload(1))
        link.run_until(1.0)
        self.assertEqual([sent for _, sent in link.left], upload(1))
        capacity = LINK_MEGABITS * 1e6 / 8
        for time, _ in link.left:
            before = [sent for at, sent in link.left if at <= time]
            allowed = capacity * (time + BURST_TIME) + DATAGRAM_BYTES + HEADER_BYTES
            self.assertLessEqual(bytes_of(before), allowed)

    def test_an_idle_link_passes_a_packet_at_once(self) -> None:
        link = Link()
        self.assertEqual(link.submit(packet(1)), [Admission.SEND])
        self.assertIsNone(time_to_release(link.queue, link.now))

    def test_a_link_of_unknown_rate_never_queues(self) -> None:
        link = Link(None)
        outcomes = link.submit(*upload(1), *upload(2))
        self.assertEqual(set(outcomes), {Admission.SEND})

    def test_a_fast_link_passes_a_window_at_once(self) -> None:
        link = Link(1000.0)
        self.assertEqual(set(link.submit(*upload(1))), {Admission.SEND})

    def test_time_that_a_balancer_was_frozen_gives_no_larger_burst(self) -> None:
        link = Link()
        link.run_until(60.0)
        outcomes = Counter(link.submit(*upload(1)))
        burst = LINK_MEGABITS * 1e6 / 8 * BURST_TIME
        allowed = burst / (DATAGRAM_BYTES + HEADER_BYTES) + 1
        self.assertLessEqual(outcomes[Admission.SEND], allowed)


class Pauses(unittest.TestCase):
    """Guards against a balancer that was suspended and opens flows by old decisions."""

    def release_after(self, pause: float, waiting: FlowPacket) -> list[FlowPacket]:
        link = Link()
        link.submit(*upload(1), waiting)
        link.now = Seconds(link.now + pause)
        link.run_until(link.now + 1.0)
        return [sent for _, sent in link.left]

    def test_an_opening_from_before_a_pause_is_not_sent(self) -> None:
        self.assertIn(opening(9), self.release_after(0.3, opening(9)))
        self.assertNotIn(opening(9), self.release_after(5.0, opening(9)))

    def test_packets_of_open_flows_are_sent(self) -> None:
        self.assertIn(packet(9), self.release_after(5.0, packet(9)))

    def test_a_copy_after_the_pause_is_sent(self) -> None:
        link = Link()
        link.submit(*upload(1), opening(9))
        link.now = Seconds(5.0)
        link.submit(opening(9))
        link.run_until(6.0)
        self.assertEqual(link.ports().count(9), 1)


class Fairness(unittest.TestCase):
    """Guards against short requests that wait behind uploads."""

    def test_a_request_leaves_ahead_of_several_uploads(self) -> None:
        link = Link()
        for port in range(1, 6):
            link.submit(*upload(port))
        link.run_until(0.05)
        request = packet(9, length=200)
        link.submit(request)
        link.run_until(2.0)
        # One packet of an upload may be on the link already.
        self.assertLess(link.time_of(request) - 0.05, 0.02)

    def test_an_opening_leaves_ahead_of_several_uploads(self) -> None:
        link = Link()
        for port in range(1, 6):
            link.submit(*upload(port))
        link.run_until(0.05)
        link.submit(opening(9))
        link.run_until(2.0)
        self.assertLess(link.time_of(opening(9)) - 0.05, 0.02)

    def test_uploads_take_turns(self) -> None:
        link = Link()
        link.submit(*upload(1), *upload(2))
        link.run_until(2.0)
        first_half = Counter(link.ports()[: len(link.left) // 2])
        self.assertLessEqual(abs(first_half[1] - first_half[2]), 4)

    def test_packets_of_a_flow_keep_their_order(self) -> None:
        link = Link()
        link.submit(*upload(1), *upload(2))
        link.run_until(2.0)
        sent = [p for _, p in link.left if p.flow.caller_port == 2]
        self.assertEqual(sent, upload(2))


class Copies(unittest.TestCase):
    """Guards against sending data twice that still waits, which delays all the more."""

    def test_a_copy_replaces_the_one_that_waits(self) -> None:
        link = Link()
        window = upload(1)
        link.submit(*window)
        copy = window[-1]._replace(acknowledged=7)
        self.assertEqual(link.submit(copy), [Admission.REPLACED])
        link.run_until(1.0)
        self.assertEqual([sent for _, sent in link.left], [*window[:-1], copy])

    def test_a_copy_of_a_packet_that_has_left_is_sent(self) -> None:
        link = Link()
        window = upload(1)
        link.submit(*window)
        link.run_until(1.0)
        self.assertFalse(is_waiting(link.queue, window[0]))
        self.assertEqual(link.submit(window[0]), [Admission.SEND])

    def test_repeated_acknowledgements_are_all_sent(self) -> None:
        # They tell a backend server that a packet of its answer is missing.
        link = Link()
        link.submit(*upload(1))
        repeated = [packet(2, length=0, acknowledged=5)] * 3
        link.submit(*repeated)
        link.run_until(1.0)
        self.assertEqual(link.ports().count(2), 3)


class Limits(unittest.TestCase):
    """Guards against a queue that grows without a bound."""

    def test_a_link_slower_than_a_packet_a_second_sends_one_after_another(self) -> None:
        link = Link(0.001)
        link.submit(packet(1), packet(2), packet(3))
        self.assertLessEqual(len(link.left), 1)
        link.run_until(60.0)
        self.assertGreaterEqual(len(link.left), 2)

    def test_a_link_of_rate_0_counts_as_unknown(self) -> None:
        self.assertEqual(set(Link(0.0).submit(*upload(1))), {Admission.SEND})

    def test_the_longest_backlog_gives_way(self) -> None:
        link = Link()
        link.submit(*(packet(1, number) for number in range(1000)))
        self.assertLessEqual(queue_time(link.queue), MAX_QUEUE_TIME)
        self.assertEqual(link.submit(packet(1, 1000)), [Admission.REJECTED])
        self.assertEqual(link.submit(packet(2)), [Admission.QUEUED])
        self.assertLessEqual(queue_time(link.queue), MAX_QUEUE_TIME)

    @given(
        st.lists(
            st.tuples(
                st.integers(1, 4),
                st.integers(0, 30),
                st.sampled_from([0, 200, DATA_BYTES]),
                st.floats(0.0, 0.05),
            ),
            max_size=80,
        )
    )
    def test_each_accepted_packet_leaves_once(
        self, steps: list[tuple[int, int, int, float]]
    ) -> None:
        link = Link()
        accepted: Counter[FlowPacket] = Counter()
        for port, number, length, pause in steps:
            sent = packet(port, number, length)
            outcome = link.submit(sent)[0]
            accepted[sent] += outcome in (Admission.SEND, Admission.QUEUED)
            link.run_until(link.now + pause)
        link.run_until(link.now + 60.0)
        self.assertTrue(link.queue.is_empty)
        self.assertEqual(Counter(sent for _, sent in link.left), +accepted)


if __name__ == "__main__":
    unittest.main()
