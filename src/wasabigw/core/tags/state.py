"""State of a balancer that delivers by tags, owned by its packet task."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from wasabigw.core.declaration import DEFAULT_IDLE_TIMEOUT, Declaration, Listener
from wasabigw.core.delivery_view import DeliveryView
from wasabigw.core.durations import Durations
from wasabigw.core.endpoint import address_number
from wasabigw.core.ids import (
    NO_REVISION,
    FailureDomainId,
    NodeId,
    RegionId,
    Seconds,
    ServiceId,
    Tag,
)
from wasabigw.core.registration import Registration
from wasabigw.core.tags.health import CircuitBreaker, FailureSignal
from wasabigw.core.tags.packets import FlowId
from wasabigw.core.tags.reach import Diversion
from wasabigw.core.view import NEVER

ListenerKey = tuple[int, int]
"""IPv4 address as a number, and port."""


@dataclass(slots=True, eq=False)
class Server:
    """A boot of a backend server and its use by this balancer.

    :param rank: place in the order of this balancer among equally used ones.
    :param cold_until: until when it gets no new flows if another one can take them.
    :param open_flows: flows that this balancer opened there or carries.
    :param breaker: signs that it answers.
    """

    registration: Registration
    cold_until: Seconds
    rank: int = 0
    open_flows: int = 0
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)


@dataclass(slots=True)
class Flow:
    """A flow that passes this balancer.

    :param is_open: whether the caller has answered the backend server.
    :param acknowledged: what the caller has received last.
    :param pending_sequence: sequence number of data that is not answered yet.
    :param pending_since: when that data passed first.
    :param retransmissions: how often it has passed again.
    """

    server: Server
    opened_at: Seconds
    last_seen: Seconds
    is_open: bool = False
    acknowledged: int = 0
    pending_sequence: int | None = None
    pending_since: Seconds = NEVER
    retransmissions: int = 0


class Opening(NamedTuple):
    """An opening that a backend server has got, and when."""

    server: Server
    at: Seconds


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A breaker opened, began a longer pause, or closed.

    :param failure: what opened it; ``None`` if it closed.
    :param silent_for: time since the last sign of life before.
    """

    server: Server
    failure: FailureSignal | None
    silent_for: Seconds


@dataclass(slots=True)
class TagState:
    """Everything that a balancer knows.

    :param regions: of all failure domains.
    :param view: part of the replicated state that the balancer has.
    :param fresh_until: until when the view is known to be current.
    :param confirmed_at: when the latest view was asked for.
    :param listeners: of the declaration in force.
    :param servers: boots by tag, with those that have ended.
    :param pending_openings: openings of flows that have not gone on, oldest first.
    :param answer_times: from data of callers to their next acknowledgement.
    :param pools: boots of each service that may get new flows.
    :param diversion: whether callers are better served elsewhere.
    :param health_changes: for the log, which takes them out.
    """

    node: NodeId
    failure_domain: FailureDomainId
    regions: Mapping[FailureDomainId, RegionId] = field(default_factory=dict)
    view: DeliveryView = field(default_factory=DeliveryView)
    fresh_until: Seconds = NEVER
    confirmed_at: Seconds = NEVER
    declared_version: int | None = None
    idle_timeout: Seconds = DEFAULT_IDLE_TIMEOUT
    listeners: dict[ListenerKey, Listener] = field(default_factory=dict)
    servers: dict[Tag, Server] = field(default_factory=dict)
    pools: dict[ServiceId, list[Server]] = field(default_factory=dict)
    flows: dict[FlowId, Flow] = field(default_factory=dict)
    pending_openings: dict[FlowId, Opening] = field(default_factory=dict)
    answer_times: dict[ServiceId, Durations] = field(default_factory=dict)
    diversion: Diversion = field(default_factory=Diversion)
    health_changes: list[HealthChange] = field(default_factory=list)

    @property
    def has_view(self) -> bool:
        """Whether the balancer has a view at all."""
        return self.view.revision > NO_REVISION

    def is_fresh(self, now: Seconds) -> bool:
        """Whether the view is known to be current."""
        return now < self.fresh_until


def listeners_of(declaration: Declaration) -> dict[ListenerKey, Listener]:
    """Listeners of a declaration by address and port."""
    return {
        (address_number(listener.endpoint.address), listener.endpoint.port): listener
        for listener in declaration.listeners
    }
