"""Child processes of the launcher; each is ended by its own id."""

import signal
import subprocess
import time
from collections.abc import Mapping, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

from wasabigw.core.ids import Seconds

STOP_TIME = Seconds(2.0)
"""Time between the request to stop and SIGKILL."""


@dataclass(frozen=True, slots=True)
class Completed:
    """A command that ran to its end.

    :param code: exit code; ``None`` if it was killed at its time limit.
    """

    code: int | None
    output: str


class Children(AbstractContextManager["Children"]):
    """Starts processes, and ends those that are left when the context ends.

    :param environment: of all processes.
    """

    def __init__(self, environment: Mapping[str, str]) -> None:
        self._environment = dict(environment)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, command: Sequence[str], log: Path) -> None:
        """Start a process whose output goes to a file."""
        with log.open("ab") as output:
            self._processes[name] = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=self._environment,
            )

    def run(self, command: Sequence[str], limit: Seconds) -> Completed:
        """Run a command to its end."""
        try:
            done = subprocess.run(
                command,
                stdin=subprocess.DEVNULL,
                capture_output=True,
                timeout=limit,
                env=self._environment,
                check=False,
            )
        except subprocess.TimeoutExpired as error:
            return Completed(None, (error.output or b"").decode(errors="replace"))
        output = done.stdout + done.stderr
        return Completed(done.returncode, output.decode(errors="replace"))

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(number)

    def wait(self, name: str, limit: Seconds) -> int | None:
        """Exit code of a process; ``None`` if it still runs at the limit."""
        try:
            return self._processes[name].wait(max(0.0, limit))
        except subprocess.TimeoutExpired:
            return None

    def is_running(self, name: str) -> bool:
        """Whether a process was started and has not ended."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def ended(self) -> dict[str, int]:
        """Exit codes of the processes that have ended."""
        codes = {name: process.poll() for name, process in self._processes.items()}
        return {name: code for name, code in codes.items() if code is not None}

    def stop_all(self) -> None:
        """End the processes that still run: SIGINT first, then SIGKILL."""
        running = [p for p in self._processes.values() if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGINT)
        deadline = time.monotonic() + STOP_TIME
        for process in running:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop_all()
