"""Tests of the HTTP API of a balancer, which responds with typed bodies."""

import http.client
import json
import threading
import unittest
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any
from unittest import mock

from returns.result import Success

from wasabigw.codec.messages import encode
from wasabigw.core import ids
from wasabigw.core.cluster import Endpoint
from wasabigw.core.log_messages import (
    Announcement,
    AnnouncementAccepted,
    AnnouncementRedirected,
    AnnouncementRefused,
)
from wasabigw.core.states import BackendServerState, Protocol
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks import http_balancer
from wasabigw.tasks.limits import DEFAULT_LIMITS
from wasabigw.tasks.messages import (
    AnnouncementRequest,
    FlowRequest,
    HandoverRequest,
    LocalOutDone,
    LocalOutRequest,
    StatusRequest,
)

ANNOUNCEMENT = Announcement(
    ids.BackendServerId("b1"),
    ids.ServiceId("seats"),
    ids.FailureDomainId("recife"),
    Endpoint("10.0.0.1", 80),
    ids.BootId("x"),
    BackendServerState.COLD,
    4,
    2000,
)
OTHER_API = Endpoint("10.0.0.9", 8080)


@dataclass(frozen=True)
class Records:
    """Body of a handover in these tests."""

    count: int


class Api(unittest.TestCase):
    """Guards against requests that hang, crash the server or reach no handler."""

    def setUp(self) -> None:
        stack = ExitStack()
        self.addCleanup(stack.close)
        self.packets: Mailbox[Any] = Mailbox("packets")
        settings = http_balancer.BalancerApiSettings(
            Endpoint("127.0.0.1", 0), token="secret"
        )
        server = http_balancer.make_balancer_server(self.packets, settings, Records)
        self.endpoint = stack.enter_context(server).endpoint

    def send_request(
        self, method: str, path: str, body: bytes | None = None, **headers: str
    ) -> tuple[int, Any, Any]:
        address = (self.endpoint.address, self.endpoint.port)
        connection = http.client.HTTPConnection(*address, timeout=20)
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, json.loads(response.read()), response.headers
        finally:
            connection.close()

    def reply_to_next(self, reply: Any) -> list[Any]:
        """Reply to the next message as the packet task does; returns a list for it."""
        seen: list[Any] = []

        def send_reply() -> None:
            message = self.packets.get(ids.Seconds(20.0)).unwrap()
            seen.append(message)
            message.reply.post(reply)

        thread = threading.Thread(target=send_reply)
        thread.start()
        self.addCleanup(thread.join)
        return seen

    def test_announcement_outcomes_have_their_own_status(self) -> None:
        node = ids.NodeId("n2")
        cases: list[tuple[Any, int, str | None]] = [
            (AnnouncementAccepted(ids.Seconds(3.0), node), 200, None),
            (AnnouncementRedirected(node, OTHER_API), 307, "Location"),
            (AnnouncementRefused("busy", ids.Seconds(5.0)), 409, "Retry-After"),
            (AnnouncementRefused("bad", None), 422, None),
        ]
        for outcome, status, header in cases:
            with self.subTest(type(outcome).__name__):
                seen = self.reply_to_next(outcome)
                got, body, headers = self.send_request(
                    "POST", "/v1/announcements", encode(ANNOUNCEMENT)
                )
                self.assertEqual(got, status)
                self.assertEqual(body["kind"], type(outcome).__name__)
                self.assertIsInstance(seen[0], AnnouncementRequest)
                self.assertEqual(seen[0].announcement, ANNOUNCEMENT)
                if header is not None:
                    self.assertIn(header, headers)

    def test_other_resources_reach_the_packet_task(self) -> None:
        done = LocalOutDone(ids.FailureDomainId("recife"))
        flow = "/v1/flows?protocol=tcp&caller=10.1.0.1:999&service=10.9.0.1:80"
        body = encode(Records(3))
        cases: list[tuple[str, str, bytes | None, type]] = [
            ("GET", "/v1/status", None, StatusRequest),
            ("GET", flow, None, FlowRequest),
            ("POST", "/v1/handover", body, HandoverRequest),
            ("POST", "/v1/local/out", b"", LocalOutRequest),
        ]
        messages = []
        for method, path, content, kind in cases:
            with self.subTest(path):
                seen = self.reply_to_next(done)
                status, answer, _ = self.send_request(
                    method, path, content, Authorization="Bearer secret"
                )
                self.assertEqual((status, answer), (200, {"failure_domain": "recife"}))
                self.assertIsInstance(seen[0], kind)
                messages += seen
        self.assertEqual(messages[1].protocol, Protocol.TCP)
        self.assertEqual(messages[1].service, Endpoint("10.9.0.1", 80))
        self.assertEqual(messages[2].handover, Records(3))

    def test_bad_requests_get_a_typed_error_and_are_not_posted(self) -> None:
        large = bytes(DEFAULT_LIMITS.request_body_bytes + 1)
        no_port = "/v1/flows?protocol=tcp&caller=10.1.0.1&service=10.9.0.1:80"
        no_protocol = "/v1/flows?caller=10.1.0.1:1&service=10.9.0.1:80"
        cases: list[tuple[str, str, bytes | None, int]] = [
            ("POST", "/v1/announcements", b"{", 400),
            ("POST", "/v1/announcements", b"[" * 60_000, 400),
            ("POST", "/v1/announcements", b"\xff{}", 400),
            ("POST", "/v1/announcements", encode(Records(1)), 400),
            ("POST", "/v1/announcements", large, 413),
            ("GET", "/v1/announcements", None, 405),
            ("POST", "/v1/handover", b'{"count": "3"}', 400),
            ("GET", no_port, None, 400),
            ("GET", no_protocol, None, 400),
            ("GET", "/v1/flows?colour=red", None, 404),
            ("GET", "/v1/unknown", None, 404),
            ("POST", "/v1/local/out", b"", 401),
        ]
        for method, path, content, status in cases:
            with self.subTest(path=path, status=status):
                got, body, _ = self.send_request(method, path, content)
                self.assertEqual(got, status)
                self.assertEqual(set(body), {"error", "message"})
        self.assertEqual(list(self.packets.drain()), [])

    def test_without_a_reply_of_the_packet_task_requests_get_503(self) -> None:
        with mock.patch.object(http_balancer, "REPLY_TIMEOUT", ids.Seconds(0.01)):
            status, body, headers = self.send_request("GET", "/v1/status")
        self.assertEqual((status, body["error"]), (503, "no-answer"))
        self.assertEqual(headers["Retry-After"], "1")
        while isinstance(self.packets.post("filler"), Success):
            pass
        status, body, _ = self.send_request("GET", "/v1/status")
        self.assertEqual((status, body["error"]), (503, "overloaded"))
