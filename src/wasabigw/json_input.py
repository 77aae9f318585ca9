"""JSON files that people write: decoding, and conversion of errors to problems."""

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from wasabigw.codec import strict_json
from wasabigw.core.problems import Problem, Problems, describe_known_names, format_value

MAX_FILE_BYTES = 1024 * 1024
"""Largest settings, answer or configuration file that is read."""

_UNKNOWN_KEY = "extra_forbidden"
_MISSING_KEY = "missing"
_VALUE_PREFIX = "Value error, "
_INPUT_PREFIX = "Input should be "
_CONTAINERS = {
    "model_type": "a JSON object",
    "dict_type": "a JSON object",
    "tuple_type": "a JSON array",
    "list_type": "a JSON array",
}
"""Description of the expected value, in place of the Python types of pydantic."""


def read_text(path: Path) -> Result[str, Problems]:
    """Read a UTF-8 text file."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        # A path that contains a NUL character raises ValueError.
        reason = getattr(error, "strerror", None) or str(error)
        return _single_problem(ascii(str(path)), reason, "a readable file")
    if len(data) > MAX_FILE_BYTES:
        return _single_problem(
            str(path),
            f"more than {MAX_FILE_BYTES} bytes",
            f"at most {MAX_FILE_BYTES} bytes",
        )
    try:
        return Success(data.decode("utf-8"))
    except UnicodeDecodeError as error:
        return _single_problem(
            str(path), f"invalid UTF-8 at byte {error.start}", "UTF-8 text"
        )


def parse_object(text: str, name: str) -> Result[dict[str, Any], Problems]:
    """Parse a JSON object; duplicate keys are errors.

    :param name: file name for error messages.
    """
    try:
        value = strict_json.loads(text)
    except json.JSONDecodeError as error:
        place = f"{name} line {error.lineno} column {error.colno}"
        return _single_problem(place, error.msg, "valid JSON")
    except RecursionError:
        return _single_problem(name, "JSON that is nested too deeply", "a JSON object")
    except ValueError as error:
        return _single_problem(name, str(error), "valid JSON")
    if not isinstance(value, dict):
        return _single_problem(name, format_value(value), "a JSON object")
    return Success(value)


def read_object(path: Path) -> Result[dict[str, Any], Problems]:
    """Read a JSON object from a file."""
    return read_text(path).bind(lambda text: parse_object(text, str(path)))


def problems_of(
    error: ValidationError, model: type[BaseModel], prefix: str = ""
) -> Problems:
    """Convert a pydantic validation error to problems with the keys of the values.

    :param prefix: key of the model within the file, such as ``services[0]``.
    """
    return tuple(
        _problem(dict(detail), model, prefix)
        for detail in error.errors(include_url=False)
    )


def _problem(detail: Mapping[str, Any], model: type[BaseModel], prefix: str) -> Problem:
    location: Sequence[int | str] = detail["loc"]
    where = key_text(location, prefix)
    kind = detail["type"]
    if kind == _MISSING_KEY:
        description = _description(model, location)
        return Problem(where, "nothing", f"a value: {description}")
    if kind == _UNKNOWN_KEY:
        known = _known_keys(model, location[:-1])
        return Problem(
            where, "an unknown key", describe_known_names(str(location[-1]), known)
        )
    return Problem(
        where, format_value(detail["input"]), _expected(kind, str(detail["msg"]))
    )


def _expected(kind: str, message: str) -> str:
    if kind in _CONTAINERS:
        return _CONTAINERS[kind]
    return message.removeprefix(_VALUE_PREFIX).removeprefix(_INPUT_PREFIX)


def key_text(location: Sequence[int | str], prefix: str = "") -> str:
    """Key of a nested value as ``a.b[0].c``."""
    text = prefix
    for part in location:
        if isinstance(part, int):
            text += f"[{part}]"
            continue
        name = part if part.isprintable() else ascii(part)
        text += f".{name}" if text else name
    return text


def _model_at(
    model: type[BaseModel], location: Sequence[int | str]
) -> type[BaseModel] | None:
    current: type[BaseModel] | None = model
    for part in location:
        if isinstance(part, int):
            continue
        if current is None or part not in current.model_fields:
            return None
        current = _nested_model(current.model_fields[part].annotation)
    return current


def _nested_model(annotation: Any) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for argument in getattr(annotation, "__args__", ()):
        nested = _nested_model(argument)
        if nested is not None:
            return nested
    return None


def _known_keys(model: type[BaseModel], location: Sequence[int | str]) -> list[str]:
    nested = _model_at(model, location)
    return list(nested.model_fields) if nested else []


def _description(model: type[BaseModel], location: Sequence[int | str]) -> str:
    nested = _model_at(model, location[:-1])
    field = nested.model_fields.get(str(location[-1])) if nested else None
    return (field.description if field else None) or "see the schema"


def _single_problem(where: str, read: str, expected: str) -> Failure[Problems]:
    return Failure((Problem(where, read, expected),))
