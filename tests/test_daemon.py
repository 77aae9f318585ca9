"""Exit codes of the daemon, and the files that its bootstrap command creates."""

import json
import stat
import tempfile
import unittest
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success
from typer.testing import CliRunner

from tests.test_settings import balancer, control
from wasabigw.bootstrap import bootstrap
from wasabigw.core.ids import Incarnation, NodeId
from wasabigw.daemon import ExitCode, app
from wasabigw.settings import settings_from


class CommandLine(unittest.TestCase):
    """Guards against failures that scripts can't detect from the exit code."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.path = self.folder / "settings.json"

    def invoke(self, *arguments: str) -> Any:
        return CliRunner().invoke(app, arguments)

    def write(self, value: dict[str, Any]) -> str:
        self.path.write_text(json.dumps(value), encoding="utf-8")
        return str(self.path)

    def test_help_version_and_schema_need_no_settings(self) -> None:
        for arguments in (["--help"], ["--version"], ["schema"], ["run", "--help"]):
            with self.subTest(arguments=arguments):
                self.assertEqual(self.invoke(*arguments).exit_code, ExitCode.SUCCESS)
        self.assertIn("properties", json.loads(self.invoke("schema").stdout))

    def test_invalid_settings_end_every_command_with_all_problems(self) -> None:
        path = self.write({"role": "balancer", "roles": 1})
        for command in ("check", "run", "bootstrap"):
            with self.subTest(command=command):
                result = self.invoke(command, "--settings", path)
                self.assertEqual(result.exit_code, ExitCode.SETTINGS)
                self.assertIn("node_id", result.stderr)
                self.assertIn("nearest is 'role'", result.stderr)

    def test_valid_settings_pass_the_check(self) -> None:
        result = self.invoke("check", "--settings", self.write(balancer()))
        self.assertEqual(result.exit_code, ExitCode.SUCCESS)

    def test_usage_errors_have_their_exit_code(self) -> None:
        self.assertEqual(self.invoke("run").exit_code, ExitCode.USAGE)
        result = self.invoke("schema", "answers", "--format", "markdown")
        self.assertEqual(result.exit_code, ExitCode.USAGE)


class Bootstrap(unittest.TestCase):
    """Guards against a token that is replaced or that other users can read."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.token = self.folder / "token"
        value = {**control(), "token_file": str(self.token)}
        self.incarnations: list[Incarnation] = []
        self.settings = settings_from(value).unwrap()

    def create(
        self, folder: Path, node: NodeId, incarnation: Incarnation, first: bool
    ) -> Result[None, str]:
        self.incarnations.append(incarnation)
        return Success(None)

    def test_token_is_private_and_not_replaced_by_a_second_run(self) -> None:
        first = bootstrap(self.settings, True, self.create).unwrap()
        text = self.token.read_text(encoding="ascii")
        second = bootstrap(self.settings, False, self.create).unwrap()
        self.assertEqual((first.token_created, second.token_created), (True, False))
        self.assertEqual(self.token.read_text(encoding="ascii"), text)
        self.assertEqual(stat.S_IMODE(self.token.stat().st_mode), 0o600)
        self.assertEqual(len(set(self.incarnations)), 2)
        self.assertGreaterEqual(len(text.strip()), 32)

    def test_refused_data_folder_creates_no_token(self) -> None:
        def refuse(*arguments: object) -> Result[None, str]:
            return Failure("the folder holds the identity of another node")

        outcome = bootstrap(self.settings, False, refuse)
        self.assertIn("another node", str(outcome.failure()))
        self.assertFalse(self.token.exists())
