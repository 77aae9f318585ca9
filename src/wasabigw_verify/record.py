"""Record of a run: what callers, backend servers, operators and nodes observed.

A record is a list of entries in chronological order. It holds only what can be
observed from outside the core, so that records of simulated runs and of real
processes are checked in the same way.
"""

from dataclasses import dataclass

from wasabigw.core.commands import Change
from wasabigw.core.ids import (
    BackendServerId,
    FailureDomainId,
    FlowKey,
    NodeId,
    RequestId,
    Revision,
    Seconds,
    ServiceId,
)


@dataclass(frozen=True, slots=True)
class Entry:
    """An observation.

    :param at: time since the start of the run.
    """

    at: Seconds


@dataclass(frozen=True, slots=True)
class PacketDelivered(Entry):
    """A packet of a caller reached a backend server.

    :param service: service that the packet was addressed to.
    :param serves: service that the backend server provides.
    :param via: balancer that sent the packet to the backend server.
    :param opening: whether it is the opening packet of the flow.
    :param payload: whether it carries data.
    """

    flow: FlowKey
    service: ServiceId
    backend_server: BackendServerId
    serves: ServiceId
    failure_domain: FailureDomainId
    via: NodeId
    opening: bool
    payload: bool


@dataclass(frozen=True, slots=True)
class FlowEstablished(Entry):
    """The caller received the first packet that answers a flow."""

    flow: FlowKey
    backend_server: BackendServerId


@dataclass(frozen=True, slots=True)
class FlowLost(Entry):
    """A flow was reset or timed out before either end closed it."""

    flow: FlowKey


@dataclass(frozen=True, slots=True)
class FlowClosed(Entry):
    """Both ends closed a flow."""

    flow: FlowKey


@dataclass(frozen=True, slots=True)
class LoadObserved(Entry):
    """Load of a backend server.

    :param current_capacity: open flows that it can serve at this time.
    """

    backend_server: BackendServerId
    open_flows: int
    current_capacity: int


@dataclass(frozen=True, slots=True)
class BackendServerCrashed(Entry):
    """A backend server stopped without notice."""

    backend_server: BackendServerId


@dataclass(frozen=True, slots=True)
class BackendServerLeaving(Entry):
    """A backend server announced a drain or leave, or an operator drained it."""

    backend_server: BackendServerId


@dataclass(frozen=True, slots=True)
class BackendServerReturned(Entry):
    """A backend server accepts new flows again."""

    backend_server: BackendServerId


@dataclass(frozen=True, slots=True)
class ChangeAccepted(Entry):
    """An operator received the confirmation of a change.

    :param expected: configuration revision that the change was based on.
    """

    revision: Revision
    change: Change
    request: RequestId | None = None
    expected: Revision | None = None


@dataclass(frozen=True, slots=True)
class RevisionApplied(Entry):
    """A node applied the log up to a revision.

    :param digest: checksum of its copy of the replicated state at that revision.
    """

    node: NodeId
    revision: Revision
    digest: int


@dataclass(frozen=True, slots=True)
class NodeStarted(Entry):
    """A process started, for the first time or again."""

    node: NodeId
    failure_domain: FailureDomainId


@dataclass(frozen=True, slots=True)
class NodeStopped(Entry):
    """A process ended.

    :param planned: whether it was stopped on request.
    """

    node: NodeId
    planned: bool


@dataclass(frozen=True, slots=True)
class NodeDisconnected(Entry):
    """A node lost its connection to the majority of the control voters."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class NodeReconnected(Entry):
    """A node is connected to the majority of the control voters again."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class RequestSent(Entry):
    """A caller sent a request."""

    request: RequestId
    caller: str
    idempotent: bool
    flow: FlowKey


@dataclass(frozen=True, slots=True)
class RequestRun(Entry):
    """A backend server ran a request."""

    request: RequestId
    backend_server: BackendServerId


@dataclass(frozen=True, slots=True)
class RequestRefused(Entry):
    """A caller received a refusal of a request.

    :param not_run: whether the refusal states that the request was not run.
    """

    request: RequestId
    not_run: bool


@dataclass(frozen=True, slots=True)
class AnswerDelivered(Entry):
    """A caller received an answer.

    :param exact: whether each byte is as the backend server sent it.
    """

    request: RequestId
    caller: str
    exact: bool


@dataclass(frozen=True, slots=True)
class RequestAbandoned(Entry):
    """A caller cancelled a request, or its deadline passed."""

    request: RequestId
