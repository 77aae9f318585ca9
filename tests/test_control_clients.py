"""The log follower and the report sender find the leader and lose nothing."""

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
SOON = ids.Seconds(20.0)
NODE = Node(
    ids.NodeId("n1"),
    ids.FailureDomainId("recife"),
    Endpoint("10.0.0.1", 6081),
    Endpoint("10.0.0.1", 8080),
    ids.Incarnation("i1"),
)
DOWN = commands.BackendServerDown(ids.BackendServerId("b1"), ids.BootId("x"))


class Voter:
    """Control API with prepared answers; the last one is given again and again."""

    def __init__(self, *answers: tuple[int, Any]) -> None:
        self.v1 = self
        self.log = self
        self.reports = self
        self.exposed = True
        self.answers = list(answers)
        self.seen: Mailbox[Any] = Mailbox("seen")

    def GET(self, **query: str) -> bytes:  # noqa: N802
        """Log poll."""
        self.seen.post(query)
        return self._answer(LogBatch | NotLeader)

    def POST(self) -> bytes:  # noqa: N802
        """Reports."""
        length = int(cherrypy.request.headers["Content-Length"])
        body = cherrypy.request.rfile.read(length)
        self.seen.post(decode(body, ReportRequest).unwrap())
        return self._answer(ChangeOutcome)

    def _answer(self, declared: Any) -> bytes:
        last = len(self.answers) == 1
        status, message = self.answers[0] if last else self.answers.pop(0)
        known = None if isinstance(message, dict) else declared
        return json_response(status, message, known)

    def next(self) -> Any:
        """Next request that arrived."""
        return self.seen.get(SOON).unwrap()


def batch(*revisions: int) -> LogBatch:
    """Batch with an entry for each revision."""
    entry = commands.LeaderElected(ids.NodeId("c1"))
    entries = tuple(LogEntry(ids.Revision(r), ids.Term(1), entry) for r in revisions)
    return LogBatch(
        ids.Term(1), ids.Revision(max(revisions, default=0)), ids.Seconds(1.0), entries
    )


class WithServers(unittest.TestCase):
    """Starts stand-ins on free ports of the loopback address."""

    def setUp(self) -> None:
        self.stack = ExitStack()
        self.addCleanup(self.stack.close)
        self.packets: Mailbox[Any] = Mailbox("packets")

    def serve(self, voter: Voter) -> Endpoint:
        server = make_http_server("voter", LOOPBACK, voter, 1 << 20)
        return self.stack.enter_context(server).endpoint

    def silent(self) -> Endpoint:
        """Endpoint that accepts connections and never answers."""
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
        message = self.packets.get(SOON).unwrap()
        self.assertIsInstance(message, LogReceived)
        return message  # type: ignore[no-any-return]


class Follower(WithServers):
    """Guards against balancers that lose the leader or skip entries."""

    def test_polls_from_the_applied_revision_with_its_registration(self) -> None:
        voter = Voter((200, batch(1, 2)), (200, batch()))
        follower = self.follow(self.serve(voter))
        first = voter.next()
        self.assertEqual((first["after"], first["incarnation"]), ("0", "i1"))
        self.assertEqual((first["data"], first["wait_ms"]), ("10.0.0.1:6081", "500"))
        self.assertEqual(self.received().batch, batch(1, 2))
        follower.mailbox.post(AppliedRevision(ids.Revision(2)))
        self.assertEqual(voter.next()["after"], "2")

    def test_follows_a_redirection_and_passes_endpoints_without_a_leader(self) -> None:
        leader = self.serve(Voter((200, batch(7))))
        follower = self.serve(Voter((307, NotLeader(leader))))
        without = self.serve(Voter((503, NotLeader(None))))
        self.follow(self.closed(), without, follower)
        self.assertEqual(self.received().batch, batch(7))

    def test_leaves_an_endpoint_that_went_silent(self) -> None:
        leader = self.serve(Voter((200, batch(7))))
        self.follow(self.silent(), leader)
        self.assertEqual(self.received().batch, batch(7))

    def test_unreadable_answer_is_logged_although_others_do_not_lead(self) -> None:
        """Only the last endpoint was named, so that the cause stayed unknown."""
        broken = self.serve(Voter((200, {"kind": "LogBatch"})))
        other = Voter((503, NotLeader(None)))
        with self.assertLogs("absl", "WARNING") as logs:
            self.follow(self.serve(other), broken)
            for _ in range(4):
                other.next()
        (line,) = logs.output
        self.assertIn(f":{broken.port}: malformed", line)

    def test_reason_of_a_lost_connection_is_short(self) -> None:
        """The text of the library repeats the whole request."""
        with ControlClient((self.closed(),)) as client:
            problem = client.call(ControlCall("GET", "/v1/log", LogBatch)).failure()
        self.assertEqual(problem.detail, "Connection refused")

    def test_answers_that_are_not_a_batch_are_not_passed_on(self) -> None:
        broken = self.serve(Voter((200, {"kind": "LogBatch"})))
        unknown = self.serve(Voter((404, {})))
        leader = self.serve(Voter((200, batch(7))))
        self.follow(broken, leader, unknown)
        self.assertEqual(self.received().batch, batch(7))


class Sender(WithServers):
    """Guards against reports that are lost, doubled or sent long afterwards."""

    def send(self, endpoint: Endpoint, *reports: commands.Report) -> Any:
        sender = make_report_sender(NODE.id, NODE.incarnation, [endpoint])
        self.stack.enter_context(sender)
        sender.mailbox.post(SendReports(reports))
        return sender

    def test_repeats_a_batch_with_the_same_id_until_it_is_accepted(self) -> None:
        accepted = Applied(ids.Revision(3), ids.Revision(1))
        voter = Voter((503, NotLeader(None)), (503, {"error": "busy"}), (200, accepted))
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
        voter = Voter((422, refusal), (400, {}), (200, accepted))
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
