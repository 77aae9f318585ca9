"""Callers and backend servers of the soak keep to the protocol of the platform."""

import random
import unittest

from wasabigw.core.ids import Seconds
from wasabigw_soak.flow_ends import FlowEnd, Segment
from wasabigw_soak.held_ends import (
    AcknowledgementMode,
    CallerFlow,
    CallerState,
    ServerEnd,
)
from wasabigw_soak.observations import MachineName
from wasabigw_soak.packets import Flag, Packet
from wasabigw_soak.routing import Entry, Rotation

START = Seconds(100.0)


def seconds(after: float) -> Seconds:
    """Time after the start."""
    return Seconds(START + after)


class FlowEnds(unittest.TestCase):
    """Guards against evidence that real callers and backend servers would not give."""

    def test_data_is_sent_again_at_the_intervals_of_the_protocol(self) -> None:
        end = FlowEnd(first=1, expected=1, acknowledges_every=1)
        end.write([b"a"], START)
        sent_after = []
        now = START
        while end.due_at is not None:
            now = end.due_at
            if end.retransmit(now):
                sent_after.append(round(now - START, 6))
        self.assertEqual(sent_after, [0.2, 0.6, 1.4, 3.0, 4.6, 6.2, 7.8, 9.4])
        self.assertTrue(end.has_given_up)

    def test_an_acknowledgement_ends_the_retransmissions(self) -> None:
        end = FlowEnd(first=2**32 - 1, expected=1, acknowledges_every=1)
        end.write([b"ab"], START)
        end.receive(Segment(1, b""), acknowledged=1, now=seconds(0.1))
        self.assertIsNone(end.due_at)

    def test_an_end_may_acknowledge_every_second_packet_only(self) -> None:
        end = FlowEnd(first=1, expected=1, acknowledges_every=2)
        first = end.receive(Segment(1, b"a"), 1, START)
        copy = end.receive(Segment(1, b"a"), 1, seconds(0.2))
        self.assertFalse(first.is_acknowledgement_due)
        self.assertTrue(copy.is_acknowledgement_due)
        self.assertEqual((first.data, copy.data), ((b"a",), ()))

    def test_early_data_waits_for_missing_data(self) -> None:
        end = FlowEnd(first=1, expected=1, acknowledges_every=1)
        self.assertEqual(end.receive(Segment(2, b"b"), 1, START).data, ())
        self.assertEqual(end.receive(Segment(1, b"a"), 1, START).data, (b"a", b"b"))


class HeldEnds(unittest.TestCase):
    """Guards against flows that never open, or that a wrong server takes."""

    def setUp(self) -> None:
        self.random = random.Random(1)
        self.caller = CallerFlow("127.0.0.1", 20_000, self.random, START)
        self.server = ServerEnd(AcknowledgementMode.SECOND, self.random)

    def open_flow(self) -> Packet:
        """Open the flow; returns the last packet of its caller."""
        (opening,) = self.caller.wake(START)
        (answer,) = self.server.receive(opening, START)
        (acknowledgement,) = self.caller.receive(answer, START)
        self.assertFalse(self.server.holds(self.caller.key))
        self.server.receive(acknowledgement, START)
        self.assertTrue(self.server.holds(self.caller.key))
        return acknowledgement

    def test_the_opening_is_sent_three_times_and_given_up(self) -> None:
        sent = []
        while (at := self.caller.next_at) is not None:
            sent += [(round(at - START, 6), p) for p in self.caller.wake(at)]
        self.assertEqual([at for at, _ in sent], [0.0, 0.2, 0.6])
        self.assertEqual([packet.acknowledged for _, packet in sent], [0, 1, 2])
        self.assertIs(self.caller.state, CallerState.ENDED)

    def test_a_caller_gets_many_responses_on_one_flow(self) -> None:
        self.open_flow()
        responses, now = 0, START
        while now < seconds(10.0) and self.caller.state is CallerState.OPEN:
            due = [at for at in (self.caller.next_at, self.server.next_at) if at]
            now = max(now, min(due))
            to_server, to_caller = self.caller.wake(now), self.server.wake(now)
            while to_server or to_caller:
                responses += sum(packet.data[:1] == b"L" for packet in to_caller)
                answers = [a for p in to_server for a in self.server.receive(p, now)]
                to_server = [a for p in to_caller for a in self.caller.receive(p, now)]
                to_caller = answers
        self.assertGreater(responses, 3)

    def test_another_backend_server_resets_the_flow(self) -> None:
        packet = self.open_flow()
        other = ServerEnd(AcknowledgementMode.EACH, self.random)
        (answer,) = other.receive(packet, START)
        self.assertTrue(answer.flags & Flag.RST)
        self.assertEqual(self.caller.receive(answer, START), [])
        self.assertIs(self.caller.state, CallerState.ENDED)

    def test_a_second_answer_to_the_opening_is_ignored(self) -> None:
        (opening,) = self.caller.wake(START)
        other = ServerEnd(AcknowledgementMode.EACH, self.random)
        (answer,) = self.server.receive(opening, START)
        (late_answer,) = other.receive(opening, START)
        (acknowledgement,) = self.caller.receive(answer, START)
        self.assertEqual(self.caller.receive(late_answer, START), [])
        self.assertEqual(acknowledgement.acknowledged, answer.sequence + 1)


class Routers(unittest.TestCase):
    """Guards against packets that no router would send to a balancer."""

    def setUp(self) -> None:
        places = (("one", "a"), ("two", "a"), ("three", "b"))
        self.rotation = Rotation(
            tuple(Entry(MachineName(n), f"127.0.0.{n}", d) for n, d in places)
        )
        self.flows = [("127.0.0.1", port) for port in range(200)]

    def selected(self, *ready: str) -> list[str]:
        self.rotation.ready = {MachineName(name) for name in ready}
        return [self.rotation.select("a", flow).name for flow in self.flows]

    def test_only_flows_of_a_balancer_out_of_rotation_move(self) -> None:
        both, one = self.selected("one", "two"), self.selected("one")
        self.assertEqual({*both}, {"one", "two"})
        self.assertEqual({*one}, {"one"})

    def test_the_nearest_balancers_are_used_without_one_in_the_domain(self) -> None:
        self.assertEqual({*self.selected("three")}, {"three"})

    def test_all_of_a_domain_are_used_without_any_in_rotation(self) -> None:
        self.assertEqual({*self.selected()}, {"one", "two"})


if __name__ == "__main__":
    unittest.main()
