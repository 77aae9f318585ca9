"""Messages to the voter task and its answers."""

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
    ServiceId,
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
from wasabigw.core.states import StopOutcome, VoterRole
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import Tick
from wasabigw.telemetry.trace_context import TraceParent


@dataclass(frozen=True, slots=True)
class Overloaded:
    """The call was refused because the voter has reached a limit.

    :param message: names the limit.
    """

    message: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The leadership ended before the command was committed.

    The command may still take effect; it is safe to repeat it with the same id.
    """


@dataclass(frozen=True, slots=True)
class StateView:
    """Configuration and registrations of a revision, without the bucket tables."""

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
    """The replicated state shows what a backend server announced."""


@dataclass(frozen=True, slots=True)
class ServiceNotDeclared:
    """An announcement was refused: no configuration in force declares its service.

    The copy of the state may lack a configuration that was acknowledged just now, so
    the announcement may be accepted elsewhere or later.
    """

    service: ServiceId


CommandAnswer = Applied | Refusal | NotLeader | OutcomeUnknown | Overloaded
PollAnswer = LogBatch | NotLeader | Overloaded
StateAnswer = StateView | NotLeader
InForceAnswer = InForce | NotLeader
DocumentAnswer = DocumentView | NotLeader
RegistrationAnswer = Settled | ServiceNotDeclared | Overloaded | NotLeader
ViewAnswer = ViewUpdate | Overloaded


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A consensus request of another voter, answered by an envelope."""

    envelope: Envelope
    reply: Mailbox[Envelope]


@dataclass(frozen=True, slots=True)
class LinkAnswer:
    """Response of another voter to a consensus request of this one."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class ChangeCall:
    """A configuration change by an operator.

    :param parent: span of the HTTP request; ``None`` if it is not traced.
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
    """A log poll; the answer may be held for the wait that the poll allows."""

    poll: LogPoll
    reply: Mailbox[PollAnswer]


@dataclass(frozen=True, slots=True)
class ViewCall:
    """Asks for the changes of the delivery view after a revision.

    :param wait: how long the voter may hold the call while there are none.
    """

    after: Revision
    wait: Seconds
    reply: Mailbox[ViewAnswer]


@dataclass(frozen=True, slots=True)
class StateCall:
    """Asks for the current configuration and registrations."""

    reply: Mailbox[StateAnswer]


@dataclass(frozen=True, slots=True)
class InForceCall:
    """Asks on which balancers a revision is in force.

    :param revision: ``None`` for the current configuration revision.
    """

    revision: Revision | None
    reply: Mailbox[InForceAnswer]


@dataclass(frozen=True, slots=True)
class OrderCall:
    """An order of an operator, which the leader appends to the log."""

    order: Order
    reply: Mailbox[CommandAnswer]


@dataclass(frozen=True, slots=True)
class DocumentCall:
    """Asks for the declared configuration that is in force."""

    reply: Mailbox[DocumentAnswer]


@dataclass(frozen=True, slots=True)
class RegistrationCall:
    """Announcement or departure of a backend server that is addressed by its tag."""

    notification: BootAnnouncement | BootDeparture
    reply: Mailbox[RegistrationAnswer]


@dataclass(frozen=True, slots=True)
class RegistrationsForwarded:
    """Calls of backend servers that another control VM received and forwarded."""

    batch: RegistrationBatch


@dataclass(frozen=True, slots=True)
class VoterStatus:
    """State of a voter and the durations of its disk syncs and commits.

    :param without_address: voters after the last entry of its log whose address it
        does not know.
    :param lag: entries of its log that are not known to be committed.
    :param waiting: proposed commands that are not yet committed.
    :param is_current: whether its copy of the replicated state is known to be current.
    :param voters_silent: voters that a leader has not heard of lately.
    :param standbys_ready: control VMs that could take the place of a voter at once, as
        far as a leader knows.
    :param voters_admitted: admissions of voters that this process has applied.
    :param voters_removed: removals of voters that this process has applied.
    :param stops_without_standby: stops of voters that this leader could not replace.
    :param syncs: durations of appends to the log, with the disk sync.
    :param commits: durations from the proposal of a command to its commit, on the
        leader.
    """

    role: VoterRole
    term: Term
    revision: Revision
    lag: int
    voters: int
    without_address: int
    waiting: int
    declared_version: int | None
    is_current: bool
    out_of_service: tuple[FailureDomainId, ...]
    syncs: Durations
    commits: Durations
    voters_silent: int = 0
    standbys_ready: int = 0
    voters_admitted: int = 0
    voters_removed: int = 0
    stops_without_standby: int = 0


@dataclass(frozen=True, slots=True)
class VoterStatusCall:
    """Asks for the status of the voter, which answers in every role."""

    reply: Mailbox[VoterStatus]


@dataclass(frozen=True, slots=True)
class VoterEndpointsChanged:
    """The settings list other control VMs than before.

    :param endpoints: control API of each control VM, including this one.
    """

    endpoints: Mapping[NodeId, Endpoint]


@dataclass(frozen=True, slots=True)
class StopCall:
    """The process is to stop; the answer tells why it may."""

    reply: Mailbox[StopOutcome]


VoterMessage = (
    PeerMessage
    | LinkAnswer
    | ChangeCall
    | ReportCall
    | PollCall
    | ViewCall
    | StateCall
    | InForceCall
    | OrderCall
    | DocumentCall
    | RegistrationCall
    | RegistrationsForwarded
    | VoterEndpointsChanged
    | VoterStatusCall
    | StopCall
    | Tick
)


def state_view(state: ClusterState) -> StateView:
    """Return the replicated state without its bucket tables."""
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
    """Make a mailbox for exactly one answer."""
    return Mailbox(name, capacity=1)
