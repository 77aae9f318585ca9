"""Validation of the answers to the questionnaire."""

import ipaddress
import math
from collections.abc import Iterator

from wasabigw.core.endpoint_checks import MAX_PORT
from wasabigw.core.names import NAME_RULE, is_name
from wasabigw.core.problems import Problem, Problems, describe_known_names, format_value
from wasabigw.core.questionnaire_answers import (
    Answers,
    FailureDomainAnswer,
    FlowPattern,
    RequestAnswer,
    ServiceAnswer,
)

NEW_FLOWS_PERIOD = 10.0
"""Shortest time in seconds in which the admission limit lets a backend server fill."""

MAX_DEADLINE = 86_400.0
"""Longest deadline of a request, in seconds."""

MILLISECONDS_PER_SECOND = 1_000.0


def capacity(service: ServiceAnswer) -> int:
    """Total number of open flows that the backend servers of a service can hold."""
    if service.flows is FlowPattern.LONG:
        return service.backend_servers * service.connections
    return service.backend_servers * service.slots


def answer_problems(answers: Answers) -> Problems:
    """All problems of the answers."""
    return tuple(_all_problems(answers))


def _all_problems(answers: Answers) -> Iterator[Problem]:
    yield from _caller_problems(answers)
    if not answers.failure_domains:
        yield Problem("failure_domains", "none", "at least one failure domain")
    if not answers.services:
        yield Problem("services", "none", "at least one service")
    yield from _duplicate_name_problems(
        "failure_domains", [domain.name for domain in answers.failure_domains]
    )
    yield from _duplicate_name_problems(
        "services", [service.name for service in answers.services]
    )
    for index, domain in enumerate(answers.failure_domains):
        yield from _failure_domain_problems(f"failure_domains[{index}]", domain)
    for index, service in enumerate(answers.services):
        yield from _service_problems(f"services[{index}]", service, answers)
    yield from _duplicate_endpoint_problems(answers)


def _caller_problems(answers: Answers) -> Iterator[Problem]:
    if not answers.team.strip():
        yield Problem("team", format_value(answers.team), "the name of the team")
    callers = answers.callers
    latencies = (
        ("latency_ms", callers.latency_ms),
        (
            "latency_between_failure_domains_ms",
            callers.latency_between_failure_domains_ms,
        ),
    )
    for name, value in latencies:
        if not (math.isfinite(value) and value >= 0):
            yield Problem(
                f"callers.{name}", format_value(value), "milliseconds, 0 or more"
            )


def _duplicate_name_problems(where: str, names: list[str]) -> Iterator[Problem]:
    for index, name in enumerate(names):
        first = names.index(name)
        if first < index:
            yield Problem(
                f"{where}[{index}].name",
                format_value(name),
                f"a name other than that of {where}[{first}]",
            )


def _failure_domain_problems(
    where: str, domain: FailureDomainAnswer
) -> Iterator[Problem]:
    for key, value in (("name", domain.name), ("region", domain.region)):
        if not is_name(value):
            yield Problem(f"{where}.{key}", format_value(value), NAME_RULE)


def _service_problems(
    where: str, service: ServiceAnswer, answers: Answers
) -> Iterator[Problem]:
    if not is_name(service.name):
        yield Problem(f"{where}.name", format_value(service.name), NAME_RULE)
    yield from _endpoint_problems(where, service)
    yield from _domain_reference_problems(where, service, answers)
    amounts = (
        ("backend_servers", service.backend_servers),
        ("slots", service.slots),
        ("connections", service.connections),
    )
    invalid_amounts = [item for item in amounts if item[1] < 1]
    for key, value in invalid_amounts:
        yield Problem(f"{where}.{key}", format_value(value), "a number of at least 1")
    yield from _load_problems(where, service, check_capacity=not invalid_amounts)
    if not service.requests:
        yield Problem(f"{where}.requests", "none", "at least one kind of request")
    yield from _duplicate_name_problems(
        f"{where}.requests", [item.name for item in service.requests]
    )
    round_trip = _round_trip_seconds(answers)
    for index, request in enumerate(service.requests):
        yield from _request_problems(f"{where}.requests[{index}]", request, round_trip)


def _endpoint_problems(where: str, service: ServiceAnswer) -> Iterator[Problem]:
    try:
        address = ipaddress.IPv4Address(service.address)
    except ValueError:
        address = None
    if address is None or address.is_multicast or address.is_unspecified:
        yield Problem(
            f"{where}.address", format_value(service.address), "an IPv4 unicast address"
        )
    if not 1 <= service.port <= MAX_PORT:
        yield Problem(
            f"{where}.port", format_value(service.port), f"a port from 1 to {MAX_PORT}"
        )


def _domain_reference_problems(
    where: str, service: ServiceAnswer, answers: Answers
) -> Iterator[Problem]:
    known = {domain.name for domain in answers.failure_domains}
    key = f"{where}.failure_domains"
    if not service.failure_domains:
        yield Problem(key, "none", "at least one of the failure domains")
    for index, name in enumerate(service.failure_domains):
        if name not in known:
            expected = describe_known_names(name, known)
            yield Problem(f"{key}[{index}]", format_value(name), expected)
        elif service.failure_domains.index(name) < index:
            expected = "each failure domain once"
            yield Problem(f"{key}[{index}]", format_value(name), expected)


def _load_problems(
    where: str, service: ServiceAnswer, check_capacity: bool
) -> Iterator[Problem]:
    rate = service.peak_new_flows_per_second
    rate_is_valid = math.isfinite(rate) and rate >= 0
    rate_key = f"{where}.peak_new_flows_per_second"
    if not rate_is_valid:
        yield Problem(rate_key, format_value(rate), "flows per second, 0 or more")
    open_key = f"{where}.peak_open_flows"
    if service.peak_open_flows < 0:
        yield Problem(
            open_key, format_value(service.peak_open_flows), "0 or more flows"
        )
    if not check_capacity:
        return
    total = capacity(service)
    if service.peak_open_flows > total:
        yield Problem(
            open_key,
            format_value(service.peak_open_flows),
            _capacity_expectation(service, total),
        )
    max_rate = service.backend_servers * service.connections / NEW_FLOWS_PERIOD
    if rate_is_valid and rate > max_rate:
        yield Problem(
            rate_key,
            format_value(rate),
            f"at most {max_rate:g}, because {service.backend_servers} backend "
            f"servers accept {service.connections} connections in "
            f"{NEW_FLOWS_PERIOD:g} s each",
        )


def _capacity_expectation(service: ServiceAnswer, total: int) -> str:
    limit = (
        f"{service.connections} connections"
        if service.flows is FlowPattern.LONG
        else f"{service.slots} slots"
    )
    return (
        f"at most {total}, because {service.backend_servers} backend servers have "
        f"{limit} each"
    )


def _round_trip_seconds(answers: Answers) -> float:
    callers = answers.callers
    one_way = callers.latency_ms + callers.latency_between_failure_domains_ms
    return 2 * one_way / MILLISECONDS_PER_SECOND


def _request_problems(
    where: str, request: RequestAnswer, round_trip: float
) -> Iterator[Problem]:
    if not (request.name.strip() and request.name.isprintable()):
        yield Problem(f"{where}.name", format_value(request.name), "a printable name")
    deadline = request.deadline_seconds
    if not 0 < deadline <= MAX_DEADLINE:
        yield Problem(
            f"{where}.deadline_seconds",
            format_value(deadline),
            f"seconds, more than 0 and at most {MAX_DEADLINE:g}",
        )
    elif deadline <= round_trip:
        yield Problem(
            f"{where}.deadline_seconds",
            format_value(deadline),
            f"more than {round_trip:g}, the round-trip time computed from callers",
        )


def _duplicate_endpoint_problems(answers: Answers) -> Iterator[Problem]:
    endpoints = [(service.address, service.port) for service in answers.services]
    for index, endpoint in enumerate(endpoints):
        first = endpoints.index(endpoint)
        if first < index:
            yield Problem(
                f"services[{index}].port",
                f"{endpoint[0]}:{endpoint[1]}",
                f"an address and port other than those of services[{first}]",
            )
