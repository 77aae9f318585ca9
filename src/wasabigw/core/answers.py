"""Answers of a new team to the questionnaire."""

from dataclasses import dataclass
from enum import Enum


class FlowPattern(Enum):
    """What callers of a service do with one connection."""

    LONG = "long"
    ONE_REQUEST = "one-request"


class Importance(Enum):
    """Which service is served first when not all can be."""

    NORMAL = "normal"
    HIGH = "high"
    HIGHEST = "highest"


class Transport(Enum):
    """Transport protocol by the name that teams use."""

    TCP = "tcp"
    UDP = "udp"


@dataclass(frozen=True, slots=True)
class FailureDomainAnswer:
    """A zone in which the team has entry VMs and backend servers."""

    name: str
    region: str
    in_service: bool = True


@dataclass(frozen=True, slots=True)
class CallersAnswer:
    """Where the callers are.

    :param latency_ms: one-way latency from the failure domains to callers.
    :param latency_between_failure_domains_ms: one-way.
    """

    latency_ms: float
    latency_between_failure_domains_ms: float


@dataclass(frozen=True, slots=True)
class RequestAnswer:
    """A kind of request that callers send to a service.

    :param repeatable: whether running it twice does no harm.
    :param deadline_seconds: after which the caller has no use for the answer.
    """

    name: str
    repeatable: bool
    deadline_seconds: float
    importance: Importance = Importance.NORMAL


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A service and what its backend servers carry.

    :param backend_servers: how many serve it in all failure domains together.
    :param slots: requests that one backend server runs at the same time.
    :param connections: open connections that one backend server carries.
    :param peak_open_flows: most open connections of all callers together.
    :param peak_new_flows_per_second: most new connections in a second.
    """

    name: str
    address: str
    port: int
    transport: Transport
    failure_domains: tuple[str, ...]
    backend_servers: int
    slots: int
    connections: int
    flows: FlowPattern
    peak_open_flows: int
    peak_new_flows_per_second: float
    requests: tuple[RequestAnswer, ...]


@dataclass(frozen=True, slots=True)
class Answers:
    """All answers of one team."""

    team: str
    failure_domains: tuple[FailureDomainAnswer, ...]
    callers: CallersAnswer
    services: tuple[ServiceAnswer, ...]
