"""Whole numbers in requests and settings."""

from typing import Any

MAX_EXACT_INTEGER = 2**53
"""Largest whole number up to which all JSON implementations are exact."""
MAX_DIGITS = 16
"""Maximum number of digits; revisions and milliseconds have far fewer.

Python raises an exception when it parses a number of thousands of digits, and when
it divides some shorter ones; either would end the task that handles the number.
"""


def whole_number(text: Any) -> int | None:
    """Number written in ASCII digits, or ``None`` for anything else."""
    if not isinstance(text, str) or len(text) > MAX_DIGITS:
        return None
    return int(text) if text.isascii() and text.isdecimal() else None
