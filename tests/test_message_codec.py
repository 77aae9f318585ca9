"""Encoding and decoding of messages, and errors for malformed input."""

import unittest
from typing import Any

from returns.result import Failure, Success

from wasabigw.codec import messages
from wasabigw.codec.messages import UnknownKeys
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
from wasabigw.core.log_messages import (
    AnnouncementOutcome,
    LogBatch,
    LogEntry,
    NotLeader,
)
from wasabigw.core.states import BackendServerState, Protocol


def change(number: int) -> commands.ChangeRequest:
    """Change request with a change that has the same fields as another change type."""
    return commands.ChangeRequest(
        RequestId(f"r{number}"),
        Revision(number),
        commands.BringFailureDomainBack(FailureDomainId("recife")),
    )


class RoundTrip(unittest.TestCase):
    """Guards against a change that is decoded as another type with the same fields."""

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
        # The same batch as the response to a log poll: a balancer that can't decode it
        # has no view after a restart.
        self.assert_round_trip(batch, LogBatch | NotLeader)


class BadInput(unittest.TestCase):
    """Guards against malformed input that is accepted or raises an exception."""

    def test_malformed_messages_give_a_description(self) -> None:
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
        self.assertIn("invalid JSON", str(result.failure()))


class StrictJson(unittest.TestCase):
    """Guards against numbers that JSON does not have, and against duplicate keys."""

    def refused(self, text: str, expected: Any) -> None:
        self.assertIsInstance(messages.decode(text.encode(), expected), Failure)

    def test_numbers_that_json_does_not_have_are_refused(self) -> None:
        # Every comparison with NaN is false, so it would pass all range checks.
        for number in ("NaN", "Infinity", "-Infinity", "1e999"):
            with self.subTest(number=number):
                text = f'{{"lease":{number},"home":"b","kind":"AnnouncementAccepted"}}'
                self.refused(text, AnnouncementOutcome)

    def test_duplicate_key_is_refused(self) -> None:
        text = '{"address":"10.0.0.1","port":1,"port":2}'
        self.refused(text, Endpoint)

    def test_bucket_with_an_invalid_index_is_refused(self) -> None:
        state = ClusterState(buckets={ServiceId("seats"): empty_table()})
        good = messages.to_json(state)
        for index in (0, -1, True, 1.0, "b1"):
            with self.subTest(index=index):
                bad = messages.to_json(state)
                bad["buckets"]["seats"]["current"][7] = index
                self.assertIsInstance(messages.from_json(bad, ClusterState), Failure)
        self.assertEqual(messages.from_json(good, ClusterState), Success(state))


class MixedVersions(unittest.TestCase):
    """Guards against upgrades in which old processes refuse messages of new ones."""

    def batch(self) -> tuple[LogBatch, Any]:
        entry = LogEntry(Revision(1), Term(1), change(1))
        message = LogBatch(Term(1), Revision(1), Seconds(1.0), (entry,))
        value = messages.to_json(message)
        value["from_a_newer_version"] = [1]
        value["entries"][0]["command"]["change"]["also_new"] = {"a": 1}
        return message, value

    def test_unknown_keys_are_ignored_at_any_depth_and_logged_once(self) -> None:
        message, value = self.batch()
        with self.assertLogs(level="WARNING") as logged:
            for _ in range(2):
                read = messages.from_json(value, LogBatch, UnknownKeys.IGNORE)
                self.assertEqual(read, Success(message))
        text = "\n".join(logged.output)
        for key in ("from_a_newer_version", "also_new"):
            self.assertEqual(text.count(key), 1)

    def test_unknown_keys_are_refused_by_default(self) -> None:
        _, value = self.batch()
        self.assertIsInstance(messages.from_json(value, LogBatch), Failure)

    def test_missing_key_is_refused_although_unknown_keys_are_ignored(self) -> None:
        _, value = self.batch()
        del value["term"]
        read = messages.from_json(value, LogBatch, UnknownKeys.IGNORE)
        self.assertIn("term", str(read.failure()))
