"""Tests of the test runner, which also counts modules whose process ends early."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from tests.__main__ import run_modules

PASSING = "import unittest\nclass A(unittest.TestCase):\n def test_a(self): pass\n"
FAILING = PASSING.replace("pass", "self.fail('reason of the failure')")
EXITING = "import os\n" + PASSING.replace("pass", "os._exit(0)")
BROKEN = "import no_such_module\n"


class RunResult(unittest.TestCase):
    """Guards against a run that passes although a test has failed or did not run."""

    def run_files(self, red: str = "", **files: str) -> tuple[tuple[int, int], str]:
        printed = io.StringIO()
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name) / "sample"
            folder.mkdir()
            (folder / "__init__.py").touch()
            if red:
                (Path(name) / "KNOWN-RED.txt").write_text(red)
            for file, text in files.items():
                (folder / f"test_{file}.py").write_text(text)
            with contextlib.redirect_stdout(printed):
                counts = run_modules(folder, "test_*.py")
        return counts, printed.getvalue()

    def test_failures_of_every_kind_are_counted_and_printed(self) -> None:
        counts, printed = self.run_files(
            a=PASSING, b=FAILING, c=EXITING, d=BROKEN, e=PASSING
        )
        self.assertEqual(counts, (2, 3))
        for text in ("reason of the failure", "without a result", "no_such_module"):
            self.assertIn(text, printed)

    def test_known_red_is_run_and_printed_but_does_not_fail_the_run(self) -> None:
        red = "test: sample.test_b.A.test_a\n"
        counts, printed = self.run_files(red, a=PASSING, b=FAILING)
        self.assertEqual(counts, (1, 0))
        self.assertIn("reason of the failure", printed)
        self.assertIn("known red: sample.test_b.A.test_a", printed)
