"""Messages of the packet task of a balancer that delivers by tags."""

from collections.abc import Mapping
from dataclasses import dataclass

from wasabigw.core.ids import NodeId, Revision, Seconds
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import Tick
from wasabigw.tasks.view_follower import ViewReceived


@dataclass(frozen=True, slots=True)
class TagBalancerStatus:
    """State of a balancer that delivers by tags.

    :param ready: whether it carries packets and will go on to.
    :param fresh: whether its view is known to be current.
    :param idle_for: time since the last packet of a caller.
    :param control_traffic: bytes of polls for views since the start.
    :param counts: packets since the start by what became of them.
    """

    node: NodeId
    ready: bool
    fresh: bool
    revision: Revision
    declared_version: int | None
    flows: int
    idle_for: Seconds
    control_traffic: int
    counts: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class TagStatusRequest:
    """Asks for the state of the balancer."""

    reply: Mailbox[TagBalancerStatus]


@dataclass(frozen=True, slots=True)
class BeginLeaving:
    """The process is to stop: no longer ready, but packets are still carried."""


TagTaskMessage = ViewReceived | TagStatusRequest | BeginLeaving | Tick
