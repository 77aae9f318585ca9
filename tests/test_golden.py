"""Sessions of both deployments give the stored transcripts and keep the promises."""

import os
import subprocess
import sys
import unittest
from concurrent.futures import ProcessPoolExecutor
from functools import cache
from pathlib import Path

from wasabigw_verify import golden
from wasabigw_verify.promises import PROMISES

FOLDER = Path(__file__).resolve().parent / "golden"


@cache
def run_all_sessions() -> dict[str, str]:
    """Transcript of each session by the name of its golden file."""
    file_names = list(golden.file_names())
    with ProcessPoolExecutor(golden.WORKERS) as pool:
        return dict(zip(file_names, pool.map(golden.render, file_names), strict=True))


class Transcripts(unittest.TestCase):
    """Guards against unintended changes of behaviour."""

    def setUp(self) -> None:
        self.fresh = run_all_sessions()

    def test_each_session_gives_its_golden_file(self) -> None:
        for name, text in self.fresh.items():
            with self.subTest(name):
                stored = (FOLDER / name).read_text(encoding="utf-8")
                self.assertEqual(text, stored, "run `make golden` and look at the diff")

    def test_no_golden_file_is_without_a_session(self) -> None:
        stored = {path.name for path in FOLDER.iterdir()}
        self.assertEqual(stored, set(self.fresh))

    def check_promises(self, name: str) -> None:
        results = self.fresh[f"{name}.txt"].partition("\nPromises\n")[2]
        lines = results.splitlines()
        self.assertEqual([line for line in lines if "holds" not in line], [])
        self.assertEqual(len(lines), len(PROMISES))

    def test_promises_hold_on_an_ordinary_day(self) -> None:
        self.check_promises("cavalcanti-ordinary-day")
        self.check_promises("tanrend-ordinary-day")

    def test_promises_hold_while_a_domain_returns_at_cavalcanti(self) -> None:
        self.check_promises("cavalcanti-domain-returns")

    def test_promises_hold_while_a_domain_returns_at_tanrend(self) -> None:
        self.check_promises("tanrend-domain-returns")

    def test_promises_hold_in_an_enrolment_rush(self) -> None:
        self.check_promises("cavalcanti-enrolment-rush")
        self.check_promises("tanrend-enrolment-rush")

    def test_promises_hold_while_operators_race(self) -> None:
        self.check_promises("cavalcanti-racing-operators")
        self.check_promises("tanrend-racing-operators")

    def test_promises_hold_while_a_control_vm_is_isolated(self) -> None:
        self.check_promises("cavalcanti-control-vm-isolated")
        self.check_promises("tanrend-control-vm-isolated")

    def test_bytes_do_not_depend_on_the_hash_seed(self) -> None:
        """Guards against results that depend on the iteration order of sets."""
        name = "tanrend-control-vm-isolated.txt"
        program = (
            "import sys; from wasabigw_verify import golden; "
            f"sys.stdout.buffer.write(golden.render({name!r}).encode())"
        )
        for seed in ("1", "2"):
            done = subprocess.run(
                [sys.executable, "-c", program],
                env={**os.environ, "PYTHONHASHSEED": seed},
                stdout=subprocess.PIPE,
                check=True,
            )
            self.assertEqual(done.stdout.decode(), self.fresh[name])
