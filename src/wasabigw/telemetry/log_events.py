"""Numbered log events.

Each component declares its events as an :class:`Enum` of :class:`EventDefinition` in
a module named ``events_<component>.py``. docs/log-events.md lists them.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any


class Severity(Enum):
    """Log level of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class EventDefinition:
    """A log event.

    :param number: unique, and never reused for another event.
    :param template: text with ``str.format`` fields.
    :param advice: what an operator should do about it.
    """

    number: int
    severity: Severity
    template: str
    advice: str


class LogEvent(Enum):
    """Base of the events of a component; values are :class:`EventDefinition`."""


Sink = Callable[[LogEvent, Mapping[str, Any]], None]
"""Receives an event and the values for its template; must not block."""


def write_to_absl(event: LogEvent, fields: Mapping[str, Any]) -> None:
    """Write an event as a line of text through ``absl.logging``."""
    # Imported here because processes with another sink start faster without absl.
    from absl import logging

    definition: EventDefinition = event.value
    text = definition.template.format(**fields)
    level = getattr(logging, definition.severity.name)
    logging.log(level, "WGW-%04d %s", definition.number, text)


_sink: Sink = write_to_absl


def use_sink(sink: Sink) -> None:
    """Replace the sink that receives the events of this process."""
    global _sink
    _sink = sink


def log(event: LogEvent, **fields: Any) -> None:
    """Write a numbered event to the log.

    :param fields: values for the template of the event.
    """
    _sink(event, fields)
