"""JSON encoding of the typed messages between processes and files.

Dataclasses become objects; a member of a union carries its class name under
``kind``. Unknown keys, missing keys and wrong types are errors.
"""

import json
from dataclasses import dataclass
from functools import cache
from typing import Any, TypeVar

import cattrs
from cattrs.preconf.json import make_converter
from cattrs.strategies import configure_tagged_union
from returns.result import Failure, Result, Success

from wasabigw.codec import strict_json
from wasabigw.core import cluster, commands, log_messages

KIND = "kind"
Message = TypeVar("Message")

_UNIONS: tuple[Any, ...] = (
    commands.Change,
    commands.Report,
    commands.Command,
    cluster.Applied | cluster.Refusal,
    log_messages.ChangeOutcome,
    log_messages.AnnouncementOutcome,
    log_messages.LogBatch | log_messages.NotLeader,
)


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """A message could not be decoded.

    :param problems: what was wrong and where, one line each.
    """

    problems: tuple[str, ...]

    def __str__(self) -> str:
        return "; ".join(self.problems)


def _strict(expected: type) -> Any:
    def structure(value: Any, _: Any) -> Any:
        if type(value) is not expected:
            raise TypeError(f"expected {expected.__name__}, got {value!r}")
        return value

    return structure


def _structure_float(value: Any, _: Any) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"expected a number, got {value!r}")
    return float(value)


def _bucket_table_to_json(table: cluster.BucketTable) -> dict[str, Any]:
    return {
        "current": table.current,
        "others": [[b, _converter().unstructure(c)] for b, c in table.others.items()],
        "moved_at": [[bucket, at] for bucket, at in table.moved_at.items()],
    }


def _bucket_table_from_json(value: Any, _: Any) -> cluster.BucketTable:
    others = {
        bucket: _converter().structure(candidates, list[cluster.Candidate])
        for bucket, candidates in value["others"]
    }
    return cluster.BucketTable(value["current"], others, dict(value["moved_at"]))


@cache
def _converter() -> cattrs.Converter:
    converter = make_converter(forbid_extra_keys=True)
    converter.register_structure_hook(int, _strict(int))
    converter.register_structure_hook(bool, _strict(bool))
    converter.register_structure_hook(str, _strict(str))
    converter.register_structure_hook(float, _structure_float)
    for union in _UNIONS:
        configure_tagged_union(union, converter, tag_name=KIND)
    converter.register_unstructure_hook(cluster.BucketTable, _bucket_table_to_json)
    converter.register_structure_hook(cluster.BucketTable, _bucket_table_from_json)
    return converter


def register_union(union: Any) -> None:
    """Tag the members of a further union with their class names.

    Modules that declare messages of their own call it once at import, before any
    message that contains the union is encoded.
    """
    configure_tagged_union(union, _converter(), tag_name=KIND)


def to_json(message: Any, declared: Any = None) -> Any:
    """JSON value of a message.

    :param declared: the union, where the receiver expects one.
    """
    return _converter().unstructure(message, unstructure_as=declared)


def from_json(value: Any, expected: Any) -> Result[Any, MalformedMessage]:
    """Message of type ``expected`` (a dataclass or a union) from a JSON value."""
    try:
        return Success(_converter().structure(value, expected))
    except Exception as error:
        # cattrs raises groups, KeyError, TypeError and ValueError for bad input.
        return Failure(MalformedMessage(tuple(_problems(error, expected))))


def encode(message: Any, declared: Any = None) -> bytes:
    """UTF-8 JSON text of a message."""
    return json.dumps(to_json(message, declared), separators=(",", ":")).encode()


def decode(data: bytes, expected: Any) -> Result[Any, MalformedMessage]:
    """Message of type ``expected`` from JSON text."""
    try:
        value = strict_json.loads(data)
    except (ValueError, RecursionError) as error:
        return Failure(MalformedMessage((f"not valid JSON: {error}",)))
    return from_json(value, expected)


def _problems(error: Exception, expected: Any) -> list[str]:
    if isinstance(error, cattrs.BaseValidationError):
        return cattrs.transform_error(error, path="message")
    name = getattr(expected, "__name__", str(expected))
    return [f"not a valid {name}: {type(error).__name__} {error}"]
