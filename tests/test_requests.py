"""Requests run at most once, and callers are told the truth about it."""

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
    """Request that has 30 s."""
    return ev.RequestArrived(name, idempotent, repeatable, DEADLINE, NOW)


def random_event(random: Random, now: Seconds) -> Any:
    """Any event about one of two requests that are not idempotent."""
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
    """Sequence that is the same for the same seed."""
    random = Random(seed)
    times = sorted(random.choice([0.0] * 20 + [31.0, 45.0]) for _ in range(30))
    return [random_event(random, Seconds(time)) for time in times]


class Ledger:
    """Rules with the decisions so far."""

    def __init__(self) -> None:
        self.state = requests.RequestTable()

    def do(self, *steps: Any) -> list[Any]:
        """Decisions of the last step."""
        decisions: list[Any] = []
        for step in steps:
            decisions = list(requests.handle(step, self.state))
        return decisions


class AnyOrder(unittest.TestCase):
    """Guards against seats that are reserved twice or invoiced twice."""

    def test_not_idempotent_is_forwarded_once_also_over_a_restart(self) -> None:
        delivered = 0
        for seed in SEEDS:
            ledger, decisions = Ledger(), []
            for number, step in enumerate(random_events(seed)):
                if number == seed % 60:
                    entries = requests.journal(ledger.state)
                    ledger = Ledger()
                    decisions += ledger.do(ev.RestoredFromDisk(entries, NOW))
                decisions += ledger.do(step)
            for kind in (ev.ForwardRequest, ev.DeliverResponse):
                names = [d.id for d in decisions if isinstance(d, kind)]
                self.assertEqual(len(names), len(set(names)), seed)
            delivered += sum(isinstance(d, ev.DeliverResponse) for d in decisions)
        self.assertGreater(delivered, 50, "the sequences are too tame")

    def test_not_run_is_said_only_if_nothing_was_forwarded_or_it_was_shed(
        self,
    ) -> None:
        said = 0
        for seed in SEEDS:
            ledger = Ledger()
            decided: set[RequestId] = set()
            sent: set[RequestId] = set()
            for step in random_events(seed):
                shows_sent = isinstance(step, ev.RequestForwarded | ev.ResponsePart)
                if shows_sent and step.id in decided:
                    sent.add(step.id)
                for decision in ledger.do(step):
                    if isinstance(decision, ev.ForwardRequest):
                        decided.add(decision.id)
                    if isinstance(decision, ev.RefuseRequest) and decision.not_run:
                        said += 1
                        shed = isinstance(step, ev.BackendRefused)
                        self.assertTrue(shed or decision.id not in sent, (seed, step))
                        unsent = isinstance(step, ev.FlowClosed) and not step.sent
                        never = decision.id not in decided
                        self.assertTrue(shed or unsent or never, (seed, step))
        self.assertGreater(said, 50, "the sequences are too tame")


class Answers(unittest.TestCase):
    """Guards against responses that are mixed, torn or given to another caller."""

    def test_parts_out_of_order_are_delivered_whole_and_in_order(self) -> None:
        ledger = Ledger()
        ledger.do(arrived(R1), arrived(R2))
        ledger.do(
            ev.ResponsePart(R1, 1, 2, b"c", NOW),
            ev.ResponsePart(R2, 1, 0, b"other", NOW),
            ev.ResponseComplete(R1, 1, 3, NOW),
            ev.FlowClosed(R1, 1, True, NOW),
            ev.ResponsePart(R1, 1, 0, b"a", NOW),
            ev.ResponsePart(R1, 1, 0, b"a", NOW),
        )
        last = ledger.do(ev.ResponsePart(R1, 1, 1, b"b", NOW))
        self.assertEqual(last, [ev.DeliverResponse(R1, (b"a", b"b", b"c"))])
        self.assertEqual(ledger.state.buffered, len(b"other"))

    def test_late_answers_are_dropped_and_late_forwards_cancelled(self) -> None:
        ledger = Ledger()
        cancelled = ledger.do(arrived(), ev.RequestCancelled(R1, NOW))
        self.assertEqual(cancelled, [ev.CancelAtBackend(R1, 1, None)])
        late = ledger.do(ev.RequestForwarded(R1, 1, B1, NOW))
        self.assertEqual(late, [ev.CancelAtBackend(R1, 1, B1)])
        dropped = ledger.do(ev.ResponsePart(R1, 1, 0, b"x", NOW))
        self.assertEqual(dropped, [ev.DropResponse(R1, 1)])

    def test_parts_that_contradict_or_exceed_limits_are_never_delivered(self) -> None:
        big = bytes(requests.MAX_ANSWER_BYTES)
        for wrong in (
            ev.ResponsePart(R1, 1, 0, b"y", NOW),
            ev.ResponsePart(R1, 1, requests.MAX_PARTS, b"x", NOW),
            ev.ResponsePart(R1, 1, 1, big, NOW),
            ev.ResponseComplete(R1, 1, 0, NOW),
        ):
            with self.subTest(type(wrong)):
                ledger = Ledger()
                ledger.do(arrived(), ev.ResponsePart(R1, 1, 0, b"x", NOW))
                kinds = [type(decision) for decision in ledger.do(wrong)]
                expected = [ev.CancelAtBackend, ev.ReportUnknownOutcome]
                self.assertEqual(kinds, expected)
                self.assertEqual(ledger.state.buffered, 0)


class Retries(unittest.TestCase):
    """Guards against retries that run twice, go elsewhere or pile up."""

    def test_shed_idempotent_request_is_retried_at_the_same_backend_server(
        self,
    ) -> None:
        ledger = Ledger()
        ledger.do(arrived(idempotent=True), ev.RequestForwarded(R1, 1, B1, NOW))
        [again] = ledger.do(ev.BackendRefused(R1, 1, Seconds(10.0)))
        self.assertEqual(again, ev.ForwardRequest(R1, 2, B1, Seconds(20.0)))
        self.assertEqual(ledger.do(ev.BackendRefused(R1, 1, NOW)), [])

    def test_only_repeatable_requests_are_retried_after_they_may_have_run(self) -> None:
        for repeatable, kind in (
            (True, ev.ForwardRequest),
            (False, ev.ReportUnknownOutcome),
        ):
            with self.subTest(repeatable=repeatable):
                ledger = Ledger()
                ledger.do(arrived(idempotent=True, repeatable=repeatable))
                [decision] = ledger.do(ev.FlowClosed(R1, 1, True, NOW))
                self.assertIsInstance(decision, kind)

    def test_shed_retry_of_a_request_that_may_have_run_is_not_called_not_run(
        self,
    ) -> None:
        ledger = Ledger()
        ledger.do(arrived(idempotent=True, repeatable=True))
        ledger.do(ev.FlowClosed(R1, 1, True, NOW))
        shed = ledger.do(ev.BackendRefused(R1, 2, NOW))
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
    """Guards against requests that run after nobody waits, and full tables."""

    def test_passed_deadline_is_refused_as_not_run_or_reported_as_unknown(
        self,
    ) -> None:
        ledger = Ledger()
        late = ev.RequestArrived(R1, False, False, NOW, NOW)
        reason = ev.RefusalReason.DEADLINE_PASSED
        self.assertEqual(ledger.do(late), [ev.RefuseRequest(R1, True, reason)])
        ledger.do(arrived(R2), ev.RequestForwarded(R2, 1, B1, NOW))
        decisions = ledger.do(ev.Tick(DEADLINE))
        expected = [ev.CancelAtBackend(R2, 1, B1), ev.ReportUnknownOutcome(R2)]
        self.assertEqual(decisions, expected)

    def test_full_table_refuses_as_not_run(self) -> None:
        ledger = Ledger()
        for number in range(requests.MAX_ACTIVE):
            ledger.do(arrived(RequestId(str(number))))
        reason = ev.RefusalReason.TABLE_FULL
        refused = ledger.do(arrived(RequestId("one more")))
        self.assertEqual(
            refused, [ev.RefuseRequest(RequestId("one more"), True, reason)]
        )

    def test_after_a_restart_the_outcome_is_unknown_and_nothing_is_sent(self) -> None:
        entry = ev.JournalEntry(R1, ev.RequestStage.MAY_BE_SENT)
        ledger = Ledger()
        decisions = ledger.do(ev.RestoredFromDisk((entry,), NOW))
        self.assertEqual(decisions, [ev.ReportUnknownOutcome(R1)])
        [refused] = ledger.do(arrived())
        self.assertFalse(refused.not_run)
