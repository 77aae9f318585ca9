"""Substitutes for answers that could not be decoded.

The substitutes are valid and don't conflict with other answers, so that the remaining
answers of the file can be checked in the same run.
"""

import copy
import itertools
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from wasabigw.core.problems import Problems

_LARGE_NUMBER = 1_000_000
_REQUEST = {"name": "unread", "repeatable": False, "deadline_seconds": 60.0}
_CALLERS = {"latency_ms": 0.0, "latency_between_failure_domains_ms": 0.0}
_SERVICE: Mapping[str, Any] = {
    "name": "unread",
    "address": "192.0.2.1",
    "port": 65_535,
    "transport": "tcp",
    "failure_domains": [],
    "backend_servers": _LARGE_NUMBER,
    "slots": _LARGE_NUMBER,
    "connections": _LARGE_NUMBER,
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
_DOMAIN_ITEM_DEPTH = 2
"""Length of the location of a failure domain of the team.

Items of deeper lists, such as ``services[0].failure_domains[0]``, are names.
"""


def replace_undecoded(
    value: Mapping[str, Any], errors: Iterable[Mapping[str, Any]]
) -> dict[str, Any]:
    """Copy the answers and substitute those that could not be decoded.

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
        if listed == "failure_domains" and len(location) > _DOMAIN_ITEM_DEPTH:
            return "unread"
        return {**_ITEMS[listed], "name": f"unread-{number}"}
    if last == "name":
        return f"unread-{number}"
    return copy.deepcopy(_FIELDS[last])


def without_dependent_problems(found: Problems, undecoded: Problems) -> Problems:
    """Remove problems that are caused by answers that could not be decoded.

    :param undecoded: problems of the answers that could not be decoded.
    """
    keys = tuple(problem.where for problem in undecoded)
    domains_undecoded = any(key.startswith("failure_domains") for key in keys)
    return tuple(
        problem
        for problem in found
        if not any(_is_within(problem.where, key) for key in keys)
        and not (domains_undecoded and ".failure_domains" in problem.where)
    )


def _is_within(where: str, key: str) -> bool:
    rest = where.removeprefix(key)
    return rest != where and (not rest or rest[0] in ".[")
