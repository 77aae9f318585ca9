"""State of a balancer: the applied log, cached bindings, and records of flows."""

from collections import deque
from dataclasses import dataclass, field

from wasabigw.core.cluster import ClusterState
from wasabigw.core.flows.admission_port import AdmissionPort
from wasabigw.core.flows.cache import FlowCache
from wasabigw.core.flows.forwarding import tag_of
from wasabigw.core.flows.homes import Homes
from wasabigw.core.flows.limits import RateLimit, make_rate_limit
from wasabigw.core.flows.metrics import FlowMetrics
from wasabigw.core.flows.records import FlowRecord, FlowTable
from wasabigw.core.flows.routes import RoutingTable
from wasabigw.core.flows.targets import Prepare, Target, prepare_nothing
from wasabigw.core.flows.waiting import WaitingOpenings
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    BucketNumber,
    FailureDomainId,
    FlowKey,
    NodeId,
    Revision,
    Seconds,
    ServiceId,
)
from wasabigw.core.reachability import Reachability
from wasabigw.core.view_lease import NEVER, ViewLease, is_fresh

BINDING_RATE = 16.0
"""BINDING frames per second; at 96 bytes each they use half of the control budget.

Packets of a flow without a binding are forwarded through the home, at the cost of one
hop each.
"""
BINDING_BURST = 160.0
REFUSAL_RATE = 100.0
"""Refusals per second of packets to unknown destinations."""
REFUSAL_BURST = 100.0

CandidateSlot = tuple[ServiceId, BucketNumber, BackendServerId]


@dataclass(frozen=True, slots=True)
class PendingOpening:
    """An admitted flow that its backend server has not answered yet."""

    deadline: Seconds
    flow: FlowKey
    record: FlowRecord


@dataclass(frozen=True, slots=True)
class Renewal:
    """Latest announcement of a backend server to this home."""

    boot_id: BootId
    at: Seconds


@dataclass(slots=True)
class OutgoingHandover:
    """Records of a backend server that are still to be handed over."""

    flows: list[FlowKey]
    buckets: frozenset[BucketNumber]


@dataclass(slots=True)
class BalancerState:
    """Everything that the flow decisions of one balancer depend on.

    :param tag: tag of this balancer in FORWARD options.
    :param renewals: latest announcement of each backend server homed here.
    :param inherited_flows: number of open flows that a previous home counted and that
        have no record here.
    :param unlogged_diversions: candidates that got diverted flows but are not in the
        log yet, and when they were last reported.
    :param unconfirmed_resets: see :func:`wasabigw.core.flows.resets.is_unconfirmed`.
    :param restarted_at: when a restart last ended the flows of a backend server.
    :param last_overflows: when a flow was last passed to an OVERFLOW candidate, by
        the backend server that was at its limit.
    :param releasing: candidates whose release this home has proposed, with the
        revisions at which they were added.
    :param last_release_scan: when the candidates were last checked for release.
    :param last_count: when the open flows were last counted.
    :param unannounced: backend servers that this balancer has become the home of and
        that have not announced themselves here yet.
    :param nodes_by_tag: balancer of each tag; ``None`` if several have the same tag.
    """

    node: NodeId
    tag: int
    failure_domain: FailureDomainId
    admission: AdmissionPort
    homes: Homes
    routes: RoutingTable
    reachability: Reachability
    cluster: ClusterState = field(default_factory=ClusterState)
    view: ViewLease = field(default_factory=ViewLease)
    records: FlowTable = field(default_factory=FlowTable)
    cache: FlowCache = field(default_factory=FlowCache)
    out_locally: set[FailureDomainId] = field(default_factory=set)
    nodes_by_tag: dict[int, NodeId | None] = field(default_factory=dict)
    pending_openings: deque[PendingOpening] = field(default_factory=deque)
    waiting: WaitingOpenings = field(default_factory=WaitingOpenings)
    renewals: dict[BackendServerId, Renewal] = field(default_factory=dict)
    releasing: dict[CandidateSlot, Revision] = field(default_factory=dict)
    inherited_flows: dict[BackendServerId, int] = field(default_factory=dict)
    unlogged_diversions: dict[CandidateSlot, Seconds] = field(default_factory=dict)
    unconfirmed_resets: dict[FlowKey, Seconds] = field(default_factory=dict)
    restarted_at: dict[BackendServerId, Seconds] = field(default_factory=dict)
    last_overflows: dict[BackendServerId, Seconds] = field(default_factory=dict)
    metrics: FlowMetrics = field(default_factory=FlowMetrics)
    last_count: Seconds = NEVER
    last_release_scan: Seconds = NEVER
    unannounced: set[BackendServerId] = field(default_factory=set)
    outgoing_handovers: dict[BackendServerId, OutgoingHandover] = field(
        default_factory=dict
    )
    binding_limit: RateLimit = field(
        default_factory=lambda: make_rate_limit(BINDING_RATE, BINDING_BURST)
    )
    refusal_limit: RateLimit = field(
        default_factory=lambda: make_rate_limit(REFUSAL_RATE, REFUSAL_BURST)
    )


def make_state(
    node: NodeId,
    failure_domain: FailureDomainId,
    admission: AdmissionPort,
    prepare: Prepare = prepare_nothing,
) -> BalancerState:
    """State of a balancer that has not yet received a view."""
    return BalancerState(
        node,
        tag_of(node),
        failure_domain,
        admission,
        Homes(node),
        RoutingTable(prepare=prepare),
        Reachability(failure_domain),
    )


def may_send(state: BalancerState, target: Target, now: Seconds) -> bool:
    """Whether this balancer may send to a backend server.

    Under a fresh view any registered one; otherwise only one that renews its
    announcement lease here, for the same service.
    """
    if not target.usable:
        return False
    if is_fresh(state.view, now):
        return True
    return state.admission.may_send(target.id, target.service, now)


def is_releasing(state: BalancerState, bucket: BucketNumber, target: Target) -> bool:
    """Whether this home gave up a bucket of a backend server."""
    return (target.service, bucket, target.id) in state.releasing


def has_restarted(state: BalancerState, target: Target) -> bool:
    """Whether a backend server announced a boot that the log does not show yet."""
    renewal = state.renewals.get(target.id)
    return renewal is not None and renewal.boot_id != target.boot_id
