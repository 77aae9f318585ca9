"""Commands of the replicated log: operators' changes and reports from processes."""

from dataclasses import dataclass

from wasabigw.core.cluster import (
    DeclaredDocument,
    Endpoint,
    FailureDomain,
    Node,
    Service,
    VoterPlace,
)
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    BucketNumber,
    FailureDomainId,
    Incarnation,
    NodeId,
    RequestId,
    Revision,
    Seconds,
    ServiceId,
    Tag,
)
from wasabigw.core.states import BackendServerState, CandidateReason


@dataclass(frozen=True, slots=True)
class CreateService:
    """Adds a service under a new id."""

    service: Service


@dataclass(frozen=True, slots=True)
class UpdateService:
    """Replaces the settings of a service; address, port and protocol can't change."""

    service: Service


@dataclass(frozen=True, slots=True)
class RemoveService:
    """Removes a service and quarantines its address."""

    service: ServiceId


@dataclass(frozen=True, slots=True)
class SetServiceFailureDomains:
    """Sets the failure domains that serve a service."""

    service: ServiceId
    failure_domains: tuple[FailureDomainId, ...]


@dataclass(frozen=True, slots=True)
class TakeFailureDomainOut:
    """Takes a failure domain out of service and drops its flows."""

    failure_domain: FailureDomainId


@dataclass(frozen=True, slots=True)
class BringFailureDomainBack:
    """Returns a failure domain to service; its backend servers ramp up again."""

    failure_domain: FailureDomainId


@dataclass(frozen=True, slots=True)
class DrainBackendServer:
    """Stops new flows to a backend server; established flows continue."""

    backend_server: BackendServerId


@dataclass(frozen=True, slots=True)
class DrainBalancer:
    """Moves the home role of a balancer to other balancers before it stops."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """Replaces all services and failure domains by a generated configuration."""

    services: tuple[Service, ...]
    failure_domains: tuple[FailureDomain, ...]


@dataclass(frozen=True, slots=True)
class DeclareConfiguration:
    """Declares a complete configuration; ignored unless its version is the highest."""

    document: DeclaredDocument


Change = (
    CreateService
    | UpdateService
    | RemoveService
    | SetServiceFailureDomains
    | TakeFailureDomainOut
    | BringFailureDomainBack
    | DrainBackendServer
    | DrainBalancer
    | ReplaceConfiguration
)

OrderedChange = DeclareConfiguration | TakeFailureDomainOut | BringFailureDomainBack


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """An operator's change, applied if the configuration revision is as expected.

    :param request_id: identical in every retry of the request.
    :param expected_revision: configuration revision that the change is based on.
    """

    request_id: RequestId
    expected_revision: Revision
    change: Change


@dataclass(frozen=True, slots=True)
class Order:
    """An operator's change that applies to any configuration revision.

    Such changes are idempotent, so retries need no request id.
    """

    change: OrderedChange


@dataclass(frozen=True, slots=True)
class BackendServerUp:
    """A backend server announced itself to its home balancer."""

    id: BackendServerId
    service: ServiceId
    failure_domain: FailureDomainId
    endpoint: Endpoint
    boot_id: BootId
    slots: int
    connections: int
    state: BackendServerState
    step: int


@dataclass(frozen=True, slots=True)
class BackendServerDown:
    """The lease of a backend server expired."""

    id: BackendServerId
    boot_id: BootId


@dataclass(frozen=True, slots=True)
class BackendServerStep:
    """A backend server may use ``step`` eighths of its capacity."""

    id: BackendServerId
    boot_id: BootId
    step: int


@dataclass(frozen=True, slots=True)
class BackendServerDraining:
    """A backend server announced that it is draining or leaving."""

    id: BackendServerId
    boot_id: BootId
    state: BackendServerState


@dataclass(frozen=True, slots=True)
class BackendServerOverloaded:
    """A backend server reached its overload threshold or fell below it."""

    id: BackendServerId
    overloaded: bool


@dataclass(frozen=True, slots=True)
class CandidatesReleased:
    """A candidate has no open flows of these buckets any more."""

    service: ServiceId
    backend_server: BackendServerId
    buckets: tuple[BucketNumber, ...]
    up_to: Revision


@dataclass(frozen=True, slots=True)
class CandidatesAdded:
    """A balancer sent flows of these buckets to another backend server."""

    service: ServiceId
    backend_server: BackendServerId
    buckets: tuple[BucketNumber, ...]
    reason: CandidateReason


@dataclass(frozen=True, slots=True)
class NodeUp:
    """A balancer registered, possibly again with a new incarnation."""

    node: Node


@dataclass(frozen=True, slots=True)
class NodeDown:
    """A balancer stopped polling the log; ignored if its incarnation has changed."""

    node: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class NodeSuspected:
    """A balancer stopped polling in a mass outage and is not removed yet."""

    node: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class VoterAdmitted:
    """A voter counts towards majorities, possibly again with a new data directory.

    :param place: ``None`` if the settings of all voters contain it.
    """

    voter: NodeId
    incarnation: Incarnation
    place: VoterPlace | None = None


@dataclass(frozen=True, slots=True)
class VoterRemoved:
    """A voter no longer counts towards majorities."""

    voter: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class VoterPlaced:
    """A voter reported its location."""

    voter: NodeId
    place: VoterPlace


@dataclass(frozen=True, slots=True)
class EndpointReleased:
    """The quarantine of an endpoint has ended.

    :param since: start of that quarantine; a later quarantine is not ended.
    """

    endpoint: Endpoint
    since: Revision


@dataclass(frozen=True, slots=True)
class BootAnnounced:
    """A backend server that is addressed by its tag announced itself.

    :param started_at: start time of the boot in Unix milliseconds of its own clock.
    :param cold_for: remaining time of the cold start, in which it takes few new flows.
    """

    id: BackendServerId
    service: ServiceId
    failure_domain: FailureDomainId
    endpoint: Endpoint
    started_at: int
    slots: int
    draining: bool
    cold_for: Seconds


@dataclass(frozen=True, slots=True)
class BootSilent:
    """A boot didn't announce itself for a lease, or announced that it ends."""

    id: BackendServerId
    tag: Tag


@dataclass(frozen=True, slots=True)
class BootsForgotten:
    """No flow can refer to these boots, which get no new ones, any more."""

    tags: tuple[Tag, ...]


Report = (
    BackendServerUp
    | BackendServerDown
    | BackendServerStep
    | BackendServerDraining
    | BackendServerOverloaded
    | CandidatesReleased
    | CandidatesAdded
    | NodeUp
    | NodeDown
    | NodeSuspected
    | VoterAdmitted
    | VoterRemoved
    | VoterPlaced
    | EndpointReleased
    | BootAnnounced
    | BootSilent
    | BootsForgotten
)


@dataclass(frozen=True, slots=True)
class ReportBatch:
    """Idempotent reports that are applied as one log entry."""

    reports: tuple[Report, ...]


@dataclass(frozen=True, slots=True)
class LeaderElected:
    """First entry of a term; commits the entries of earlier terms."""

    leader: NodeId


Command = ChangeRequest | Order | ReportBatch | LeaderElected
