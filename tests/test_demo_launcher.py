"""The launcher stops its child processes, and fails a run that went wrong."""

import os
import signal
import sys
import tempfile
import unittest
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

from returns.result import Success

from wasabigw.answer_file import read_answers
from wasabigw.core.ids import NodeId, Seconds
from wasabigw.core.questionnaire import generate
from wasabigw.ctl.settings import load_tool_settings
from wasabigw.settings import load_settings
from wasabigw_demo import _processes
from wasabigw_demo._children import Children
from wasabigw_demo._layout import make_layout
from wasabigw_demo._outcome import FlowSummary, Observations, Outcome, check_outcome
from wasabigw_demo._probes import ProbeResult

IGNORE_SIGINT = (
    "import signal, time; signal.signal(signal.SIGINT, signal.SIG_IGN);"
    "print('ready', flush=True); time.sleep(600)"
)
TIMEOUT = Seconds(20.0)


class ChildProcesses(unittest.TestCase):
    def test_process_that_ignores_sigint_is_killed_after_a_failure(self) -> None:
        """Guards against processes that outlive the launcher."""
        with tempfile.TemporaryDirectory() as name:
            log = Path(name) / "log"
            with self.assertRaises(ValueError), Children(os.environ) as children:
                children.start("child", [sys.executable, "-c", IGNORE_SIGINT], log)
                while "ready" not in log.read_text():
                    self.assertEqual(children.ended(), {})
                raise ValueError("a step of the demonstration failed")
            self.assertEqual(children.ended(), {"child": -signal.SIGKILL})

    def test_command_that_hangs_is_killed_at_its_timeout(self) -> None:
        """Guards against a command that hangs and blocks the run."""
        with Children(os.environ) as children:
            command = [sys.executable, "-c", IGNORE_SIGINT]
            self.assertIsNone(children.run(command, Seconds(0.5)).code)


class Files(unittest.TestCase):
    """Guards against generated files that the daemon or wasabigwctl rejects."""

    def test_daemon_and_tool_accept_the_generated_files(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            layout = make_layout(Path(name))
            _processes.write_settings(layout)
            for node in (*layout.voters, *layout.balancers):
                path = _processes.settings_path(layout, NodeId(node.id))
                self.assertIsInstance(load_settings(path), Success)
            tool = load_tool_settings(_processes.tool_settings_path(layout), {})
            self.assertIsInstance(tool, Success)
            answers = read_answers(_processes.answers_path(layout))
            self.assertIsInstance(answers.bind(generate), Success)
            invalid = load_settings(_processes.write_invalid_settings(layout))
            self.assertEqual(len(invalid.failure()), 2)


def clean_outcome() -> Outcome:
    """Outcome of a run in which all checks pass."""
    flow = FlowSummary(
        name="caller-1-short-0",
        kind="short",
        service="documents",
        outcome="complete",
        established=True,
        attempts=1,
        planned=1,
        answered=1,
        seconds=0.1,
        packets=20,
        balancers=frozenset({"balancer-1", "balancer-2"}),
        backend_servers=frozenset({"10.2.0.1:8080"}),
    )
    name = "caller-1-short-0-0"
    request = {
        "id": name,
        "flow": flow.name,
        "flow_kind": "short",
        "outcome": "answered",
        "idempotent": False,
        "attempts": 1,
        "seconds": 0.1,
    }
    observations = Observations([ProbeResult("bad settings", True, "exit 2")], 0, {})
    return Outcome([flow], [request], 1, Counter({name: 1}), observations)


class Verdict(unittest.TestCase):
    """Guards against a demonstration that passes despite an error."""

    def failed(self, outcome: Outcome) -> list[str]:
        return [check.name for check in check_outcome(outcome) if not check.passed]

    def with_flow(self, **changes: Any) -> Outcome:
        outcome = clean_outcome()
        return replace(outcome, flows=[replace(outcome.flows[0], **changes)])

    def with_observed(self, **changes: Any) -> Outcome:
        outcome = clean_outcome()
        return replace(outcome, observations=replace(outcome.observations, **changes))

    def test_clean_run_passes(self) -> None:
        self.assertEqual(self.failed(clean_outcome()), [])

    def test_missing_and_wrong_answers_fail(self) -> None:
        missing = replace(clean_outcome(), planned_requests=2)
        wrong = clean_outcome()
        wrong.requests[0]["outcome"] = "wrong-answer"
        for outcome in (missing, wrong):
            self.assertEqual(self.failed(outcome), ["every request answered exactly"])

    def test_broken_flow_fails(self) -> None:
        broken = self.with_flow(outcome="broken")
        self.assertEqual(self.failed(broken), ["no established flow broke"])

    def test_flows_on_one_balancer_only_fail(self) -> None:
        single = self.with_flow(balancers=frozenset({"balancer-1"}))
        self.assertEqual(self.failed(single), ["packets sprayed over balancers"])

    def test_flow_on_two_backend_servers_fails(self) -> None:
        two = self.with_flow(backend_servers=frozenset({"10.2.0.1:1", "10.2.0.2:1"}))
        self.assertEqual(self.failed(two), ["one backend server for each flow"])

    def test_non_idempotent_request_that_ran_twice_fails(self) -> None:
        outcome = clean_outcome()
        outcome.runs["caller-1-short-0-0"] = 2
        self.assertEqual(self.failed(outcome), ["non-idempotent requests ran once"])

    def test_errors_that_the_launcher_observed_fail(self) -> None:
        for changes in (
            {"drained_code": None},
            {"probes": [ProbeResult("bad settings", False, "exit 0")]},
            {"unexpected_ends": {"balancer-1": 1}},
        ):
            self.assertEqual(len(self.failed(self.with_observed(**changes))), 1)
