"""Odd entries among those of the backend servers, at each of their readers."""

import json
import unittest
from dataclasses import replace
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from tests.test_backend_home import B1, HomeFixture
from tests.test_platform_formats import ANNOUNCEMENT, DOCUMENT, FRONTEND, NOW_MS
from tests.test_registrations import RegistrarCase
from tests.test_tag_steering import SteeringCase, boot, opening
from wasabigw.codec.views import decode_update, encode_update
from wasabigw.core.announcement_checks import (
    MAX_CLOCK_DIFFERENCE_MS,
    MAX_NAME_LENGTH,
    MAX_SLOTS,
)
from wasabigw.core.delivery_view import DeliveryView, update_since
from wasabigw.core.home_events import HomesChanged
from wasabigw.core.ids import NO_REVISION, Revision, Seconds, ServiceId
from wasabigw.core.log_messages import (
    AnnouncementRefused,
    BootAnnouncement,
    LoadReport,
)
from wasabigw.core.tags.decisions import Deliver
from wasabigw.core.transition import weight
from wasabigw_platform.announcements import read_announcement
from wasabigw_platform.documents import read_document
from wasabigw_platform.settings import parse_settings

DEEP = "[" * 100_000 + "]" * 100_000
HUGE = 10**400
"""A number that no float can hold; a larger exponent is not even read."""

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.just(HUGE)
    | st.floats(allow_nan=False)
    | st.text(max_size=20),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=5), children, max_size=3)
    ),
    max_leaves=5,
)


def with_raw_field(name: str, value: str, fields: dict[str, Any]) -> bytes:
    """JSON object in which one field has a value that is written as it is."""
    text = json.dumps({k: v for k, v in fields.items() if k != name})
    return f'{text[:-1]},"{name}":{value}}}'.encode()


def read(text: bytes, name: str = "i-7f3a91c2") -> Any:
    """Outcome of reading an announcement."""
    return read_announcement(name, text, NOW_MS)


class Refusal(unittest.TestCase):
    """Guards against odd entries in the replicated log, which every process reads."""

    def check_refused(self, **changed: Any) -> None:
        outcome = read(json.dumps(ANNOUNCEMENT | changed).encode())
        self.assertIsInstance(outcome, Failure, outcome)

    def test_numbers_out_of_range_are_refused(self) -> None:
        for field in ("slots", "sequence", "born", "cold-remaining-ms"):
            for number in (-1, 2**64, 10**30, HUGE):
                with self.subTest(field=field, digits=len(str(number))):
                    self.check_refused(**{field: number})
        self.check_refused(slots=MAX_SLOTS + 1)

    def test_ports_and_addresses_that_no_host_has_are_refused(self) -> None:
        for address in (
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:-1",
            "10.0.0.1:" + "9" * 5000,
            "0.0.0.0:80",
            "224.0.0.1:80",
            "255.255.255.255:80",
        ):
            with self.subTest(address=address[:30]):
                self.check_refused(address=address)

    def test_names_that_are_long_or_not_printable_are_refused(self) -> None:
        self.check_refused(service="s" * (MAX_NAME_LENGTH + 1))
        self.check_refused(service="a\nb")
        self.check_refused(zone="a\x00b")
        for name in ("x" * MAX_NAME_LENGTH + "a", "i-\n7f"):
            outcome = read(json.dumps(ANNOUNCEMENT).encode(), name)
            self.assertIsInstance(outcome, Failure, outcome)

    def test_fields_that_are_missing_or_of_another_type_are_refused(self) -> None:
        # The start of a boot is optional: without it, it replaces no other boot.
        required = sorted(set(ANNOUNCEMENT) - {"born"})
        for field in required:
            with self.subTest(field=field):
                entry = {k: v for k, v in ANNOUNCEMENT.items() if k != field}
                self.assertIsInstance(read(json.dumps(entry).encode()), Failure)
                self.check_refused(**{field: None})
                self.check_refused(**{field: [ANNOUNCEMENT[field]]})
        self.check_refused(version=1)
        self.check_refused(born="1781961815000")

    def test_deep_nesting_is_refused(self) -> None:
        for field in ("slots", "a-field-of-later"):
            with self.subTest(field=field):
                text = with_raw_field(field, DEEP, ANNOUNCEMENT)
                self.assertIsInstance(read(text), Failure)

    def test_deep_nesting_in_a_configuration_and_in_settings_is_refused(self) -> None:
        document = with_raw_field("a-field-of-later", DEEP, DOCUMENT)
        self.assertIsInstance(read_document(document), Failure)
        settings = with_raw_field("a-field-of-later", DEEP, FRONTEND)
        self.assertIsInstance(parse_settings(settings), Failure)

    def test_numbers_out_of_range_in_a_configuration_are_refused(self) -> None:
        version = json.dumps(DOCUMENT | {"version": 10**30}).encode()
        self.assertIsInstance(read_document(version), Failure)
        route = DOCUMENT["routes"][0] | {
            "traffic-split": [{"service": "huvo11a", "weight": HUGE}]
        }
        weight = json.dumps(DOCUMENT | {"routes": [route]}).encode()
        self.assertIsInstance(read_document(weight), Failure)

    @given(st.sampled_from(sorted(ANNOUNCEMENT)), json_values)
    def test_any_value_is_read_or_refused(self, field: str, value: Any) -> None:
        outcome = read(json.dumps(ANNOUNCEMENT | {field: value}).encode())
        self.assertIsInstance(outcome, Success | Failure)

    @given(st.binary(max_size=200))
    def test_any_bytes_are_read_or_refused(self, text: bytes) -> None:
        self.assertIsInstance(read(text), Failure)


class LaterBoots(RegistrarCase):
    """Guards against an entry that keeps all later boots of its id or address out."""

    def announcement(self, born: int) -> Any:
        return read(json.dumps(ANNOUNCEMENT | {"born": born}).encode())

    def test_a_start_in_the_distant_future_hides_no_later_boot(self) -> None:
        odd = self.announcement(NOW_MS + MAX_CLOCK_DIFFERENCE_MS + 1)
        if isinstance(odd, Success):
            self.announce(odd.unwrap())
        call: BootAnnouncement = self.announcement(NOW_MS - 1000).unwrap()
        self.announce(call, now=1.0)
        self.assertEqual(self.current(call.id).started_at, NOW_MS - 1000)

    def test_a_clock_that_is_seconds_ahead_is_accepted(self) -> None:
        self.assertIsInstance(self.announcement(NOW_MS + 5000), Success)


class Readers(SteeringCase):
    """Guards against a process that ends at an entry that an older version accepted."""

    def test_a_balancer_chooses_among_backend_servers_with_any_slots(self) -> None:
        for slots in (HUGE, 10**30, 0, -5):
            with self.subTest(digits=len(str(slots))):
                odd = boot(2)
                self.register(boot(1), replace(odd, slots=slots))
                self.assertIsInstance(self.decide(opening(port=slots % 7)), Deliver)

    def test_a_view_with_any_numbers_reaches_the_balancers(self) -> None:
        odd = replace(boot(2), slots=HUGE)
        view = DeliveryView(Revision(1), {odd.tag: odd, boot(1).tag: boot(1)})
        text = encode_update(update_since(view, NO_REVISION, Seconds(1.0)))
        self.assertIsInstance(decode_update(text), Success)

    def test_a_view_that_is_nested_too_deeply_is_an_error(self) -> None:
        text = f'{{"a-field-of-later":{DEEP}}}'.encode()
        self.assertIsInstance(decode_update(text), Failure)

    def test_an_unknown_service_takes_no_flows(self) -> None:
        odd = replace(boot(2), service=ServiceId("unknown"))
        self.register(boot(1), odd)
        tags = {self.tag_of(opening(port)) for port in range(1, 9)}
        self.assertEqual(tags, {1})


class OwnFrontEnd(unittest.TestCase):
    """Guards against announcements at a home that stop every reader of the log."""

    def test_limits_out_of_range_are_refused(self) -> None:
        cases: list[dict[str, Any]] = [
            {"slots": HUGE},
            {"connections": HUGE},
            {"slots": 2**60},
        ]
        for changes in cases:
            with self.subTest(changes=list(changes)):
                fixture = HomeFixture()
                reply = fixture.announce(**changes)
                self.assertIsInstance(reply, AnnouncementRefused)
                self.assertEqual(fixture.cluster.backend_servers, {})

    def test_any_load_is_taken_as_a_number_of_flows(self) -> None:
        for load in (LoadReport(HUGE, HUGE), LoadReport(-HUGE, -1)):
            fixture = HomeFixture()
            fixture.run(12, load=load)
            self.assertGreaterEqual(fixture.state.servers[B1].admission.open_flows, 0)

    def test_an_entry_that_an_older_version_accepted_stops_no_reader(self) -> None:
        for limit in (HUGE, 2**60):
            fixture = HomeFixture()
            fixture.run(2)
            known = fixture.cluster.backend_servers[B1]
            odd = replace(known, slots=limit, connections=limit)
            fixture.cluster.backend_servers[B1] = odd
            self.assertGreater(weight(odd, fixture.cluster), 0.0)
            # Its home was restarted and takes it over from the replicated state.
            restarted = HomeFixture()
            restarted.cluster = fixture.cluster
            restarted.handle(HomesChanged(fixture.cluster, Seconds(5.0)))
            restarted.run(3, boot=None)
            restarted.admit()


if __name__ == "__main__":
    unittest.main()
