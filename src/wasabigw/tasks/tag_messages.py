"""Messages of the packet task of a balancer that delivers by tags."""

from collections.abc import Mapping
from dataclasses import dataclass

from wasabigw.core.ids import NodeId, Revision, Seconds
from wasabigw.core.tags.liveness.host_checks import HostChecked
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import Tick
from wasabigw.tasks.load_messages import ReportAnswered, ReportLoadTo
from wasabigw.tasks.view_follower import ViewReceived


@dataclass(frozen=True, slots=True)
class TagBalancerStatus:
    """State of a balancer that delivers by tags.

    :param ready: whether routers should send it packets.
    :param fresh: whether its view is known to be current.
    :param declared_version: version of the declared configuration in use, if any.
    :param flows: number of flows that it tracks.
    :param idle_for: time since a packet of a caller was received or left the queue; 0
        while packets wait in the receive buffer.
    :param waiting_bytes: bytes of packets that wait for the link.
    :param control_traffic: bytes of view polls and their responses since the start.
    :param counts: packets since the start, by outcome.
    """

    node: NodeId
    ready: bool
    fresh: bool
    revision: Revision
    declared_version: int | None
    flows: int
    idle_for: Seconds
    waiting_bytes: int
    control_traffic: int
    counts: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class TagStatusRequest:
    """Request for the state of the balancer."""

    reply: Mailbox[TagBalancerStatus]


@dataclass(frozen=True, slots=True)
class BeginTagDrain:
    """The process will stop: report not ready, but go on delivering packets."""


TagTaskMessage = (
    ViewReceived
    | HostChecked
    | TagStatusRequest
    | BeginTagDrain
    | ReportLoadTo
    | ReportAnswered
    | Tick
)
