"""Generation of a configuration from a team's answers, with an explanation per value.

A configuration is generated only if all answers are valid; otherwise all problems are
returned together.
"""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from wasabigw.core.answer_checks import answer_problems, capacity
from wasabigw.core.cluster import Endpoint, FailureDomain, Service
from wasabigw.core.commands import ReplaceConfiguration
from wasabigw.core.ids import FailureDomainId, RegionId, ServiceId
from wasabigw.core.problems import Problems
from wasabigw.core.questionnaire_answers import (
    Answers,
    FailureDomainAnswer,
    FlowPattern,
    Importance,
    ServiceAnswer,
    Transport,
)
from wasabigw.core.states import FailureDomainState, FlowLimit, Protocol

PRIORITIES = {Importance.NORMAL: 0, Importance.HIGH: 50, Importance.HIGHEST: 100}
"""Priority of a service for the importance of its most important request."""

_PROTOCOLS = {Transport.TCP: Protocol.TCP, Transport.UDP: Protocol.UDP}
_LIMITS = {
    FlowPattern.LONG: FlowLimit.CONNECTIONS,
    FlowPattern.ONE_REQUEST: FlowLimit.SLOTS,
}


@dataclass(frozen=True, slots=True)
class Explanation:
    """The reason for a generated value.

    :param key: path of the value, such as ``services.seats.limit_by``.
    """

    key: str
    value: str
    reason: str


@dataclass(frozen=True, slots=True)
class GeneratedConfiguration:
    """A configuration with an explanation of each value.

    :param advice: warnings about valid answers, such as too little spare capacity.
    """

    configuration: ReplaceConfiguration
    explanations: tuple[Explanation, ...]
    advice: tuple[str, ...]


def generate(answers: Answers) -> Result[GeneratedConfiguration, Problems]:
    """Configuration for valid answers, or all problems of invalid ones."""
    problems = answer_problems(answers)
    if problems:
        return Failure(problems)
    configuration = ReplaceConfiguration(
        tuple(_service(answer) for answer in answers.services),
        tuple(_failure_domain(answer) for answer in answers.failure_domains),
    )
    explanations: list[Explanation] = []
    for domain in answers.failure_domains:
        explanations.extend(_explain_failure_domain(domain))
    for answer, service in zip(answers.services, configuration.services, strict=True):
        explanations.extend(_explain_service(answer, service))
    return Success(
        GeneratedConfiguration(configuration, tuple(explanations), _advice(answers))
    )


def _service(answer: ServiceAnswer) -> Service:
    return Service(
        id=ServiceId(answer.name),
        endpoint=Endpoint(answer.address, answer.port),
        protocol=_PROTOCOLS[answer.transport],
        failure_domains=tuple(FailureDomainId(name) for name in answer.failure_domains),
        limit_by=_LIMITS[answer.flows],
        request_deadline=max(item.deadline_seconds for item in answer.requests),
        repeatable=all(item.repeatable for item in answer.requests),
        priority=max(PRIORITIES[item.importance] for item in answer.requests),
    )


def _failure_domain(answer: FailureDomainAnswer) -> FailureDomain:
    state = (
        FailureDomainState.IN_SERVICE
        if answer.in_service
        else FailureDomainState.OUT_OF_SERVICE
    )
    return FailureDomain(FailureDomainId(answer.name), RegionId(answer.region), state)


def _explain_failure_domain(answer: FailureDomainAnswer) -> list[Explanation]:
    key = f"failure_domains.{answer.name}"
    state = _failure_domain(answer).state.value
    return [
        Explanation(f"{key}.region", answer.region, "as answered"),
        Explanation(f"{key}.state", state, "from the answer to in_service"),
    ]


def _explain_service(answer: ServiceAnswer, service: Service) -> list[Explanation]:
    values = (
        ("endpoint", f"{answer.address}:{answer.port}", "as answered"),
        ("protocol", service.protocol.name, "from the answer to transport"),
        ("failure_domains", ", ".join(answer.failure_domains), "as answered"),
        ("limit_by", service.limit_by.value, _limit_reason(answer)),
        (
            "request_deadline",
            f"{service.request_deadline:g} s",
            "the longest deadline among the requests of the service",
        ),
        ("repeatable", str(service.repeatable).lower(), _repeatable_reason(answer)),
        ("priority", str(service.priority), _priority_reason(answer)),
    )
    key = f"services.{answer.name}"
    return [Explanation(f"{key}.{name}", text, why) for name, text, why in values]


def _limit_reason(answer: ServiceAnswer) -> str:
    if answer.flows is FlowPattern.LONG:
        return (
            f"flows are long, so the {answer.connections} connections of each "
            "backend server bound its load"
        )
    return (
        f"a flow carries one request, so the {answer.slots} slots of each backend "
        "server bound its load"
    )


def _repeatable_reason(answer: ServiceAnswer) -> str:
    at_most_once = [item.name for item in answer.requests if not item.repeatable]
    if not at_most_once:
        return "running any of its requests twice does no harm"
    return f"must run at most once: {', '.join(at_most_once)}"


def _priority_reason(answer: ServiceAnswer) -> str:
    highest = max(answer.requests, key=lambda item: PRIORITIES[item.importance])
    reason = (
        f"its most important request, {highest.name}, is {highest.importance.value}"
    )
    if len({item.importance for item in answer.requests}) == 1:
        return reason
    return (
        f"{reason}; priorities apply to whole services, so its other requests get the "
        "same priority"
    )


def _advice(answers: Answers) -> tuple[str, ...]:
    advice = []
    for service in answers.services:
        domains = len(service.failure_domains)
        if domains == 1:
            advice.append(
                f"{service.name} is unavailable while failure domain "
                f"{service.failure_domains[0]} is out of service"
            )
            continue
        remaining = capacity(service) * (domains - 1) // domains
        if service.peak_open_flows > remaining:
            advice.append(
                f"{service.name}: with one of {domains} failure domains out of service "
                f"about {remaining} open flows fit, fewer than the "
                f"{service.peak_open_flows} expected at the peak"
            )
        if service.backend_servers < domains:
            advice.append(
                f"{service.name}: {service.backend_servers} backend servers can't cover"
                f" {domains} failure domains"
            )
    return tuple(advice)
