"""Metrics of flows, load, control traffic and changes, and how they are served."""

import json
import tempfile
import unittest
import urllib.request
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any

from returns.result import Success

from tests.flow_simulation import DOMAINS, SEATS, make_simulation, set_domain
from tests.test_flow_decisions import open_flow
from wasabigw.core.cluster import Endpoint
from wasabigw.core.flows import metrics
from wasabigw.core.flows.metrics import BrokenReason
from wasabigw.core.home_load import ServerLoad, imbalance
from wasabigw.core.ids import (
    BackendServerId,
    NodeId,
    Revision,
    Seconds,
    ServiceId,
)
from wasabigw.core.log_messages import NodeProgress
from wasabigw.core.states import FailureDomainState
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import Tick, monotonic
from wasabigw.tasks.http_balancer import BalancerApiSettings, make_balancer_server
from wasabigw.tasks.in_force_tracker import InForceTracker
from wasabigw.tasks.messages import PacketCounts
from wasabigw.tasks.metrics_task import (
    USAGE_TICK,
    InForceMeasured,
    MetricsRequest,
    MetricsTask,
    PacketMetrics,
    make_metrics_task,
)
from wasabigw.telemetry.trace_context import TraceParent
from wasabigw.telemetry.trace_file import TraceFileTask
from wasabigw.telemetry.tracing import make_disabled_tracer, make_tracer

NODE = NodeId("n0")
WAIT = Seconds(5.0)
TOKEN = "token-that-nobody-may-see"


def server_load(name: str, open_flows: int, leaving: bool = False) -> ServerLoad:
    """Load of a backend server with a limit of 128 flows."""
    return ServerLoad(BackendServerId(name), SEATS, open_flows, 128, leaving)


def packets(dropped: int) -> PacketMetrics:
    """Counters that a packet task posts."""
    counts = PacketCounts(10, 4, 3, 2, 1, 0, {}, {"fragment": dropped})
    broken = {(SEATS, BrokenReason.BACKEND_SERVER_GONE): dropped}
    moved = metrics.AdmittedShare(SEATS, DOMAINS[0], 0.5)
    uses = (server_load("b1", 30), server_load("b2", 10))
    return PacketMetrics(counts, broken, uses, (moved,), Seconds(0.1), 500, 700)


class Flows(unittest.TestCase):
    """Guards against broken flows that are not counted, or counted several times."""

    def test_flow_of_a_domain_taken_out_counts_once_over_all_balancers(self) -> None:
        sim = make_simulation(1)
        flow = open_flow(sim, "b1")
        sim.send(flow)
        domain = sim.any_balancer().cluster.backend_servers[BackendServerId("b1")]
        out = FailureDomainState.OUT_OF_SERVICE
        sim.commit(set_domain(domain.failure_domain, out))
        for _ in range(4):
            sim.step(1.0)
        broken = [dict(b.state.metrics.broken) for b in sim.balancers.values()]
        self.assertEqual(
            [counts for counts in broken if counts],
            [{(SEATS, BrokenReason.FAILURE_DOMAIN_OUT): 1}],
        )

    def test_admitted_share_of_a_move_counts_flows_since_its_start(self) -> None:
        sim = make_simulation(1)
        found = metrics.FlowMetrics()
        cluster = sim.any_balancer().cluster
        metrics.observe_domain_changes(found, cluster, Seconds(0.0))
        metrics.count_refused(found, SEATS)
        self.assertEqual(list(metrics.admitted_shares(found, Seconds(1.0))), [])
        domain = cluster.failure_domains[DOMAINS[0]]
        cluster.failure_domains[DOMAINS[0]] = type(domain)(
            domain.id, domain.region, FailureDomainState.OUT_OF_SERVICE
        )
        metrics.observe_domain_changes(found, cluster, Seconds(2.0))
        for _ in range(3):
            metrics.count_admitted(found, SEATS)
        metrics.count_refused(found, SEATS)
        shares = list(metrics.admitted_shares(found, Seconds(3.0)))
        self.assertEqual(shares, [metrics.AdmittedShare(SEATS, DOMAINS[0], 3 / 4)])
        later = Seconds(2.5 + metrics.OBSERVATION_TIME)
        self.assertEqual(list(metrics.admitted_shares(found, later)), [])

    def test_imbalance_ignores_servers_that_are_being_emptied(self) -> None:
        uses = [
            server_load("b1", 30),
            server_load("b2", 10),
            server_load("b3", 0, leaving=True),
        ]
        self.assertEqual(imbalance(uses), {SEATS: 1.5})
        self.assertEqual(imbalance([server_load("b1", 0), server_load("b2", 0)]), {})
        alone = ServerLoad(BackendServerId("b9"), ServiceId("feed"), 5, 10, False)
        self.assertEqual(imbalance([alone]), {})


class Snapshot(unittest.TestCase):
    """Guards against metrics that are missing, counted twice or reveal the token."""

    def setUp(self) -> None:
        stack = ExitStack()
        self.addCleanup(stack.close)
        self.task: MetricsTask = stack.enter_context(make_metrics_task(NODE))
        settings = BalancerApiSettings(Endpoint("127.0.0.1", 0), TOKEN)
        unused: Mailbox[Any] = Mailbox("packets")
        server = make_balancer_server(unused, settings, dict, self.task.mailbox)
        self.endpoint = stack.enter_context(server).endpoint

    def read(self) -> tuple[str, dict[str, Any]]:
        url = f"http://{self.endpoint.address}:{self.endpoint.port}/v1/metrics"
        with urllib.request.urlopen(url, timeout=20) as response:
            text = response.read().decode()
        return text, json.loads(text)["metrics"]

    def test_totals_are_counted_once_and_no_secret_is_served(self) -> None:
        for dropped in (2, 2, 5):
            self.task.mailbox.post(packets(dropped))
        self.task.mailbox.post(InForceMeasured(Seconds(0.2)))
        self.task.mailbox.post(Tick(USAGE_TICK, Seconds(monotonic() + 1.0)))
        text, found = self.read()
        self.assertNotIn(TOKEN, text)
        for name in ("wasabigw.packets.dropped", "wasabigw.flows.broken"):
            self.assertEqual([p["value"] for p in found[name]["points"]], [5])
        (ratio,) = found["wasabigw.load.imbalance"]["points"]
        self.assertEqual(ratio["value"], 1.5)
        (served,) = found["wasabigw.failure_domain.move.served"]["points"]
        self.assertEqual(served["value"], 0.5)
        (rate,) = found["wasabigw.control.io.rate"]["points"]
        self.assertGreater(rate["value"], 0)
        (memory,) = found["process.memory.usage"]["points"]
        self.assertGreater(memory["value"], 1_000_000)
        parts = {
            p["attributes"]["part"] for p in found["process.cpu.utilization"]["points"]
        }
        self.assertEqual(parts, {"packets", "control"})

    def test_servers_that_moved_to_another_home_show_no_open_flows(self) -> None:
        self.task.mailbox.post(packets(1))
        self.task.mailbox.post(replace(packets(1), server_loads=()))
        _, found = self.read()
        flows = {p["value"] for p in found["wasabigw.flows.open"]["points"]}
        (ratio,) = found["wasabigw.load.imbalance"]["points"]
        self.assertEqual((flows, ratio["value"]), ({0}, 1.0))

    def test_http_requests_count_as_control_traffic(self) -> None:
        self.read()
        _, found = self.read()
        points = found["wasabigw.control.io"]["points"]
        sent = {p["attributes"]["direction"]: p["value"] for p in points}
        self.assertGreater(sent["sent"], 1_000)
        self.assertGreater(sent["received"], 30)


class InForce(unittest.TestCase):
    """Guards against changes whose progress at balancers isn't measured or traced."""

    def progress(self, *applied: int) -> tuple[NodeProgress, ...]:
        return tuple(
            NodeProgress(
                NodeId(f"n{n}"), DOMAINS[0], Revision(at), Seconds(0.0), at >= 7
            )
            for n, at in enumerate(applied)
        )

    def test_delay_is_measured_when_the_last_balancer_has_applied(self) -> None:
        posted: Mailbox[Any] = Mailbox("metrics")
        tracker = InForceTracker(posted, make_disabled_tracer())
        tracker.track(Revision(7), None, Seconds(10.0))
        tracker.check(lambda _: self.progress(7, 6), Seconds(10.5))
        self.assertEqual(list(posted.drain()), [])
        for now in (11.0, 12.0):
            tracker.check(lambda _: self.progress(7, 8), Seconds(now))
        self.assertEqual(list(posted.drain()), [InForceMeasured(Seconds(1.0))])

    def test_trace_of_a_change_names_each_balancer_that_applied_it(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "spans.jsonl"
            with TraceFileTask(path, 10**6) as file:
                tracer = make_tracer(NODE, 0.0, file.mailbox)
                tracker = InForceTracker(None, tracer)
                tracker.track(Revision(7), TraceParent(1, 2, True), Seconds(0.0))
                tracker.check(lambda _: self.progress(7, 6), Seconds(0.1))
                tracker.check(lambda _: self.progress(7, 7), Seconds(0.2))
            (span,) = [json.loads(line) for line in path.read_text().splitlines()]
        self.assertEqual(span["name"], "control.in_force")
        self.assertEqual(span["parent_span_id"], f"{2:016x}")
        nodes = [event["attributes"]["node"] for event in span["events"]]
        self.assertEqual(nodes, ["n0", "n1"])


class Request(unittest.TestCase):
    """Guards against a request without a reply, which would block its sender."""

    def test_task_answers_before_anything_was_measured(self) -> None:
        with make_metrics_task(NODE) as task:
            reply: Mailbox[Any] = Mailbox("reply")
            task.mailbox.post(MetricsRequest(reply))
            answer = reply.get(WAIT)
        self.assertIsInstance(answer, Success)
