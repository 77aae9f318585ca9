"""Numbered log events.

Each area declares its events as an :class:`Enum` of :class:`EventDefinition` in
a module of its own named ``events_<area>.py``. docs/log-events.md lists them.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from absl import logging


@dataclass(frozen=True, slots=True)
class EventDefinition:
    """A log event.

    :param number: unique and never used again for another event.
    :param level: one of the levels of ``absl.logging``.
    :param template: text with ``str.format`` fields.
    :param advice: what an operator can do about it.
    """

    number: int
    level: int
    template: str
    advice: str


class LogEvent(Enum):
    """Base of the events of one area; members are :class:`EventDefinition`."""


def log(event: LogEvent, **fields: Any) -> None:
    """Write a numbered event to the log.

    :param fields: values for the template of the event.
    """
    definition: EventDefinition = event.value
    text = definition.template.format(**fields)
    logging.log(definition.level, "WGW-%04d %s", definition.number, text)
