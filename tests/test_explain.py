"""``wasabigwctl explain``: the history of one subject from log files."""

import json
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner, Result

from wasabigw.ctl.errors import ExitCode
from wasabigw.ctl.main import app

FLOW = "100.64.0.7:1040>198.18.0.1:443"


def line(at: float, event: int, name: str, node: str, **fields: object) -> str:
    """Log line of an event."""
    head = {"time": at, "severity": "info", "event": f"WGW-{event}", "name": name}
    return json.dumps({**head, "node": node, **fields})


OPENED = line(
    10.0, 5000, "OPENED", "balancer-1", flow=FLOW, repeat=0, server="i-1",
    service="seats", failure_domain="recife", tag=4, reason="least used",
    open_flows=1, revision=7, age=0.2, version=3,
)  # fmt: skip
REFUSED = line(
    12.5, 5001, "REFUSED", "balancer-2", flow=FLOW, reason="server-lost", tag=4,
    server="i-1", silent_for=0.7, revision=8, age=0.1, version=3,
)  # fmt: skip
OTHER = line(
    11.0, 5001, "REFUSED", "balancer-2", flow="100.64.0.7:10401>198.18.0.1:443",
    reason="no-listener", tag=0, server=None, silent_for=None, revision=8, age=0.1,
    version=3,
)  # fmt: skip
STALE = line(12.0, 2002, "VIEW_STALE", "balancer-2", revision=8)
ORDER = line(
    9.0, 1010, "ORDER_ANSWERED", "core-1", order="configuration 3", outcome="done",
    revision=7, waited=0.1, detail="",
)  # fmt: skip


class Explain(unittest.TestCase):
    """Guards against a history with missing or unrelated lines, or in wrong order."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def explain(self, subject: str, *options: str) -> Result:
        """Explain two log files, one with the prefixes of a log collector."""
        (self.folder / "a.log").write_text(f"{REFUSED}\n{OTHER}\n{STALE}\nnot a line\n")
        (self.folder / "b.log").write_text(
            f"  9.1 core-1 {ORDER}\n 10.0 b-1 {OPENED}\n"
        )
        files = [str(self.folder / name) for name in ("a.log", "b.log")]
        return CliRunner().invoke(app, ["explain", subject, *files, *options])

    def records(self, subject: str, *options: str) -> list[str]:
        found = self.explain(subject, "-o", "json", *options)
        self.assertEqual(found.exit_code, 0, found.output)
        return [record["name"] for record in json.loads(found.stdout)["records"]]

    def test_lines_of_a_flow_from_two_processes_are_in_order(self) -> None:
        self.assertEqual(self.records(FLOW), ["OPENED", "REFUSED"])
        text = self.explain(FLOW).stdout.splitlines()
        self.assertRegex(text[0], r"^ +\+0\.000 s  balancer-1  WGW-5000  flow ")
        self.assertRegex(text[1], r"^ +\+2\.500 s  balancer-2  .*silent for 0\.7 s")

    def test_caller_matches_its_flow_but_not_a_longer_port_number(self) -> None:
        self.assertEqual(self.records("100.64.0.7:1040"), ["OPENED", "REFUSED"])

    def test_backend_server_id_and_field_value_are_subjects(self) -> None:
        self.assertEqual(self.records("i-1"), ["OPENED", "REFUSED"])
        self.assertEqual(self.records("reason=no-listener"), ["REFUSED"])

    def test_around_adds_other_changes_but_no_other_flows(self) -> None:
        found = self.records(FLOW, "--around", "1.5")
        self.assertEqual(found, ["ORDER_ANSWERED", "OPENED", "VIEW_STALE", "REFUSED"])

    def test_missing_file_or_unknown_subject_is_invalid_input(self) -> None:
        self.assertEqual(self.explain("i-9").exit_code, ExitCode.INPUT.value)
        missing = CliRunner().invoke(app, ["explain", FLOW, "nowhere.log"])
        self.assertEqual(missing.exit_code, ExitCode.INPUT.value)


if __name__ == "__main__":
    unittest.main()
