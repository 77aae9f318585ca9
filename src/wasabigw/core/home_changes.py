"""Homes gained and lost, and steps confirmed, as the replicated state advances."""

from wasabigw.core import admission
from wasabigw.core.cluster import BackendServer, ClusterState
from wasabigw.core.differences import changed_keys, removed_keys
from wasabigw.core.home_records import (
    HomedServer,
    HomeState,
    record_of_registered,
    update_limit,
)
from wasabigw.core.ids import BackendServerId, Seconds
from wasabigw.core.placement import HomePlacement, is_home, placement_of


def follow_cluster(cluster: ClusterState, state: HomeState, now: Seconds) -> None:
    """Look at what has changed in the replicated state since the last time."""
    state.cluster = cluster
    placement = placement_of(state.node, cluster)
    moved = placement.membership != state.membership
    registered = cluster.backend_servers
    changed = changed_keys(registered, state.seen)
    for name in registered if moved else changed:
        _update_home(registered[name], placement, state, now)
    for name in removed_keys(registered, state.seen, changed):
        _deregistered(name, state)
    state.membership = placement.membership
    state.seen = dict(cluster.backend_servers)
    state.counted = {
        name: count
        for name, count in state.counted.items()
        if name in cluster.backend_servers
    }
    for record in state.servers.values():
        update_limit(record, state)


def _update_home(
    server: BackendServer, placement: HomePlacement, state: HomeState, now: Seconds
) -> None:
    assert state.cluster is not None
    record = state.servers.get(server.id)
    if not is_home(server, placement, state.cluster):
        if record is not None:
            _lost(record)
    elif record is None or record.homed_since is None:
        gained = record_of_registered(server, state.cluster, now)
        gained.admission.open_flows = state.counted.pop(server.id, 0)
        state.servers[server.id] = gained
    else:
        _follow_confirmed_step(record, server, now)


def _lost(record: HomedServer) -> None:
    """Another node is the home now; the lease still runs for packets in transit."""
    record.homed_since = None
    record.announced = False
    record.sent.clear()


def _follow_confirmed_step(
    record: HomedServer, server: BackendServer, now: Seconds
) -> None:
    """A step that fell without a report of this home was lowered by operators."""
    if server.boot_id != record.boot_id:
        return
    ramp = record.admission.ramp
    if server.step < record.confirmed_step and server.step < ramp.step:
        admission.restart_ramp(record.admission, now)
    record.confirmed_step = server.step


def _deregistered(name: BackendServerId, state: HomeState) -> None:
    record = state.servers.get(name)
    if record is not None and record.lease is None:
        del state.servers[name]
