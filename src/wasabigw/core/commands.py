"""Commands of the replicated log: operators' changes and reports of processes."""

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
    """Replaces the settings of a service; address, port and protocol stay."""

    service: Service


@dataclass(frozen=True, slots=True)
class RemoveService:
    """Removes a service and quarantines its address."""

    service: ServiceId


@dataclass(frozen=True, slots=True)
class SetServiceFailureDomains:
    """Declares which failure domains serve a service."""

    service: ServiceId
    failure_domains: tuple[FailureDomainId, ...]


@dataclass(frozen=True, slots=True)
class TakeFailureDomainOut:
    """Takes a failure domain out of service; its flows are given up."""

    failure_domain: FailureDomainId


@dataclass(frozen=True, slots=True)
class BringFailureDomainBack:
    """Brings a failure domain back; its backend servers ramp up again."""

    failure_domain: FailureDomainId


@dataclass(frozen=True, slots=True)
class DrainBackendServer:
    """Sends no new flows to a backend server; established flows stay."""

    backend_server: BackendServerId


@dataclass(frozen=True, slots=True)
class DrainBalancer:
    """Moves the homes of a balancer to others before it stops."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """Replaces all services and failure domains by a generated configuration."""

    services: tuple[Service, ...]
    failure_domains: tuple[FailureDomain, ...]


@dataclass(frozen=True, slots=True)
class DeclareConfiguration:
    """Declares a whole configuration; takes effect if its version is the highest."""

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
    """An operator's change.

    :param request_id: the same for each repetition of the request.
    :param expected_revision: configuration revision that the operator saw.
    """

    request_id: RequestId
    expected_revision: Revision
    change: Change


@dataclass(frozen=True, slots=True)
class Order:
    """An operator's change that holds whatever the configuration was before.

    Such changes are idempotent, so a repetition needs no id to be recognised.
    """

    change: OrderedChange


@dataclass(frozen=True, slots=True)
class BackendServerUp:
    """A backend server announced itself to its home."""

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
    """The lease of a backend server ended."""

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
    """A backend server announced that it drains or leaves."""

    id: BackendServerId
    boot_id: BootId
    state: BackendServerState


@dataclass(frozen=True, slots=True)
class BackendServerOverloaded:
    """A backend server is near its limit, or no longer is."""

    id: BackendServerId
    overloaded: bool


@dataclass(frozen=True, slots=True)
class CandidatesReleased:
    """A home has no more flows of these buckets on a former candidate."""

    service: ServiceId
    backend_server: BackendServerId
    buckets: tuple[BucketNumber, ...]
    up_to: Revision


@dataclass(frozen=True, slots=True)
class CandidatesAdded:
    """A home holds flows of these buckets although it is not their home."""

    service: ServiceId
    backend_server: BackendServerId
    buckets: tuple[BucketNumber, ...]
    reason: CandidateReason


@dataclass(frozen=True, slots=True)
class NodeUp:
    """A balancer registered, or registered again with a new incarnation."""

    node: Node


@dataclass(frozen=True, slots=True)
class NodeDown:
    """A balancer fell silent; ignored if its incarnation has changed."""

    node: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class NodeSuspected:
    """A balancer fell silent together with many others and is kept for now."""

    node: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class VoterAdmitted:
    """A voter with a new data folder may be counted, or counted again.

    :param place: ``None`` if the settings of all voters name it.
    """

    voter: NodeId
    incarnation: Incarnation
    place: VoterPlace | None = None


@dataclass(frozen=True, slots=True)
class VoterRemoved:
    """A voter is no longer counted."""

    voter: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class VoterPlaced:
    """A voter said where it is."""

    voter: NodeId
    place: VoterPlace


@dataclass(frozen=True, slots=True)
class EndpointReleased:
    """The quarantine of an endpoint has ended.

    :param since: start of that quarantine; a later one is not ended.
    """

    endpoint: Endpoint
    since: Revision


@dataclass(frozen=True, slots=True)
class BootAnnounced:
    """A backend server that is reached by its tag announced itself.

    :param started_at: start of the boot in Unix milliseconds of its own clock.
    :param cold_for: how long it bears only a few new flows from now on.
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
    """A boot has not announced itself for a lease, or said that it ends."""

    id: BackendServerId
    tag: Tag


@dataclass(frozen=True, slots=True)
class BootsForgotten:
    """No flow can name these ended or silent boots any more."""

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
    """Reports that take effect together; all of them are idempotent."""

    reports: tuple[Report, ...]


@dataclass(frozen=True, slots=True)
class LeaderElected:
    """First entry of a term; commits the entries of earlier terms."""

    leader: NodeId


Command = ChangeRequest | Order | ReportBatch | LeaderElected
