"""Events that a front end reports to the flow decisions.

Flows are identified by their keys; the events do not depend on the packet encoding.
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
    """A caller sends data on a flow.

    :param sampled: the packet passes the home, see ``REFRESH_SAMPLE``.
    :param related: an error message about the flow (ICMP), which neither opens nor
        records it.
    """

    flow: FlowKey
    service: ServiceId
    now: Seconds
    sampled: bool = False
    related: bool = False


@dataclass(frozen=True, slots=True)
class FlowClosing:
    """A caller closes its side of a flow (TCP FIN), or resets the flow."""

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
    """A backend server sends data on a flow; see :class:`FlowData` for the fields."""

    flow: FlowKey
    backend_server: BackendServerId
    now: Seconds
    sampled: bool = False
    related: bool = False


@dataclass(frozen=True, slots=True)
class AnswerClosing:
    """A backend server closes its side of a flow, or resets the flow."""

    flow: FlowKey
    backend_server: BackendServerId
    now: Seconds
    reset: bool = False


CallerEvent = FlowOpened | FlowData | FlowClosing
AnswerEvent = AnswerOpened | AnswerData | AnswerClosing


@dataclass(frozen=True, slots=True)
class Forwarded:
    """Another balancer forwarded a packet."""

    sender: NodeId
    forwarding: Forwarding
    event: CallerEvent | AnswerEvent


@dataclass(frozen=True, slots=True)
class UnknownDestination:
    """A packet to an address that belongs to no service and no backend server."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class BindingReceived:
    """A home has sent the backend server that it has recorded for a flow."""

    sender: NodeId
    flow: FlowKey
    service: ServiceId
    backend_index: int
    lifetime: Seconds
    now: Seconds


@dataclass(frozen=True, slots=True)
class LogApplied:
    """An entry or a snapshot was applied to the replicated state.

    :param snapshot: the state was replaced as a whole, and the entries between the
        old and the new state are unknown.
    :param settled: the entry was committed at least ``SETTLE_TIME`` ago.
    """

    cluster: ClusterState
    now: Seconds
    snapshot: bool = False
    settled: bool = False


@dataclass(frozen=True, slots=True)
class ViewConfirmed:
    """The leader confirmed the view, see :func:`wasabigw.core.view_lease.confirm`."""

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
    """A draining balancer has sent records of a backend server that moved here."""

    handover: Handover
    now: Seconds


@dataclass(frozen=True, slots=True)
class TakenOutLocally:
    """An operator takes a failure domain out of service without the log.

    This is for partitions, in which no entry can be committed.
    """

    failure_domain: FailureDomainId
    now: Seconds


@dataclass(frozen=True, slots=True)
class TimerTick:
    """Periodic tick, about once a second."""

    now: Seconds
