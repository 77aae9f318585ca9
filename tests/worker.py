"""Run the tests of one module: ``python -m tests.worker FOLDER FILE RESULT``.

Writes the counts to the file RESULT as JSON. If the file is missing, the module
counts as failed, whatever the exit code is.
"""

import io
import json
import sys
import unittest
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path

KNOWN_RED = "KNOWN-RED.txt"
TEST_PREFIX = "test: "
CELL_PREFIX = "cell: "


@dataclass(frozen=True, slots=True)
class ModuleResult:
    """Test counts of a module.

    :param known_red: output of the tests listed as known failures, if any.
    """

    passed: int
    failed: int
    known_red: str


def known_red(root: Path, prefix: str = TEST_PREFIX) -> frozenset[str]:
    """Names of the tests, or cells of the fault matrix, listed as known failures."""
    path = root / KNOWN_RED
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix(prefix).strip() for line in lines if line.startswith(prefix)
    )


def run_module(folder: Path, file: str) -> ModuleResult:
    """Run the tests of a file, and the known failures separately."""
    root = folder.parent
    found = unittest.TestLoader().discover(str(folder), file, str(root))
    tests = list(_flatten(found))
    allowed = known_red(root)
    red = unittest.TestSuite(t for t in tests if t.id() in allowed)
    expected = unittest.TestSuite(t for t in tests if t.id() not in allowed)
    result = unittest.TextTestRunner().run(expected)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    passed = result.testsRun - failed - len(result.skipped)
    text = io.StringIO()
    if red.countTestCases():
        unittest.TextTestRunner(text, verbosity=2).run(red)
    return ModuleResult(max(0, passed), failed, text.getvalue())


def _flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _flatten(item)
        else:
            yield item


def main() -> None:
    """Run a module and write its counts."""
    folder, file, result = sys.argv[1:]
    counts = run_module(Path(folder), file)
    Path(result).write_text(json.dumps(asdict(counts)), encoding="utf-8")


if __name__ == "__main__":
    main()
