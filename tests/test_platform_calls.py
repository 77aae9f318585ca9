"""The platform's HTTP API, with a stub in place of the voter task."""

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
from wasabigw.core.ids import NodeId, Revision, Seconds, ServiceId
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
    ServiceNotDeclared,
    Settled,
)
from wasabigw_platform.control_api import make_platform_server
from wasabigw_platform.documents import read_document
from wasabigw_platform.readiness import answer_readiness
from wasabigw_platform.settings import PlatformSettings, parse_settings

LIMITS = replace(DEFAULT_LIMITS, http_threads=2)
APPLIED = Applied(Revision(3), Revision(3))


class StubVoterTask(Task[Any]):
    """Replies to every message with the same value and records the messages."""

    def __init__(self) -> None:
        super().__init__("stand-in", Mailbox("stand-in"))
        self.answer: Any = Settled()
        self.received: list[Any] = []

    def receive(self, message: Any) -> None:
        self.received.append(message)
        message.reply.post(self.answer)


class StubConnection:
    """Connection that records the status of the last response."""

    status = 0

    def respond(self, status: int) -> None:
        self.status = status


class HttpApiCase(unittest.TestCase):
    """Base class that starts a server and the stub of the voter task."""

    def setUp(self) -> None:
        self.task = self.enterContext(StubVoterTask())
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
    """Settings of a control VM on the loopback address."""
    listen = {"control": "127.0.0.1:8166"}
    changed = {"ip-address": "127.0.0.1", "listen": listen}
    return parse_settings(json.dumps(FRONTEND | changed).encode()).unwrap()


class PlatformApiCase(HttpApiCase):
    """Starts the API of the platform on a control VM."""

    def make_server(self) -> HttpServer:
        self.settings = core_settings()
        server = make_platform_server(self.task.mailbox, self.settings, LIMITS)
        # The port in the settings may be in use; bind any free port instead.
        server._server.bind_addr = ("127.0.0.1", 0)
        return server


class ControlApi(PlatformApiCase):
    """Guards against responses that differ from the API of the platform."""

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

    def test_invalid_announcements_are_refused(self) -> None:
        self.assertEqual(self.put_announcement(zone="elsewhere")[0], 400)
        self.assertEqual(self.put_announcement(slots=None)[0], 400)
        self.assertEqual(self.call("PUT", "/instances/i-1", b"{")[0], 400)
        self.assertEqual(self.call("PUT", "/instances/xyz", b"{}")[0], 400)
        self.assertEqual(self.task.received, [])

    def test_an_undeclared_service_is_refused_with_the_reason(self) -> None:
        # 503 lets a backend server try a control VM that knows a newer configuration.
        self.task.answer = ServiceNotDeclared(ServiceId("huvo11a"))
        status, answer, _ = self.put_announcement()
        self.assertEqual(status, 503)
        self.assertIn("no service 'huvo11a'", json.loads(answer)["error"])

    def test_an_oversized_announcement_is_refused(self) -> None:
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

    def test_a_configuration_that_was_never_declared_is_not_found(self) -> None:
        self.task.answer = DocumentView(None)
        self.assertEqual(self.call("GET", "/configuration")[0], 404)

    def test_a_zone_is_taken_out_of_service_and_returned(self) -> None:
        self.task.answer = APPLIED
        self.assertEqual(self.call("POST", "/evacuation/recife")[0], 200)
        self.assertEqual(self.call("DELETE", "/evacuation/recife")[0], 200)
        changes = [message.order.change for message in self.task.received]
        expected = [TakeFailureDomainOut("recife"), BringFailureDomainBack("recife")]  # type: ignore[arg-type]
        self.assertEqual(changes, expected)

    def test_an_unknown_zone_is_refused(self) -> None:
        self.task.answer = Refusal(RefusalCode.NOT_FOUND, "no such", Revision(1))
        self.assertEqual(self.call("POST", "/evacuation/x")[0], 404)

    def test_a_follower_redirects_to_the_leader(self) -> None:
        self.task.answer = NotLeader(Endpoint("10.2.0.43", 7720))
        status, _, location = self.call("GET", "/configuration")
        self.assertEqual(status, 307)
        self.assertEqual(location, "http://10.2.0.43:8166/configuration")

    def test_unknown_outcomes_and_overload_give_503(self) -> None:
        for answer in (NotLeader(None), OutcomeUnknown(), Overloaded("full")):
            with self.subTest(answer=answer):
                self.task.answer = answer
                self.assertEqual(self.call("GET", "/configuration")[0], 503)
                self.assertEqual(self.call("POST", "/evacuation/recife")[0], 503)


class Readiness(unittest.TestCase):
    """Guards against packets that are routed to a balancer that can't forward them."""

    def get_status(self, target: str, ready: bool) -> int:
        connection = StubConnection()
        status = TagBalancerStatus(
            NodeId("b"), ready, True, Revision(1), 1, 0, Seconds(0.0), 0, 0, {}
        )
        request = LightRequest(connection, "GET", target)  # type: ignore[arg-type]
        answer_readiness(request, status)
        return connection.status

    def test_readiness_follows_the_status_of_the_balancer(self) -> None:
        self.assertEqual(self.get_status("/readiness", ready=True), 200)
        self.assertEqual(self.get_status("/readiness", ready=False), 503)
        self.assertEqual(self.get_status("/other", ready=True), 404)


if __name__ == "__main__":
    unittest.main()
