"""Configurations that are invalid or not newer, at a control VM."""

import json
import socket
import unittest
from http import HTTPStatus
from typing import Any

from tests.test_announced_services import ControlVm, ControlVmCase
from tests.test_platform_calls import PlatformApiCase
from tests.test_platform_formats import DOCUMENT
from wasabigw.core.log_messages import NotLeader

ROUTE = DOCUMENT["routes"][0]
SPLIT = ROUTE["traffic-split"]


def with_routes(*routes: dict[str, Any]) -> bytes:
    """Document with other routes."""
    return json.dumps(DOCUMENT | {"routes": list(routes)}).encode()


def without(key: str) -> bytes:
    """Document that lacks a part."""
    return json.dumps({k: v for k, v in DOCUMENT.items() if k != key}).encode()


TEXT = json.dumps(DOCUMENT).encode()
UNWEIGHTED = [share | {"weight": 0} for share in SPLIT]
INVALID = {
    "cut short": TEXT[: len(TEXT) // 2],
    "cut short by its last byte": TEXT[:-1],
    "empty": b"",
    "two documents": TEXT + TEXT,
    "no object": b"[]",
    "no version": without("version"),
    "no routes": without("routes"),
    "no services": without("services"),
    "unknown service": with_routes(ROUTE | {"traffic-split": [], "service": "other"}),
    "unknown service in a split": with_routes(
        ROUTE | {"traffic-split": [*SPLIT, {"service": "other", "weight": 0}]}
    ),
    "same place": with_routes(ROUTE, ROUTE | {"name": "r-other"}),
    "same place, written otherwise": with_routes(
        ROUTE, ROUTE | {"name": "r-other", "path-prefix": "8443"}
    ),
    "no weight": with_routes(ROUTE | {"traffic-split": UNWEIGHTED}),
    "weight left out": with_routes(
        ROUTE | {"traffic-split": [{"service": SPLIT[0]["service"]}]}
    ),
    "negative weight": with_routes(
        ROUTE | {"traffic-split": [SPLIT[0] | {"weight": -1}, SPLIT[1]]}
    ),
    "no service at all": with_routes(ROUTE | {"traffic-split": []}),
    "timeout 0": with_routes(ROUTE | {"timeout-ms": 0}),
    "timeout 0.0": with_routes(ROUTE | {"timeout-ms": 0.0}),
    "timeout below 0": with_routes(ROUTE | {"timeout-ms": -1}),
    "timeout null": with_routes(ROUTE | {"timeout-ms": None}),
    "timeout left out": with_routes(
        {k: v for k, v in ROUTE.items() if k != "timeout-ms"}
    ),
    "version as text": json.dumps(DOCUMENT | {"version": "8"}).encode(),
    "a route that is no object": with_routes(ROUTE, "r-other"),  # type: ignore[arg-type]
}
"""Bodies that no control VM may accept, whether it leads or not."""


class Refusals(PlatformApiCase):
    """Guards against an invalid configuration that is proposed or acknowledged.

    The check comes before the voter task is asked, so it depends neither on the role
    of the control VM nor on the configuration that it holds.
    """

    def test_each_kind_is_refused_before_the_voter_is_asked(self) -> None:
        for kind, body in INVALID.items():
            with self.subTest(kind=kind):
                status, _, _ = self.call("PUT", "/configuration", body)
                self.assertEqual(status, HTTPStatus.BAD_REQUEST)
                self.assertEqual(self.task.received, [])

    def test_each_kind_is_refused_while_no_leader_is_known(self) -> None:
        self.task.answer = NotLeader(None)
        for kind, body in INVALID.items():
            with self.subTest(kind=kind):
                status, _, _ = self.call("PUT", "/configuration", body)
                self.assertEqual(status, HTTPStatus.BAD_REQUEST)

    def test_a_body_that_stalls_is_not_refused(self) -> None:
        # A status 4xx ends the call of an operator, so a valid configuration would be
        # refused because the network has lost the rest of its body.
        endpoint = self.server.endpoint
        address = (endpoint.address, endpoint.port)
        length = f"Content-Length: {len(TEXT)}"
        with socket.create_connection(address, timeout=10) as sock:
            request = f"PUT /configuration HTTP/1.1\r\nHost: a\r\n{length}\r\n\r\n"
            sock.sendall(request.encode() + TEXT[:20])
            self.assertEqual(sock.recv(4096), b"")
        self.assertEqual(self.task.received, [])


class InForce(ControlVmCase):
    """Guards against what was refused or is not newer, in force afterwards."""

    def test_nothing_but_a_higher_valid_version_takes_effect(self) -> None:
        self.play(self.scenario)

    def scenario(self, vm: ControlVm) -> None:
        self.assertEqual(vm.configure(version=7), HTTPStatus.OK)
        newer = {"version": 8}
        wrong: dict[str, list[dict[str, Any]]] = {
            "unknown service": [ROUTE | {"traffic-split": [], "service": "other"}],
            "same place": [ROUTE, ROUTE],
            "no weight": [ROUTE | {"traffic-split": UNWEIGHTED}],
            "no timeout": [ROUTE | {"timeout-ms": 0}],
        }
        for kind, routes in wrong.items():
            with self.subTest(kind=kind):
                # Sent twice, because an operator may send a call again.
                for _ in range(2):
                    status = vm.configure(version=8, routes=routes)
                    self.assertEqual(status, HTTPStatus.BAD_REQUEST)
                self.assertEqual(vm.configuration(), DOCUMENT | {"version": 7})
        not_newer: dict[str, dict[str, Any]] = {
            "old version": {"version": 6, "routes": [ROUTE]},
            "same version, other content": {"version": 7, "routes": [ROUTE]},
            "sent again": {"version": 7},
        }
        for kind, changed in not_newer.items():
            with self.subTest(kind=kind):
                self.assertEqual(vm.configure(**changed), HTTPStatus.OK)
                self.assertEqual(vm.configuration(), DOCUMENT | {"version": 7})
        # The version of a refused configuration may be used by a valid one.
        self.assertEqual(vm.configure(version=8), HTTPStatus.OK)
        self.assertEqual(vm.configuration(), DOCUMENT | newer)


if __name__ == "__main__":
    unittest.main()
