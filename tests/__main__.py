"""Run all tests and print the counts: ``python -m tests [PATTERN]``.

Each test module runs in its own process, several of them concurrently. Tests listed
in KNOWN-RED.txt are run and printed, but their failures do not fail the run.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tests.worker import CELL_PREFIX, KNOWN_RED, ModuleResult, known_red

TESTS = Path(__file__).resolve().parent
MAX_WORKERS = 4
"""Maximum number of concurrent modules; more would delay tests that use timers."""
STARTED_FIRST = (
    "test_fault_matrix.py",
    "test_process_faults.py",
    "test_process_resend.py",
    "test_soak.py",
    "test_capacity.py",
    "test_control_api.py",
)
"""Slowest modules; if one of them started last, the run would wait for it alone."""
MODULE_TIME_LIMIT = 600.0
"""Seconds after which the process of a module is killed and counts as failed."""


@dataclass(frozen=True, slots=True)
class ModuleRun:
    """Result of running a module.

    :param output: output of its process; empty if it was printed directly.
    """

    file: str
    result: ModuleResult
    output: str
    seconds: float


def run_modules(folder: Path, pattern: str) -> tuple[int, int]:
    """Run the matching modules of a folder and print their results.

    :return: numbers of passed and failed tests.
    """
    files = sorted(path.name for path in folder.glob(pattern))
    # The output of a single module is printed while it runs.
    captured = len(files) > 1
    runs: list[ModuleRun] = []
    with ThreadPoolExecutor(min(MAX_WORKERS, os.cpu_count() or 1)) as pool:
        start_order = sorted(files, key=lambda file: file not in STARTED_FIRST)
        pending = {
            file: pool.submit(_run, folder, file, captured) for file in start_order
        }
        for file in files:
            runs.append(pending[file].result())
            _print_run(runs[-1])
    _print_known_red(folder.parent, runs)
    return sum(r.result.passed for r in runs), sum(r.result.failed for r in runs)


def _run(folder: Path, file: str, captured: bool) -> ModuleRun:
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="wasabigw-tests-") as name:
        path = Path(name) / "result.json"
        command = [sys.executable, "-m", "tests.worker", str(folder), file, str(path)]
        output = _run_process(command, captured)
        result = _read_result(path)
    if result is None:
        output += f"\nthe process of {file} ended without a result\n"
        result = ModuleResult(0, 1, "")
    return ModuleRun(file, result, output, time.monotonic() - started_at)


def _run_process(command: list[str], captured: bool) -> str:
    pipe = subprocess.PIPE if captured else None
    errors = subprocess.STDOUT if captured else None
    try:
        done = subprocess.run(
            command,
            cwd=TESTS.parent,
            stdin=subprocess.DEVNULL,
            stdout=pipe,
            stderr=errors,
            timeout=MODULE_TIME_LIMIT,
            check=False,
        )
    except subprocess.TimeoutExpired as error:
        text = (error.output or b"").decode(errors="replace")
        return f"{text}\nended after {MODULE_TIME_LIMIT:.0f} s\n"
    return (done.stdout or b"").decode(errors="replace")


def _read_result(path: Path) -> ModuleResult | None:
    if not path.exists():
        return None
    return ModuleResult(**json.loads(path.read_text(encoding="utf-8")))


def _print_run(run: ModuleRun) -> None:
    counts = f"{run.result.passed} passed, {run.result.failed} failed"
    print(f"{run.file:32} {counts} in {run.seconds:.1f} s", flush=True)
    if run.result.failed:
        print(run.output, flush=True)


def _print_known_red(root: Path, runs: list[ModuleRun]) -> None:
    texts = [run.result.known_red for run in runs if run.result.known_red]
    if texts:
        print(f"known red, listed in {KNOWN_RED}:")
        print("\n".join(texts))
    for name in sorted(known_red(root)):
        print(f"known red: {name}")
    for name in sorted(known_red(root, CELL_PREFIX)):
        print(f"known red cell of the fault matrix: {name}")


def main() -> int:
    """Run the tests; the exit code is 0 only if none failed unexpectedly."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else "test_*.py"
    passed, failed = run_modules(TESTS, pattern)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
