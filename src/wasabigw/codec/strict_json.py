"""Strict JSON parser that accepts only valid input according to RFC 8259.

The parser of the standard library accepts NaN and Infinity, converts numbers that are
too large to infinity, and uses the last of several equal keys.
"""

import json
import math
from typing import Any, NoReturn


def loads(text: str | bytes) -> Any:
    """Parse a JSON text.

    :raises ValueError: if the text is not valid JSON, has a duplicate key in an object,
        or contains a number that is not finite.
    :raises RecursionError: if the text is nested too deeply.
    """
    return json.loads(
        text,
        object_pairs_hook=_unique_keys,
        parse_constant=_refuse_constant,
        parse_float=_finite_float,
    )


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) == len(pairs):
        return found
    seen: set[str] = set()
    for key, _ in pairs:
        if key in seen:
            raise ValueError(f"duplicate key {key!a} in an object")
        seen.add(key)
    return found


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"invalid number {name}")


def _finite_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"number out of range: {text}")
    return value
