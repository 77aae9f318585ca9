"""Each check of a promise reports a known violation and accepts a valid record.

Guards against checks that never fail, with which the fault matrix would pass
whatever the product does.
"""

import unittest
from collections.abc import Sequence

from wasabigw.core.commands import BringFailureDomainBack, TakeFailureDomainOut
from wasabigw.core.ids import (
    BackendServerId,
    FailureDomainId,
    FlowKey,
    NodeId,
    RequestId,
    Revision,
    Seconds,
    ServiceId,
)
from wasabigw_verify import record as r
from wasabigw_verify.promises import check

SEATS = ServiceId("seats")
COURSES = ServiceId("courses")
RECIFE = FailureDomainId("recife")
NODE = NodeId("n1")
OTHER_NODE = NodeId("n2")
SERVER = BackendServerId("b1")
OTHER_SERVER = BackendServerId("b2")
FLOW = FlowKey(b"flow")
REQUEST = RequestId("q1")
OUT = TakeFailureDomainOut(RECIFE)
BACK = BringFailureDomainBack(RECIFE)


def at(seconds: float) -> Seconds:
    """Time of an entry."""
    return Seconds(seconds)


def delivered(
    seconds: float, flow: FlowKey = FLOW, serves: ServiceId = SEATS
) -> r.PacketDelivered:
    """An opening packet for the seat service that reached SERVER via NODE."""
    return r.PacketDelivered(
        at(seconds), flow, SEATS, SERVER, serves, RECIFE, NODE, True, False
    )


def exchange(end: float = 2.0) -> list[r.Entry]:
    """A request that is run and answered."""
    return [
        r.NodeStarted(at(0), NODE, RECIFE),
        delivered(1.0),
        r.FlowEstablished(at(1.1), FLOW, SERVER),
        r.RequestSent(at(1.2), REQUEST, "steward", False, FLOW),
        r.RequestRun(at(1.3), REQUEST, SERVER),
        r.AnswerDelivered(at(end), REQUEST, "steward", True),
    ]


class PromiseChecks(unittest.TestCase):
    """Guards against checks that miss a violation or report a valid record."""

    def assert_violated(self, promise: str, record: Sequence[r.Entry]) -> None:
        self.assertIn(promise, {violation.promise for violation in check(record)})

    def assert_holds(self, record: Sequence[r.Entry]) -> None:
        self.assertEqual(check(record), [])

    def test_clean_exchange(self) -> None:
        self.assert_holds(exchange())

    def test_p1_lost_flow(self) -> None:
        lost = [*exchange(), r.FlowLost(at(3), FLOW)]
        self.assert_violated("P1", lost)
        self.assert_holds([*lost, r.BackendServerCrashed(at(4), SERVER)])
        self.assert_holds([*lost, r.ChangeAccepted(at(4), Revision(1), OUT)])

    def test_p2_packet_of_another_service(self) -> None:
        self.assert_violated("P2", [delivered(1, serves=COURSES)])

    def test_p3_overloaded_cold_backend_server(self) -> None:
        self.assert_violated("P3", [r.LoadObserved(at(1), SERVER, 3, 2)])
        self.assert_holds([r.LoadObserved(at(1), SERVER, 2, 2)])

    def test_p4_packet_after_domain_was_taken_out(self) -> None:
        out = r.ChangeAccepted(at(0), Revision(1), OUT)
        back = r.ChangeAccepted(at(4.5), Revision(2), BACK)
        self.assert_violated("P4", [out, delivered(4.1)])
        self.assert_holds([out, delivered(3.9)])
        self.assert_holds([out, back, delivered(4.6)])

    def test_p4_excuses_only_a_cut_off_node_of_the_same_domain(self) -> None:
        out = r.ChangeAccepted(at(1), Revision(1), OUT)
        late = delivered(9)
        disconnected = r.NodeDisconnected(at(0.5), NODE)
        started = r.NodeStarted(at(0), NODE, RECIFE)
        started_elsewhere = r.NodeStarted(at(0), NODE, FailureDomainId("salvador"))
        reconnected = r.NodeReconnected(at(8), NODE)
        self.assert_holds([started, disconnected, out, late])
        self.assert_violated("P4", [started_elsewhere, disconnected, out, late])
        self.assert_violated("P4", [started, disconnected, out, reconnected, late])

    def test_p5_wrong_missing_double_and_misdirected_answers(self) -> None:
        *sent, answer = exchange()
        inexact = r.AnswerDelivered(at(2), REQUEST, "steward", False)
        stranger = r.AnswerDelivered(at(2), REQUEST, "adviser", True)
        self.assert_violated("P5", sent)
        self.assert_violated("P5", [*sent, inexact])
        self.assert_violated("P5", [*sent, stranger])
        self.assert_violated("P5", [*sent, answer, answer])

    def test_p6_refused_request_that_ran(self) -> None:
        *sent, _ = exchange()
        self.assert_violated("P6", [*sent, r.RequestRefused(at(2), REQUEST, True)])
        self.assert_holds([*sent, r.RequestRefused(at(2), REQUEST, False)])

    def test_p7_non_idempotent_request_that_ran_twice(self) -> None:
        again = r.RequestRun(at(2), REQUEST, OTHER_SERVER)
        self.assert_violated("P7", [*exchange(), again])

    def test_p8_new_flow_on_a_leaving_backend_server(self) -> None:
        leaving = r.BackendServerLeaving(at(0), SERVER)
        self.assert_violated("P8", [leaving, delivered(4.1)])
        self.assert_holds([leaving, delivered(3.9)])
        self.assert_holds([delivered(0), leaving, delivered(9)])

    def test_p9_request_cut_by_a_planned_stop(self) -> None:
        *sent, answer = exchange(end=3.0)
        stop = r.NodeStopped(at(2), NODE, True)
        self.assert_violated("P9", [*sent, stop])
        self.assert_holds([*sent, stop, answer])

    def test_p10_late_reverted_and_diverged_revisions(self) -> None:
        start = r.NodeStarted(at(0), NODE, RECIFE)
        accepted = r.ChangeAccepted(at(1), Revision(5), OUT)
        applied = r.RevisionApplied(at(2), NODE, Revision(5), 77)
        older = r.RevisionApplied(at(3), NODE, Revision(4), 66)
        other = r.RevisionApplied(at(3), OTHER_NODE, Revision(5), 78)
        end = r.LoadObserved(at(9), SERVER, 0, 1)
        self.assert_violated("P10", [start, accepted, end])
        self.assert_violated("P10", [start, accepted, applied, older, end])
        self.assert_violated("P10", [start, accepted, applied, other, end])
        self.assert_holds([start, accepted, applied, end])
        self.assert_holds([start, r.NodeDisconnected(at(0.5), NODE), accepted, end])
