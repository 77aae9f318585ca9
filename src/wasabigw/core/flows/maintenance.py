"""Work that no packet triggers: log entries, announcements, expiry and reports."""

from collections.abc import Iterable

from wasabigw.core.cold_start import OpeningResult
from wasabigw.core.flows import cache, records
from wasabigw.core.flows.decisions import Decision
from wasabigw.core.flows.diversion import apply_reachability, report_diverted
from wasabigw.core.flows.events import BackendServerRenewed, LogApplied, TakenOutLocally
from wasabigw.core.flows.forwarding import tag_of
from wasabigw.core.flows.homes import mark_copies_incomplete, update_homes
from wasabigw.core.flows.metrics import (
    broken_reason,
    count_broken,
    observe_domain_changes,
)
from wasabigw.core.flows.release import clear_outdated_releases, propose_releases
from wasabigw.core.flows.resets import expire_unconfirmed_resets
from wasabigw.core.flows.routes import update_routes
from wasabigw.core.flows.sending import release_slot
from wasabigw.core.flows.state import BalancerState, Renewal, has_restarted
from wasabigw.core.flows.transfer import (
    begin_handover,
    count_copies,
    count_flows,
    expire_inherited,
    next_handovers,
)
from wasabigw.core.ids import BackendServerId, NodeId, Seconds
from wasabigw.core.timing import SETTLE_TIME
from wasabigw.core.view import is_fresh


def apply_log(event: LogApplied, state: BalancerState) -> list[Decision]:
    """Update the tables and homes after an entry or a snapshot was applied."""
    state.cluster = event.cluster
    if state.view.confirmed and not is_fresh(state.view, event.now):
        mark_copies_incomplete(state.homes, event.now)
    observe_domain_changes(state.metrics, event.cluster, event.now)
    # Until the view is first confirmed, the entries are from before the start of this
    # process, which has no records of the flows of that time.
    history_known = state.view.confirmed and not event.snapshot
    moved_at = event.now
    if event.settled:
        # All fresh views contain the moves, so that openings need not wait.
        moved_at = Seconds(event.now - SETTLE_TIME)
    invalid = update_routes(
        state.routes,
        event.cluster,
        state.out_locally,
        event.now,
        event.snapshot,
        moved_at,
    )
    changes = update_homes(state.homes, event.cluster, event.now, history_known)
    for target in invalid:
        replacement = state.routes.targets.get(target.id)
        if replacement is not None and replacement.boot_id != target.boot_id:
            state.restarted_at[target.id] = event.now
        clear_backend_server(state, target.id, event.now)
    _remove_unregistered(state)
    state.nodes_by_tag = _nodes_by_tag(event.cluster.nodes)
    clear_outdated_releases(state)
    state.unannounced.update(changes.gained)
    state.unannounced.difference_update(changes.lost)
    begin_handover(state, list(changes.lost))
    return []


def _remove_unregistered(state: BalancerState) -> None:
    """Delete the entries of backend servers that are no longer registered."""
    registered = state.cluster.backend_servers
    for by_server in (state.restarted_at, state.renewals, state.last_overflows):
        for name in [name for name in by_server if name not in registered]:
            del by_server[name]


def take_out_locally(event: TakenOutLocally, state: BalancerState) -> list[Decision]:
    """Stop sending to a failure domain before an entry takes it out of service."""
    state.out_locally.add(event.failure_domain)
    invalid = update_routes(
        state.routes, state.cluster, state.out_locally, event.now, snapshot=False
    )
    for target in invalid:
        clear_backend_server(state, target.id, event.now)
    return []


def apply_renewal(event: BackendServerRenewed, state: BalancerState) -> None:
    """Record an announcement; after a restart delete the records of earlier flows."""
    name = event.backend_server
    previous = state.renewals.get(name)
    state.renewals[name] = Renewal(event.boot_id, event.now)
    if previous is not None and previous.boot_id != event.boot_id:
        state.restarted_at[name] = event.now
        clear_backend_server(state, name, event.now)
    if name in state.unannounced:
        state.unannounced.discard(name)
        count_copies(state, name)


def clear_backend_server(
    state: BalancerState, backend_server: BackendServerId, now: Seconds
) -> None:
    """Delete the records of the flows that have ended with their backend server.

    The backend server has restarted or was removed, or its failure domain is out of
    service.
    """
    reason = broken_reason(state.cluster, state.out_locally, backend_server)
    for flow in records.flows_of(state.records, backend_server):
        record = state.records.records[flow]
        if record.target.usable and not has_restarted(state, record.target):
            continue
        records.remove(state.records, flow)
        count_broken(state.metrics, record, reason)
        release_slot(state, record, now)
    state.inherited_flows.pop(backend_server, None)
    state.outgoing_handovers.pop(backend_server, None)


def run_periodic_work(now: Seconds, state: BalancerState) -> list[Decision]:
    """Expire records and openings, and return the reports and handovers now due."""
    cache.expire(state.cache, now)
    for record in records.remove_expired(state.records, now):
        release_slot(state, record, now)
    _time_out_openings(state, now)
    expire_inherited(state, now)
    expire_unconfirmed_resets(state, now)
    count_flows(state, now)
    apply_reachability(state, now)
    return (
        propose_releases(state, now)
        + next_handovers(state, now)
        + report_diverted(state, now)
    )


def _time_out_openings(state: BalancerState, now: Seconds) -> None:
    while state.pending_openings and state.pending_openings[0].deadline <= now:
        pending = state.pending_openings.popleft()
        record = state.records.records.get(pending.flow)
        if record is not pending.record or record.answered or record.closed:
            continue
        record.answered = True
        latency = Seconds(now - record.opened)
        state.admission.observe(record.target.id, OpeningResult.TIMED_OUT, latency, now)


def _nodes_by_tag(nodes: Iterable[NodeId]) -> dict[int, NodeId | None]:
    tags: dict[int, NodeId | None] = {}
    for node in nodes:
        tag = tag_of(node)
        tags[tag] = None if tag in tags else node
    return tags
