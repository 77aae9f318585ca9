"""Tests of the control API over HTTP: typed responses, limits and clusters."""

import shutil
import socket
import tempfile
import time
import unittest
from contextlib import ExitStack
from pathlib import Path
from typing import Any
from unittest import mock

import requests

from tests.test_membership import node
from tests.test_voter_task import fake_apply
from tests.voter_network import NODES, change
from wasabigw.codec.consensus import encode_envelope
from wasabigw.codec.log_poll import poll_to_query
from wasabigw.codec.messages import encode, from_json
from wasabigw.core import ids
from wasabigw.core.cluster import Applied, Endpoint, Refusal
from wasabigw.core.commands import ChangeRequest
from wasabigw.core.consensus.messages import AdmissionRequest, Envelope
from wasabigw.core.log_messages import (
    ChangeOutcome,
    LogBatch,
    LogEntry,
    LogPoll,
    NotLeader,
)
from wasabigw.core.states import RefusalCode
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Task
from wasabigw.runtime.timer import TimerService
from wasabigw.tasks import http_server
from wasabigw.tasks.control_plane import ControlPlane, make_control_plane
from wasabigw.tasks.http_control import (
    ControlApiSettings,
    make_control_server,
)
from wasabigw.tasks.http_server import ApiError, HttpServer
from wasabigw.tasks.limits import DEFAULT_LIMITS, ProcessLimits
from wasabigw.tasks.storage import bootstrap, open_storage
from wasabigw.tasks.voter_calls import Overloaded
from wasabigw.tasks.voter_settings import VoterSettings

TOKEN = "secret"
HEADERS = {"Authorization": f"Bearer {TOKEN}"}
LOOPBACK = Endpoint("127.0.0.1", 0)
TIMEOUT_SECONDS = 60.0
"""Time after which a test that still waits fails."""


class StubVoter(Task[Any]):
    """Stub of the voter task that gives the same answer to every message."""

    def __init__(self, answer: Any) -> None:
        super().__init__("fixed-voter", Mailbox("fixed-voter"))
        self.answer = answer

    def receive(self, message: Any) -> None:
        message.reply.post(self.answer)


class ApiCase(unittest.TestCase):
    """Starts a control server in front of a stub voter."""

    def setUp(self) -> None:
        stack = ExitStack()
        self.addCleanup(stack.close)
        self.voter = stack.enter_context(StubVoter(Overloaded("test")))
        settings = ControlApiSettings(LOOPBACK, TOKEN, NODES)
        self.server: HttpServer = stack.enter_context(
            make_control_server(self.voter.mailbox, settings)
        )
        self.session = stack.enter_context(requests.Session())
        self.session.trust_env = False

    def call(self, method: str, path: str, **options: Any) -> requests.Response:
        bound = self.server.endpoint
        url = f"http://{bound.address}:{bound.port}{path}"
        options.setdefault("headers", HEADERS)
        return self.session.request(
            method, url, timeout=10, allow_redirects=False, **options
        )

    def assert_error(self, response: requests.Response, status: int) -> ApiError:
        self.assertEqual(response.status_code, status, response.text)
        self.assertEqual(response.headers["Content-Type"], "application/json")
        error: ApiError = from_json(response.json(), ApiError).unwrap()
        self.assertTrue(error.message)
        return error


class Answers(ApiCase):
    """Guards against responses that a client can't decode or act on."""

    def test_outcome_of_a_change(self) -> None:
        revision = ids.Revision(7)
        for answer, status in (
            (Applied(revision, revision), 200),
            (Refusal(RefusalCode.CONFLICT, "read again", revision), 409),
            (Refusal(RefusalCode.INVALID, "no", revision), 422),
        ):
            with self.subTest(answer=answer):
                self.voter.answer = answer
                response = self.call("POST", "/v1/changes", data=encode(change(1)))
                self.assertEqual(response.status_code, status)
                decoded = from_json(response.json(), ChangeOutcome).unwrap()
                self.assertEqual(decoded, answer)

    def test_follower_redirects_to_the_leader(self) -> None:
        self.voter.answer = NotLeader(Endpoint("10.0.0.9", 81))
        response = self.call("GET", "/v1/in-force?revision=3")
        self.assertEqual(response.status_code, 307)
        location = "http://10.0.0.9:81/v1/in-force?revision=3"
        self.assertEqual(response.headers["Location"], location)

    def test_responses_that_can_be_retried_have_a_retry_after_header(self) -> None:
        for answer in (NotLeader(None), Overloaded("too much")):
            self.voter.answer = answer
            response = self.call("GET", "/v1/state")
            self.assertEqual(response.status_code, 503)
            self.assertEqual(response.headers["Retry-After"], "1")


class LargeResponses(ApiCase):
    """Guards against compressed bodies that a client doesn't accept or can't read."""

    def poll(self, accepted: str) -> requests.Response:
        poll = LogPoll(node("n1"), ids.Revision(0), ids.Seconds(0.0))
        headers = {"Accept-Encoding": accepted}
        return self.call("GET", "/v1/log", params=poll_to_query(poll), headers=headers)

    def test_compressed_only_if_large_and_accepted(self) -> None:
        entries = tuple(
            LogEntry(ids.Revision(n), ids.Term(1), change(n)) for n in range(1, 200)
        )
        for kept, accepted, encoding in (
            (entries, "gzip, deflate", "gzip"),
            (entries, "identity", None),
            (entries, "gzip;q=0", None),
            (entries, "", None),
            (entries[:1], "gzip", None),
        ):
            with self.subTest(entries=len(kept), accepted=accepted):
                revision = ids.Revision(len(kept))
                batch = LogBatch(ids.Term(1), revision, ids.Seconds(1.0), kept)
                self.voter.answer = batch
                response = self.poll(accepted)
                self.assertEqual(response.headers.get("Content-Encoding"), encoding)
                decoded = from_json(response.json(), LogBatch | NotLeader)
                self.assertEqual(decoded.unwrap(), batch)


class BadInput(ApiCase):
    """Guards against malformed requests that are accepted or crash the server."""

    def test_operator_calls_need_the_token(self) -> None:
        for headers in ({}, {"Authorization": "Bearer wrong"}):
            for method, path in (
                ("POST", "/v1/changes"),
                ("GET", "/v1/state"),
                ("GET", "/v1/in-force"),
            ):
                response = self.call(method, path, headers=headers)
                self.assert_error(response, 401)

    def test_malformed_bodies(self) -> None:
        for path in ("/v1/changes", "/v1/reports", "/v1/consensus"):
            for body in (b"", b"{", b"[]", b'{"x":1}', b"\xff\xfe", b"[" * 10_000):
                with self.subTest(path=path, body=body[:10]):
                    self.assert_error(self.call("POST", path, data=body), 400)

    def test_malformed_queries(self) -> None:
        good = poll_to_query(LogPoll(node("n1"), ids.Revision(5), ids.Seconds(0.5)))
        for name in good:
            with self.subTest(missing=name):
                query = {key: text for key, text in good.items() if key != name}
                response = self.call("GET", "/v1/log", params=query)
                self.assertIn(name, self.assert_error(response, 400).message)
        for name, text in (("after", "-1"), ("wait_ms", "x"), ("data", "nowhere")):
            with self.subTest(name=name):
                response = self.call("GET", "/v1/log", params={**good, name: text})
                self.assert_error(response, 400)
        self.assert_error(self.call("GET", "/v1/in-force?revision=x"), 400)

    def test_unknown_path_method_and_voter(self) -> None:
        self.assert_error(self.call("GET", "/v1/nothing"), 404)
        self.assert_error(self.call("DELETE", "/v1/state"), 405)
        envelope = Envelope(
            ids.NodeId("z"),
            ids.Incarnation("1"),
            True,
            ids.Term(1),
            AdmissionRequest(ids.Revision(0)),
        )
        body = encode_envelope(envelope)
        self.assert_error(self.call("POST", "/v1/consensus", data=body), 403)

    def test_body_over_the_limit(self) -> None:
        body = b" " * (DEFAULT_LIMITS.request_body_bytes + 1)
        self.assert_error(self.call("POST", "/v1/changes", data=body), 413)

    def test_body_of_unknown_length(self) -> None:
        chunks = iter([b"{}"])
        self.assert_error(self.call("POST", "/v1/changes", data=chunks), 400)


class SilentConnections(unittest.TestCase):
    """Guards against silent clients that occupy all threads."""

    def test_silent_client_frees_its_thread(self) -> None:
        with ExitStack() as stack:
            stack.enter_context(mock.patch.object(http_server, "READ_TIMEOUT", 0.2))
            voter = stack.enter_context(StubVoter(NotLeader(None)))
            one_thread = ProcessLimits(http_threads=1)
            settings = ControlApiSettings(LOOPBACK, TOKEN, NODES, one_thread)
            server = stack.enter_context(make_control_server(voter.mailbox, settings))
            address = (server.endpoint.address, server.endpoint.port)
            head = b"POST /v1/changes HTTP/1.1\r\nHost: x\r\n"
            token = b"Authorization: Bearer secret\r\n"
            body = token + b"Content-Length: 9\r\n\r\n[1"
            for start in (b"", head, head + body):
                silent = stack.enter_context(socket.create_connection(address))
                silent.sendall(start)
            url = f"http://{address[0]}:{address[1]}/v1/state"
            response = requests.get(url, headers=HEADERS, timeout=TIMEOUT_SECONDS)
            self.assertEqual(response.status_code, 503)


class Cluster(unittest.TestCase):
    """Guards against a cluster that loses changes or does not recover."""

    def setUp(self) -> None:
        self.base = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.base)
        self.timer = TimerService().__enter__()
        self.addCleanup(self.timer.__exit__, None, None, None)
        self.planes: dict[ids.NodeId, ControlPlane] = {}
        self.addCleanup(self.stop_all)
        self.endpoints = {name: free_endpoint() for name in NODES}
        for name in NODES:
            self.start(name, f"{name}1", first=name == NODES[0])

    def start(self, name: ids.NodeId, incarnation: str, first: bool = False) -> None:
        folder = self.base / incarnation
        bootstrap(folder, name, ids.Incarnation(incarnation), first).unwrap()
        storage = open_storage(folder, name).unwrap()
        settings = VoterSettings(name, self.endpoints)
        plane = make_control_plane(settings, TOKEN, storage, fake_apply, self.timer)
        self.planes[name] = plane.__enter__()

    def stop(self, name: ids.NodeId) -> None:
        self.planes.pop(name).__exit__(None, None, None)

    def stop_all(self) -> None:
        for name in list(self.planes):
            self.stop(name)

    def request_leader(
        self, method: str, path: str, body: bytes = b""
    ) -> tuple[ids.NodeId, Any]:
        """Name and response of the leader; retries until a voter responds with 200."""
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            for name in self.planes:
                bound = self.endpoints[name]
                url = f"http://{bound.address}:{bound.port}{path}"
                response = requests.request(
                    method, url, data=body, headers=HEADERS, allow_redirects=False
                )
                if response.status_code == 200:
                    return name, response.json()
            time.sleep(0.05)
        raise AssertionError(f"no voter responds to {method} {path} with 200")

    def wait_for_voters(self, incarnations: dict[ids.NodeId, str]) -> None:
        while self.request_leader("GET", "/v1/state")[1]["voters"] != incarnations:
            time.sleep(0.05)

    def change(self, name: str) -> Applied:
        current = self.request_leader("GET", "/v1/state")[1]["configuration_revision"]
        request = ChangeRequest(ids.RequestId(name), current, change(1).change)
        answer = self.request_leader("POST", "/v1/changes", encode(request))[1]
        outcome: Applied = from_json(answer, ChangeOutcome).unwrap()
        return outcome

    def test_changes_survive_a_lost_leader_and_a_replaced_disk(self) -> None:
        names = {name: f"{name}1" for name in NODES}
        self.wait_for_voters(names)
        first = self.change("r1")
        lost = self.request_leader("GET", "/v1/state")[0]
        self.stop(lost)
        second = self.change("r2")
        self.assertGreater(second.revision, first.revision)
        self.start(lost, f"{lost}2")
        self.wait_for_voters({**names, lost: f"{lost}2"})
        # The voter counts only once it has stored its admission, after the leader has.
        vote = self.base / f"{lost}2" / "vote.json"
        while b'"admitted":true' not in vote.read_bytes():
            time.sleep(0.05)
        self.stop(self.request_leader("GET", "/v1/state")[0])
        self.assertEqual(self.change("r1"), first)
        self.change("r3")


def free_endpoint() -> Endpoint:
    """Endpoint without a listener."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Endpoint(*probe.getsockname())
