"""Announcements of services that no configuration declares, at a running control VM."""

import http.client
import json
import socket
import tempfile
import time
import unittest
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from returns.result import Failure, Success

from tests.test_platform_formats import ANNOUNCEMENT, DOCUMENT, FRONTEND
from wasabigw.codec.views import decode_update
from wasabigw.core.cluster import ClusterState
from wasabigw.core.delivery_view import ViewUpdate
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import CompressedText
from wasabigw.core.registration import DeclaredDocument
from wasabigw.core.states import RegistrationState
from wasabigw.tasks.declared_services import DeclaredServices
from wasabigw.tasks.view_names import VIEW_PATH
from wasabigw_platform import control
from wasabigw_platform.settings import PlatformSettings, parse_settings
from wasabigw_soak.bounds import RECOVERY_TIME

LIVE, ODD = "i-7f3a91c2", "i-0dd0000e"
UNDECLARED = "xoru55c"
"""A service that no configuration declares."""
OUTCOME_UNKNOWN = b"no majority confirmed the request in time"
START_TIMEOUT_S = 20.0
RETRY_DELAY_S = 0.05


def free_port() -> int:
    """A port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class ControlVm:
    """Requests to the control VM under test."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings

    def put(self, path: str, body: dict[str, Any]) -> int:
        """Status of a request to the platform's API.

        The request is sent again while its outcome is unknown: callers do so when the
        disk or the processor of the control VM delays it.
        """
        assert self._settings.control is not None
        endpoint, text = self._settings.control, json.dumps(body)
        deadline = time.monotonic() + RECOVERY_TIME
        while True:
            status, answer = self._request(endpoint, "PUT", path, text)
            if OUTCOME_UNKNOWN not in answer or time.monotonic() > deadline:
                return status

    def configure(self, **changed: Any) -> int:
        """Declare a configuration."""
        return self.put("/configuration", DOCUMENT | changed)

    def configuration(self) -> dict[str, Any]:
        """The configuration as an operator reads it."""
        assert self._settings.control is not None
        control_endpoint = self._settings.control
        _, body = self._request(control_endpoint, "GET", "/configuration", None)
        document: dict[str, Any] = json.loads(body)
        return document

    def announce(self, name: str, **changed: Any) -> int:
        """Announce a backend server that has just started."""
        born = round(time.time() * 1000)
        return self.put(f"/instances/{name}", ANNOUNCEMENT | {"born": born} | changed)

    def view(self) -> ViewUpdate:
        """The whole delivery view, as balancers get it."""
        path = f"{VIEW_PATH}?after=0&wait_ms=0"
        _, body = self._request(self._settings.api, "GET", path, None)
        update: ViewUpdate = decode_update(body).unwrap()
        return update

    def wait_until_leader(self) -> None:
        """Wait until the control VM leads, and so can read the configuration."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not self._has_leader():
            if time.monotonic() > deadline:
                raise AssertionError("the control VM did not become leader")
            time.sleep(RETRY_DELAY_S)

    def _has_leader(self) -> bool:
        assert self._settings.control is not None
        control_endpoint = self._settings.control
        status, _ = self._request(control_endpoint, "GET", "/configuration", None)
        return status == HTTPStatus.NOT_FOUND

    def _request(
        self, endpoint: Endpoint, method: str, path: str, body: str | None
    ) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(
            endpoint.address, endpoint.port, timeout=5
        )
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()


class ControlVmCase(unittest.TestCase):
    """Runs a control VM that is the only voter."""

    def play(self, scenario: Callable[[ControlVm], None]) -> None:
        """Run the control VM until the scenario ends."""
        settings = self.settings()
        vm = ControlVm(settings)

        def wait(_changed: object) -> None:
            vm.wait_until_leader()
            scenario(vm)

        self.assertEqual(control.run(settings, wait), Success(None))

    def settings(self) -> PlatformSettings:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        first_port, control_port = free_port(), free_port()
        fields = FRONTEND | {
            "ip-address": "127.0.0.1",
            "listen": {"control": f"127.0.0.1:{control_port}"},
            "internal-port-range": [first_port, first_port + 15],
            "seeds": [f"127.0.0.1:{control_port}"],
            "data-directory": f"{folder}/data",
            "fault-tolerance": {"machines": 0},
        }
        settings: PlatformSettings = parse_settings(
            json.dumps(fields).encode()
        ).unwrap()
        return settings


class LiveServers(ControlVmCase):
    """Guards against an odd entry that supersedes a live backend server.

    A later boot at the same endpoint or under the same id gets the new flows of the
    registered one. It also ended that one, whose flows were reset.
    """

    def check_keeps_live_server(self, name: str, **odd: Any) -> None:
        def scenario(vm: ControlVm) -> None:
            self.assertEqual(vm.configure(), HTTPStatus.OK)
            born = round(time.time() * 1000)
            self.assertEqual(vm.announce(LIVE, born=born), HTTPStatus.OK)
            odd_status = vm.announce(name, **odd)
            self.assertEqual(vm.announce(LIVE, born=born, sequence=5), HTTPStatus.OK)
            states = [(boot.id, boot.state) for boot in vm.view().boots]
            self.assertEqual(states, [(LIVE, RegistrationState.SERVING)])
            self.assertEqual(odd_status, HTTPStatus.SERVICE_UNAVAILABLE)

        self.play(scenario)

    def test_an_undeclared_service_at_its_address_does_not_end_it(self) -> None:
        self.check_keeps_live_server(ODD, service=UNDECLARED)

    def test_an_undeclared_service_under_its_id_does_not_end_it(self) -> None:
        self.check_keeps_live_server(LIVE, service=UNDECLARED, sequence=1_000)

    def test_a_server_is_registered_once_its_service_is_declared(self) -> None:
        def scenario(vm: ControlVm) -> None:
            self.assertEqual(vm.announce(LIVE), HTTPStatus.SERVICE_UNAVAILABLE)
            self.assertEqual(vm.view().boots, ())
            self.assertEqual(vm.configure(), HTTPStatus.OK)
            self.assertEqual(vm.announce(LIVE), HTTPStatus.OK)
            self.assertEqual([boot.id for boot in vm.view().boots], [LIVE])

        self.play(scenario)


class UnreadableDocuments(unittest.TestCase):
    """Guards against refusing all backend servers while two versions run."""

    def test_the_services_are_not_known(self) -> None:
        cluster = ClusterState()
        services = DeclaredServices(lambda _: Failure("a field of a later version"))
        self.assertEqual(services.of(cluster), frozenset())
        cluster.declared = DeclaredDocument(7, CompressedText(""))
        self.assertIsNone(services.of(cluster))
        self.assertIsNone(services.of(cluster))


if __name__ == "__main__":
    unittest.main()
