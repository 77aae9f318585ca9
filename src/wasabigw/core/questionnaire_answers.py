"""Data types for a team's answers to the questionnaire."""

from dataclasses import dataclass
from enum import Enum


class FlowPattern(Enum):
    """How callers of a service use a connection."""

    LONG = "long"
    ONE_REQUEST = "one-request"


class Importance(Enum):
    """Importance of a request, which determines the priority of its service."""

    NORMAL = "normal"
    HIGH = "high"
    HIGHEST = "highest"


class Transport(Enum):
    """Transport protocol as named in the answers."""

    TCP = "tcp"
    UDP = "udp"


@dataclass(frozen=True, slots=True)
class FailureDomainAnswer:
    """A failure domain in which the team runs entry VMs and backend servers."""

    name: str
    region: str
    in_service: bool = True


@dataclass(frozen=True, slots=True)
class CallersAnswer:
    """Network latency between the callers and the failure domains.

    :param latency_ms: one-way latency from the failure domains to callers.
    :param latency_between_failure_domains_ms: one-way latency.
    """

    latency_ms: float
    latency_between_failure_domains_ms: float


@dataclass(frozen=True, slots=True)
class RequestAnswer:
    """A kind of request that callers send to a service.

    :param repeatable: whether running it twice is harmless.
    :param deadline_seconds: time after which the caller no longer needs the response.
    """

    name: str
    repeatable: bool
    deadline_seconds: float
    importance: Importance = Importance.NORMAL


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A service with the capacity of its backend servers and its expected load.

    :param backend_servers: number of backend servers in all failure domains.
    :param slots: requests that one backend server runs concurrently.
    :param connections: open connections that one backend server supports.
    :param peak_open_flows: highest number of open connections of all callers.
    :param peak_new_flows_per_second: highest rate of new connections.
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
    """Complete answers of one team."""

    team: str
    failure_domains: tuple[FailureDomainAnswer, ...]
    callers: CallersAnswer
    services: tuple[ServiceAnswer, ...]
