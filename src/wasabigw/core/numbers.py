"""Whole numbers in requests and settings."""

from typing import Any

MAX_DIGITS = 16
"""Digits of the largest number; revisions and milliseconds stay far below.

Python refuses to read numbers of thousands of digits, and can't divide some that it
reads, so that longer ones would end the task that handles them.
"""


def whole_number(text: Any) -> int | None:
    """Number from ASCII digits, or ``None`` for anything else."""
    if not isinstance(text, str) or len(text) > MAX_DIGITS:
        return None
    return int(text) if text.isascii() and text.isdecimal() else None
