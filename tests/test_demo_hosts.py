"""Callers and backend servers communicate over fabric and rewriting balancers."""

import tempfile
import unittest
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import cherrypy

from tests.demo_network import (
    IDENTITY,
    LOOPBACK,
    LOSSY,
    NO_FAULTS,
    Network,
    running_network,
    target,
)
from wasabigw.codec import messages
from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import RequestId, Seconds
from wasabigw.core.log_messages import Announcement
from wasabigw.core.states import BackendServerState, Protocol
from wasabigw.core.timing import IN_FORCE_BOUND
from wasabigw.runtime.mailbox import Mailbox
from wasabigw_demo import control_http
from wasabigw_demo.announcer import Announcer
from wasabigw_demo.caller_app import is_correct
from wasabigw_demo.exchange import (
    AnswerHeader,
    AnswerStatus,
    Request,
    body_digest,
    expected_body,
)
from wasabigw_demo.fabric_core import Faults
from wasabigw_demo.host import FlowId, Host
from wasabigw_demo.plan import FlowKind, FlowPlan, Workload, plan_flows
from wasabigw_demo.records import RecordKind, RecordWriter, read_records
from wasabigw_demo.server_app import (
    AnnouncementResult,
    AnnouncementsEnded,
    ServerApplication,
    ServerCommand,
    ServerSettings,
)
from wasabigw_demo.tcp import CloseReason

TEST_TIMEOUT = 60.0
"""Timeout of a test in seconds."""


def one_flow(size: int) -> list[FlowPlan]:
    """Plan of one flow with one request."""
    request = Request(RequestId("only"), size, idempotent=True)
    start = Seconds(0.0)
    return [FlowPlan("only", start, FlowKind.SHORT, target(Protocol.TCP), (request,))]


class Traffic(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    @contextmanager
    def finished(
        self,
        plans: list[FlowPlan],
        faults: Faults,
        settings: ServerSettings,
        corrupt: bool = False,
    ) -> Iterator[Network]:
        running = running_network(self.folder, plans, faults, settings, corrupt)
        with running as network:
            self.assertTrue(
                network.done.wait(TEST_TIMEOUT), "the caller did not finish"
            )
            yield network

    def records(self, name: str, kind: RecordKind) -> list[dict[str, Any]]:
        return list(read_records(self.folder / f"{name}.jsonl", kind))

    def test_all_requests_are_answered_under_loss_and_reordering(self) -> None:
        """Guards against stand-in errors that look like errors of a balancer."""
        targets = [target(Protocol.TCP), target(Protocol.UDP)]
        workload = Workload(Seconds(2.0), 10.0, 6.0, 2, 1.5)
        plans = plan_flows("caller", targets, workload, seed=5)
        with self.finished(plans, LOSSY, ServerSettings()) as network:
            self.assertEqual(network.caller.failures, 0)
        planned = [request.id for plan in plans for request in plan.requests]
        answered = self.records("caller", RecordKind.REQUEST)
        self.assertCountEqual([record["id"] for record in answered], planned)
        runs = Counter(
            record["id"] for record in self.records("server", RecordKind.REQUEST)
        )
        self.assertEqual(runs, Counter(planned))
        used = [
            len(flow["forward"]) for flow in self.records("fabric", RecordKind.FLOW)
        ]
        self.assertGreater(max(used), 1)

    def test_trace_has_a_span_for_caller_fabric_and_backend_server(self) -> None:
        """Guards against missing hops in the printed trace."""
        targets = [target(Protocol.TCP)]
        workload = Workload(Seconds(0.5), 0.0, 0.0, 1, 0.2)
        plans = plan_flows("caller", targets, workload, seed=5)
        with self.finished(plans, NO_FAULTS, ServerSettings()):
            pass
        spans = [
            span
            for name in ("caller", "fabric", "server")
            for span in self.records(name, RecordKind.SPAN)
        ]
        self.assertEqual(len({span["trace_id"] for span in spans}), 1)
        nodes = {span["node"] for span in spans}
        self.assertEqual(nodes, {"caller", "fabric", "server"})

    def test_changed_byte_with_valid_checksum_is_detected(self) -> None:
        """Guards against wrong answers that are counted as correct."""
        plans = one_flow(500)
        running = self.finished(plans, NO_FAULTS, ServerSettings(), corrupt=True)
        with running as network:
            self.assertEqual(network.caller.failures, 1)
        [record] = self.records("caller", RecordKind.REQUEST)
        self.assertEqual(record["outcome"], "wrong-answer")

    def test_cold_server_refuses_and_caller_retries_until_it_is_ready(self) -> None:
        """Guards against a cold state without effect, which a balancer could ignore."""
        settings = ServerSettings(cold=True, cold_connections=0)
        running = running_network(self.folder, one_flow(100), NO_FAULTS, settings)
        with running as network:
            self.assertFalse(network.done.wait(1.0))
            network.server.post(ServerCommand.TURN_READY)
            self.assertTrue(network.done.wait(TEST_TIMEOUT))
            self.assertEqual(network.caller.failures, 0)
        flows = self.records("caller", RecordKind.FLOW)
        outcomes = [flow["outcome"] for flow in flows]
        self.assertIn("refused", outcomes)
        self.assertEqual(outcomes[-1], "complete")

    def test_shed_request_is_not_run_and_is_repeated(self) -> None:
        """Guards against a shed request that counts as answered or as run."""
        settings = ServerSettings(shedding=True)
        running = running_network(self.folder, one_flow(100), NO_FAULTS, settings)
        with running as network:
            self.assertFalse(network.done.wait(1.0))
            self.assertEqual(self.records("server", RecordKind.REQUEST), [])
            network.server.post(ServerCommand.STOP_SHEDDING)
            self.assertTrue(network.done.wait(TEST_TIMEOUT))
            self.assertEqual(network.caller.failures, 0)


class AnswerCheck(unittest.TestCase):
    """Guards against wrong answers that are counted as correct."""

    def test_each_difference_is_detected(self) -> None:
        request = Request(RequestId("r"), 50, idempotent=False)
        body = expected_body(request)
        digest = body_digest(body)
        server = IDENTITY.id
        correct = AnswerHeader(request.id, AnswerStatus.OK, 50, digest, server)
        other_id = AnswerHeader(RequestId("s"), AnswerStatus.OK, 50, digest, server)
        other_digest = AnswerHeader(request.id, AnswerStatus.OK, 50, "0", server)
        self.assertTrue(is_correct(request, correct, body))
        self.assertFalse(is_correct(request, correct, body[:-1] + b"\0"))
        self.assertFalse(is_correct(request, correct, body[:-1]))
        self.assertFalse(is_correct(request, other_id, body))
        self.assertFalse(is_correct(request, other_digest, body))


class Drain(unittest.TestCase):
    def test_leaves_only_after_its_flows_have_ended(self) -> None:
        """Guards against a planned stop that breaks flows."""
        announcements: Mailbox[Any] = Mailbox("announcements")
        with (
            tempfile.TemporaryDirectory() as folder,
            RecordWriter(Path(folder) / "server.jsonl") as records,
        ):
            settings = ServerSettings()
            server = ServerApplication(IDENTITY, settings, records, announcements)
            host = Host("server", LOOPBACK, LOOPBACK, server, records, 1)
            flow = FlowId(IDENTITY.endpoint, Endpoint("10.1.0.1", 5))
            server.opened(host, flow)
            server.message_received(host, ServerCommand.DRAIN)
            server.tick(host, Seconds(IN_FORCE_BOUND + 100.0))
            server.closed(host, flow, CloseReason.FINISHED)
            server.tick(host, Seconds(IN_FORCE_BOUND + 102.0))
            host.close()
        first, *rest = announcements.drain()
        self.assertIs(first.state, BackendServerState.DRAINING)
        self.assertIs(rest[0].state, BackendServerState.LEAVING)
        self.assertIsInstance(rest[1], AnnouncementsEnded)


class AcceptingBalancer:
    """Accepts announcements and stores their bodies."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []

    @control_http.exposed("POST")
    def default(self, *path: str) -> Any:
        self.bodies.append(cherrypy.request.body.read())
        return {"path": "/".join(path)}


class RedirectingBalancer:
    """Redirects announcements to another balancer."""

    def __init__(self, home: Endpoint) -> None:
        self._home = home

    @control_http.exposed("POST")
    def default(self, *path: str) -> Any:
        url = f"http://{self._home.address}:{self._home.port}/" + "/".join(path)
        raise cherrypy.HTTPRedirect(url, 307)


class Announcements(unittest.TestCase):
    def test_tries_other_balancers_and_follows_the_redirect_to_the_home(self) -> None:
        """Guards against a backend server that fails together with one balancer."""
        home = AcceptingBalancer()
        announcement = Announcement(
            IDENTITY.id,
            IDENTITY.service,
            IDENTITY.failure_domain,
            IDENTITY.endpoint,
            IDENTITY.boot_id,
            BackendServerState.READY,
            4,
            100,
        )
        results: Mailbox[Any] = Mailbox("results")
        with ExitStack() as stack:
            home_endpoint = stack.enter_context(control_http.serve(home, LOOPBACK))
            other = RedirectingBalancer(home_endpoint)
            redirecting = stack.enter_context(control_http.serve(other, LOOPBACK))
            unreachable = Endpoint("127.0.0.1", 9)
            announcer = Announcer([unreachable, redirecting])
            announcer.report_to(results)
            stack.enter_context(announcer)
            announcer.mailbox.post(announcement)
            result = results.get(Seconds(TEST_TIMEOUT)).unwrap()
        self.assertIsInstance(result, AnnouncementResult)
        self.assertTrue(result.accepted, result.message)
        self.assertIn("v1/announcements", result.message)
        [body] = home.bodies
        self.assertEqual(messages.decode(body, Announcement).unwrap(), announcement)
