"""Tests of the log follower and the report sender against stub voters."""

import socket
import unittest
from contextlib import ExitStack
from typing import Any

import cherrypy

from wasabigw.codec.messages import decode
from wasabigw.core import commands, ids
from wasabigw.core.cluster import Applied, Endpoint, Node, Refusal
from wasabigw.core.log_messages import (
    ChangeOutcome,
    LogBatch,
    LogEntry,
    NotLeader,
    ReportRequest,
)
from wasabigw.core.states import RefusalCode
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.control_client import ControlCall, ControlClient
from wasabigw.tasks.http_server import json_response, make_http_server
from wasabigw.tasks.log_follower import make_log_follower
from wasabigw.tasks.messages import AppliedRevision, LogReceived, SendReports
from wasabigw.tasks.report_sender import MAX_PENDING, make_report_sender

LOOPBACK = Endpoint("127.0.0.1", 0)
TIMEOUT = ids.Seconds(20.0)
NODE = Node(
    ids.NodeId("n1"),
    ids.FailureDomainId("recife"),
    Endpoint("10.0.0.1", 6081),
    Endpoint("10.0.0.1", 8080),
    ids.Incarnation("i1"),
)
DOWN = commands.BackendServerDown(ids.BackendServerId("b1"), ids.BootId("x"))


class StubVoter:
    """Control API with predefined responses; the last one is repeated."""

    def __init__(self, *responses: tuple[int, Any]) -> None:
        self.v1 = self
        self.log = self
        self.reports = self
        self.exposed = True
        self.responses = list(responses)
        self.seen: Mailbox[Any] = Mailbox("seen")

    def GET(self, **query: str) -> bytes:  # noqa: N802
        """Log poll."""
        self.seen.post(query)
        return self._respond(LogBatch | NotLeader)

    def POST(self) -> bytes:  # noqa: N802
        """Reports."""
        length = int(cherrypy.request.headers["Content-Length"])
        body = cherrypy.request.rfile.read(length)
        self.seen.post(decode(body, ReportRequest).unwrap())
        return self._respond(ChangeOutcome)

    def _respond(self, declared: Any) -> bytes:
        last = len(self.responses) == 1
        status, message = self.responses[0] if last else self.responses.pop(0)
        known = None if isinstance(message, dict) else declared
        return json_response(status, message, known)

    def next(self) -> Any:
        """Next request that arrived."""
        return self.seen.get(TIMEOUT).unwrap()


def batch(*revisions: int) -> LogBatch:
    """Batch with an entry for each revision."""
    entry = commands.LeaderElected(ids.NodeId("c1"))
    entries = tuple(LogEntry(ids.Revision(r), ids.Term(1), entry) for r in revisions)
    return LogBatch(
        ids.Term(1), ids.Revision(max(revisions, default=0)), ids.Seconds(1.0), entries
    )


class StubServerCase(unittest.TestCase):
    """Starts stub servers on free ports of the loopback address."""

    def setUp(self) -> None:
        self.stack = ExitStack()
        self.addCleanup(self.stack.close)
        self.packets: Mailbox[Any] = Mailbox("packets")

    def serve(self, voter: StubVoter) -> Endpoint:
        server = make_http_server("voter", LOOPBACK, voter, 1 << 20)
        return self.stack.enter_context(server).endpoint

    def silent(self) -> Endpoint:
        """Endpoint that accepts connections and never responds."""
        listener = self.stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        return Endpoint(*listener.getsockname())

    def closed(self) -> Endpoint:
        """Endpoint without a listener."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            return Endpoint(*listener.getsockname())

    def follow(self, *endpoints: Endpoint) -> Any:
        follower = make_log_follower(NODE, endpoints, self.packets)
        return self.stack.enter_context(follower)

    def received(self) -> LogReceived:
        message = self.packets.get(TIMEOUT).unwrap()
        self.assertIsInstance(message, LogReceived)
        return message  # type: ignore[no-any-return]


class Follower(StubServerCase):
    """Guards against followers that fail to find the leader or skip entries."""

    def test_polls_from_the_applied_revision_with_its_registration(self) -> None:
        voter = StubVoter((200, batch(1, 2)), (200, batch()))
        follower = self.follow(self.serve(voter))
        first = voter.next()
        self.assertEqual((first["after"], first["incarnation"]), ("0", "i1"))
        self.assertEqual((first["data"], first["wait_ms"]), ("10.0.0.1:6081", "500"))
        self.assertEqual(self.received().batch, batch(1, 2))
        follower.mailbox.post(AppliedRevision(ids.Revision(2)))
        self.assertEqual(voter.next()["after"], "2")

    def test_follows_a_redirect_and_skips_endpoints_without_a_leader(self) -> None:
        leader = self.serve(StubVoter((200, batch(7))))
        follower = self.serve(StubVoter((307, NotLeader(leader))))
        without = self.serve(StubVoter((503, NotLeader(None))))
        self.follow(self.closed(), without, follower)
        self.assertEqual(self.received().batch, batch(7))

    def test_tries_the_next_endpoint_after_a_timeout(self) -> None:
        leader = self.serve(StubVoter((200, batch(7))))
        self.follow(self.silent(), leader)
        self.assertEqual(self.received().batch, batch(7))

    def test_malformed_response_is_logged_although_others_are_not_leader(self) -> None:
        """Guards against logging only the last endpoint, which hid the cause."""
        broken = self.serve(StubVoter((200, {"kind": "LogBatch"})))
        other = StubVoter((503, NotLeader(None)))
        with self.assertLogs("absl", "WARNING") as logs:
            self.follow(self.serve(other), broken)
            for _ in range(4):
                other.next()
        (line,) = logs.output
        self.assertIn(f":{broken.port}: malformed", line)

    def test_reason_of_a_refused_connection_is_short(self) -> None:
        """Guards against the text of the library, which quotes the whole request."""
        with ControlClient((self.closed(),)) as client:
            problem = client.call(ControlCall("GET", "/v1/log", LogBatch)).failure()
        self.assertEqual(problem.detail, "Connection refused")

    def test_responses_that_are_not_a_batch_are_not_posted(self) -> None:
        broken = self.serve(StubVoter((200, {"kind": "LogBatch"})))
        unknown = self.serve(StubVoter((404, {})))
        leader = self.serve(StubVoter((200, batch(7))))
        self.follow(broken, leader, unknown)
        self.assertEqual(self.received().batch, batch(7))


class Sender(StubServerCase):
    """Guards against reports that are lost, duplicated or sent too late."""

    def send(self, endpoint: Endpoint, *reports: commands.Report) -> Any:
        sender = make_report_sender(NODE.id, NODE.incarnation, [endpoint])
        self.stack.enter_context(sender)
        sender.mailbox.post(SendReports(reports))
        return sender

    def test_retries_a_batch_with_the_same_id_until_it_is_accepted(self) -> None:
        accepted = Applied(ids.Revision(3), ids.Revision(1))
        voter = StubVoter(
            (503, NotLeader(None)), (503, {"error": "busy"}), (200, accepted)
        )
        sender = self.send(self.serve(voter), DOWN)
        requests = [voter.next() for _ in range(3)]
        self.assertEqual(requests[0], requests[1])
        self.assertEqual(requests[1], requests[2])
        self.assertEqual(requests[0].reports, (DOWN,))
        step = commands.BackendServerStep(ids.BackendServerId("b1"), ids.BootId("x"), 2)
        sender.mailbox.post(SendReports((step,)))
        following = voter.next()
        self.assertEqual(following.reports, (step,))
        self.assertNotEqual(following.report_id, requests[0].report_id)

    def test_a_refused_batch_does_not_block_the_next(self) -> None:
        refusal = Refusal(RefusalCode.INVALID, "no", ids.Revision(1))
        accepted = Applied(ids.Revision(1), ids.Revision(1))
        voter = StubVoter((422, refusal), (400, {}), (200, accepted))
        sender = self.send(self.serve(voter), DOWN)
        seen = [voter.next()]
        for _ in range(2):
            sender.mailbox.post(SendReports((DOWN,)))
            seen.append(voter.next())
        self.assertEqual(len({request.report_id for request in seen}), 3)

    def test_newer_reports_replace_older_ones_and_the_queue_is_bounded(self) -> None:
        sender = make_report_sender(NODE.id, NODE.incarnation, [self.closed()])
        name, boot = ids.BackendServerId("b1"), ids.BootId("x")
        for step in (2, 4, 8):
            report = commands.BackendServerStep(name, boot, step)
            sender.receive(SendReports((report,)))
        self.assertEqual(list(sender._pending.values()), [report])
        many = tuple(
            commands.BackendServerDown(ids.BackendServerId(f"b{n}"), boot)
            for n in range(MAX_PENDING + 5)
        )
        sender.receive(SendReports(many))
        self.assertEqual(list(sender._pending.values()), list(many[5:]))
