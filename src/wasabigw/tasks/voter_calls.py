"""Messages that the voter task receives and its answers."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from wasabigw.core.cluster import (
    Applied,
    BackendServer,
    ClusterState,
    DeclaredDocument,
    Endpoint,
    FailureDomain,
    Node,
    Refusal,
    Service,
)
from wasabigw.core.commands import ChangeRequest, Order
from wasabigw.core.consensus.messages import Envelope
from wasabigw.core.delivery_view import ViewUpdate
from wasabigw.core.durations import Durations
from wasabigw.core.ids import (
    FailureDomainId,
    Incarnation,
    NodeId,
    Revision,
    Seconds,
    Term,
)
from wasabigw.core.log_messages import (
    BootAnnouncement,
    BootDeparture,
    InForce,
    LogBatch,
    LogPoll,
    NotLeader,
    RegistrationBatch,
    ReportRequest,
)
from wasabigw.core.states import VoterRole
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import Tick
from wasabigw.telemetry.trace_context import TraceParent


@dataclass(frozen=True, slots=True)
class Overloaded:
    """The voter has reached a limit; nothing was done.

    :param message: which limit.
    """

    message: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The leadership ended before the command was committed.

    The command may still take effect; a repetition with the same id is safe.
    """


@dataclass(frozen=True, slots=True)
class StateView:
    """Current configuration and registrations, without the bucket tables."""

    revision: Revision
    configuration_revision: Revision
    services: tuple[Service, ...]
    failure_domains: tuple[FailureDomain, ...]
    backend_servers: tuple[BackendServer, ...]
    nodes: tuple[Node, ...]
    voters: dict[NodeId, Incarnation]


@dataclass(frozen=True, slots=True)
class DocumentView:
    """The declared configuration that is in force.

    :param document: ``None`` before the first declaration.
    """

    document: DeclaredDocument | None


@dataclass(frozen=True, slots=True)
class Settled:
    """The replicated state shows what a backend server told."""


CommandAnswer = Applied | Refusal | NotLeader | OutcomeUnknown | Overloaded
PollAnswer = LogBatch | NotLeader | Overloaded
StateAnswer = StateView | NotLeader
InForceAnswer = InForce | NotLeader
DocumentAnswer = DocumentView | NotLeader
RegistrationAnswer = Settled | Overloaded | NotLeader
ViewAnswer = ViewUpdate | Overloaded


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A request of another voter; the answer is an envelope."""

    envelope: Envelope
    reply: Mailbox[Envelope]


@dataclass(frozen=True, slots=True)
class LinkAnswer:
    """Another voter answered a request of this one."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class ChangeCall:
    """An operator's change.

    :param parent: span of the HTTP request, if it is traced.
    """

    request: ChangeRequest
    reply: Mailbox[CommandAnswer]
    parent: TraceParent | None = None


@dataclass(frozen=True, slots=True)
class ReportCall:
    """Reports of a balancer."""

    request: ReportRequest
    reply: Mailbox[CommandAnswer]


@dataclass(frozen=True, slots=True)
class PollCall:
    """A log poll; the answer may come after the wait that the poll allows."""

    poll: LogPoll
    reply: Mailbox[PollAnswer]


@dataclass(frozen=True, slots=True)
class ViewCall:
    """Asks for what has changed in the delivery view after a revision.

    :param wait: how long the voter may hold the call if nothing has.
    """

    after: Revision
    wait: Seconds
    reply: Mailbox[ViewAnswer]


@dataclass(frozen=True, slots=True)
class StateCall:
    """Asks for the current configuration."""

    reply: Mailbox[StateAnswer]


@dataclass(frozen=True, slots=True)
class InForceCall:
    """Asks where a revision is in force.

    :param revision: ``None`` for the current configuration revision.
    """

    revision: Revision | None
    reply: Mailbox[InForceAnswer]


@dataclass(frozen=True, slots=True)
class OrderCall:
    """An operator's order."""

    order: Order
    reply: Mailbox[CommandAnswer]


@dataclass(frozen=True, slots=True)
class DocumentCall:
    """Asks for the declared configuration that is in force."""

    reply: Mailbox[DocumentAnswer]


@dataclass(frozen=True, slots=True)
class RegistrationCall:
    """A call of a backend server that is reached by its tag."""

    notification: BootAnnouncement | BootDeparture
    reply: Mailbox[RegistrationAnswer]


@dataclass(frozen=True, slots=True)
class RegistrationsForwarded:
    """Calls of backend servers that another control VM took."""

    batch: RegistrationBatch


@dataclass(frozen=True, slots=True)
class VoterStatus:
    """What a voter knows and how long its work takes.

    :param lag: entries of its log that are not known to be committed.
    :param syncs: from an append to the end of its sync.
    :param commits: from the proposal of a command to its commit, at a leader.
    """

    role: VoterRole
    term: Term
    revision: Revision
    lag: int
    voters: int
    waiting: int
    declared_version: int | None
    out_of_service: tuple[FailureDomainId, ...]
    syncs: Durations
    commits: Durations


@dataclass(frozen=True, slots=True)
class VoterStatusCall:
    """Asks for the state of the voter; every voter answers at any time."""

    reply: Mailbox[VoterStatus]


@dataclass(frozen=True, slots=True)
class VoterEndpointsChanged:
    """The settings name other control VMs.

    :param endpoints: endpoint of each, with the own one.
    """

    endpoints: Mapping[NodeId, Endpoint]


VoterMessage = (
    PeerMessage
    | LinkAnswer
    | ChangeCall
    | ReportCall
    | PollCall
    | StateCall
    | InForceCall
    | OrderCall
    | DocumentCall
    | RegistrationCall
    | RegistrationsForwarded
    | VoterEndpointsChanged
    | VoterStatusCall
    | Tick
)


def state_view(state: ClusterState) -> StateView:
    """View of the replicated state at its current revision."""
    return StateView(
        state.revision,
        state.configuration_revision,
        tuple(state.services.values()),
        tuple(state.failure_domains.values()),
        tuple(state.backend_servers.values()),
        tuple(state.nodes.values()),
        dict(state.voters),
    )


def reply_mailbox(name: str) -> Mailbox[Any]:
    """Mailbox for exactly one answer."""
    return Mailbox(name, capacity=1)
