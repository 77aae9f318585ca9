"""JSON encoding of typed messages and stored records.

Dataclasses are encoded as objects; a member of a union also has its class name under
``kind``. Missing keys, wrong types and unknown kinds are errors. Unknown keys are
errors in input that people write, and are ignored in messages between processes, which
may run different versions; see docs/operations/upgrade.md.
"""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from functools import cache
from types import NoneType
from typing import Any, TypeVar, get_args

import cattrs
from cattrs.preconf.json import make_converter
from returns.result import Failure, Result, Success

from wasabigw.codec import strict_json
from wasabigw.core import cluster, commands, log_messages
from wasabigw.telemetry.events_daemon import DaemonEvent
from wasabigw.telemetry.log_events import log

KIND = "kind"
MAX_LOGGED_KEYS = 256
"""Limit on logged ignored keys, so that a faulty sender can't fill the log."""
MAX_KEY_LENGTH = 80
Message = TypeVar("Message")

_unions: list[Any] = [
    commands.Change,
    commands.OrderedChange,
    commands.Report,
    commands.Command,
    cluster.Applied | cluster.Refusal,
    log_messages.ChangeOutcome,
    log_messages.AnnouncementOutcome,
    log_messages.LogBatch | log_messages.NotLeader,
]

_logged_keys: set[tuple[str, str]] = set()


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """A message could not be decoded.

    :param problems: descriptions of the errors with their locations.
    """

    problems: tuple[str, ...]

    def __str__(self) -> str:
        return "; ".join(self.problems)


class UnknownKeys(Enum):
    """Handling of keys that the expected type does not have."""

    REFUSE = "refuse"
    IGNORE = "ignore"


def _require_type(expected: type) -> Any:
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
    """Encode a table with indexes of backend servers, which makes snapshots smaller."""
    convert = _converter(UnknownKeys.REFUSE).unstructure
    servers = [name for name in dict.fromkeys(table.current) if name is not None]
    indexes = {name: index for index, name in enumerate(servers)}
    return {
        "servers": servers,
        "current": [indexes.get(name) if name else None for name in table.current],
        "others": [[bucket, convert(c)] for bucket, c in table.others.items()],
    }


def _bucket_table_from_json(value: Any, unknown: UnknownKeys) -> cluster.BucketTable:
    others = {
        bucket: _converter(unknown).structure(candidates, list[cluster.Candidate])
        for bucket, candidates in value["others"]
    }
    servers = _converter(unknown).structure(value["servers"], list[str])
    names: dict[int | None, Any] = {None: None, **dict(enumerate(servers))}
    current = value["current"]
    if not set(map(type, current)) <= {int, NoneType}:
        raise TypeError("current must hold indexes into servers, or null")
    return cluster.BucketTable([names[index] for index in current], others)


@cache
def _converter(unknown: UnknownKeys) -> cattrs.Converter:
    converter = make_converter(forbid_extra_keys=unknown is UnknownKeys.REFUSE)
    converter.register_structure_hook(int, _require_type(int))
    converter.register_structure_hook(bool, _require_type(bool))
    converter.register_structure_hook(str, _require_type(str))
    converter.register_structure_hook(float, _structure_float)
    # Registered before the unions, because cattrs compiles the encoding of their
    # members together with all nested types.
    converter.register_unstructure_hook(cluster.BucketTable, _bucket_table_to_json)
    converter.register_structure_hook(
        cluster.BucketTable, lambda value, _: _bucket_table_from_json(value, unknown)
    )
    for union in _unions:
        _register_union_hooks(union, converter)
    return converter


def _register_union_hooks(union: Any, converter: cattrs.Converter) -> None:
    """Encode the members of a union with their class names.

    The tagged unions of cattrs compile the encoding of all members at once, which took
    a fifth of the start time of a voter, although most members are never sent.
    """
    members = {member.__name__: member for member in get_args(union)}

    def structure(value: Any, _: Any) -> Any:
        rest = dict(value)
        return converter.structure(rest, members[rest.pop(KIND)])

    def unstructure(message: Any) -> Any:
        found = converter.unstructure(message, unstructure_as=type(message))
        found[KIND] = type(message).__name__
        return found

    converter.register_structure_hook(union, structure)
    converter.register_unstructure_hook(union, unstructure)


def register_union(union: Any) -> None:
    """Register a union whose members are encoded with their class names.

    Modules that declare their own messages call it once at import, before any message
    that contains the union is encoded.
    """
    _unions.append(union)
    _converter.cache_clear()


def to_json(message: Any, union: Any = None) -> Any:
    """Convert a message to a JSON value.

    :param union: type that the receiver expects, if it is a union.
    """
    converter = _converter(UnknownKeys.REFUSE)
    return converter.unstructure(message, unstructure_as=union)


def from_json(
    value: Any, expected: Any, unknown: UnknownKeys = UnknownKeys.REFUSE
) -> Result[Any, MalformedMessage]:
    """Convert a JSON value to a message of type ``expected``, a dataclass or a union.

    :param unknown: handling of unknown keys; ignored ones are logged once per type.
    """
    try:
        return Success(_converter(UnknownKeys.REFUSE).structure(value, expected))
    except Exception as error:
        # For invalid input cattrs raises exception groups, KeyError, TypeError and
        # ValueError.
        found = frozenset(_unknown_keys(error))
        if unknown is UnknownKeys.REFUSE or not found:
            return Failure(MalformedMessage(tuple(_problems(error, expected))))
    try:
        message = _converter(UnknownKeys.IGNORE).structure(value, expected)
    except Exception as error:
        return Failure(MalformedMessage(tuple(_problems(error, expected))))
    for name, key in sorted(found):
        _log_once(name, key)
    return Success(message)


def encode(message: Any, union: Any = None) -> bytes:
    """Encode a message as UTF-8 JSON text."""
    return json.dumps(to_json(message, union), separators=(",", ":")).encode()


def decode(
    data: bytes, expected: Any, unknown: UnknownKeys = UnknownKeys.REFUSE
) -> Result[Any, MalformedMessage]:
    """Decode a message of type ``expected`` from JSON text; see :func:`from_json`."""
    try:
        value = strict_json.loads(data)
    except (ValueError, RecursionError) as error:
        return Failure(MalformedMessage((f"invalid JSON: {error}",)))
    return from_json(value, expected, unknown)


def _unknown_keys(error: BaseException) -> Iterator[tuple[str, str]]:
    """Name of the type and unknown key, for each unknown key of an error."""
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        for key in error.extra_fields:
            yield getattr(error.cl, "__name__", str(error.cl)), str(key)
    elif isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from _unknown_keys(inner)


def _log_once(name: str, key: str) -> None:
    if (name, key) in _logged_keys or len(_logged_keys) >= MAX_LOGGED_KEYS:
        return
    _logged_keys.add((name, key))
    log(DaemonEvent.KEY_IGNORED, key=ascii(key[:MAX_KEY_LENGTH]), message=name)


def _problems(error: Exception, expected: Any) -> list[str]:
    if isinstance(error, cattrs.BaseValidationError):
        return cattrs.transform_error(error, path="message")
    name = getattr(expected, "__name__", str(expected))
    return [f"not a valid {name}: {type(error).__name__} {error}"]
