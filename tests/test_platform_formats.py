"""Settings, announcements and configuration documents in the platform's formats."""

import json
import unittest
from typing import Any

from returns.result import Failure, Success

from wasabigw.core.cluster import DeclaredDocument, Endpoint
from wasabigw.core.declaration import Listener, ServiceShare
from wasabigw.core.ids import BackendServerId, FailureDomainId, Seconds, ServiceId
from wasabigw.core.log_messages import BootAnnouncement
from wasabigw.core.requirements import Priority, Requirements
from wasabigw.core.tags.features import Features
from wasabigw_platform.announcements import read_announcement
from wasabigw_platform.documents import (
    decode_document,
    document_text,
    read_document,
)
from wasabigw_platform.settings import PlatformSettings, parse_settings

FRONTEND: dict[str, Any] = {
    "node-name": "frontend-recife-1",
    "machine-class": "frontend",
    "ip-address": "10.1.0.10",
    "zone": "recife",
    "region": "nordeste",
    "zones": {"recife": "nordeste", "salvador": "nordeste"},
    "listen": {
        "datagram-address": "10.1.0.10:8172",
        "readiness-address": "10.1.0.10:8167",
    },
    "internal-port-range": [7720, 7735],
    "seeds": ["10.1.0.13:8166", "10.2.0.43:8166"],
    "bootstrap": True,
    "data-directory": None,
    "heartbeat-interval-ms": 1200,
    "fault-tolerance": {"machines": 2, "zones": 1},
    "bounds": {"grace-s": 5, "max-flow-s": 60},
    "a-field-of-later": [1, 2],
}

ANNOUNCEMENT: dict[str, Any] = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "recife",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold-remaining-ms": 1500,
    "sequence": 4,
    "born": 1781961815000,
}

NOW_MS = 1781961900000
"""Time of the control VM in Unix milliseconds."""

DOCUMENT: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "path-prefix": "/8443/",
            "route-type": "safe",
            "timeout-ms": 3000,
            "traffic-split": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
            "max-attempts": 2,
        },
        {
            "name": "r-2",
            "host": "198.18.0.2",
            "path-prefix": "/8443/",
            "timeout-ms": 8000,
            "service": "wuno96b",
        },
    ],
    "services": [
        {"name": "huvo11a", "warmup-per-s": 3.5, "tls": False},
        {"name": "wuno96b", "warmup-per-s": 0.0},
    ],
    "limits": {"idle-timeout-ms": 12000, "max-body-bytes": 262144},
}


class SettingsFile(unittest.TestCase):
    """Guards against settings of the platform that are decoded wrongly."""

    def parse(self, **changed: Any) -> PlatformSettings:
        parsed = parse_settings(json.dumps(FRONTEND | changed).encode())
        assert isinstance(parsed, Success), parsed
        settings: PlatformSettings = parsed.unwrap()
        return settings

    def test_fields_are_converted(self) -> None:
        settings = self.parse()
        self.assertEqual(settings.packets, Endpoint("10.1.0.10", 8172))
        self.assertEqual(settings.api, Endpoint("10.1.0.10", 7720))
        seeds = (Endpoint("10.1.0.13", 7720), Endpoint("10.2.0.43", 7720))
        self.assertEqual(settings.seeds, seeds)
        self.assertEqual(settings.announcement_interval, 1.2)
        self.assertEqual(settings.tolerated_losses, 2)
        self.assertEqual(settings.stop_timeout, 5.0)
        self.assertIsNone(settings.control)
        self.assertIsNone(settings.data_folder)

    def test_the_capacity_of_the_link_may_be_unknown(self) -> None:
        self.assertIsNone(self.parse().link_megabits)
        limits = {"link-mbps": 1.55, "memory-mb": 139}
        self.assertEqual(self.parse(limits=limits).link_megabits, 1.55)

    def test_parts_are_on_unless_switched_off(self) -> None:
        self.assertEqual(self.parse().features, Features())
        changed = self.parse(features={"admission-control": False})
        self.assertEqual(changed.features, Features(admission_control=False))

    def test_errors_name_the_invalid_field(self) -> None:
        cases: dict[str, dict[str, Any]] = {
            "$.features.load-sharing": {"features": {"load-sharing": "off"}},
            "$.zones": {"zones": None},
            "$.bootstrap": {"bootstrap": "yes"},
            "$.limits.link-mbps": {"limits": {"link-mbps": -1}},
            "not an address and a port": {"seeds": ["10.1.0.13"]},
            "$.seeds": {"seeds": []},
            "$.listen.datagram-address": {"listen": {"datagram-address": 5}},
        }
        for text, changed in cases.items():
            with self.subTest(text=text):
                wrong = parse_settings(json.dumps(FRONTEND | changed).encode())
                assert isinstance(wrong, Failure)
                self.assertIn(text, wrong.failure())

    def test_invalid_json_is_an_error(self) -> None:
        for text in (b"", b"node-name: x", b"[]", b"\xff"):
            with self.subTest(text=text):
                self.assertIsInstance(parse_settings(text), Failure)


class Announcements(unittest.TestCase):
    """Guards against backend servers that are registered from invalid requests."""

    def read(self, name: str = "i-7f3a91c2", **changed: Any) -> Any:
        text = json.dumps(ANNOUNCEMENT | changed).encode()
        return read_announcement(name, text, NOW_MS)

    def test_fields_are_converted(self) -> None:
        expected = BootAnnouncement(
            BackendServerId("i-7f3a91c2"),
            ServiceId("huvo11a"),
            FailureDomainId("recife"),
            Endpoint("10.128.0.9", 8080),
            1781961815000,
            3,
            False,
            Seconds(1.5),
            4,
        )
        self.assertEqual(self.read(), Success(expected))
        self.assertTrue(self.read(state="draining").unwrap().draining)

    def test_errors_name_the_invalid_field_of_an_announcement(self) -> None:
        cases: dict[str, dict[str, Any]] = {
            "$.state": {"state": "resting"},
            "$.slots": {"slots": "3"},
            "$.sequence": {"sequence": 1.5},
            "$.born": {"born": "soon"},
            "$.cold-remaining-ms": {"cold-remaining-ms": -1},
            "not an address and a port": {"address": "10.128.0.9"},
            "$.service": {"service": ""},
        }
        for text, changed in cases.items():
            with self.subTest(text=text):
                wrong = self.read(**changed)
                assert isinstance(wrong, Failure)
                self.assertIn(text, wrong.failure())

    def test_missing_fields_and_invalid_json_are_errors(self) -> None:
        for text in (b"", b"{}", b"null", b"\xff\xfe", b"[1, 2"):
            with self.subTest(text=text):
                self.assertIsInstance(read_announcement("i-1", text, NOW_MS), Failure)

    def test_an_id_without_hex_digits_is_refused(self) -> None:
        self.assertIsInstance(self.read(name="i-xyz"), Failure)


class Documents(unittest.TestCase):
    """Guards against documents that are decoded wrongly or returned with changes."""

    def read(self, **changed: Any) -> Any:
        return read_document(json.dumps(DOCUMENT | changed).encode())

    def test_fields_are_converted(self) -> None:
        declaration = decode_document(self.read().unwrap()).unwrap()
        shares = (
            ServiceShare(ServiceId("huvo11a"), 90),
            ServiceShare(ServiceId("wuno96b"), 10),
        )
        first = Listener(Endpoint("198.18.0.1", 8443), shares, Seconds(3.0))
        self.assertEqual(declaration.version, 7)
        self.assertEqual(declaration.listeners[0], first)
        self.assertEqual(
            declaration.listeners[1].shares, (ServiceShare(ServiceId("wuno96b"), 1),)
        )
        self.assertEqual(declaration.services[0].cold_rate, 3.5)
        self.assertEqual(declaration.idle_timeout, 12.0)

    def test_the_text_is_returned_as_it_was_sent(self) -> None:
        text = json.dumps(DOCUMENT, indent=1).encode()
        document: DeclaredDocument = read_document(text).unwrap()
        self.assertEqual(document_text(document), Success(text))

    def test_errors_describe_the_invalid_part_of_a_document(self) -> None:
        route = DOCUMENT["routes"][0]
        cases: dict[str, list[dict[str, Any]]] = {
            "not declared": [route | {"traffic-split": [], "service": "other"}],
            "2 listeners use": [route, route | {"name": "r-3"}],
            "request timeout": [route | {"timeout-ms": 0}],
            "not an address and a port": [route | {"path-prefix": "/x/"}],
            "both a service and a traffic split": [route | {"service": "huvo11a"}],
            "sends its flows to no service": [route | {"traffic-split": []}],
            "$.routes[0].host": [route | {"host": 7}],
        }
        for text, routes in cases.items():
            with self.subTest(text=text):
                wrong = self.read(routes=routes)
                assert isinstance(wrong, Failure)
                self.assertIn(text, wrong.failure())

    def requirements(self, **fields: Any) -> Requirements | None:
        """Requirements of a route with further fields."""
        renamed = {name.replace("_", "-"): value for name, value in fields.items()}
        text = json.dumps(DOCUMENT | {"routes": [DOCUMENT["routes"][0] | renamed]})
        accepted = read_document(text.encode()).unwrap()
        return decode_document(accepted).unwrap().listeners[0].requirements

    def test_requirements_of_callers_reach_the_listener(self) -> None:
        found = self.requirements(priority=2, target_latency_ms=250)
        self.assertEqual(found, Requirements(Priority(2), Seconds(0.25)))

    def test_requirements_that_are_out_of_bounds_leave_a_document_valid(self) -> None:
        # Guards against a configuration that is refused for a field that earlier
        # versions ignored.
        odd: tuple[Any, ...] = (-1, 10, 1.5, "2", True, None, [], {}, float("1e300"))
        for value in odd:
            with self.subTest(priority=value):
                self.assertIsNone(
                    self.requirements(priority=value, target_latency_ms=250)
                )
        for value in (0, -5, "250", False, None, [250], 5e-324):
            with self.subTest(objective=value):
                self.assertIsNone(
                    self.requirements(priority=1, target_latency_ms=value)
                )
        self.assertIsNone(self.requirements(priority=1))
        self.assertIsNone(self.requirements(target_latency_ms=250))

    def test_a_number_beyond_any_range_leaves_a_document_valid(self) -> None:
        route = DOCUMENT["routes"][0] | {"priority": 1, "target-latency-ms": "huge"}
        text = json.dumps(DOCUMENT | {"routes": [route]}).replace('"huge"', "1e999")
        declaration = decode_document(read_document(text.encode()).unwrap()).unwrap()
        self.assertIsNone(declaration.listeners[0].requirements)

    def test_truncated_text_is_an_error(self) -> None:
        text = json.dumps(DOCUMENT).encode()
        for length in (0, 1, len(text) // 2, len(text) - 1):
            with self.subTest(length=length):
                self.assertIsInstance(read_document(text[:length]), Failure)


if __name__ == "__main__":
    unittest.main()
