"""What logs and gauges say of the view that a process holds."""

import math
import socket
import unittest
from collections import Counter
from collections.abc import Mapping
from typing import Any
from unittest import mock

from tests.disk_cluster import DiskCluster
from tests.test_relay import ANY_PORT, LONG, RECIFE, RelayCase, update
from wasabigw.core.delivery_view import ViewUpdate
from wasabigw.core.endpoint import Endpoint, endpoint_key
from wasabigw.core.ids import FailureDomainId, NodeId, Seconds
from wasabigw.core.sources import SourceState
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.updates import apply_view_update
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import monotonic
from wasabigw.tasks.light_http import LightClient
from wasabigw.tasks.relay_task import RelayTask, make_relay_task
from wasabigw.tasks.tag_metrics import families_of
from wasabigw.tasks.view_follower import ViewReceived, make_view_follower
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.events_control import ControlEvent
from wasabigw.telemetry.events_http import HttpEvent
from wasabigw.telemetry.exposition import render
from wasabigw.telemetry.log_events import LogEvent

START = Seconds(100.0)


class Ages(unittest.TestCase):
    """Guards against an old view that is shown as a recent one.

    Without a leader, each answer of a relay with a stored view set the age to 0.
    """

    def setUp(self) -> None:
        self.state = TagState(NodeId("balancer-1"), FailureDomainId("recife"))

    def receive(self, revision: int, fresh_for: float, sent_at: float) -> None:
        sent = Seconds(sent_at)
        apply_view_update(update(revision, fresh_for), sent, self.state, sent)

    def test_an_answer_that_is_not_current_does_not_make_the_view_younger(self) -> None:
        self.receive(5, 1.5, START)
        for poll in range(1, 20):
            self.receive(5, 0.0, START + poll)
        self.assertEqual(self.state.view_age(Seconds(START + 20)), 20.0)

    def test_a_view_that_was_never_current_has_no_age(self) -> None:
        self.receive(5, 0.0, START)
        self.assertEqual(self.state.view_age(Seconds(START + 1)), math.inf)
        families = families_of(self.state, {}, {}, 0, 0, Seconds(START + 1))
        self.assertIn("wasabigw_view_age_seconds +Inf", render(families).decode())


class Freezes(RelayCase):
    """Guards against a lease that is used after the process was frozen past its end."""

    def test_a_balancer_that_reads_an_answer_late_is_not_current(self) -> None:
        state = TagState(NodeId("balancer-1"), RECIFE)
        woken = Seconds(START + 5)
        apply_view_update(update(5, 1.5), START, state, woken)
        self.assertFalse(state.is_fresh(woken))

    def test_a_relay_that_reads_an_answer_late_is_not_current(self) -> None:
        relay = self.start()
        sent_at = Seconds(monotonic() - 5)
        relay.mailbox.post(ViewReceived(update(5, 1.5), ANY_PORT, sent_at))
        self.assertEqual(self.poll(relay, 0).unwrap().fresh_for, 0.0)


class Lines(RelayCase):
    """Guards against a process whose log does not tell which view it follows.

    An older configuration at a balancer could not be traced to the relay that served
    it, nor that relay's view to its file or to a voter.
    """

    def record(self, module: str) -> mock.Mock:
        return self.enterContext(mock.patch(f"wasabigw.tasks.{module}.log"))

    def lines(self, recorded: mock.Mock, event: LogEvent) -> list[Mapping[str, Any]]:
        return [c.kwargs for c in recorded.call_args_list if c.args[0] is event]

    def test_a_relay_names_version_revision_and_source(self) -> None:
        recorded = self.record("relay_task")
        relay = self.start()
        self.post_view(relay, update(6, fresh_for=0.2))
        self.poll(relay, 6, wait_ms=500)
        source = endpoint_key(ANY_PORT)
        expected = {"version": 3, "revision": 6, "source": source}
        for event in (BalancerEvent.RELAY_VIEW, BalancerEvent.RELAY_FRESH):
            line = self.lines(recorded, event)[0]
            self.assertEqual(dict(line) | expected, line)
        stale = self.lines(recorded, BalancerEvent.RELAY_STALE)[0]
        self.assertEqual((stale["version"], stale["revision"]), (3, 6))
        self.assertGreaterEqual(stale["age"], 0.2)

    def test_the_gauges_of_a_relay_tell_a_stored_view_from_a_current_one(self) -> None:
        relay = self.start_with_metrics(update(5))
        self.assertLessEqual(
            {"wasabigw_view_stored 1", "wasabigw_view_fresh 0",
             "wasabigw_declared_version 3", "wasabigw_view_age_seconds +Inf"},
            self.gauges(),
        )  # fmt: skip
        self.post_view(relay, update(6))
        self.poll(relay, 5, wait_ms=500)
        self.assertLessEqual(
            {"wasabigw_view_stored 0", "wasabigw_view_fresh 1"}, self.gauges()
        )

    def start_with_metrics(self, stored: ViewUpdate) -> RelayTask:
        with socket.create_server((ANY_PORT.address, 0)) as free:
            self.metrics = Endpoint(*free.getsockname())
        relay = make_relay_task(ANY_PORT, stored, self.file, self.metrics)
        return self.enterContext(relay)

    def gauges(self) -> set[str]:
        with LightClient() as client:
            text = client.get(self.metrics, "/metrics", LONG, LONG).unwrap()
        return set(text.decode().splitlines())

    def test_a_follower_says_why_it_left_a_source(self) -> None:
        recorded = self.record("view_follower")
        relay = self.start()
        self.post_view(relay, update(6, fresh_for=0.3))
        received: Mailbox[Any] = Mailbox("received")
        sources = SourceState(RECIFE, (relay.endpoint,))
        with make_view_follower(sources, received, lambda api: api):
            while not self.lines(recorded, HttpEvent.SOURCE_STALE):
                received.get(LONG).unwrap()
        found = self.lines(recorded, HttpEvent.SOURCE_FOUND)
        self.assertEqual([line["revision"] for line in found], [6])
        (left,) = self.lines(recorded, HttpEvent.SOURCE_STALE)
        values = (left["revision"], left["fresh_for"], left["own"])
        self.assertEqual(values, (6, 0.0, 6))

    def test_a_voter_names_the_version_that_it_has_applied(self) -> None:
        recorded = self.record("voter_task")
        cluster = DiskCluster(3, 3, seed=1)
        self.addCleanup(cluster.close)
        cluster.run(5.0)
        for _ in range(2):
            cluster.declare()
            cluster.run(1.0)
        lines = self.lines(recorded, ControlEvent.DOCUMENT_APPLIED)
        found = Counter((line["before"], line["version"]) for line in lines)
        self.assertEqual(found, {(None, 1): 3, (1, 2): 3})


if __name__ == "__main__":
    unittest.main()
