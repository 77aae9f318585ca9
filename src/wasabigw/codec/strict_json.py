"""JSON text without what the standard library adds to RFC 8259.

The parser of the standard library accepts NaN and Infinity, turns numbers that are
too large into infinity, and lets the last of several equal keys win.
"""

import json
import math
from typing import Any, NoReturn


def loads(text: str | bytes) -> Any:
    """Value of a JSON text.

    :raises ValueError: if the text is not valid JSON, repeats a key within one
        object, or has a number that is not finite.
    :raises RecursionError: if it is nested too deeply.
    """
    return json.loads(
        text,
        object_pairs_hook=_unique_keys,
        parse_constant=_no_constant,
        parse_float=_finite,
    )


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) == len(pairs):
        return found
    seen: set[str] = set()
    for key, _ in pairs:
        if key in seen:
            raise ValueError(f"the key {key!a} twice in one object")
        seen.add(key)
    return found


def _no_constant(name: str) -> NoReturn:
    raise ValueError(f"the number {name}")


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"the number {text}, which is too large")
    return value
