"""State of a balancer that delivers by tags, owned by its packet task."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from wasabigw.core.announcement_checks import MAX_SLOTS
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
from wasabigw.core.load.counts import LoadCounts, ServerCounts
from wasabigw.core.load.known import KnownLoad, ServiceKey
from wasabigw.core.registration import Registration
from wasabigw.core.requirements import Priority
from wasabigw.core.tags.admission.admission_state import AdmissionState
from wasabigw.core.tags.choice.plans import ServicePlan
from wasabigw.core.tags.decisions import Receiver
from wasabigw.core.tags.features import Features
from wasabigw.core.tags.link.egress import EgressQueue
from wasabigw.core.tags.liveness.caller_diversion import Diversion
from wasabigw.core.tags.liveness.health import (
    CircuitBreaker,
    FailureSignal,
    Health,
    health_of,
)
from wasabigw.core.tags.liveness.host_checks import HostCheck
from wasabigw.core.tags.liveness.suspicion import Suspicion
from wasabigw.core.tags.packets import FlowId
from wasabigw.core.view_lease import NEVER

ListenerKey = tuple[int, int]
"""IPv4 address as an integer, and port."""


@dataclass(slots=True, eq=False)
class Server:
    """A boot of a backend server, with the load and health that this balancer sees.

    :param rank: breaks ties between equally loaded boots.
    :param cold_until: until when it gets no new flows while a warm one is available.
    :param open_flows: flows to it that pass this balancer and have not closed.
    :param opened_at_sum: sum of the times at which these were opened.
    :param receiver: which backend server at its endpoint takes packets of open flows.
    :param counts: requests, openings and answers that pass this balancer.
    """

    registration: Registration
    cold_until: Seconds
    rank: int = 0
    open_flows: int = 0
    opened_at_sum: float = 0.0
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    receiver: Receiver = Receiver.NAMED
    counts: ServerCounts = field(default_factory=ServerCounts)

    @property
    def slots(self) -> int:
        """Slots within the limits of today; an older version may have accepted more."""
        slots = self.registration.slots
        return slots if 1 <= slots <= MAX_SLOTS else min(max(slots, 1), MAX_SLOTS)

    def is_usable(self, now: Seconds) -> bool:
        """Whether it is warm and not known to be failing."""
        is_silent = health_of(self.breaker, now) is Health.SILENT
        return not is_silent and self.cold_until <= now


class FlowState(Enum):
    """State of a flow as its caller's packets show it."""

    OPENING = "opening"
    """No packet has followed the opening."""
    OPEN = "open"
    CLOSED = "closed"
    """The caller has closed its end; acknowledgements may follow."""


@dataclass(slots=True)
class Flow:
    """A flow that passes this balancer.

    :param opened_at: when its first packet passed.
    :param first_sequence: sequence number of its first packet: of the opening, unless
        it was opened through another balancer.
    :param acknowledged: latest acknowledgement of the caller.
    :param pending_sequence: sequence number of the data that waits for an answer.
    :param pending_since: when that data was first sent to the backend server.
    :param request_start: sequence number of the first data since the latest answer;
        ``None`` if none was sent.
    :param request_bytes: bytes that were sent from there on.
    :param request_since: when that data was received.
    :param is_in_flight: whether a request on it is counted as in flight.
    :param is_sending: whether the caller still sends a request, as far as can be seen.
    :param data_at: when the latest new data was sent to the backend server.
    :param sent_until: sequence number after the latest data that was counted.
    :param acknowledged_before: acknowledgement that the request in flight began with.
    """

    server: Server
    opened_at: Seconds
    last_seen: Seconds
    first_sequence: int
    state: FlowState = FlowState.OPENING
    acknowledged: int = 0
    pending_sequence: int | None = None
    pending_since: Seconds = NEVER
    request_start: int | None = None
    request_bytes: int = 0
    request_since: Seconds = NEVER
    is_in_flight: bool = False
    is_sending: bool = False
    data_at: Seconds = NEVER
    sent_until: int = 0
    acknowledged_before: int = 0


class RequestSize(NamedTuple):
    """Usual size of the requests at a listener.

    :param mean: bytes, where the latest requests weigh most.
    :param requests: number of requests in it.
    """

    mean: float
    requests: int


class Opening(NamedTuple):
    """An opening that was sent to a backend server, and when."""

    flow: FlowId
    server: Server
    at: Seconds


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A circuit breaker opened, began a longer backoff, or closed.

    :param failure: evidence that opened it; ``None`` if it closed.
    :param silent_for: time between the change and the last response before it.
    """

    server: Server
    failure: FailureSignal | None
    silent_for: Seconds


@dataclass(frozen=True, slots=True)
class WeightChange:
    """A backend server has become slow for its weight, or has recovered.

    :param service_time: mean time of a request in a slot; ``None`` if it is not known.
    """

    server: Server
    weight: float
    is_slow: bool
    service_time: Seconds | None


@dataclass(frozen=True, slots=True)
class SuspicionChange:
    """A failure domain became suspected for a service, or is not any more.

    :param lasted: how long it was suspected; ``None`` if the suspicion begins.
    """

    service: ServiceId
    failure_domain: FailureDomainId
    at: Seconds
    lasted: Seconds | None = None


@dataclass(slots=True)
class TagState:
    """Complete state of a balancer.

    :param regions: region of each failure domain.
    :param view: the balancer's copy of a part of the replicated state.
    :param fresh_until: until when the view is known to be current.
    :param confirmed_at: when the last poll was sent that got a current view.
    :param listeners: listeners of the declaration in force.
    :param servers: boots by tag, including those that have ended.
    :param pools: boots of each service that may get new flows.
    :param pending_openings: openings that no other packet of their flow has followed,
        oldest first.
    :param answer_times: times from data of callers to their next acknowledgement.
    :param diversion: whether callers are sent to other failure domains.
    :param egress: packets that wait for the link of this balancer.
    :param host_checks: requested checks of hosts that have not begun; the packet task
        removes them.
    :param running_checks: tags of the boots whose hosts are being checked.
    :param health_changes: changes of circuit breakers that are not logged yet; the log
        removes them.
    :param highest_priority: highest declared priority; ``None`` if none is declared.
    :param request_sizes: usual size of the requests at each listener.
    :param sending: flows whose callers send requests, and some that have ended since.
    :param uploads: admitted flows that upload, or are about to.
    :param late_uploads: uploads that can't be carried in time.
    :param begun_uploads: uploads whose openings were sent and that are expected to send
        more, with the time of the opening.
    :param weight_changes: backend servers that have become slow or recovered and are
        not logged yet; the log removes them.
    :param plans: shares of new flows by load figures, for each service that has any.
    :param suspicions: evidence that a failure domain has failed for a service.
    :param suspicion_changes: changes of suspicions that are not logged yet; the log
        removes them.
    :param features: parts that operators have left switched on.
    :param load: counts for the next report, besides those of each backend server.
    :param known_load: load of backend servers from other balancers.
    :param admission: openings that are limited while services are short of room.
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
    egress: EgressQueue = field(default_factory=EgressQueue)
    host_checks: list[HostCheck] = field(default_factory=list)
    running_checks: set[Tag] = field(default_factory=set)
    health_changes: list[HealthChange] = field(default_factory=list)
    highest_priority: Priority | None = None
    request_sizes: dict[ListenerKey, RequestSize] = field(default_factory=dict)
    uploads: dict[FlowId, Flow] = field(default_factory=dict)
    sending: dict[FlowId, Flow] = field(default_factory=dict)
    late_uploads: set[FlowId] = field(default_factory=set)
    begun_uploads: dict[FlowId, Seconds] = field(default_factory=dict)
    weight_changes: list[WeightChange] = field(default_factory=list)
    plans: dict[ServiceId, ServicePlan] = field(default_factory=dict)
    suspicions: dict[ServiceKey, Suspicion] = field(default_factory=dict)
    suspicion_changes: list[SuspicionChange] = field(default_factory=list)
    features: Features = field(default_factory=Features)
    load: LoadCounts = field(default_factory=LoadCounts)
    known_load: KnownLoad = field(default_factory=KnownLoad)
    admission: AdmissionState = field(default_factory=AdmissionState)

    @property
    def has_view(self) -> bool:
        """Whether the balancer has received a view."""
        return self.view.revision > NO_REVISION

    def is_fresh(self, now: Seconds) -> bool:
        """Whether the view is known to be current."""
        return now < self.fresh_until

    def view_age(self, now: Seconds) -> Seconds:
        """Time since the view was known to be current; infinite if it never was."""
        return Seconds(now - self.confirmed_at)


def listeners_of(declaration: Declaration) -> dict[ListenerKey, Listener]:
    """Listeners of a declaration by address and port."""
    return {
        (address_number(listener.endpoint.address), listener.endpoint.port): listener
        for listener in declaration.listeners
    }
