"""Release of candidates that have no open flows any more."""

from wasabigw.core.cluster import NO_REVISION
from wasabigw.core.commands import CandidatesReleased
from wasabigw.core.flows.decisions import Decision, SendReports
from wasabigw.core.flows.homes import home, is_complete
from wasabigw.core.flows.records import has_flows
from wasabigw.core.flows.routes import OtherCandidate, ServiceRoute, bucket_route
from wasabigw.core.flows.state import BalancerState
from wasabigw.core.ids import BackendServerId, BucketNumber, Seconds, ServiceId
from wasabigw.core.states import CandidateReason
from wasabigw.core.timing import FLOW_IDLE_TIMEOUT
from wasabigw.core.view_lease import is_fresh

RELEASE_DELAY = FLOW_IDLE_TIMEOUT
"""Minimum time for which a candidate is kept after this balancer applied it.

While a bucket has a single candidate, only a sample of the packets passes the home, and
a slow flow may have no record. Once it has several candidates, each packet passes a
home, so that all flows are recorded after one idle timeout.
"""

RELEASE_INTERVAL = Seconds(10.0)
"""Time between two scans of all candidates; lost proposals are repeated then."""


def propose_releases(state: BalancerState, now: Seconds) -> list[Decision]:
    """Report the candidates homed here that can be released, in one batch."""
    if now - state.last_release_scan < RELEASE_INTERVAL or not is_fresh(
        state.view, now
    ):
        return []
    state.last_release_scan = now
    reports = tuple(
        CandidatesReleased(service, name, tuple(buckets), state.cluster.revision)
        for (service, name), buckets in sorted(_releasable(state, now).items())
    )
    return [SendReports(reports)] if reports else []


def _releasable(
    state: BalancerState, now: Seconds
) -> dict[tuple[ServiceId, BackendServerId], list[BucketNumber]]:
    found: dict[tuple[ServiceId, BackendServerId], list[BucketNumber]] = {}
    for route in state.routes.services.values():
        for bucket in _buckets_of_own_candidates(route, state):
            for other in bucket_route(state.routes, route, bucket).others:
                if not _is_releasable(other, route, bucket, state, now):
                    continue
                slot = (route.id, bucket, other.backend_server)
                state.releasing[slot] = other.revision
                found.setdefault((route.id, other.backend_server), []).append(bucket)
    return found


def _buckets_of_own_candidates(
    route: ServiceRoute, state: BalancerState
) -> list[BucketNumber]:
    return sorted(
        bucket
        for bucket, found in route.others.items()
        if any(home(state.homes, c.backend_server) == state.node for c in found)
    )


def _is_releasable(
    other: OtherCandidate,
    route: ServiceRoute,
    bucket: BucketNumber,
    state: BalancerState,
    now: Seconds,
) -> bool:
    name = other.backend_server
    if other.target is None or home(state.homes, name) != state.node:
        return False
    if other.revision == NO_REVISION:
        return False
    seen = route.candidate_since.get((bucket, name, other.revision), now)
    if now - seen < RELEASE_DELAY or has_flows(state.records, name, bucket):
        return False
    if not is_complete(state.homes, name, bucket, now):
        return False
    return not _relieves_overload(other, route, bucket, state)


def _relieves_overload(
    other: OtherCandidate,
    route: ServiceRoute,
    bucket: BucketNumber,
    state: BalancerState,
) -> bool:
    name = route.current[bucket]
    if other.reason is not CandidateReason.OVERFLOW or name is None:
        return False
    current = state.cluster.backend_servers.get(name)
    return current is not None and current.overloaded


def clear_outdated_releases(state: BalancerState) -> None:
    """Drop proposed releases of candidates that the log no longer lists as such.

    They were released, added again or became current, and get flows again.
    """
    for slot, revision in list(state.releasing.items()):
        service, bucket, name = slot
        route = state.routes.services.get(service)
        candidates = () if route is None else route.others.get(bucket, ())
        is_listed = any(
            c.backend_server == name and c.revision == revision for c in candidates
        )
        if not is_listed:
            del state.releasing[slot]
