"""Record of a run: what callers, backend servers, operators and nodes saw.

A record is a list of entries in order of time. It holds only what can be observed
from outside the decisions, so that records of simulated runs and of real processes
are checked in the same way.
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
    """Something that was observed.

    :param at: time since the start of the run.
    """

    at: Seconds


@dataclass(frozen=True, slots=True)
class PacketDelivered(Entry):
    """A packet of a caller reached a backend server.

    :param service: the service that the packet was sent to.
    :param serves: the service that the backend server runs.
    :param via: the balancer that sent it.
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
    """The caller saw the first answer of a flow."""

    flow: FlowKey
    backend_server: BackendServerId


@dataclass(frozen=True, slots=True)
class FlowLost(Entry):
    """A flow was reset or timed out although neither end closed it."""

    flow: FlowKey


@dataclass(frozen=True, slots=True)
class FlowClosed(Entry):
    """Both ends closed a flow."""

    flow: FlowKey


@dataclass(frozen=True, slots=True)
class LoadObserved(Entry):
    """Load of a backend server.

    :param current_capacity: open flows that it can carry at this time.
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
    """A backend server announced that it drains or leaves, or operators drain it."""

    backend_server: BackendServerId


@dataclass(frozen=True, slots=True)
class BackendServerReturned(Entry):
    """A backend server takes work again."""

    backend_server: BackendServerId


@dataclass(frozen=True, slots=True)
class ChangeAccepted(Entry):
    """An operator got a positive answer for a change.

    :param expected: configuration revision that the change was made for.
    """

    revision: Revision
    change: Change
    request: RequestId | None = None
    expected: Revision | None = None


@dataclass(frozen=True, slots=True)
class RevisionApplied(Entry):
    """A node applied the log up to a revision.

    :param digest: hash of its copy of the replicated state at that revision.
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

    :param planned: whether it was asked to stop.
    """

    node: NodeId
    planned: bool


@dataclass(frozen=True, slots=True)
class NodeDisconnected(Entry):
    """A node lost contact with the majority of the control voters."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class NodeReconnected(Entry):
    """A node is in contact with the majority again."""

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
    """A caller was told that a request was refused."""

    request: RequestId
    not_run: bool


@dataclass(frozen=True, slots=True)
class AnswerDelivered(Entry):
    """A caller got an answer.

    :param exact: whether each byte is as the backend server gave it.
    """

    request: RequestId
    caller: str
    exact: bool


@dataclass(frozen=True, slots=True)
class RequestAbandoned(Entry):
    """A caller ended a request itself, by cancellation or after its deadline."""

    request: RequestId
