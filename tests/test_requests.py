"""Tests of the rules for forwarding, retrying and refusing requests."""

import unittest
from random import Random
from typing import Any

from wasabigw.core import request_events as ev
from wasabigw.core import requests
from wasabigw.core.ids import BackendServerId, RequestId, Seconds
from wasabigw.core.retry_budget import RetryBudget, count_request, take_retry

R1, R2 = RequestId("r1"), RequestId("r2")
B1, B2 = BackendServerId("b1"), BackendServerId("b2")
NOW = Seconds(0.0)
DEADLINE = Seconds(30.0)
SEEDS = range(1000)


def arrived(
    name: RequestId = R1, idempotent: bool = False, repeatable: bool = False
) -> ev.RequestArrived:
    """Request with a deadline after 30 s."""
    return ev.RequestArrived(name, idempotent, repeatable, DEADLINE, NOW)


def random_event(random: Random, now: Seconds) -> Any:
    """Random event about one of two requests that are not idempotent."""
    name = random.choice([R1, R2])
    attempt = random.choice([1, 1, 1, 2])
    number = random.randrange(3)
    return random.choice(
        [
            ev.RequestArrived(name, False, number == 0, DEADLINE, now),
            ev.RequestForwarded(name, attempt, random.choice([B1, B2]), now),
            ev.ResponsePart(name, attempt, number, b"x", now),
            ev.ResponseComplete(name, attempt, number, now),
            ev.RequestCancelled(name, now),
            ev.BackendRefused(name, attempt, now),
            ev.FlowClosed(name, attempt, number == 0, now),
            ev.Tick(now),
            ev.NodeRestarted(now),
        ]
    )


def random_events(seed: int) -> list[Any]:
    """Reproducible sequence of events for a seed."""
    random = Random(seed)
    times = sorted(random.choice([0.0] * 20 + [31.0, 45.0]) for _ in range(30))
    return [random_event(random, Seconds(time)) for time in times]


class Rules:
    """Request rules with their own table."""

    def __init__(self) -> None:
        self.state = requests.RequestTable()

    def handle(self, *events: Any) -> list[Any]:
        """Handle events; returns the decisions of the last one."""
        decisions: list[Any] = []
        for event in events:
            decisions = list(requests.handle(event, self.state))
        return decisions


class AnyOrder(unittest.TestCase):
    """Guards against requests that run twice, such as double bookings."""

    def test_non_idempotent_request_is_forwarded_once_across_a_restart(self) -> None:
        delivered = 0
        for seed in SEEDS:
            rules, decisions = Rules(), []
            for number, event in enumerate(random_events(seed)):
                if number == seed % 60:
                    entries = requests.journal(rules.state)
                    rules = Rules()
                    decisions += rules.handle(ev.RestoredFromDisk(entries, NOW))
                decisions += rules.handle(event)
            for kind in (ev.ForwardRequest, ev.DeliverResponse):
                names = [d.id for d in decisions if isinstance(d, kind)]
                self.assertEqual(len(names), len(set(names)), seed)
            delivered += sum(isinstance(d, ev.DeliverResponse) for d in decisions)
        self.assertGreater(delivered, 50, "too few deliveries")

    def test_not_run_is_reported_only_for_requests_that_did_not_run(self) -> None:
        reported = 0
        for seed in SEEDS:
            rules = Rules()
            decided: set[RequestId] = set()
            sent: set[RequestId] = set()
            for event in random_events(seed):
                shows_sent = isinstance(event, ev.RequestForwarded | ev.ResponsePart)
                if shows_sent and event.id in decided:
                    sent.add(event.id)
                for decision in rules.handle(event):
                    if isinstance(decision, ev.ForwardRequest):
                        decided.add(decision.id)
                    if isinstance(decision, ev.RefuseRequest) and decision.not_run:
                        reported += 1
                        shed = isinstance(event, ev.BackendRefused)
                        self.assertTrue(shed or decision.id not in sent, (seed, event))
                        unsent = isinstance(event, ev.FlowClosed) and not event.sent
                        never = decision.id not in decided
                        self.assertTrue(shed or unsent or never, (seed, event))
        self.assertGreater(reported, 50, "too few refusals")


class Responses(unittest.TestCase):
    """Guards against responses that are mixed up, incomplete or misdelivered."""

    def test_parts_that_arrive_out_of_order_are_delivered_in_order(self) -> None:
        rules = Rules()
        rules.handle(arrived(R1), arrived(R2))
        rules.handle(
            ev.ResponsePart(R1, 1, 2, b"c", NOW),
            ev.ResponsePart(R2, 1, 0, b"other", NOW),
            ev.ResponseComplete(R1, 1, 3, NOW),
            ev.FlowClosed(R1, 1, True, NOW),
            ev.ResponsePart(R1, 1, 0, b"a", NOW),
            ev.ResponsePart(R1, 1, 0, b"a", NOW),
        )
        last = rules.handle(ev.ResponsePart(R1, 1, 1, b"b", NOW))
        self.assertEqual(last, [ev.DeliverResponse(R1, (b"a", b"b", b"c"))])
        self.assertEqual(rules.state.buffered, len(b"other"))

    def test_late_response_is_dropped_and_late_attempt_is_cancelled(self) -> None:
        rules = Rules()
        cancelled = rules.handle(arrived(), ev.RequestCancelled(R1, NOW))
        self.assertEqual(cancelled, [ev.CancelAtBackend(R1, 1, None)])
        late = rules.handle(ev.RequestForwarded(R1, 1, B1, NOW))
        self.assertEqual(late, [ev.CancelAtBackend(R1, 1, B1)])
        dropped = rules.handle(ev.ResponsePart(R1, 1, 0, b"x", NOW))
        self.assertEqual(dropped, [ev.DropResponse(R1, 1)])

    def test_inconsistent_or_oversized_response_is_not_delivered(self) -> None:
        big = bytes(requests.MAX_RESPONSE_BYTES)
        for invalid in (
            ev.ResponsePart(R1, 1, 0, b"y", NOW),
            ev.ResponsePart(R1, 1, requests.MAX_PARTS, b"x", NOW),
            ev.ResponsePart(R1, 1, 1, big, NOW),
            ev.ResponseComplete(R1, 1, 0, NOW),
        ):
            with self.subTest(type(invalid)):
                rules = Rules()
                rules.handle(arrived(), ev.ResponsePart(R1, 1, 0, b"x", NOW))
                kinds = [type(decision) for decision in rules.handle(invalid)]
                expected = [ev.CancelAtBackend, ev.ReportUnknownOutcome]
                self.assertEqual(kinds, expected)
                self.assertEqual(rules.state.buffered, 0)


class Retries(unittest.TestCase):
    """Guards against retries that run twice, change the backend server or pile up."""

    def test_shed_request_is_retried_at_the_same_backend_server(
        self,
    ) -> None:
        rules = Rules()
        rules.handle(arrived(idempotent=True), ev.RequestForwarded(R1, 1, B1, NOW))
        [retry] = rules.handle(ev.BackendRefused(R1, 1, Seconds(10.0)))
        self.assertEqual(retry, ev.ForwardRequest(R1, 2, B1, Seconds(20.0)))
        self.assertEqual(rules.handle(ev.BackendRefused(R1, 1, NOW)), [])

    def test_only_repeatable_requests_are_retried_after_they_may_have_run(self) -> None:
        for repeatable, kind in (
            (True, ev.ForwardRequest),
            (False, ev.ReportUnknownOutcome),
        ):
            with self.subTest(repeatable=repeatable):
                rules = Rules()
                rules.handle(arrived(idempotent=True, repeatable=repeatable))
                [decision] = rules.handle(ev.FlowClosed(R1, 1, True, NOW))
                self.assertIsInstance(decision, kind)

    def test_shed_retry_of_a_request_that_may_have_run_is_unknown(
        self,
    ) -> None:
        rules = Rules()
        rules.handle(arrived(idempotent=True, repeatable=True))
        rules.handle(ev.FlowClosed(R1, 1, True, NOW))
        shed = rules.handle(ev.BackendRefused(R1, 2, NOW))
        self.assertEqual(shed, [ev.ReportUnknownOutcome(R1)])

    def test_budget_is_a_tenth_of_the_recent_requests_and_at_least_one(self) -> None:
        budget = RetryBudget()
        self.assertTrue(take_retry(budget, NOW))
        self.assertFalse(take_retry(budget, NOW))
        for _ in range(50):
            count_request(budget, Seconds(5.0))
        taken = [take_retry(budget, Seconds(9.0)) for _ in range(10)]
        self.assertEqual(taken.count(True), 4)
        self.assertTrue(take_retry(budget, Seconds(30.0)))


class Deadlines(unittest.TestCase):
    """Guards against requests that run after their deadline and against overload."""

    def test_passed_deadline_is_refused_as_not_run_or_reported_as_unknown(
        self,
    ) -> None:
        rules = Rules()
        late = ev.RequestArrived(R1, False, False, NOW, NOW)
        reason = ev.RefusalReason.DEADLINE_PASSED
        self.assertEqual(rules.handle(late), [ev.RefuseRequest(R1, True, reason)])
        rules.handle(arrived(R2), ev.RequestForwarded(R2, 1, B1, NOW))
        decisions = rules.handle(ev.Tick(DEADLINE))
        expected = [ev.CancelAtBackend(R2, 1, B1), ev.ReportUnknownOutcome(R2)]
        self.assertEqual(decisions, expected)

    def test_full_table_refuses_requests_as_not_run(self) -> None:
        rules = Rules()
        for number in range(requests.MAX_ACTIVE):
            rules.handle(arrived(RequestId(str(number))))
        reason = ev.RefusalReason.TABLE_FULL
        refused = rules.handle(arrived(RequestId("one more")))
        self.assertEqual(
            refused, [ev.RefuseRequest(RequestId("one more"), True, reason)]
        )

    def test_after_a_restart_the_outcome_is_unknown_and_nothing_is_sent(self) -> None:
        entry = ev.JournalEntry(R1, ev.RequestStage.MAY_BE_SENT)
        rules = Rules()
        decisions = rules.handle(ev.RestoredFromDisk((entry,), NOW))
        self.assertEqual(decisions, [ev.ReportUnknownOutcome(R1)])
        [refused] = rules.handle(arrived())
        self.assertFalse(refused.not_run)
