"""Structured logs: one JSON object per line on standard output."""

import os
import time
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec
from returns.result import Failure

from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Task
from wasabigw.telemetry.log_events import EventDefinition, LogEvent

QUEUE_CAPACITY = 1024
"""Maximum number of queued lines; further lines are dropped and counted."""
STANDARD_OUTPUT = 1


@dataclass(frozen=True, slots=True)
class LogLine:
    """An event with the wall-clock time in seconds at which it was logged."""

    at: float
    event: LogEvent
    fields: Mapping[str, Any]


class JsonLines(Task[LogLine]):
    """Task that writes log lines, so that no other task blocks on the output.

    :param node: name of the process, written in each line.
    """

    def __init__(self, node: str) -> None:
        super().__init__("log", Mailbox("log", QUEUE_CAPACITY))
        self._node = node
        self._dropped = 0

    def write(self, event: LogEvent, fields: Mapping[str, Any]) -> None:
        """Queue a line; usable as a sink of :mod:`wasabigw.telemetry.log_events`."""
        line = LogLine(time.time(), event, fields)
        if isinstance(self.mailbox.post(line), Failure):
            self._dropped += 1

    def run(self) -> None:
        """Write lines until :class:`Stop` arrives; queued lines share one write."""
        while True:
            messages = [self._mailbox.get().unwrap(), *self._mailbox.drain()]
            lines = [message for message in messages if isinstance(message, LogLine)]
            self._write([self._encode(line) for line in lines])
            if len(lines) < len(messages):
                return

    def receive(self, message: LogLine) -> None:
        """Write one line."""
        self._write([self._encode(message)])

    def _write(self, encoded: list[bytes]) -> None:
        if self._dropped:
            report = {"node": self._node, "left_out": self._dropped}
            encoded.append(msgspec.json.encode(report))
            self._dropped = 0
        data = b"".join(line + b"\n" for line in encoded)
        while data:
            data = data[os.write(STANDARD_OUTPUT, data) :]

    def _encode(self, line: LogLine) -> bytes:
        definition: EventDefinition = line.event.value
        fields = dict(line.fields)
        subject = fields.pop("node", self._node)
        if subject != self._node:
            # The id of a voter differs from the name of its process.
            fields["voter"] = subject
        record = {
            "time": round(line.at, 6),
            "severity": definition.severity.value,
            "event": f"WGW-{definition.number:04d}",
            "name": line.event.name,
            "node": self._node,
            **{key: _json_value(value) for key, value in fields.items()},
        }
        return msgspec.json.encode(record)


def _json_value(value: Any) -> Any:
    if value is None or isinstance(value, bool | int | float | str):
        return value
    return value.value if isinstance(value, Enum) else str(value)


def make_json_lines(node: str) -> JsonLines:
    """Task that writes the log of a process."""
    return JsonLines(node)
