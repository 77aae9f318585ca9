"""wasabigwctl against stand-in servers: outcomes, retries and secrecy of the token."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from typer.testing import CliRunner

from tests.stub_control_server import NO_RESPONSE, Reply, StubControlServer
from wasabigw.ctl.errors import ExitCode
from wasabigw.ctl.main import app

TOKEN = "secret-operator-token"
EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
STATE = Reply(
    {
        "revision": 9,
        "configuration_revision": 7,
        "services": [],
        "failure_domains": [{"id": "recife", "region": "x", "state": "in-service"}],
        "backend_servers": [],
        "nodes": [],
        "further": "ignored",
    }
)
APPLIED = Reply({"kind": "Applied", "revision": 10, "configuration_revision": 10})
CONFLICT = Reply(
    {
        "kind": "Refusal",
        "code": "conflict",
        "message": "another change came first",
        "configuration_revision": 8,
    },
    409,
)
OUT = ("failure-domain", "out", "recife")


def in_force(value: bool) -> Reply:
    """Response of a leader on whether a revision is in force, with one balancer."""
    node = {
        "node": "recife-1",
        "failure_domain": "recife",
        "applied": 10 if value else 9,
        "silent_for": 0.1,
        "in_force": value,
    }
    return Reply({"revision": 10, "in_force": value, "nodes": [node]})


class ToolCase(unittest.TestCase):
    """Runs the tool against a leader."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.token_file = self.folder / "token"
        self.token_file.write_text(f"{TOKEN}\n", encoding="ascii")
        self.token_file.chmod(0o600)
        self.leader = self.enterContext(StubControlServer())
        self.leader.reply("/v1/state", STATE)
        self.leader.reply("/v1/changes", APPLIED)
        self.leader.reply("/v1/in-force", in_force(True))

    def run_tool(
        self, *arguments: str, control: tuple[str, ...] = (), time_limit: str = "10"
    ) -> Any:
        settings = {
            "control_endpoints": control or (self.leader.endpoint,),
            "token_file": str(self.token_file),
            "trace_file": str(self.folder / "spans.jsonl"),
        }
        path = self.folder / "ctl.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        options = ("--settings", str(path), "--time-limit", time_limit)
        return CliRunner().invoke(app, (*options, *arguments))

    def changes(self) -> list[Any]:
        """Bodies of the changes that the leader received."""
        return self.leader.bodies("/v1/changes")


class Changes(ToolCase):
    """Guards against changes that are lost, repeated or reported wrongly."""

    def test_change_has_the_current_revision_and_is_awaited(self) -> None:
        self.leader.reply("/v1/in-force", in_force(False), in_force(True))
        result = self.run_tool(*OUT, "--request-id", "r1", "-o", "json")
        self.assertEqual(result.exit_code, ExitCode.SUCCESS, result.output)
        self.assertEqual(json.loads(result.stdout)["outcome"], "in-force")
        (sent,) = self.changes()
        self.assertEqual((sent["request_id"], sent["expected_revision"]), ("r1", 7))
        self.assertEqual(
            sent["change"], {"kind": "TakeFailureDomainOut", "failure_domain": "recife"}
        )
        self.assertIn("on 0 of 1 balancers", result.stderr)

    def test_request_is_repeated_unchanged_after_a_lost_response(self) -> None:
        self.leader.reply("/v1/changes", NO_RESPONSE, APPLIED)
        result = self.run_tool(*OUT)
        self.assertEqual(result.exit_code, ExitCode.SUCCESS, result.output)
        first, second = self.changes()
        self.assertEqual(first, second)
        self.assertIn(first["request_id"], result.stderr)

    def test_redirects_are_followed_and_dead_endpoints_skipped(self) -> None:
        with StubControlServer() as dead:
            dead_endpoint = dead.endpoint
        with StubControlServer() as follower:
            for path in ("/v1/state", "/v1/changes", "/v1/in-force"):
                location = {"Location": f"http://{self.leader.endpoint}{path}"}
                follower.reply(path, Reply({}, 307, location))
            result = self.run_tool(*OUT, control=(dead_endpoint, follower.endpoint))
        self.assertEqual(result.exit_code, ExitCode.SUCCESS, result.output)
        authorizations = {
            item.headers["Authorization"] for item in self.leader.received
        }
        self.assertEqual(authorizations, {f"Bearer {TOKEN}"})

    def test_unresponsive_endpoint_is_tried_once_per_run(self) -> None:
        """Each attempt at an unresponsive VM takes a read timeout, 5 s by default."""
        with StubControlServer() as silent:
            for path in ("/v1/state", "/v1/changes", "/v1/in-force"):
                silent.reply(path, NO_RESPONSE)
            control = (silent.endpoint, self.leader.endpoint)
            result = self.run_tool(*OUT, control=control)
            self.assertEqual(result.exit_code, ExitCode.SUCCESS, result.output)
            self.assertEqual(len(silent.received), 1)

    def test_each_refusal_has_its_exit_code(self) -> None:
        refused = Reply({**CONFLICT.body, "code": "not-found"}, 404)
        cases = (
            (CONFLICT, ExitCode.CONFLICT),
            (refused, ExitCode.REFUSED),
            (Reply({}, 401), ExitCode.UNAUTHORIZED),
            (Reply({"message": "bad"}, 400), ExitCode.UNEXPECTED_ANSWER),
        )
        for reply, code in cases:
            with self.subTest(code=code):
                self.leader.reply("/v1/changes", reply)
                result = self.run_tool(*OUT, "-o", "json")
                self.assertEqual(result.exit_code, code)
                self.assertEqual(json.loads(result.stdout)["exit_code"], code)

    def test_unknown_outcome_prints_how_to_repeat_the_command(self) -> None:
        self.leader.reply("/v1/changes", NO_RESPONSE)
        result = self.run_tool(*OUT, "--request-id", "r7", time_limit="3")
        self.assertEqual(result.exit_code, ExitCode.OUTCOME_UNKNOWN)
        self.assertIn("--request-id r7 --expected-revision 7", result.stderr)

    def test_change_not_in_force_in_time_lists_lagging_balancers(self) -> None:
        self.leader.reply("/v1/in-force", in_force(False))
        result = self.run_tool(*OUT, time_limit="3")
        self.assertEqual(result.exit_code, ExitCode.NOT_IN_FORCE)
        self.assertIn("lagging: recife-1", result.stderr)

    def test_unreachable_endpoints_have_an_exit_code(self) -> None:
        with StubControlServer() as dead:
            endpoint = dead.endpoint
        result = self.run_tool(*OUT, control=(endpoint,), time_limit="1")
        self.assertEqual(result.exit_code, ExitCode.UNAVAILABLE)

    def test_dry_run_shows_the_difference_and_sends_nothing(self) -> None:
        result = self.run_tool(*OUT, "--dry-run")
        self.assertEqual(result.exit_code, ExitCode.SUCCESS)
        self.assertIn("recife.state: in-service -> out-of-service", result.stdout)
        self.assertEqual(self.changes(), [])

    def test_dry_run_with_an_unknown_name_suggests_the_nearest(self) -> None:
        result = self.run_tool("failure-domain", "back", "recif", "--dry-run")
        self.assertEqual(result.exit_code, ExitCode.INPUT)
        self.assertIn("'recife'", result.stderr)

    def test_update_keeps_settings_that_are_not_given(self) -> None:
        created = ("service", "create", "seats", "recife", "--endpoint", "10.0.0.1:80")
        self.run_tool(*created, "--priority", "5")
        service = self.changes()[0]["change"]["service"]
        state = {**STATE.body, "services": [service]}
        self.leader.reply("/v1/state", Reply(state))
        self.run_tool("service", "update", "seats", "--repeatable")
        updated = self.changes()[1]["change"]
        self.assertEqual(updated["kind"], "UpdateService")
        self.assertEqual(updated["service"], {**service, "repeatable": True})


class TokenHandling(ToolCase):
    """Guards against a token that appears in errors, logs or traces."""

    def test_token_is_not_in_output_or_traces(self) -> None:
        self.leader.reply("/v1/changes", NO_RESPONSE, Reply({}, 401))
        result = self.run_tool(*OUT)
        spans = (self.folder / "spans.jsonl").read_text(encoding="utf-8")
        self.assertIn("/v1/changes", spans)
        self.assertNotIn(TOKEN, result.output + spans)

    def test_invalid_token_files_are_rejected_without_showing_them(self) -> None:
        self.token_file.chmod(0o644)
        self.assertEqual(self.run_tool("state").exit_code, ExitCode.INPUT)
        self.token_file.chmod(0o600)
        self.token_file.write_text(f"{TOKEN}\r\nX: y", encoding="ascii")
        result = self.run_tool("state")
        self.assertEqual(result.exit_code, ExitCode.INPUT)
        self.assertNotIn(TOKEN, result.output)
        self.assertEqual(self.leader.received, [])


class Views(ToolCase):
    """Guards against views that hide lagging balancers or query the wrong server."""

    def test_in_force_fails_while_a_balancer_lags(self) -> None:
        self.leader.reply("/v1/in-force", in_force(False))
        result = self.run_tool("in-force", "10", "-o", "json")
        self.assertEqual(result.exit_code, ExitCode.NOT_IN_FORCE)
        self.assertFalse(json.loads(result.stdout)["nodes"][0]["in_force"])

    def test_flow_is_requested_from_a_balancer_without_the_token(self) -> None:
        self.leader.reply("/v1/flows", Reply({"home": "recife-1"}))
        ends = ("10.9.0.1:4000", "10.0.0.1:80")
        result = self.run_tool("flow", *ends, "--balancer", self.leader.endpoint)
        self.assertIn("recife-1", result.stdout)
        self.assertNotIn("Authorization", self.leader.received[0].headers)

    def test_local_out_reports_balancers_that_did_not_confirm(self) -> None:
        self.leader.reply("/v1/local/out", Reply({}))
        with StubControlServer() as other:
            other.reply("/v1/local/out", Reply({}, 400))
            balancers = ("--balancer", self.leader.endpoint, "--balancer")
            result = self.run_tool(*OUT, "--local", *balancers, other.endpoint)
            self.assertEqual(result.exit_code, ExitCode.PARTIAL)
            self.assertIn(f"not confirmed by {other.endpoint}", result.stderr)
            self.assertIn(f"confirmed by: {self.leader.endpoint}", result.stderr)
        self.assertEqual(self.changes(), [])


class GeneratedConfigurations(ToolCase):
    """Guards against applying a configuration that differs from the generated one."""

    def test_generated_file_is_applied_unchanged(self) -> None:
        path = self.folder / "configuration.json"
        answers = str(EXAMPLES / "tanrend-answers.json")
        result = self.run_tool("generate", answers, "--write", str(path))
        self.assertEqual(result.exit_code, ExitCode.SUCCESS, result.output)
        result = self.run_tool("apply", str(path))
        self.assertEqual(result.exit_code, ExitCode.SUCCESS, result.output)
        expected = json.loads(path.read_text(encoding="utf-8"))
        sent = self.changes()[0]["change"]
        self.assertEqual(sent, {"kind": "ReplaceConfiguration", **expected})

    def test_preview_keeps_a_failure_domain_out_of_service(self) -> None:
        domain = {"id": "vac", "region": "central-hungary", "state": "out-of-service"}
        self.leader.reply(
            "/v1/state", Reply({**STATE.body, "failure_domains": [domain]})
        )
        answers = str(EXAMPLES / "tanrend-answers.json")
        result = self.run_tool("apply", "--answers", answers, "--dry-run")
        self.assertEqual(result.exit_code, ExitCode.SUCCESS, result.output)
        self.assertNotIn("failure_domains.vac", result.stdout)
        self.assertIn("failure_domains.budapest.state: absent", result.stdout)

    def test_invalid_answers_write_no_configuration(self) -> None:
        answers = self.folder / "answers.json"
        answers.write_text('{"team": ""}', encoding="utf-8")
        path = self.folder / "configuration.json"
        arguments = ("--answers", str(answers), "--write", str(path))
        result = self.run_tool("questionnaire", *arguments)
        self.assertEqual(result.exit_code, ExitCode.INPUT)
        self.assertIn("services: read nothing", result.stderr)
        self.assertFalse(path.exists())
