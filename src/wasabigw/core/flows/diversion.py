"""Diversion of flows from failure domains that do not answer pings."""

from wasabigw.core.commands import CandidatesAdded
from wasabigw.core.flows.decisions import Decision, SendReports
from wasabigw.core.flows.routes import set_reachability
from wasabigw.core.flows.state import BalancerState, CandidateSlot
from wasabigw.core.ids import BackendServerId, BucketNumber, Seconds, ServiceId
from wasabigw.core.reachability import healing, unreachable
from wasabigw.core.states import CandidateReason

REPEAT_AFTER = Seconds(2.0)
"""Time after which a report of a candidate that is not in the log is repeated."""


def apply_reachability(state: BalancerState, now: Seconds) -> None:
    """Apply the results of the pings to the routing tables."""
    reachability = state.reachability
    set_reachability(
        state.routes, unreachable(reachability), healing(reachability, now)
    )


def report_diverted(state: BalancerState, now: Seconds) -> list[Decision]:
    """Report backend servers with diverted flows, so that the log lists them."""
    due: dict[tuple[ServiceId, BackendServerId], list[BucketNumber]] = {}
    for slot, reported in sorted(state.unlogged_diversions.items()):
        if not _is_missing(slot, state):
            del state.unlogged_diversions[slot]
        elif now - reported >= REPEAT_AFTER:
            state.unlogged_diversions[slot] = now
            service, bucket, name = slot
            due.setdefault((service, name), []).append(bucket)
    reports = tuple(
        CandidatesAdded(service, name, tuple(buckets), CandidateReason.DIVERTED)
        for (service, name), buckets in due.items()
    )
    return [SendReports(reports)] if reports else []


def _is_missing(slot: CandidateSlot, state: BalancerState) -> bool:
    """Whether a candidate has records of flows and is not listed in the log."""
    service, bucket, name = slot
    route = state.routes.services.get(service)
    target = state.routes.targets.get(name)
    if route is None or target is None or not target.usable:
        return False
    if (name, bucket) not in state.records.counts or route.current[bucket] == name:
        return False
    return all(c.backend_server != name for c in route.others.get(bucket, ()))
