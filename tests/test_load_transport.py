"""Load figures from the packet task over the follower to the relay and back."""

import unittest
from typing import Any, cast
from unittest import mock

import msgspec
from returns.result import Failure, Result, Success

from tests.test_delivery_view import view
from tests.test_load_sums import figures, report
from tests.test_tag_steering import RECIFE, boot
from wasabigw.codec.load import encode_report, sums_of_response
from wasabigw.codec.views import decode_update, encode_update
from wasabigw.core.declaration import Listener
from wasabigw.core.delivery_view import ViewUpdate, update_since
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import NodeId, Revision, Seconds
from wasabigw.core.load.figures import FIGURES_TTL, LoadReport, LoadSums
from wasabigw.core.load.sums import FILL_TIME
from wasabigw.core.requirements import Priority, Requirements
from wasabigw.core.sources import SourceState
from wasabigw.core.tags.features import Features
from wasabigw.core.tags.state import TagState
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import Tick
from wasabigw.tasks import relay_load, relay_task
from wasabigw.tasks.light_http import LightClient, LightRequest
from wasabigw.tasks.load_messages import LoadReported, ReportAnswered, SumsOutcome
from wasabigw.tasks.load_reporter import LoadReporter
from wasabigw.tasks.relay_task import RelayTask, make_relay_task
from wasabigw.tasks.view_follower import make_view_follower
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.exposition import render

RELAY = Endpoint("127.0.0.1", 0)
NO_AGE = Seconds(0.0)
SETTLED = FILL_TIME + 1.0
"""Time after which a relay returns sums."""


class Connection:
    """Records the responses of a relay."""

    def __init__(self) -> None:
        self.responses: list[tuple[int, bytes]] = []

    def respond(self, status: int, body: bytes = b"") -> None:
        self.responses.append((status, body))


class RelayCase(unittest.TestCase):
    """A relay that is called directly, at a time that the test sets."""

    def setUp(self) -> None:
        self.now = Seconds(0.0)
        clock = mock.patch.object(relay_task, "monotonic", side_effect=self.time)
        self.enterContext(clock)
        self.relay = self.start()

    def time(self) -> Seconds:
        return self.now

    def start(self) -> RelayTask:
        stored = update_since(view(5, boot(1), boot(2)), Revision(0), NO_AGE)
        relay = make_relay_task(RELAY, stored, Mailbox("file"))
        self.addCleanup(relay._server.__exit__, None, None, None)
        self.addCleanup(relay._selector.close)
        self.addCleanup(relay._selectable.__exit__, None, None, None)
        return relay

    def poll(self, load: str = "", wait_ms: int = 0, more: str = "") -> Connection:
        connection = Connection()
        query = f"after=5&wait_ms={wait_ms}" + (f"&load={load}" if load else "") + more
        target = f"/v1/view?{query}"
        self.relay._handle(LightRequest(cast(Any, connection), "GET", target))
        return connection

    def send(self, sent: LoadReport, wait_ms: int = 0) -> Connection:
        return self.poll(encode_report(sent, NO_AGE), wait_ms)

    def sums(self, connection: Connection) -> LoadSums | None:
        ((status, body),) = connection.responses
        self.assertEqual(status, 200)
        received = sums_of_response(body).unwrap()
        return None if received is None else received.sums

    def metrics(self) -> str:
        return render(self.relay._metric_families()).decode()


class Relays(RelayCase):
    """Guards against relays that lose, repeat or hold up what balancers report."""

    def setUp(self) -> None:
        super().setUp()
        self.send(report("b1", figures(1, 2)))
        self.send(report("b2", figures(1, 3)))
        self.now = Seconds(SETTLED)

    def test_sums_come_back_with_the_poll_of_a_report(self) -> None:
        sums = self.sums(self.send(report("b1", figures(1, 2), sequence=2)))
        assert sums is not None
        self.assertEqual((sums.balancers, round(sums.age, 3)), (1, SETTLED))
        self.assertEqual([f.in_flight for f in sums.servers], [3, 0])

    def test_other_polls_get_the_same_bytes_as_without_load(self) -> None:
        before = self.poll().responses
        self.assertNotIn(b"load", before[0][1])
        self.assertIsNone(self.sums(self.send(report("b1", figures(1, 2)))))

    def test_a_report_does_not_end_the_wait_of_a_held_poll(self) -> None:
        held = self.send(report("b1", figures(1, 2), sequence=2), wait_ms=500)
        other = self.poll(wait_ms=500)
        self.send(report("b2", figures(1, 4), sequence=2))
        self.assertEqual(held.responses + other.responses, [])
        self.now = Seconds(SETTLED + 0.5)
        self.relay.receive(Tick("relay", self.now))
        sums = self.sums(held)
        assert sums is not None
        self.assertEqual(sums.servers[0].in_flight, 4)
        self.assertIsNone(self.sums(other))

    def test_a_malformed_report_is_counted_and_its_poll_answered(self) -> None:
        with self.assertLogs("absl", "WARNING") as logs:
            for text in ("AAAA", "%00", "x" * 13_000):
                self.assertIsNone(self.sums(self.poll(text)))
        self.assertEqual(len(logs.output), 1)
        line = 'wasabigw_relay_load_reports_total{outcome="malformed"} 3'
        self.assertIn(line, self.metrics())
        self.assertGreater(relay_load.MALFORMED_LOG_INTERVAL, 0.5)

    def test_reports_expire_without_further_polls(self) -> None:
        self.assertIn("wasabigw_relay_load_balancers 2", self.metrics())
        self.relay.receive(Tick("relay", FIGURES_TTL))
        self.assertIn("wasabigw_relay_load_balancers 0", self.metrics())

    def test_a_restarted_relay_returns_sums_after_a_round_of_reports(self) -> None:
        self.relay = self.start()
        first = self.sums(self.send(report("b1", figures(1, 2), sequence=2)))
        self.send(report("b2", figures(1, 3), sequence=2))
        self.now = Seconds(SETTLED + 2.0)
        second = self.sums(self.send(report("b1", figures(1, 2), sequence=4)))
        self.assertIsNone(first)
        assert second is not None
        self.assertEqual(second.servers[0].in_flight, 3)


class Versions(RelayCase):
    """Guards against balancers and relays that fail beside another version."""

    def test_a_balancer_without_load_ignores_the_key(self) -> None:
        self.send(report("b1", figures(1, 2)))
        self.now = Seconds(SETTLED)
        connection = self.send(report("b2", figures(1, 2)))
        ((_, body),) = connection.responses
        self.assertIsNotNone(self.sums(connection))
        earlier = msgspec.json.Decoder(ViewUpdate).decode(body)
        plain = update_since(self.relay._view, Revision(5), NO_AGE)
        self.assertEqual(earlier, plain)

    def test_a_relay_without_load_ignores_the_parameter(self) -> None:
        # Relays read the parameters that they know, as this one does with a later one.
        later = self.poll(more="&later=" + encode_report(report("b1"), NO_AGE))
        self.assertEqual(later.responses, self.poll().responses)
        self.assertIsNone(self.sums(later))


class FollowerCase(unittest.TestCase):
    """A follower whose client returns what the test sets."""

    def setUp(self) -> None:
        self.received: Mailbox[Any] = Mailbox("received")
        sources = SourceState(RECIFE, (RELAY,))
        self.follower = make_view_follower(
            sources, self.received, lambda api: api, Revision(5)
        )
        update = update_since(view(5, boot(1)), Revision(5), Seconds(9.0))
        self.body = encode_update(update)
        self.response: Result[bytes, str] = Success(self.body)
        self.targets: list[str] = []
        self.enterContext(mock.patch.object(LightClient, "get", self.get))

    def get(self, _server: Endpoint, target: str, *_: Seconds) -> Result[bytes, str]:
        self.targets.append(target)
        return self.response

    def poll(self) -> list[Any]:
        """Poll once; returns what was posted."""
        self.follower._poll(RELAY, Seconds(10.0), Seconds(0.5))
        return list(self.received.drain())

    def report(self, sequence: int = 1) -> None:
        made = report("b1", figures(1, 2), sequence=sequence)
        self.follower.receive(LoadReported(made, Seconds(9.5)))

    def outcome(self, posted: list[Any]) -> SumsOutcome:
        (answer,) = [m for m in posted if isinstance(m, ReportAnswered)]
        return answer.outcome


class Followers(FollowerCase):
    """Guards against reports that are sent twice, or that cost a poll its view."""

    def test_polls_without_a_report_are_as_before(self) -> None:
        posted = self.poll()
        self.assertEqual(self.targets, ["/v1/view?after=5&wait_ms=500"])
        self.assertEqual(len(posted), 1)

    def test_the_latest_report_is_sent_once_with_its_age(self) -> None:
        self.report(1)
        self.report(2)
        self.poll()
        self.poll()
        self.assertNotIn("load", self.targets[1])
        text = self.targets[0].rpartition("&load=")[2]
        made = report("b1", figures(1, 2), sequence=2)
        self.assertEqual(text, encode_report(made, Seconds(0.5)))

    def test_a_relay_of_an_earlier_version_returns_no_sums(self) -> None:
        for body in (self.body, self.body[:-1] + b',"load":null}'):
            self.response = Success(body)
            self.report()
            posted = self.poll()
            self.assertIs(self.outcome(posted), SumsOutcome.ABSENT)
            self.assertEqual(len(posted), 2)

    def test_malformed_sums_do_not_cost_the_view(self) -> None:
        for load in (b"7", b'"AAAA"', b'{"a":1}'):
            with self.subTest(load=load):
                self.response = Success(self.body[:-1] + b',"load":' + load + b"}")
                self.report()
                posted = self.poll()
                self.assertIs(self.outcome(posted), SumsOutcome.MALFORMED)
                self.assertEqual(posted[-1].update, decode_update(self.body).unwrap())

    def test_a_lost_report_is_not_sent_again(self) -> None:
        self.response = Failure("timed out")
        self.report()
        self.assertIs(self.outcome(self.poll()), SumsOutcome.NO_RESPONSE)
        self.poll()
        self.assertNotIn("load", self.targets[1])


class Reporters(unittest.TestCase):
    """Guards against reports that nobody needs, and against lost figures unseen."""

    def setUp(self) -> None:
        self.state = TagState(NodeId("b1"), RECIFE)
        self.declare(Requirements(Priority(1), Seconds(0.5)))
        self.reporter = LoadReporter(self.state)
        self.sent: Mailbox[Any] = Mailbox("sent")
        self.reporter.receiver = self.sent

    def declare(self, requirements: Requirements | None) -> None:
        endpoint = Endpoint("198.18.0.1", 443)
        listener = Listener(endpoint, (), Seconds(3.0), requirements)
        self.state.listeners = {(1, 443): listener}

    def reports(self, now: float) -> list[Any]:
        self.reporter.report(Seconds(now))
        return list(self.sent.drain())

    def answer(self, at: float) -> None:
        sums = LoadSums(Seconds(0.5), 3, (figures(1, 2),), ())
        answer = ReportAnswered(SumsOutcome.RECEIVED, Seconds(at), 900, sums)
        self.reporter.record_answer(answer)

    def test_nothing_is_reported_without_requirements_or_the_feature(self) -> None:
        self.assertEqual(len(self.reports(1.0)), 1)
        self.state.features = Features(load_sharing=False)
        self.assertEqual(self.reports(2.0), [])
        self.state.features = Features()
        self.declare(None)
        self.assertEqual(self.reports(3.0), [])
        self.answer(4.0)
        self.assertFalse(self.state.known_load.is_current(Seconds(4.0)))

    def test_processes_of_the_same_node_have_different_incarnations(self) -> None:
        (first,) = self.reports(1.0)
        self.reporter = LoadReporter(self.state)
        self.reporter.receiver = self.sent
        (second,) = self.reports(2.0)
        self.assertNotEqual(first.report.incarnation, second.report.incarnation)

    def test_known_figures_and_their_expiry_are_logged(self) -> None:
        with mock.patch("wasabigw.tasks.load_reporter.log") as log:
            self.answer(4.0)
            self.answer(5.0)
            self.reports(8.4)
            self.reports(8.6)
            self.reports(9.6)
        events = [call.args[0] for call in log.call_args_list]
        known, unknown = BalancerEvent.LOAD_KNOWN, BalancerEvent.LOAD_UNKNOWN
        self.assertEqual(events, [known, unknown])
        text = render(self.reporter.families(Seconds(9.0))).decode()
        self.assertIn('wasabigw_load_reports_total{outcome="received"} 2', text)
        self.assertIn("wasabigw_load_bytes_total 1800", text)
        self.assertIn("wasabigw_load_age_seconds 4.5", text)


if __name__ == "__main__":
    unittest.main()
