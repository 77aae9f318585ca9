"""Configuration that operators declare as one versioned document.

A listener is an address to which callers open flows, with the services that take
them. The replicated state stores the document as the operator wrote it, so that it
can be returned unchanged; a front end parses it into a :class:`Declaration`.
"""

import math
from collections import Counter
from dataclasses import dataclass

from wasabigw.core.endpoint import Endpoint, endpoint_key, endpoint_problem
from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.numbers import MAX_EXACT_INTEGER
from wasabigw.core.requirements import MAX_PRIORITY, Requirements

DEFAULT_IDLE_TIMEOUT = Seconds(15.0)
"""Idle time after which a flow may be dropped, unless the document sets another."""


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that takes a share of a listener's new flows.

    :param weight: share relative to the other services; 0 for no flows.
    """

    service: ServiceId
    weight: int


@dataclass(frozen=True, slots=True)
class Listener:
    """An address to which callers open flows.

    :param shares: services that take the flows.
    :param request_timeout: longest duration of a request on such a flow.
    :param requirements: what its callers need; ``None`` if that is not declared.
    """

    endpoint: Endpoint
    shares: tuple[ServiceShare, ...]
    request_timeout: Seconds
    requirements: Requirements | None = None


@dataclass(frozen=True, slots=True)
class DeclaredService:
    """A service and the capacity of its backend servers.

    :param cold_rate: new flows per second that a cold backend server can take.
    """

    id: ServiceId
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Declaration:
    """A declared configuration.

    :param version: the declaration with the highest version is in force.
    """

    version: int
    listeners: tuple[Listener, ...]
    services: tuple[DeclaredService, ...]
    idle_timeout: Seconds = DEFAULT_IDLE_TIMEOUT


def declaration_problems(declaration: Declaration) -> tuple[str, ...]:
    """Error messages for all that makes a declaration invalid."""
    problems: list[str] = []
    if declaration.version < 0:
        problems.append(f"version {declaration.version} must be 0 or more")
    elif declaration.version > MAX_EXACT_INTEGER:
        problems.append(f"the version is above {MAX_EXACT_INTEGER}")
    problems.extend(_repeated_services(declaration))
    problems.extend(_repeated_endpoints(declaration))
    known = {service.id for service in declaration.services}
    for listener in declaration.listeners:
        problems.extend(_listener_problems(listener, known))
    return tuple(problems)


def _repeated_services(declaration: Declaration) -> list[str]:
    counts = Counter(service.id for service in declaration.services)
    return [
        f"service {name!r} is declared {count} times; declare it once"
        for name, count in counts.items()
        if count > 1
    ]


def _repeated_endpoints(declaration: Declaration) -> list[str]:
    counts = Counter(listener.endpoint for listener in declaration.listeners)
    return [
        f"{count} listeners use {endpoint_key(endpoint)}; give each its own address "
        "or port"
        for endpoint, count in counts.items()
        if count > 1
    ]


def _listener_problems(listener: Listener, known: set[ServiceId]) -> list[str]:
    where = f"listener {endpoint_key(listener.endpoint)}"
    error = endpoint_problem(listener.endpoint)
    if error is not None:
        return [f"{where}: {error}"]
    problems = [
        f"{where} refers to service {share.service!r}, which is not declared"
        for share in listener.shares
        if share.service not in known
    ]
    if any(share.weight < 0 for share in listener.shares):
        problems.append(f"{where} has a negative weight; use 0 or more")
    elif any(share.weight > MAX_EXACT_INTEGER for share in listener.shares):
        problems.append(f"{where} has a weight above {MAX_EXACT_INTEGER}")
    elif not any(share.weight > 0 for share in listener.shares):
        problems.append(f"{where} sends its flows to no service; set a weight above 0")
    if listener.request_timeout <= 0:
        problems.append(f"{where} needs a request timeout above 0 s")
    if listener.requirements is not None:
        problems.extend(_requirement_problems(where, listener.requirements))
    return problems


def _requirement_problems(where: str, requirements: Requirements) -> list[str]:
    problems = []
    if not 0 <= requirements.priority <= MAX_PRIORITY:
        problems.append(
            f"{where} has priority {requirements.priority}; use 0 to {MAX_PRIORITY}"
        )
    if not 0 < requirements.latency_objective < math.inf:
        problems.append(
            f"{where} needs a latency objective above 0 s that is not infinite"
        )
    return problems
