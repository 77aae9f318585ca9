"""Replicated state: services, failure domains, backend servers and balancers.

The state changes only through :func:`wasabigw.core.apply.apply`, which applies the
entries of the replicated log in order. Each task that reads it owns a copy.
"""

from dataclasses import dataclass, field

from wasabigw.core.endpoint import Endpoint as Endpoint
from wasabigw.core.endpoint import endpoint_key as endpoint_key
from wasabigw.core.ids import NO_REVISION as NO_REVISION
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    BucketNumber,
    FailureDomainId,
    Incarnation,
    NodeId,
    RegionId,
    RequestId,
    Revision,
    ServiceId,
)
from wasabigw.core.registration import DeclaredDocument as DeclaredDocument
from wasabigw.core.registration import Registration as Registration
from wasabigw.core.states import (
    BackendServerState,
    CandidateReason,
    FailureDomainState,
    FlowLimit,
    NodeState,
    Protocol,
    RefusalCode,
)
from wasabigw.core.timing import FULL_STEP


@dataclass(frozen=True, slots=True)
class Service:
    """A service: its address, and the limits and priority of its flows.

    :param request_deadline: longest duration of a request, in seconds.
    :param repeatable: whether its requests are idempotent and may be retried.
    :param priority: services with a higher value come first when capacity is short.
    """

    id: ServiceId
    endpoint: Endpoint
    protocol: Protocol
    failure_domains: tuple[FailureDomainId, ...]
    limit_by: FlowLimit = FlowLimit.CONNECTIONS
    request_deadline: float = 30.0
    repeatable: bool = False
    priority: int = 0


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """A failure domain and its administrative state."""

    id: FailureDomainId
    region: RegionId
    state: FailureDomainState = FailureDomainState.IN_SERVICE


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A registered backend server.

    :param index: unique number that is never assigned again.
    :param step: eighths of its capacity that it may use at present.
    """

    id: BackendServerId
    index: int
    service: ServiceId
    failure_domain: FailureDomainId
    endpoint: Endpoint
    boot_id: BootId
    slots: int
    connections: int
    state: BackendServerState = BackendServerState.COLD
    step: int = FULL_STEP
    overloaded: bool = False


@dataclass(frozen=True, slots=True)
class Node:
    """A balancer that replicates the log.

    :param data: endpoint for Geneve frames.
    :param api: endpoint of its HTTP server.
    """

    id: NodeId
    failure_domain: FailureDomainId
    data: Endpoint
    api: Endpoint
    incarnation: Incarnation
    state: NodeState = NodeState.UP


@dataclass(frozen=True, slots=True)
class VoterPlace:
    """Location of a control VM.

    :param api: API endpoint of its voter.
    :param failure_domain: ``None`` if only the endpoint is known.
    """

    api: Endpoint
    failure_domain: FailureDomainId | None


@dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that may hold flows of a bucket besides the current one."""

    backend_server: BackendServerId
    reason: CandidateReason
    revision: Revision


@dataclass(slots=True)
class BucketTable:
    """Bucket assignment of one service.

    :param current: backend server of each bucket; ``None`` if it has none.
    :param others: further candidates of each bucket, newest first.
    :param version: number of changes to this object, with which readers detect
        changes cheaply; not part of the replicated state.
    """

    current: list[BackendServerId | None]
    others: dict[BucketNumber, list[Candidate]] = field(default_factory=dict)
    version: int = field(default=0, compare=False, repr=False)


@dataclass(slots=True)
class Registry:
    """Registered boots of backend servers that are addressed by tags.

    :param current: boot of each backend server that was last in use. Of those at one
        endpoint, all but one are silent.
    :param ended: other boots under the ids of current ones, for packets that carry
        their tags. They may still run.
    :param owners: backend server whose boot was last in use at each endpoint.
    :param next_tag: tag of the next boot; tags are never reused.
    :param forgotten_at: revision at which boots were last removed.
    """

    current: dict[BackendServerId, Registration] = field(default_factory=dict)
    ended: list[Registration] = field(default_factory=list)
    owners: dict[str, BackendServerId] = field(default_factory=dict)
    next_tag: int = 1
    forgotten_at: Revision = NO_REVISION


@dataclass(frozen=True, slots=True)
class Applied:
    """A command took effect at a revision.

    :param configuration_revision: expected revision for the next change.
    """

    revision: Revision
    configuration_revision: Revision


@dataclass(frozen=True, slots=True)
class Refusal:
    """A command was refused and changed nothing.

    :param message: description of the problem and how to correct it.
    """

    code: RefusalCode
    message: str
    configuration_revision: Revision


@dataclass(frozen=True, slots=True)
class Quarantine:
    """A released endpoint that another service must not use yet."""

    endpoint: Endpoint
    service: ServiceId
    since: Revision


@dataclass(slots=True)
class ClusterState:
    """Copy of the replicated state at one revision."""

    revision: Revision = NO_REVISION
    configuration_revision: Revision = NO_REVISION
    services: dict[ServiceId, Service] = field(default_factory=dict)
    failure_domains: dict[FailureDomainId, FailureDomain] = field(default_factory=dict)
    backend_servers: dict[BackendServerId, BackendServer] = field(default_factory=dict)
    nodes: dict[NodeId, Node] = field(default_factory=dict)
    voters: dict[NodeId, Incarnation] = field(default_factory=dict)
    voter_places: dict[NodeId, VoterPlace] = field(default_factory=dict)
    buckets: dict[ServiceId, BucketTable] = field(default_factory=dict)
    quarantine: dict[str, Quarantine] = field(default_factory=dict)
    requests: dict[RequestId, Applied | Refusal] = field(default_factory=dict)
    next_backend_index: int = 0
    declared: DeclaredDocument | None = None
    declared_at: Revision = NO_REVISION
    registry: Registry = field(default_factory=Registry)
