"""Events that a front end reports to the flow decisions.

A flow is named by its key; nothing here depends on how packets are encoded.
"""

from dataclasses import dataclass

from wasabigw.core.cluster import ClusterState
from wasabigw.core.flows.forwarding import Forwarding
from wasabigw.core.flows.handover import Handover
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    FailureDomainId,
    FlowKey,
    NodeId,
    Revision,
    Seconds,
    ServiceId,
)


@dataclass(frozen=True, slots=True)
class FlowOpened:
    """A caller opens a flow to a service (TCP SYN)."""

    flow: FlowKey
    service: ServiceId
    now: Seconds


@dataclass(frozen=True, slots=True)
class FlowData:
    """A caller sends on a flow.

    :param sampled: the home is to see this packet, see ``REFRESH_SAMPLE``.
    :param related: an error message about the flow, which never opens or records it.
    """

    flow: FlowKey
    service: ServiceId
    now: Seconds
    sampled: bool = False
    related: bool = False


@dataclass(frozen=True, slots=True)
class FlowClosing:
    """A caller closes its side of a flow (FIN), or the whole flow (``reset``)."""

    flow: FlowKey
    service: ServiceId
    now: Seconds
    reset: bool = False


@dataclass(frozen=True, slots=True)
class AnswerOpened:
    """A backend server accepts a flow (TCP SYN with ACK)."""

    flow: FlowKey
    backend_server: BackendServerId
    now: Seconds


@dataclass(frozen=True, slots=True)
class AnswerData:
    """A backend server sends on a flow."""

    flow: FlowKey
    backend_server: BackendServerId
    now: Seconds
    sampled: bool = False
    related: bool = False


@dataclass(frozen=True, slots=True)
class AnswerClosing:
    """A backend server closes its side of a flow, or the whole flow."""

    flow: FlowKey
    backend_server: BackendServerId
    now: Seconds
    reset: bool = False


CallerEvent = FlowOpened | FlowData | FlowClosing
AnswerEvent = AnswerOpened | AnswerData | AnswerClosing


@dataclass(frozen=True, slots=True)
class Forwarded:
    """Another balancer passed on an event."""

    sender: NodeId
    forwarding: Forwarding
    event: CallerEvent | AnswerEvent


@dataclass(frozen=True, slots=True)
class UnknownDestination:
    """A packet for an address that is neither a service nor a backend server."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class BindingReceived:
    """A home says which backend server it has recorded for a flow."""

    sender: NodeId
    flow: FlowKey
    service: ServiceId
    backend_index: int
    lifetime: Seconds
    now: Seconds


@dataclass(frozen=True, slots=True)
class LogApplied:
    """An entry or a snapshot was applied to the replicated state.

    :param snapshot: the entries between the old and the new state are unknown.
    :param settled: it was committed at least ``SETTLE_TIME`` ago.
    """

    cluster: ClusterState
    now: Seconds
    snapshot: bool = False
    settled: bool = False


@dataclass(frozen=True, slots=True)
class ViewConfirmed:
    """The leader confirmed the view, see :func:`wasabigw.core.view.confirm`."""

    sent_at: Seconds
    fresh_for: Seconds
    committed: Revision
    now: Seconds


@dataclass(frozen=True, slots=True)
class BackendServerRenewed:
    """A backend server renewed its announcement lease at this home.

    :param boot_id: if it is new, the earlier flows of the backend server are gone.
    """

    backend_server: BackendServerId
    boot_id: BootId
    now: Seconds


@dataclass(frozen=True, slots=True)
class HandoverReceived:
    """A draining balancer handed over records of its former homes."""

    handover: Handover
    now: Seconds


@dataclass(frozen=True, slots=True)
class TakenOutLocally:
    """An operator takes the local failure domain out during a partition."""

    failure_domain: FailureDomainId
    now: Seconds


@dataclass(frozen=True, slots=True)
class TimerTick:
    """About a second has passed."""

    now: Seconds
