"""Task that writes finished spans to a file, one JSON object per line."""

import json
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import BinaryIO

from returns.result import Success

from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Stop, Task
from wasabigw.telemetry.events_daemon import DaemonEvent
from wasabigw.telemetry.log_events import log

TRACE_MAILBOX_CAPACITY = 8_192
"""Maximum number of queued spans; further spans are lost."""
REOPEN_AFTER = 100
"""Number of lost spans between two attempts to open the file."""

AttributeValue = str | bool | int | float


@dataclass(frozen=True, slots=True)
class SpanEvent:
    """An event within a span.

    :param at: nanoseconds since 1970.
    """

    name: str
    at: int
    attributes: Mapping[str, AttributeValue] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SpanRecord:
    """A finished span.

    :param trace_id: 32 hexadecimal digits, as in W3C Trace Context.
    :param span_id: 16 hexadecimal digits.
    :param start: nanoseconds since 1970.
    :param end: nanoseconds since 1970.
    """

    trace_id: str
    span_id: str
    parent_span_id: str | None
    name: str
    node: str
    start: int
    end: int
    attributes: Mapping[str, AttributeValue] = field(default_factory=dict)
    error: str | None = None
    events: tuple[SpanEvent, ...] = ()


class TraceFileTask(Task[SpanRecord]):
    """Owns the trace file.

    If the file can't be written, spans are lost, and nothing else is affected. Before
    the file exceeds ``max_bytes``, it is renamed to ``.1`` and a new one is started, so
    that both together use at most twice that size.
    """

    def __init__(self, path: Path, max_bytes: int) -> None:
        super().__init__("trace file", Mailbox("trace file", TRACE_MAILBOX_CAPACITY))
        self._path = path
        self._max_bytes = max_bytes
        self._file: BinaryIO | None = None
        self._lost = 0

    def open(self) -> None:
        """Open the file for appending."""
        self._open_file()

    def close(self) -> None:
        """Close the file."""
        self._close_file()

    def run(self) -> None:
        """Write queued spans, and flush after each batch."""
        while True:
            message = self._mailbox.get()
            if not isinstance(message, Success):
                continue
            batch = [message.unwrap(), *self._mailbox.drain()]
            for record in batch:
                if isinstance(record, Stop):
                    return
                self.receive(record)
            self._flush()

    def receive(self, message: SpanRecord) -> None:
        """Append one span."""
        if self._file is None and self._lost % REOPEN_AFTER == 0:
            self._open_file()
        if self._file is None:
            self._lost += 1
            return
        line = json.dumps(asdict(message), separators=(",", ":")).encode() + b"\n"
        try:
            if self._file.tell() + len(line) > self._max_bytes:
                self._rotate()
            self._file.write(line)
        except OSError as error:
            self._handle_failure(error)

    def _rotate(self) -> None:
        assert self._file is not None
        self._file.close()
        self._path.replace(f"{self._path}.1")
        self._file = self._path.open("ab")

    def _flush(self) -> None:
        if self._file is None:
            return
        try:
            self._file.flush()
        except OSError as error:
            self._handle_failure(error)

    def _open_file(self) -> None:
        try:
            self._file = self._path.open("ab")
        except (OSError, ValueError) as error:
            self._handle_failure(error)
            return
        if self._lost:
            log(DaemonEvent.TRACE_FILE_RESUMED, path=self._path, lost=self._lost)
            self._lost = 0

    def _handle_failure(self, error: Exception) -> None:
        if self._lost == 0:
            log(DaemonEvent.TRACE_FILE_FAILED, path=self._path, reason=error)
        self._lost += 1
        self._close_file()

    def _close_file(self) -> None:
        file, self._file = self._file, None
        if file is None:
            return
        try:
            file.close()
        except OSError as error:
            # Closing flushes data that an earlier failure left in the buffer.
            log(DaemonEvent.TRACE_FILE_FAILED, path=self._path, reason=error)
