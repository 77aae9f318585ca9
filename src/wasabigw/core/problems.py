"""What is wrong with a value that somebody wrote, and what is expected instead."""

import difflib
from collections.abc import Iterable
from dataclasses import dataclass

MAX_SHOWN_LENGTH = 80
"""Characters of a wrong value that a message shows."""


@dataclass(frozen=True, slots=True)
class Problem:
    """One wrong value of a settings file, an answer file or a command line.

    :param where: key or question, such as ``limits.flow_cache_entries``.
    :param read: what was found there.
    :param expected: what has to be there instead.
    """

    where: str
    read: str
    expected: str

    def __str__(self) -> str:
        return f"{self.where}: read {self.read}, expected {self.expected}"


Problems = tuple[Problem, ...]


def format_value(value: object) -> str:
    """Text of a wrong value for a message, shortened if it is long."""
    text = repr(value)
    if len(text) <= MAX_SHOWN_LENGTH:
        return text
    return f"{text[:MAX_SHOWN_LENGTH]}..."


def describe_known_names(name: str, known: Iterable[str]) -> str:
    """What is expected in place of an unknown name: the nearest known one."""
    names = sorted(known)
    nearest = difflib.get_close_matches(name, names, n=1, cutoff=0.5)
    if nearest:
        return f"a known name; the nearest is '{nearest[0]}'"
    return f"one of {', '.join(names) or 'no names at all'}"
