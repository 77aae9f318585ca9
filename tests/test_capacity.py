"""Tests of the capacity measurements and of the page generated from them."""

import itertools
import tempfile
import unittest
from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path
from typing import Any
from unittest import mock

from returns.result import Failure, Result

from wasabigw.tasks.control_client import (
    CallProblem,
    ControlCall,
    ControlClient,
    ProblemKind,
)
from wasabigw_measure import _capacity_page as page
from wasabigw_measure import capacity
from wasabigw_measure._capacity_control import measure_poll
from wasabigw_measure._capacity_model import (
    DAY,
    Role,
    Row,
    Target,
    Verdict,
    fit_line,
    ordinary_day_rates,
    seconds_to_send,
)

CALLS = 10
UNANSWERED_CALLS = (2, 12, 40, 80)
"""Calls without an answer: before, while and after the client warms up."""


class CapacityModel(unittest.TestCase):
    """Guards against values of the page that its formulas do not give."""

    def test_fitted_line_extrapolates_exact_points(self) -> None:
        line = fit_line([(size, 2.0 + 0.5 * size) for size in (1.0, 2.0, 4.0)])
        self.assertAlmostEqual(line.at(100.0), 52.0)

    def test_sizes_derived_from_the_target(self) -> None:
        target = Target()
        self.assertEqual(target.servers_per_domain, 1334)
        self.assertEqual(target.nodes_per_domain, 156)
        self.assertAlmostEqual(target.servers_per_node, 8.571, places=3)
        half = target.scaled(0.5)
        self.assertEqual((half.nodes, half.services), (700, 1650))

    def test_each_start_of_a_backend_server_is_counted_once(self) -> None:
        target = Target(
            nodes=1, backend_servers=1, services=1, lost_vms=0, restarted_vms=2
        )
        rates = ordinary_day_rates(target)
        self.assertAlmostEqual(rates.up * DAY, 1.0)
        self.assertAlmostEqual(rates.step * DAY, 3.0)
        self.assertAlmostEqual(rates.node * DAY, 2.0)

    def test_row_is_over_only_above_its_budget(self) -> None:
        def verdict(value: float, limit: float | None) -> Verdict:
            return Row(Role.WHOLE, "", "", "", "", value, "s", limit).verdict

        self.assertIs(verdict(4.0, 4.0), Verdict.OK)
        self.assertIs(verdict(4.1, 4.0), Verdict.OVER)
        self.assertIs(verdict(4.1, None), Verdict.NONE)
        self.assertEqual(seconds_to_send(6_000, 3_000), 2.0)


class LateAnswers(unittest.TestCase):
    """Guards against a measurement that ends with the first call without an answer."""

    def test_calls_without_an_answer_are_measured_again(self) -> None:
        # On a busy machine, a log poll took longer than the client waits.
        call, numbers = ControlClient.call, itertools.count(1)

        def call_in_vain(
            client: ControlClient, made: ControlCall
        ) -> Result[Any, CallProblem]:
            outcome = call(client, made)
            if next(numbers) not in UNANSWERED_CALLS:
                return outcome
            client.close()
            return Failure(CallProblem(ProblemKind.TIMED_OUT, client.current, "late"))

        with mock.patch.object(ControlClient, "call", call_in_vain):
            exchange = measure_poll(CALLS)
        self.assertGreater(exchange.server, 0.0)
        self.assertGreater(next(numbers), max(UNANSWERED_CALLS) + CALLS)


class CapacityCommand(unittest.TestCase):
    """Guards against a command that fails or that overwrites the rest of the page."""

    def test_tiny_run_replaces_only_the_generated_section(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            path = folder / page.PAGE_NAME
            path.write_text(f"before\n{page.BEGIN}\nold\n{page.END}\nafter\n")
            with redirect_stdout(StringIO()):
                capacity.main(largest=0.02, flows=100, calls=2, unit=20, docs=folder)
            text = path.read_text()
            self.assertTrue(text.startswith(f"before\n{page.BEGIN}\n"))
            self.assertTrue(text.endswith(f"{page.END}\nafter\n"))
            self.assertNotIn("old", text)
            for role in Role:
                self.assertIn(f"### {role.value}\n", text)
            self.assertGreater((folder / page.RESULTS_NAME).stat().st_size, 1_000)
