"""The platform's HTTP calls, against a stand-in of the task behind them."""

import http.client
import json
import unittest
from dataclasses import replace
from typing import Any

from tests.test_platform_formats import ANNOUNCEMENT, DOCUMENT, FRONTEND
from wasabigw.core.cluster import Applied, Endpoint, Refusal
from wasabigw.core.commands import (
    BringFailureDomainBack,
    DeclareConfiguration,
    TakeFailureDomainOut,
)
from wasabigw.core.ids import NodeId, Revision, Seconds
from wasabigw.core.log_messages import BootAnnouncement, BootDeparture, NotLeader
from wasabigw.core.states import RefusalCode
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Task
from wasabigw.tasks.http_server import HttpServer
from wasabigw.tasks.light_http import LightRequest
from wasabigw.tasks.limits import DEFAULT_LIMITS
from wasabigw.tasks.tag_messages import TagBalancerStatus
from wasabigw.tasks.voter_calls import (
    DocumentView,
    OutcomeUnknown,
    Overloaded,
    Settled,
)
from wasabigw_platform.control_api import make_platform_server
from wasabigw_platform.documents import read_document
from wasabigw_platform.readiness import answer_readiness
from wasabigw_platform.settings import PlatformSettings, parse_settings

LIMITS = replace(DEFAULT_LIMITS, http_threads=2)
APPLIED = Applied(Revision(3), Revision(3))


class StandIn(Task[Any]):
    """Answers every message that has a reply mailbox with the same value."""

    def __init__(self) -> None:
        super().__init__("stand-in", Mailbox("stand-in"))
        self.answer: Any = Settled()
        self.received: list[Any] = []

    def receive(self, message: Any) -> None:
        self.received.append(message)
        message.reply.post(self.answer)


class StandInConnection:
    """Connection that keeps the status of the last answer."""

    status = 0

    def respond(self, status: int) -> None:
        self.status = status


class CallsCase(unittest.TestCase):
    """A server in front of a stand-in."""

    def setUp(self) -> None:
        self.task = self.enterContext(StandIn())
        self.server = self.enterContext(self.make_server())

    def make_server(self) -> HttpServer:
        raise NotImplementedError

    def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> tuple[int, bytes, str | None]:
        endpoint = self.server.endpoint
        connection = http.client.HTTPConnection(
            endpoint.address, endpoint.port, timeout=5
        )
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            location = response.getheader("Location")
            return response.status, response.read(), location
        finally:
            connection.close()


def core_settings() -> PlatformSettings:
    """Settings of a control VM that takes any free port."""
    listen = {"control": "127.0.0.1:8166"}
    changed = {"ip-address": "127.0.0.1", "listen": listen}
    return parse_settings(json.dumps(FRONTEND | changed).encode()).unwrap()


class ControlCalls(CallsCase):
    """Guards against calls that get another answer than the platform agreed on."""

    def make_server(self) -> HttpServer:
        self.settings = core_settings()
        server = make_platform_server(self.task.mailbox, self.settings, LIMITS)
        # The settings name a fixed port, which may be in use on this VM.
        server._server.bind_addr = ("127.0.0.1", 0)
        return server

    def put_announcement(self, **changed: Any) -> tuple[int, bytes, str | None]:
        body = json.dumps(ANNOUNCEMENT | changed).encode()
        return self.call("PUT", "/instances/i-7f3a91c2", body)

    def test_an_announcement_is_acknowledged(self) -> None:
        self.assertEqual(self.put_announcement()[0], 200)
        notification = self.task.received[0].notification
        self.assertIsInstance(notification, BootAnnouncement)
        self.assertEqual(notification.id, "i-7f3a91c2")

    def test_a_departure_is_acknowledged(self) -> None:
        self.assertEqual(self.call("DELETE", "/instances/i-1")[0], 200)
        self.assertEqual(self.task.received[0].notification, BootDeparture("i-1"))  # type: ignore[arg-type]

    def test_announcements_that_name_nothing_known_are_refused(self) -> None:
        self.assertEqual(self.put_announcement(zone="elsewhere")[0], 400)
        self.assertEqual(self.put_announcement(slots=None)[0], 400)
        self.assertEqual(self.call("PUT", "/instances/i-1", b"{")[0], 400)
        self.assertEqual(self.call("PUT", "/instances/xyz", b"{}")[0], 400)
        self.assertEqual(self.task.received, [])

    def test_a_huge_announcement_is_refused(self) -> None:
        self.assertEqual(self.call("PUT", "/instances/i-1", b"x" * 70_000)[0], 413)

    def test_a_configuration_is_acknowledged(self) -> None:
        self.task.answer = APPLIED
        body = json.dumps(DOCUMENT).encode()
        self.assertEqual(self.call("PUT", "/configuration", body)[0], 200)
        change = self.task.received[0].order.change
        self.assertIsInstance(change, DeclareConfiguration)
        self.assertEqual(change.document.version, 7)

    def test_an_invalid_configuration_is_refused_with_the_reason(self) -> None:
        body = json.dumps(DOCUMENT | {"services": []}).encode()
        status, answer, _ = self.call("PUT", "/configuration", body)
        self.assertEqual(status, 400)
        self.assertIn("not declared", json.loads(answer)["error"])
        self.assertEqual(self.task.received, [])

    def test_the_configuration_is_returned_as_it_was_sent(self) -> None:
        body = json.dumps(DOCUMENT, indent=2).encode()
        self.task.answer = DocumentView(read_document(body).unwrap())
        self.assertEqual(self.call("GET", "/configuration")[:2], (200, body))

    def test_there_is_no_configuration_before_the_first_one(self) -> None:
        self.task.answer = DocumentView(None)
        self.assertEqual(self.call("GET", "/configuration")[0], 404)

    def test_a_zone_is_emptied_and_taken_back(self) -> None:
        self.task.answer = APPLIED
        self.assertEqual(self.call("POST", "/evacuation/recife")[0], 200)
        self.assertEqual(self.call("DELETE", "/evacuation/recife")[0], 200)
        changes = [message.order.change for message in self.task.received]
        expected = [TakeFailureDomainOut("recife"), BringFailureDomainBack("recife")]  # type: ignore[arg-type]
        self.assertEqual(changes, expected)

    def test_an_unknown_zone_is_refused(self) -> None:
        self.task.answer = Refusal(RefusalCode.NOT_FOUND, "no such", Revision(1))
        self.assertEqual(self.call("POST", "/evacuation/x")[0], 404)

    def test_whoever_does_not_lead_redirects_to_the_leader(self) -> None:
        self.task.answer = NotLeader(Endpoint("10.2.0.43", 7720))
        status, _, location = self.call("GET", "/configuration")
        self.assertEqual(status, 307)
        self.assertEqual(location, "http://10.2.0.43:8166/configuration")

    def test_whoever_can_not_be_sure_says_so(self) -> None:
        for answer in (NotLeader(None), OutcomeUnknown(), Overloaded("full")):
            with self.subTest(answer=answer):
                self.task.answer = answer
                self.assertEqual(self.call("GET", "/configuration")[0], 503)
                self.assertEqual(self.call("POST", "/evacuation/recife")[0], 503)


class Readiness(unittest.TestCase):
    """Guards against packets for a balancer that can't carry them."""

    def ask(self, target: str, ready: bool) -> int:
        connection = StandInConnection()
        status = TagBalancerStatus(
            NodeId("b"), ready, True, Revision(1), 1, 0, Seconds(0.0), 0, {}
        )
        request = LightRequest(connection, "GET", target)  # type: ignore[arg-type]
        answer_readiness(request, status)
        return connection.status

    def test_the_state_of_the_balancer_decides(self) -> None:
        self.assertEqual(self.ask("/readiness", ready=True), 200)
        self.assertEqual(self.ask("/readiness", ready=False), 503)
        self.assertEqual(self.ask("/other", ready=True), 404)


if __name__ == "__main__":
    unittest.main()
