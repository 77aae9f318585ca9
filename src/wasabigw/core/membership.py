"""Liveness of balancers and expiry of quarantines and departed candidates.

The leader proposes reports from these rules. The voter task owns their state and
resets it whenever it becomes leader, so each timeout elapses in full under one leader.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import singledispatch

from wasabigw.core.cluster import (
    NO_REVISION,
    Candidate,
    ClusterState,
    Node,
    Quarantine,
)
from wasabigw.core.commands import (
    CandidatesReleased,
    EndpointReleased,
    NodeDown,
    NodeSuspected,
    NodeUp,
    Report,
)
from wasabigw.core.ids import (
    BackendServerId,
    BucketNumber,
    FailureDomainId,
    Incarnation,
    NodeId,
    Revision,
    Seconds,
    ServiceId,
)
from wasabigw.core.log_messages import NodeProgress
from wasabigw.core.states import CandidateReason, FailureDomainState, NodeState
from wasabigw.core.timing import (
    FLOW_IDLE_TIMEOUT,
    LOG_POLL_WAIT,
    NODE_TIMEOUT,
    QUARANTINE,
    SUSPICION_TIMEOUT,
    VIEW_LEASE,
)

MASS_OUTAGE_MINIMUM = 2
"""Least number of unresponsive balancers in a failure domain that is a mass outage.

A mass outage is probably a partition, so its balancers are first only suspected.
"""

MISSED_POLL_TIME = Seconds(3 * LOG_POLL_WAIT)
"""Time without a poll after which a balancer counts towards a mass outage.

It is shorter than :data:`NODE_TIMEOUT`: balancers that are partitioned together send
their last polls up to one poll period apart, so they don't time out together.
"""

PROPOSAL_RETRY = Seconds(1.0)
"""Delay before a report that has not taken effect is proposed again."""


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """The voter became leader.

    :param cluster: the leader's copy of the replicated state; read-only.
    """

    now: Seconds
    cluster: ClusterState


@dataclass(frozen=True, slots=True)
class BalancerPolled:
    """A balancer polled the log."""

    node: Node
    applied: Revision
    now: Seconds
    cluster: ClusterState


@dataclass(frozen=True, slots=True)
class MembershipTick:
    """Periodic tick; sent only while the leader holds its lease."""

    now: Seconds
    cluster: ClusterState


@dataclass(frozen=True, slots=True)
class ProposeReports:
    """Decision to append reports to the log as one entry."""

    reports: tuple[Report, ...]


@dataclass(slots=True)
class Heartbeat:
    """Last log poll of a balancer.

    :param applied: last revision that the balancer had applied.
    """

    incarnation: Incarnation
    last_poll_at: Seconds
    applied: Revision


@dataclass(frozen=True, slots=True)
class Timer:
    """Time at which this leader first observed a condition.

    :param revision: revision of the condition; a newer one restarts the timer.
    """

    revision: Revision
    started: Seconds


@dataclass(frozen=True, slots=True)
class _Eviction:
    failure_domain: FailureDomainId
    at: Seconds


DepartureKey = tuple[ServiceId, BackendServerId]


@dataclass(slots=True)
class MembershipState:
    """Liveness of balancers and running timers during one leadership."""

    heartbeats: dict[NodeId, Heartbeat] = field(default_factory=dict)
    suspected_at: dict[NodeId, Seconds] = field(default_factory=dict)
    evictions: dict[NodeId, _Eviction] = field(default_factory=dict)
    proposed_at: dict[Report, Seconds] = field(default_factory=dict)
    quarantines: dict[str, Timer] = field(default_factory=dict)
    departures: dict[DepartureKey, Timer] = field(default_factory=dict)
    scanned_revision: Revision = NO_REVISION


@singledispatch
def handle(event: object, state: MembershipState) -> list[ProposeReports]:
    """Update the state for an event and return the reports to propose."""
    raise TypeError(f"unsupported membership event: {event!r}")


@handle.register
def _(event: LeadershipGained, state: MembershipState) -> list[ProposeReports]:
    state.heartbeats = {
        node.id: Heartbeat(node.incarnation, event.now, NO_REVISION)
        for node in event.cluster.nodes.values()
    }
    state.suspected_at.clear()
    state.evictions.clear()
    state.proposed_at.clear()
    state.quarantines.clear()
    state.departures.clear()
    state.scanned_revision = NO_REVISION
    return []


@handle.register
def _(event: BalancerPolled, state: MembershipState) -> list[ProposeReports]:
    node = event.node
    heartbeat = Heartbeat(node.incarnation, event.now, event.applied)
    state.heartbeats[node.id] = heartbeat
    state.suspected_at.pop(node.id, None)
    if not _needs_registration(node, event.cluster):
        return []
    return _propose_due([NodeUp(node)], state, event.now)


@handle.register
def _(event: MembershipTick, state: MembershipState) -> list[ProposeReports]:
    _remove_expired(state, event)
    if state.scanned_revision != event.cluster.revision:
        _scan_departures(state, event)
        _scan_quarantines(state, event)
        state.scanned_revision = event.cluster.revision
    reports: list[Report] = []
    reports.extend(_unresponsive_nodes(state, event))
    reports.extend(_expired_departures(state, event))
    reports.extend(_expired_quarantines(state, event))
    return _propose_due(reports, state, event.now)


def node_progress(
    state: MembershipState, cluster: ClusterState, revision: Revision, now: Seconds
) -> tuple[NodeProgress, ...]:
    """Whether a revision is in force on each registered balancer.

    A balancer whose view lease has expired doesn't send packets to backend servers
    according to its own tables, so the older revision of these tables is not in force
    there.
    """
    return tuple(
        _progress(node, state.heartbeats.get(node.id), revision, now)
        for node in cluster.nodes.values()
    )


def _progress(
    node: Node, heartbeat: Heartbeat | None, revision: Revision, now: Seconds
) -> NodeProgress:
    applied = heartbeat.applied if heartbeat else NO_REVISION
    silent_for = Seconds(now - heartbeat.last_poll_at) if heartbeat else Seconds(0.0)
    in_force = applied >= revision or silent_for > VIEW_LEASE
    return NodeProgress(node.id, node.failure_domain, applied, silent_for, in_force)


def _needs_registration(node: Node, cluster: ClusterState) -> bool:
    known = cluster.nodes.get(node.id)
    if known is None or known.state is NodeState.SUSPECTED:
        return True
    if node.state is NodeState.DRAINING and known.state is not NodeState.DRAINING:
        return True
    return (known.incarnation, known.failure_domain, known.data, known.api) != (
        node.incarnation,
        node.failure_domain,
        node.data,
        node.api,
    )


def _propose_due(
    reports: list[Report], state: MembershipState, now: Seconds
) -> list[ProposeReports]:
    due = tuple(
        report
        for report in reports
        if now - state.proposed_at.get(report, Seconds(-PROPOSAL_RETRY))
        >= PROPOSAL_RETRY
    )
    state.proposed_at.update(dict.fromkeys(due, now))
    return [ProposeReports(due)] if due else []


def _remove_expired(state: MembershipState, event: MembershipTick) -> None:
    now = event.now
    state.proposed_at = {
        report: at
        for report, at in state.proposed_at.items()
        if now - at < PROPOSAL_RETRY
    }
    state.evictions = {
        node: eviction
        for node, eviction in state.evictions.items()
        if now - eviction.at < NODE_TIMEOUT
    }
    nodes = event.cluster.nodes
    state.heartbeats = {
        node: heartbeat
        for node, heartbeat in state.heartbeats.items()
        if node in nodes or now - heartbeat.last_poll_at < NODE_TIMEOUT
    }
    state.suspected_at = {n: at for n, at in state.suspected_at.items() if n in nodes}


def _unresponsive_nodes(
    state: MembershipState, event: MembershipTick
) -> Iterator[Report]:
    domains: dict[FailureDomainId, list[Node]] = {}
    for node in event.cluster.nodes.values():
        domains.setdefault(node.failure_domain, []).append(node)
        if node.id not in state.heartbeats:
            # Registered by an entry of an earlier leader that was applied after this
            # leader was elected.
            state.heartbeats[node.id] = Heartbeat(
                node.incarnation, event.now, NO_REVISION
            )
    for failure_domain, nodes in domains.items():
        yield from _unresponsive_in_domain(failure_domain, nodes, state, event.now)


def _unresponsive_in_domain(
    failure_domain: FailureDomainId,
    nodes: list[Node],
    state: MembershipState,
    now: Seconds,
) -> Iterator[Report]:
    idle_times = {
        node.id: now - state.heartbeats[node.id].last_poll_at for node in nodes
    }
    unresponsive = sum(
        idle_times[node.id] >= MISSED_POLL_TIME
        and now - state.suspected_at.get(node.id, now) < NODE_TIMEOUT
        for node in nodes
    )
    evicted = sum(
        eviction.failure_domain == failure_domain and node not in idle_times
        for node, eviction in state.evictions.items()
    )
    affected = unresponsive + evicted
    mass_outage = (
        affected >= MASS_OUTAGE_MINIMUM and 3 * affected > len(nodes) + evicted
    )
    for node in nodes:
        if idle_times[node.id] < NODE_TIMEOUT:
            continue
        suspected_at = state.suspected_at.get(node.id)
        if suspected_at is None and mass_outage:
            state.suspected_at[node.id] = now
        elif suspected_at is None or now - suspected_at >= SUSPICION_TIMEOUT:
            state.evictions[node.id] = _Eviction(failure_domain, now)
            yield NodeDown(node.id, node.incarnation)
            continue
        if node.state is NodeState.UP:
            yield NodeSuspected(node.id, node.incarnation)


def _scan_departures(state: MembershipState, event: MembershipTick) -> None:
    newest: dict[DepartureKey, Revision] = {}
    for service, _, candidate in _departed_candidates(event.cluster):
        key = (service, candidate.backend_server)
        newest[key] = max(newest.get(key, NO_REVISION), candidate.revision)
    state.departures = {
        key: _timer(state.departures.get(key), revision, event.now)
        for key, revision in newest.items()
    }


def _scan_quarantines(state: MembershipState, event: MembershipTick) -> None:
    state.quarantines = {
        key: _timer(state.quarantines.get(key), quarantine.since, event.now)
        for key, quarantine in event.cluster.quarantine.items()
    }


def _timer(known: Timer | None, revision: Revision, now: Seconds) -> Timer:
    if known is not None and known.revision == revision:
        return known
    return Timer(revision, now)


def _expired_departures(
    state: MembershipState, event: MembershipTick
) -> Iterator[Report]:
    expired = {
        key: timer.revision
        for key, timer in state.departures.items()
        if event.now - timer.started >= FLOW_IDLE_TIMEOUT
    }
    if not expired:
        return
    buckets_by_key: dict[DepartureKey, list[BucketNumber]] = {}
    for service, bucket, candidate in _departed_candidates(event.cluster):
        key = (service, candidate.backend_server)
        if key in expired:
            buckets_by_key.setdefault(key, []).append(bucket)
    for (service, backend_server), buckets in buckets_by_key.items():
        up_to = expired[service, backend_server]
        yield CandidatesReleased(service, backend_server, tuple(buckets), up_to)


def _expired_quarantines(
    state: MembershipState, event: MembershipTick
) -> Iterator[Report]:
    for key, timer in state.quarantines.items():
        if event.now - timer.started < QUARANTINE:
            continue
        quarantine = event.cluster.quarantine.get(key)
        if quarantine is not None and not _may_be_referenced(quarantine, event.cluster):
            yield EndpointReleased(quarantine.endpoint, quarantine.since)


def _may_be_referenced(quarantine: Quarantine, cluster: ClusterState) -> bool:
    """Whether a departed candidate may still refer to the endpoint.

    A departed backend server is no longer registered, so its endpoint is unknown.
    Every departed candidate that is not newer than the quarantine therefore counts.
    """
    table = cluster.buckets.get(quarantine.service)
    if table is None:
        return False
    return any(
        candidate.reason is CandidateReason.DEPARTED
        and candidate.revision <= quarantine.since
        for candidates in table.others.values()
        for candidate in candidates
    )


def _departed_candidates(
    cluster: ClusterState,
) -> Iterator[tuple[ServiceId, BucketNumber, Candidate]]:
    for service, table in cluster.buckets.items():
        for bucket, candidates in table.others.items():
            for candidate in candidates:
                if _is_departed(candidate, cluster):
                    yield service, bucket, candidate


def _is_departed(candidate: Candidate, cluster: ClusterState) -> bool:
    if candidate.reason is CandidateReason.DEPARTED:
        return True
    server = cluster.backend_servers.get(candidate.backend_server)
    if server is None:
        return True
    domain = cluster.failure_domains.get(server.failure_domain)
    return domain is not None and domain.state is FailureDomainState.OUT_OF_SERVICE
