"""Run all tests and print the counts: ``python -m tests [PATTERN]``.

Tests that KNOWN-RED.txt names are run and printed, but a failure of one of them
does not fail the run.
"""

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def known_red() -> frozenset[str]:
    """Dotted names of the tests that may fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    )


def flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Single tests of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from flatten(item)
        else:
            yield item


def main() -> int:
    """Run the tests; the exit code is 0 only if none failed unexpectedly."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else "test_*.py"
    found = unittest.TestLoader().discover(str(ROOT / "tests"), pattern, str(ROOT))
    tests = list(flatten(found))
    allowed = known_red()
    expected = unittest.TestSuite(t for t in tests if t.id() not in allowed)
    red = unittest.TestSuite(t for t in tests if t.id() in allowed)
    runner = unittest.TextTestRunner(verbosity=1)
    result = runner.run(expected)
    if red.countTestCases():
        print(f"known red, listed in {KNOWN_RED.name}:")
        runner.run(red)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    passed = result.testsRun - failed - len(result.skipped)
    for name in sorted(allowed):
        print(f"known red: {name}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
