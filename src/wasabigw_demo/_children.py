"""Child processes of the launcher; each is signalled by its own process id."""

import signal
import subprocess
import time
from collections.abc import Mapping, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

from wasabigw.core.ids import Seconds

STOP_GRACE_PERIOD = Seconds(2.0)
"""Time between SIGINT and SIGKILL."""


@dataclass(frozen=True, slots=True)
class CompletedCommand:
    """Result of a command.

    :param code: exit code; ``None`` if the command was killed at its timeout.
    """

    code: int | None
    output: str


class Children(AbstractContextManager["Children"]):
    """Starts processes, and stops those still running when the context ends.

    :param environment: environment variables of all processes.
    :param folder: working directory of all processes; that of this one if ``None``.
    """

    def __init__(
        self, environment: Mapping[str, str], folder: Path | None = None
    ) -> None:
        self._environment = dict(environment)
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(
        self,
        name: str,
        command: Sequence[str],
        log: Path,
        variables: Mapping[str, str] | None = None,
    ) -> int:
        """Start a process, and append its output to a file; returns its process id.

        :param variables: environment variables of this process alone.
        """
        with log.open("ab") as output:
            self._processes[name] = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**self._environment, **(variables or {})},
                cwd=self._folder,
            )
        return self._processes[name].pid

    def run(self, command: Sequence[str], timeout: Seconds) -> CompletedCommand:
        """Run a command and wait for it."""
        try:
            completed = subprocess.run(
                command,
                stdin=subprocess.DEVNULL,
                capture_output=True,
                timeout=timeout,
                env=self._environment,
                check=False,
            )
        except subprocess.TimeoutExpired as error:
            return CompletedCommand(
                None, (error.output or b"").decode(errors="replace")
            )
        output = completed.stdout + completed.stderr
        return CompletedCommand(completed.returncode, output.decode(errors="replace"))

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(signal_number)

    def wait(self, name: str, timeout: Seconds) -> int | None:
        """Exit code of a process; ``None`` if it still runs after the timeout."""
        try:
            return self._processes[name].wait(max(0.0, timeout))
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
        """Stop the processes that still run, with SIGINT and then SIGKILL."""
        running = [p for p in self._processes.values() if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGINT)
        deadline = time.monotonic() + STOP_GRACE_PERIOD
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
