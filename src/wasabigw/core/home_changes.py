"""Changes of homes and confirmed ramp steps as the replicated state advances."""

from wasabigw.core import admission
from wasabigw.core.cluster import BackendServer, ClusterState
from wasabigw.core.differences import changed_keys, removed_keys
from wasabigw.core.home_records import (
    HomedServer,
    HomeState,
    record_from_registration,
    update_limits,
)
from wasabigw.core.ids import BackendServerId, Seconds
from wasabigw.core.placement import HomePlacement, is_home, placement_of


def apply_cluster_changes(
    cluster: ClusterState, state: HomeState, now: Seconds
) -> None:
    """Apply what has changed in the replicated state since the previous call."""
    state.cluster = cluster
    placement = placement_of(state.node, cluster)
    moved = placement.membership != state.membership
    registered = cluster.backend_servers
    changed = changed_keys(registered, state.last_servers)
    for name in registered if moved else changed:
        _update_home(registered[name], placement, state, now)
    for name in removed_keys(registered, state.last_servers, changed):
        _remove_deregistered(name, state)
    state.membership = placement.membership
    state.last_servers = dict(cluster.backend_servers)
    state.handed_over_counts = {
        name: count
        for name, count in state.handed_over_counts.items()
        if name in cluster.backend_servers
    }
    for record in state.servers.values():
        update_limits(record, state)


def _update_home(
    server: BackendServer, placement: HomePlacement, state: HomeState, now: Seconds
) -> None:
    assert state.cluster is not None
    record = state.servers.get(server.id)
    if not is_home(server, placement, state.cluster):
        if record is not None:
            _mark_no_longer_home(record)
    elif record is None or record.homed_since is None:
        gained = record_from_registration(server, state.cluster, now)
        gained.admission.open_flows = state.handed_over_counts.pop(server.id, 0)
        gained.missed_when_heard = state.missed
        state.servers[server.id] = gained
    else:
        _update_confirmed_step(record, server, now)


def _mark_no_longer_home(record: HomedServer) -> None:
    """Another node is the home now; the lease is kept for packets in transit."""
    record.homed_since = None
    record.announced = False
    record.last_sent.clear()


def _update_confirmed_step(
    record: HomedServer, server: BackendServer, now: Seconds
) -> None:
    """Restart the ramp if the registered step fell below the last confirmed one.

    This home did not report such a step, so operators lowered it.
    """
    if server.boot_id != record.boot_id:
        return
    ramp = record.admission.ramp
    if server.step < record.confirmed_step and server.step < ramp.step:
        admission.restart_ramp(record.admission, now)
    record.confirmed_step = server.step


def _remove_deregistered(name: BackendServerId, state: HomeState) -> None:
    record = state.servers.get(name)
    if record is not None and record.lease is None:
        del state.servers[name]
