"""Backend servers: their settings, their boots, and the flows at a boot."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from wasabigw.core.commands import BootAnnounced
from wasabigw.core.ids import BackendServerId, FailureDomainId, ServiceId, Tag
from wasabigw.core.tags.packets import FlowId
from wasabigw_verify.evidence_model.deployment import DOMAINS, SERVICES
from wasabigw_verify.evidence_model.transport import Acknowledging, Receiver, Sender

LONG_AGO = -1000.0


class FlowPhase(Enum):
    """Life of a flow at a backend server."""

    HALF_OPEN = "the end of the handshake has not arrived"
    OPEN = "open"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """A backend server.

    :param service_time: seconds that a request occupies a slot.
    :param accepts_connections: whether it listens for health checks.
    :param queue: requests that wait for a slot; further ones are rejected.
    :param starts_at: when its first boot starts.
    :param is_firewalled: whether attempts to its unused ports are dropped.
    """

    slots: int = 4
    queue: int = 20
    service_time: float = 0.01
    max_flows: int = 2000
    accepts_connections: bool = True
    acknowledging: Acknowledging = Acknowledging.EACH
    failure_domain: FailureDomainId = DOMAINS[0]
    service: ServiceId = SERVICES[0]
    starts_at: float = 0.0
    is_firewalled: bool = False


@dataclass(frozen=True, slots=True)
class Workload:
    """Sizes of the requests of a caller and of their responses, in bytes."""

    request: int = 600
    response: int = 600


DEFAULT_WORKLOAD = Workload()


@dataclass(slots=True, eq=False)
class ServerFlow:
    """One flow at one boot."""

    flow: FlowId
    first_sequence: int
    own_sequence: int
    tag: Tag
    receiver: Receiver
    sender: Sender
    phase: FlowPhase = FlowPhase.HALF_OPEN
    unread: int = 0
    unanswered: int = 0


@dataclass(slots=True, eq=False)
class Boot:
    """One start of a backend server.

    :param number: counted over all boots of the run.
    :param disturbed_at: when an impairment of it or of its links was last in force.
    """

    id: BackendServerId
    number: int
    settings: ServerSettings
    report: BootAnnounced
    is_alive: bool = True
    is_draining: bool = False
    died_at: float = -1.0
    disturbed_at: float = LONG_AGO
    busy: int = 0
    flows: dict[FlowId, ServerFlow] = field(default_factory=dict)
    waiting: deque[ServerFlow] = field(default_factory=deque)
