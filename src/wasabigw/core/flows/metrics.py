"""What a balancer counts of flows: broken ones, and service while domains move.

Each figure is what one balancer can know; the sum over all balancers of a failure
domain, or of the cluster, is formed where the metrics are collected.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from wasabigw.core.cluster import ClusterState
from wasabigw.core.flows.records import FlowRecord
from wasabigw.core.ids import BackendServerId, FailureDomainId, Seconds, ServiceId
from wasabigw.core.states import FailureDomainState

OBSERVATION_TIME = Seconds(30.0)
"""How long service is observed after a failure domain left or came back.

It covers the view lease, the settle time, and a ramp from step 1 to 8.
"""


class BrokenReason(Enum):
    """Why a flow ended although neither endpoint ended it."""

    FAILURE_DOMAIN_OUT = "failure-domain-out"
    BACKEND_SERVER_RESTARTED = "backend-server-restarted"
    BACKEND_SERVER_GONE = "backend-server-gone"


@dataclass(slots=True)
class Openings:
    """New flows of a service.

    :param refused: openings that the caller was told of; dropped ones are repeated
        by the caller and counted when they are decided.
    """

    admitted: int = 0
    refused: int = 0


@dataclass(slots=True)
class _Move:
    at: Seconds
    before: dict[ServiceId, Openings]


@dataclass(frozen=True, slots=True)
class AdmittedShare:
    """Share of the new flows of a service that were admitted since a move began."""

    service: ServiceId
    failure_domain: FailureDomainId
    share: float


@dataclass(slots=True)
class FlowMetrics:
    """Counts since the process started, and the moves that are observed.

    :param domains: state of each failure domain when it was last looked at.
    """

    broken: Counter[tuple[ServiceId, BrokenReason]] = field(default_factory=Counter)
    openings: dict[ServiceId, Openings] = field(default_factory=dict)
    domains: dict[FailureDomainId, FailureDomainState] = field(default_factory=dict)
    moves: dict[FailureDomainId, _Move] = field(default_factory=dict)


def count_broken(
    metrics: FlowMetrics, record: FlowRecord, reason: BrokenReason
) -> None:
    """Count a recorded flow that ends with its backend server.

    Only the home that holds the slot counts it, because a backup has a copy.
    """
    if record.slot_held and not record.closed:
        metrics.broken[record.target.service, reason] += 1


def broken_reason(
    cluster: ClusterState,
    out_locally: set[FailureDomainId],
    backend_server: BackendServerId,
) -> BrokenReason:
    """Why the flows of a backend server end now."""
    known = cluster.backend_servers.get(backend_server)
    if known is None:
        return BrokenReason.BACKEND_SERVER_GONE
    domain = cluster.failure_domains.get(known.failure_domain)
    in_service = domain is not None and domain.state is FailureDomainState.IN_SERVICE
    if not in_service or known.failure_domain in out_locally:
        return BrokenReason.FAILURE_DOMAIN_OUT
    return BrokenReason.BACKEND_SERVER_RESTARTED


def count_admitted(metrics: FlowMetrics, service: ServiceId) -> None:
    """Count a new flow that a backend server got."""
    metrics.openings.setdefault(service, Openings()).admitted += 1


def count_refused(metrics: FlowMetrics, service: ServiceId) -> None:
    """Count a new flow that was refused."""
    metrics.openings.setdefault(service, Openings()).refused += 1


def observe_domain_changes(
    metrics: FlowMetrics, cluster: ClusterState, now: Seconds
) -> None:
    """Begin to observe failure domains that changed their state."""
    states = {domain.id: domain.state for domain in cluster.failure_domains.values()}
    for domain, state in states.items():
        if metrics.domains.get(domain, state) is not state:
            before = {
                service: Openings(openings.admitted, openings.refused)
                for service, openings in metrics.openings.items()
            }
            metrics.moves[domain] = _Move(now, before)
    metrics.domains = states


def admitted_shares(metrics: FlowMetrics, now: Seconds) -> Iterator[AdmittedShare]:
    """Shares for the moves observed now, of services that had new flows since."""
    for domain in list(metrics.moves):
        move = metrics.moves[domain]
        if now - move.at > OBSERVATION_TIME:
            del metrics.moves[domain]
            continue
        for service, openings in metrics.openings.items():
            before = move.before.get(service, Openings())
            admitted = openings.admitted - before.admitted
            refused = openings.refused - before.refused
            if admitted + refused:
                share = admitted / (admitted + refused)
                yield AdmittedShare(service, domain, share)
