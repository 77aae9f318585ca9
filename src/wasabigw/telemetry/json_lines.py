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

CAPACITY = 1024
"""Lines that wait to be written; further ones are counted and left out."""
STANDARD_OUTPUT = 1


@dataclass(frozen=True, slots=True)
class LogLine:
    """An event at a time of the wall clock."""

    at: float
    event: LogEvent
    fields: Mapping[str, Any]


class JsonLines(Task[LogLine]):
    """Task that writes lines, so that no other task waits for the output.

    :param node: process that the lines are about.
    """

    def __init__(self, node: str) -> None:
        super().__init__("log", Mailbox("log", CAPACITY))
        self._node = node
        self._left_out = 0

    def write(self, event: LogEvent, fields: Mapping[str, Any]) -> None:
        """Queue a line; a sink of :mod:`wasabigw.telemetry.log_events`."""
        line = LogLine(time.time(), event, fields)
        if isinstance(self.mailbox.post(line), Failure):
            self._left_out += 1

    def run(self) -> None:
        """Write lines until :class:`Stop` arrives; what waits is written together."""
        while True:
            waiting = [self._mailbox.get().unwrap(), *self._mailbox.drain()]
            lines = [message for message in waiting if isinstance(message, LogLine)]
            self._write([self._text(line) for line in lines])
            if len(lines) < len(waiting):
                return

    def receive(self, message: LogLine) -> None:
        """Write one line."""
        self._write([self._text(message)])

    def _write(self, texts: list[bytes]) -> None:
        if self._left_out:
            left_out = {"node": self._node, "left_out": self._left_out}
            texts.append(msgspec.json.encode(left_out))
            self._left_out = 0
        data = b"".join(text + b"\n" for text in texts)
        while data:
            data = data[os.write(STANDARD_OUTPUT, data) :]

    def _text(self, line: LogLine) -> bytes:
        definition: EventDefinition = line.event.value
        fields = dict(line.fields)
        subject = fields.pop("node", self._node)
        if subject != self._node:
            # A voter has an id besides the name of its process.
            fields["voter"] = subject
        record = {
            "time": round(line.at, 6),
            "severity": definition.severity.value,
            "event": f"WGW-{definition.number:04d}",
            "name": line.event.name,
            "node": self._node,
            **{key: _value(value) for key, value in fields.items()},
        }
        return msgspec.json.encode(record)


def _value(value: Any) -> Any:
    if value is None or isinstance(value, bool | int | float | str):
        return value
    return value.value if isinstance(value, Enum) else str(value)


def make_json_lines(node: str) -> JsonLines:
    """Task that writes the log of a process."""
    return JsonLines(node)
