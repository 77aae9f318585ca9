"""The readable part of an answer file whose other answers could not be decoded.

Answers that could not be decoded are replaced by values that cause no problems of
their own, so that the remaining answers can be checked in the same go.
"""

import copy
import itertools
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from wasabigw.core.problems import Problems

_AMPLE = 1_000_000
_REQUEST = {"name": "unread", "repeatable": False, "deadline_seconds": 60.0}
_CALLERS = {"latency_ms": 0.0, "latency_between_failure_domains_ms": 0.0}
_SERVICE: Mapping[str, Any] = {
    "name": "unread",
    "address": "192.0.2.1",
    "port": 65_535,
    "transport": "tcp",
    "failure_domains": [],
    "backend_servers": _AMPLE,
    "slots": _AMPLE,
    "connections": _AMPLE,
    "flows": "long",
    "peak_open_flows": 0,
    "peak_new_flows_per_second": 0.0,
    "requests": [],
}
_DOMAIN = {"name": "unread", "region": "unread", "in_service": True}
_FIELDS: Mapping[str, Any] = {
    **_DOMAIN,
    **_CALLERS,
    **_SERVICE,
    **_REQUEST,
    "team": "unread",
    "importance": "normal",
    "callers": _CALLERS,
    "services": [],
}
_ITEMS: Mapping[str, Any] = {
    "failure_domains": _DOMAIN,
    "services": _SERVICE,
    "requests": _REQUEST,
}
_DEPTH_OF_DOMAIN_ITEM = 2


def replace_unread(
    value: Mapping[str, Any], errors: Iterable[Mapping[str, Any]]
) -> dict[str, Any]:
    """Copy of the answers with substitutes for those that could not be decoded.

    :param errors: details of pydantic's validation error.
    """
    numbers = itertools.count()
    repaired: dict[str, Any] = copy.deepcopy(dict(value))
    for error in errors:
        location: Sequence[int | str] = error["loc"]
        parent: Any = repaired
        for part in location[:-1]:
            parent = parent[part]
        if error["type"] == "extra_forbidden":
            del parent[location[-1]]
        else:
            parent[location[-1]] = _substitute(location, next(numbers))
    return repaired


def _substitute(location: Sequence[int | str], number: int) -> Any:
    last = location[-1]
    if isinstance(last, int):
        listed = str(location[-2])
        if listed == "failure_domains" and len(location) > _DEPTH_OF_DOMAIN_ITEM:
            return "unread"
        return {**_ITEMS[listed], "name": f"unread-{number}"}
    if last == "name":
        return f"unread-{number}"
    return copy.deepcopy(_FIELDS[last])


def without_consequences(found: Problems, unread: Problems) -> Problems:
    """Problems that don't merely follow from answers that could not be decoded."""
    places = tuple(problem.where for problem in unread)
    domains_unread = any(place.startswith("failure_domains") for place in places)
    return tuple(
        problem
        for problem in found
        if not any(_is_within(problem.where, place) for place in places)
        and not (domains_unread and ".failure_domains" in problem.where)
    )


def _is_within(where: str, place: str) -> bool:
    rest = where.removeprefix(place)
    return rest != where and (not rest or rest[0] in ".[")
