"""JSON files with the answers to the questionnaire."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from wasabigw._answer_substitutes import replace_undecoded, without_dependent_problems
from wasabigw.core.answer_checks import answer_problems
from wasabigw.core.answers import (
    Answers,
    CallersAnswer,
    FailureDomainAnswer,
    FlowPattern,
    Importance,
    RequestAnswer,
    ServiceAnswer,
    Transport,
)
from wasabigw.core.problems import Problems
from wasabigw.json_input import problems_of, read_object

MAX_ITEMS = 4_096
"""Largest number of services, failure domains or requests in one list."""


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", use_attribute_docstrings=True)


class FailureDomainModel(_Model):
    """A failure domain of the team."""

    name: str
    """What is the name of the failure domain?"""
    region: str
    """In which region is it?"""
    in_service: bool = Field(default=True, strict=True)
    """Is it in service from the start?"""


class CallersModel(_Model):
    """Where the callers are."""

    latency_ms: float = Field(strict=True)
    """What is the one-way latency to callers (ms)?"""
    latency_between_failure_domains_ms: float = Field(strict=True)
    """What is the one-way latency between failure domains (ms)?"""


class RequestModel(_Model):
    """A kind of request."""

    name: str
    """What is the name of this kind of request?"""
    repeatable: bool = Field(strict=True)
    """Is it safe to run it twice?"""
    deadline_seconds: float = Field(strict=True)
    """After how long does the caller no longer need the answer (s)?"""
    importance: Importance = Importance.NORMAL
    """How important is it (normal, high, highest)?"""


class ServiceModel(_Model):
    """A service of the team."""

    name: str
    """What is the name of the service?"""
    address: str
    """Which IPv4 address do callers use?"""
    port: int = Field(strict=True)
    """Which port do callers use?"""
    transport: Transport
    """Is it tcp or udp?"""
    failure_domains: tuple[str, ...] = Field(max_length=MAX_ITEMS)
    """Which failure domains serve it?"""
    backend_servers: int = Field(strict=True)
    """How many backend servers does it have in total?"""
    slots: int = Field(strict=True)
    """How many requests can one backend server process at the same time?"""
    connections: int = Field(strict=True)
    """How many open connections can one backend server have?"""
    flows: FlowPattern
    """What is a connection used for (long, one-request)?"""
    peak_open_flows: int = Field(strict=True)
    """How many connections are open at the peak?"""
    peak_new_flows_per_second: float = Field(strict=True)
    """How many connections are opened per second at the peak?"""
    requests: tuple[RequestModel, ...] = Field(max_length=MAX_ITEMS)
    """Which kinds of requests are there?"""


class AnswersModel(_Model):
    """Answer file of a team."""

    team: str
    """Which team is this?"""
    failure_domains: tuple[FailureDomainModel, ...] = Field(max_length=MAX_ITEMS)
    """Which failure domains does the team have?"""
    callers: CallersModel
    """Where are the callers?"""
    services: tuple[ServiceModel, ...] = Field(max_length=MAX_ITEMS)
    """Which services does the team have?"""


def read_answers(path: Path) -> Result[Answers, Problems]:
    """Read the answers from a file, or return all problems."""
    return read_object(path).bind(answers_from)


def answers_from(value: Mapping[str, Any]) -> Result[Answers, Problems]:
    """Convert a JSON object to answers, or return all problems.

    Even if some answers can't be decoded, the others are checked for conflicts.
    """
    try:
        model = AnswersModel.model_validate(dict(value))
    except ValidationError as error:
        undecoded = problems_of(error, AnswersModel)
        repaired = replace_undecoded(value, error.errors())
        return Failure((*undecoded, *_further_problems(repaired, undecoded)))
    answers = _answers(model)
    problems = answer_problems(answers)
    return Failure(problems) if problems else Success(answers)


def _further_problems(repaired: dict[str, Any], undecoded: Problems) -> Problems:
    try:
        model = AnswersModel.model_validate(repaired)
    except ValidationError:
        # The problems found so far have to be corrected first.
        return ()
    return without_dependent_problems(answer_problems(_answers(model)), undecoded)


def answers_schema() -> dict[str, Any]:
    """JSON schema of an answer file."""
    return AnswersModel.model_json_schema()


def _answers(model: AnswersModel) -> Answers:
    return Answers(
        model.team,
        tuple(
            FailureDomainAnswer(item.name, item.region, item.in_service)
            for item in model.failure_domains
        ),
        CallersAnswer(
            model.callers.latency_ms, model.callers.latency_between_failure_domains_ms
        ),
        tuple(_service(item) for item in model.services),
    )


def _service(model: ServiceModel) -> ServiceAnswer:
    requests = tuple(
        RequestAnswer(
            item.name, item.repeatable, item.deadline_seconds, item.importance
        )
        for item in model.requests
    )
    return ServiceAnswer(
        model.name,
        model.address,
        model.port,
        model.transport,
        model.failure_domains,
        model.backend_servers,
        model.slots,
        model.connections,
        model.flows,
        model.peak_open_flows,
        model.peak_new_flows_per_second,
        requests,
    )
