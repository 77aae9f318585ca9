"""Invalid values in user input, with the value that is expected instead."""

import difflib
from collections.abc import Iterable
from dataclasses import dataclass

MAX_SHOWN_LENGTH = 80
"""Longest representation of an invalid value in a message, in characters."""


@dataclass(frozen=True, slots=True)
class Problem:
    """An invalid value in a settings file, an answer file or a command line.

    :param where: key of the value, such as ``limits.flow_cache_entries``.
    :param read: representation of the invalid value.
    :param expected: description of valid values.
    """

    where: str
    read: str
    expected: str

    def __str__(self) -> str:
        return f"{self.where}: read {self.read}, expected {self.expected}"


Problems = tuple[Problem, ...]


def format_value(value: object) -> str:
    """Representation of a value for a message, truncated if it is long."""
    text = repr(value)
    if len(text) <= MAX_SHOWN_LENGTH:
        return text
    return f"{text[:MAX_SHOWN_LENGTH]}..."


def describe_known_names(name: str, known: Iterable[str]) -> str:
    """Describe the valid names, suggesting the one that is most similar to ``name``."""
    names = sorted(known)
    matches = difflib.get_close_matches(name, names, n=1, cutoff=0.5)
    if matches:
        return f"a known name; the nearest is '{matches[0]}'"
    return f"one of {', '.join(names) or 'no names at all'}"
