"""State of a balancer: its copy of the log, bindings, and what it holds as a home."""

from collections import deque
from dataclasses import dataclass, field

from wasabigw.core.cluster import ClusterState
from wasabigw.core.flows.admission_port import AdmissionPort
from wasabigw.core.flows.cache import FlowCache
from wasabigw.core.flows.forwarding import tag_of
from wasabigw.core.flows.homes import Homes
from wasabigw.core.flows.limits import RateLimit, make_rate_limit
from wasabigw.core.flows.measures import FlowMeasures
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
from wasabigw.core.view import NEVER, ViewLease, is_fresh

BINDING_RATE = 16.0
"""BINDING frames per second; at 96 bytes each they take half of the control budget.

Without a binding the packets of a flow keep passing the home, which costs a hop.
"""
BINDING_BURST = 160.0
REFUSAL_RATE = 100.0
"""Refusals per second of packets for unknown destinations."""
REFUSAL_BURST = 100.0

CandidateSlot = tuple[ServiceId, BucketNumber, BackendServerId]


@dataclass(frozen=True, slots=True)
class PendingOpening:
    """A flow whose backend server has not yet answered."""

    deadline: Seconds
    flow: FlowKey
    record: FlowRecord


@dataclass(frozen=True, slots=True)
class Renewal:
    """Latest announcement of a backend server at this home."""

    boot_id: BootId
    at: Seconds


@dataclass(slots=True)
class Outgoing:
    """Records that this balancer hands over while it drains."""

    flows: list[FlowKey]
    buckets: frozenset[BucketNumber]


@dataclass(slots=True)
class BalancerState:
    """Everything that the flow decisions of one balancer depend on.

    :param tag: tag of this balancer in FORWARD options.
    :param renewed: latest announcement of each backend server homed here.
    :param inherited: open flows counted by a previous home that have no record here.
    :param diverted: candidates that the log does not name yet and when they were last
        reported.
    :param doubtful_resets: see :func:`wasabigw.core.flows.resets.is_in_doubt`.
    :param restarts: when the flows of a backend server ended with its last boot.
    :param overflowed: when a flow was last passed on for lack of room.
    :param releasing: releases that this home has proposed, and the revision at which
        the candidate was named.
    :param released: when the candidates were last looked at.
    :param counted: when the open flows were last counted.
    :param gained: new homes whose backend servers have not announced themselves yet.
    :param tags: balancer of each tag, ``None`` if several have the same.
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
    tags: dict[int, NodeId | None] = field(default_factory=dict)
    pending: deque[PendingOpening] = field(default_factory=deque)
    waiting: WaitingOpenings = field(default_factory=WaitingOpenings)
    renewed: dict[BackendServerId, Renewal] = field(default_factory=dict)
    releasing: dict[CandidateSlot, Revision] = field(default_factory=dict)
    inherited: dict[BackendServerId, int] = field(default_factory=dict)
    diverted: dict[CandidateSlot, Seconds] = field(default_factory=dict)
    doubtful_resets: dict[FlowKey, Seconds] = field(default_factory=dict)
    restarts: dict[BackendServerId, Seconds] = field(default_factory=dict)
    overflowed: dict[BackendServerId, Seconds] = field(default_factory=dict)
    measures: FlowMeasures = field(default_factory=FlowMeasures)
    counted: Seconds = NEVER
    released: Seconds = NEVER
    gained: set[BackendServerId] = field(default_factory=set)
    outgoing: dict[BackendServerId, Outgoing] = field(default_factory=dict)
    bindings: RateLimit = field(
        default_factory=lambda: make_rate_limit(BINDING_RATE, BINDING_BURST)
    )
    refusals: RateLimit = field(
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
    renewal = state.renewed.get(target.id)
    return renewal is not None and renewal.boot_id != target.boot_id
