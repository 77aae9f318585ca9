"""Messages survive the encoding, and bad ones give an error instead of a guess."""

import unittest
from typing import Any

from returns.result import Failure, Success

from wasabigw.codec import messages
from wasabigw.core import commands
from wasabigw.core.buckets import assign_buckets, empty_table, move_buckets
from wasabigw.core.cluster import Applied, ClusterState, Endpoint, Service
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    FailureDomainId,
    RequestId,
    Revision,
    Seconds,
    ServiceId,
    Term,
)
from wasabigw.core.log_messages import AnnouncementOutcome, LogBatch, LogEntry
from wasabigw.core.states import BackendServerState, Protocol


def change(number: int) -> commands.ChangeRequest:
    """Change request with a change whose fields another change has as well."""
    return commands.ChangeRequest(
        RequestId(f"r{number}"),
        Revision(number),
        commands.BringFailureDomainBack(FailureDomainId("recife")),
    )


class RoundTrip(unittest.TestCase):
    """Guards against a change that arrives as another one with equal fields."""

    def assert_round_trip(self, message: Any, expected: Any) -> None:
        decoded = messages.decode(messages.encode(message, expected), expected)
        self.assertEqual(decoded, Success(message))

    def test_change_request_keeps_its_kind(self) -> None:
        self.assert_round_trip(change(1), commands.ChangeRequest)
        self.assert_round_trip(change(1), commands.Command)

    def test_log_batch_with_snapshot(self) -> None:
        table = empty_table()
        name = BackendServerId("b1")
        other = BackendServerId("b2")
        for revision, chosen in ((1, name), (2, other)):
            assignment = assign_buckets(table.current, {chosen: 1})
            move_buckets(table, assignment, Revision(revision), {name, other})
        service = Service(
            ServiceId("seats"),
            Endpoint("10.0.0.1", 80),
            Protocol.TCP,
            (FailureDomainId("recife"),),
        )
        state = ClusterState(
            services={service.id: service},
            buckets={service.id: table},
            requests={RequestId("r1"): Applied(Revision(1), Revision(1))},
        )
        report = commands.BackendServerUp(
            name,
            service.id,
            FailureDomainId("recife"),
            Endpoint("10.1.0.1", 80),
            BootId("x"),
            4,
            2000,
            BackendServerState.COLD,
            1,
        )
        entries = (
            LogEntry(Revision(2), Term(1), commands.ReportBatch((report,))),
            LogEntry(Revision(3), Term(1), change(2)),
        )
        batch = LogBatch(Term(1), Revision(3), Seconds(1.5), entries, state)
        self.assert_round_trip(batch, LogBatch)


class BadInput(unittest.TestCase):
    """Guards against malformed input that is accepted or raises."""

    def test_each_kind_of_damage_is_named(self) -> None:
        good = messages.to_json(change(1))
        cases: dict[str, Any] = {
            "unknown key": {**good, "colour": 1},
            "missing key": {"request_id": "r1"},
            "wrong type": {**good, "expected_revision": "1"},
            "unknown kind": {**good, "change": {"kind": "Explode"}},
            "no object": [1, 2],
        }
        for name, value in cases.items():
            with self.subTest(name):
                result = messages.from_json(value, commands.ChangeRequest)
                self.assertIsInstance(result, Failure)
                self.assertTrue(str(result.failure()))

    def test_text_that_is_not_json(self) -> None:
        result = messages.decode(b"{", commands.ChangeRequest)
        self.assertIn("not valid JSON", str(result.failure()))


class StrictJson(unittest.TestCase):
    """Guards against values that JSON does not have and keys that hide others."""

    def refused(self, text: str, expected: Any) -> None:
        self.assertIsInstance(messages.decode(text.encode(), expected), Failure)

    def test_numbers_that_json_does_not_have_are_refused(self) -> None:
        # NaN compares false with each limit and would pass every check.
        for number in ("NaN", "Infinity", "-Infinity", "1e999"):
            with self.subTest(number=number):
                text = f'{{"lease":{number},"home":"b","kind":"AnnouncementAccepted"}}'
                self.refused(text, AnnouncementOutcome)

    def test_repeated_key_is_refused(self) -> None:
        text = '{"address":"10.0.0.1","port":1,"port":2}'
        self.refused(text, Endpoint)
