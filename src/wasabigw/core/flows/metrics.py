"""Flow counters of a balancer: broken flows, and openings after domain changes.

Each figure covers one balancer. Sums over the balancers of a failure domain or of the
cluster are computed where the metrics are collected.
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
"""Time for which openings are observed after a failure domain left or came back.

It covers the view lease, the settle time, and a ramp from step 1 to 8.
"""


class BrokenReason(Enum):
    """Why a flow ended that neither endpoint has closed."""

    FAILURE_DOMAIN_OUT = "failure-domain-out"
    BACKEND_SERVER_RESTARTED = "backend-server-restarted"
    BACKEND_SERVER_GONE = "backend-server-gone"


@dataclass(slots=True)
class Openings:
    """New flows of a service.

    :param refused: refused openings. Dropped ones are not counted, because the caller
        retransmits them until they are admitted or refused.
    """

    admitted: int = 0
    refused: int = 0


@dataclass(slots=True)
class _DomainChange:
    at: Seconds
    before: dict[ServiceId, Openings]


@dataclass(frozen=True, slots=True)
class AdmittedShare:
    """Share of admitted flows among the openings since a domain changed its state."""

    service: ServiceId
    failure_domain: FailureDomainId
    share: float


@dataclass(slots=True)
class FlowMetrics:
    """Counters since the start of the process, and the changes under observation.

    :param domains: state of each failure domain at the last update.
    :param changes: latest change of each failure domain under observation.
    """

    broken: Counter[tuple[ServiceId, BrokenReason]] = field(default_factory=Counter)
    openings: dict[ServiceId, Openings] = field(default_factory=dict)
    domains: dict[FailureDomainId, FailureDomainState] = field(default_factory=dict)
    changes: dict[FailureDomainId, _DomainChange] = field(default_factory=dict)


def count_broken(
    metrics: FlowMetrics, record: FlowRecord, reason: BrokenReason
) -> None:
    """Count a recorded flow that ends with its backend server.

    Only the home, which holds the slot, counts it; the backup has a copy of the record.
    """
    if record.slot_held and not record.closed:
        metrics.broken[record.target.service, reason] += 1


def broken_reason(
    cluster: ClusterState,
    out_locally: set[FailureDomainId],
    backend_server: BackendServerId,
) -> BrokenReason:
    """Reason why the flows of a backend server end now."""
    known = cluster.backend_servers.get(backend_server)
    if known is None:
        return BrokenReason.BACKEND_SERVER_GONE
    domain = cluster.failure_domains.get(known.failure_domain)
    in_service = domain is not None and domain.state is FailureDomainState.IN_SERVICE
    if not in_service or known.failure_domain in out_locally:
        return BrokenReason.FAILURE_DOMAIN_OUT
    return BrokenReason.BACKEND_SERVER_RESTARTED


def count_admitted(metrics: FlowMetrics, service: ServiceId) -> None:
    """Count an admitted flow."""
    metrics.openings.setdefault(service, Openings()).admitted += 1


def count_refused(metrics: FlowMetrics, service: ServiceId) -> None:
    """Count a refused opening."""
    metrics.openings.setdefault(service, Openings()).refused += 1


def observe_domain_changes(
    metrics: FlowMetrics, cluster: ClusterState, now: Seconds
) -> None:
    """Start to observe the failure domains that have changed their state."""
    states = {domain.id: domain.state for domain in cluster.failure_domains.values()}
    for domain, state in states.items():
        if metrics.domains.get(domain, state) is not state:
            before = {
                service: Openings(openings.admitted, openings.refused)
                for service, openings in metrics.openings.items()
            }
            metrics.changes[domain] = _DomainChange(now, before)
    metrics.domains = states


def admitted_shares(metrics: FlowMetrics, now: Seconds) -> Iterator[AdmittedShare]:
    """Shares for each observed change and each service with openings since then."""
    for domain in list(metrics.changes):
        change = metrics.changes[domain]
        if now - change.at > OBSERVATION_TIME:
            del metrics.changes[domain]
            continue
        for service, openings in metrics.openings.items():
            before = change.before.get(service, Openings())
            admitted = openings.admitted - before.admitted
            refused = openings.refused - before.refused
            if admitted + refused:
                share = admitted / (admitted + refused)
                yield AdmittedShare(service, domain, share)
