"""Homes and backups of all backend servers, and which flow records are complete.

The balancer of the same failure domain with the second highest score is the backup:
it keeps copies of the records and becomes the home if the home fails. The table is
updated with each log entry, so that previous homes are known and only the backend
servers that a change of the balancers affects have to be ranked again.
"""

from dataclasses import dataclass, field

from wasabigw.core.cluster import BackendServer, ClusterState
from wasabigw.core.differences import changed_keys, removed_keys
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    BucketNumber,
    FailureDomainId,
    Incarnation,
    NodeId,
    Seconds,
)
from wasabigw.core.placement import home_score, select_home
from wasabigw.core.states import NodeState
from wasabigw.core.timing import FLOW_IDLE_TIMEOUT


@dataclass(slots=True)
class _Home:
    """Home and backup of one backend server.

    :param node: the home; ``None`` if there is no balancer.
    :param backup: ``None`` if the failure domain has only one balancer.
    :param previous: home before ``node``, if known.
    """

    failure_domain: FailureDomainId
    boot_id: BootId
    node: NodeId | None
    backup: NodeId | None = None
    previous: NodeId | None = None


@dataclass(frozen=True, slots=True)
class _FormerRole:
    """Former role of this balancer as home or backup; it still has the records.

    :param successor: home that followed, with its incarnation at that time.
    :param complete: whether the records were complete at that time.
    """

    successor: NodeId | None
    incarnation: Incarnation | None
    complete: bool


@dataclass(frozen=True, slots=True)
class HomeChanges:
    """Backend servers that this balancer has become the home of, or was until now."""

    gained: tuple[BackendServerId, ...] = ()
    lost: tuple[BackendServerId, ...] = ()


@dataclass(slots=True)
class Homes:
    """Homes of all backend servers, and the completeness of the records kept here.

    :param usable: balancers that can be a home, with their failure domains.
    :param incomplete_until: until when records of a backend server may be missing;
        has an entry if this balancer is the home or the backup.
    :param handed_over: buckets whose records the previous home has handed over.
    :param applied_servers: backend servers of the last update; only those replaced
        since then have to be processed.
    """

    node: NodeId
    homes: dict[BackendServerId, _Home] = field(default_factory=dict)
    usable: dict[NodeId, FailureDomainId] = field(default_factory=dict)
    incarnations: dict[NodeId, Incarnation] = field(default_factory=dict)
    by_domain: dict[FailureDomainId, set[BackendServerId]] = field(default_factory=dict)
    incomplete_until: dict[BackendServerId, Seconds] = field(default_factory=dict)
    handed_over: dict[BackendServerId, frozenset[BucketNumber]] = field(
        default_factory=dict
    )
    former_roles: dict[BackendServerId, _FormerRole] = field(default_factory=dict)
    applied_servers: dict[BackendServerId, BackendServer] = field(default_factory=dict)


def home(homes: Homes, backend_server: BackendServerId) -> NodeId | None:
    """Home of a backend server."""
    known = homes.homes.get(backend_server)
    return known.node if known is not None else None


def backup(homes: Homes, backend_server: BackendServerId) -> NodeId | None:
    """Balancer that keeps copies of the records of the home."""
    known = homes.homes.get(backend_server)
    return known.backup if known is not None else None


def has_role(homes: Homes, backend_server: BackendServerId) -> bool:
    """Whether this balancer is the home or the backup."""
    known = homes.homes.get(backend_server)
    return known is not None and homes.node in (known.node, known.backup)


def previous_home(homes: Homes, backend_server: BackendServerId) -> NodeId | None:
    """Home before the current one, if it is still registered."""
    known = homes.homes.get(backend_server)
    if known is None or known.previous not in homes.incarnations:
        return None
    return known.previous


def is_complete(
    homes: Homes, backend_server: BackendServerId, bucket: BucketNumber, now: Seconds
) -> bool:
    """Whether this balancer has the records of all flows of a bucket.

    A former home has the records of all flows from before its immediate successor.
    """
    if has_role(homes, backend_server):
        if bucket in homes.handed_over.get(backend_server, ()):
            return True
        return now >= homes.incomplete_until.get(backend_server, Seconds(0.0))
    former_role = homes.former_roles.get(backend_server)
    return former_role is not None and former_role.complete


def record_handover(
    homes: Homes, backend_server: BackendServerId, buckets: frozenset[BucketNumber]
) -> None:
    """Record the buckets whose records the previous home has handed over in full."""
    if home(homes, backend_server) == homes.node:
        homes.handed_over[backend_server] = buckets


def mark_copies_incomplete(homes: Homes, now: Seconds) -> None:
    """Mark the records that this balancer keeps as a backup as incomplete.

    A home with a stale view opens flows without a copy at its backup, and its view goes
    stale when that of this balancer does.
    """
    for name in homes.incomplete_until:
        if backup(homes, name) == homes.node:
            homes.incomplete_until[name] = Seconds(now + FLOW_IDLE_TIMEOUT)


def update_homes(
    homes: Homes, cluster: ClusterState, now: Seconds, history_known: bool
) -> HomeChanges:
    """Update the homes to the revision of the replicated state.

    :param history_known: whether each entry since the last update was applied. If
        not, the records of every backend server may be incomplete.
    """
    before = homes.usable
    homes.usable = {
        node.id: node.failure_domain
        for node in cluster.nodes.values()
        if node.state is not NodeState.DRAINING
    }
    homes.incarnations = {node.id: node.incarnation for node in cluster.nodes.values()}
    changed = changed_keys(cluster.backend_servers, homes.applied_servers)
    for name in removed_keys(cluster.backend_servers, homes.applied_servers, changed):
        _remove_unregistered(homes, name)
    changes = _apply_node_changes(homes, before, cluster, now)
    _apply_backend_server_changes(homes, cluster, changed, now, history_known)
    if not history_known:
        _mark_all_incomplete(homes, cluster, now)
    _invalidate_former_roles(homes)
    return changes


def _remove_unregistered(homes: Homes, name: BackendServerId) -> None:
    domain = homes.homes.pop(name).failure_domain
    homes.by_domain[domain].discard(name)
    _remove_own_entries(homes, name)


def _remove_own_entries(homes: Homes, name: BackendServerId) -> None:
    homes.incomplete_until.pop(name, None)
    homes.handed_over.pop(name, None)
    homes.former_roles.pop(name, None)


def _apply_node_changes(
    homes: Homes,
    before: dict[NodeId, FailureDomainId],
    cluster: ClusterState,
    now: Seconds,
) -> HomeChanges:
    if before == homes.usable:
        return HomeChanges()
    removed = {n for n, domain in before.items() if homes.usable.get(n) != domain}
    added = {n for n, domain in homes.usable.items() if before.get(n) != domain}
    populated = set(homes.usable.values())
    were_populated = set(before.values())
    gained: list[BackendServerId] = []
    lost: list[BackendServerId] = []
    for domain, names in homes.by_domain.items():
        rank_all = domain not in populated or domain not in were_populated
        joined = [n for n in added if homes.usable[n] == domain]
        for name in names:
            known = homes.homes[name]
            roles = (known.node, known.backup)
            if rank_all or None in roles or not removed.isdisjoint(roles):
                home_node, backup_node = _ranked(homes, name, domain, cluster)
            elif joined:
                home_node, backup_node = _two_highest(
                    name, [*filter(None, roles), *joined]
                )
            else:
                continue
            if (home_node, backup_node) == roles:
                continue
            if known.node == homes.node and home_node != homes.node:
                lost.append(name)
            if known.node != homes.node and home_node == homes.node:
                gained.append(name)
            _move_home(homes, name, known, home_node, backup_node, now)
    return HomeChanges(tuple(gained), tuple(lost))


def _ranked(
    homes: Homes,
    name: BackendServerId,
    domain: FailureDomainId,
    cluster: ClusterState,
) -> tuple[NodeId | None, NodeId | None]:
    """Home and backup of a backend server, chosen among all balancers."""
    local = [node for node, where in homes.usable.items() if where == domain]
    if local:
        return _two_highest(name, local)
    return select_home(name, domain, cluster.nodes.values()), None


def _two_highest(
    name: BackendServerId, nodes: list[NodeId]
) -> tuple[NodeId | None, NodeId | None]:
    ranked = sorted(nodes, key=lambda node: home_score(name, node), reverse=True)
    return ranked[0], ranked[1] if len(ranked) > 1 else None


def _move_home(
    homes: Homes,
    name: BackendServerId,
    known: _Home,
    home_node: NodeId | None,
    backup_node: NodeId | None,
    now: Seconds,
) -> None:
    had_role = homes.node in (known.node, known.backup)
    has_role_now = homes.node in (home_node, backup_node)
    if had_role and not has_role_now:
        until = homes.incomplete_until.pop(name, Seconds(0.0))
        homes.handed_over.pop(name, None)
        complete = now >= until
        homes.former_roles[name] = _FormerRole(
            home_node, _incarnation(homes, home_node), complete
        )
    if has_role_now and not had_role:
        homes.former_roles.pop(name, None)
        homes.incomplete_until[name] = Seconds(now + FLOW_IDLE_TIMEOUT)
    if home_node != known.node:
        known.previous = known.node
        known.node = home_node
    known.backup = backup_node


def _apply_backend_server_changes(
    homes: Homes,
    cluster: ClusterState,
    changed: list[BackendServerId],
    now: Seconds,
    history_known: bool,
) -> None:
    homes.applied_servers = dict(cluster.backend_servers)
    for backend_server in map(homes.applied_servers.__getitem__, changed):
        known = homes.homes.get(backend_server.id)
        if known is None or known.failure_domain != backend_server.failure_domain:
            _add_backend_server(homes, backend_server, cluster, now)
        elif known.boot_id != backend_server.boot_id and history_known:
            known.boot_id = backend_server.boot_id
            # The restart ended its earlier flows, so that no record can be missing.
            if has_role(homes, backend_server.id):
                homes.incomplete_until[backend_server.id] = now


def _add_backend_server(
    homes: Homes, backend_server: BackendServer, cluster: ClusterState, now: Seconds
) -> None:
    name, domain = backend_server.id, backend_server.failure_domain
    old = homes.homes.get(name)
    if old is not None:
        homes.by_domain[old.failure_domain].discard(name)
    _remove_own_entries(homes, name)
    home_node, backup_node = _ranked(homes, name, domain, cluster)
    homes.homes[name] = _Home(domain, backend_server.boot_id, home_node, backup_node)
    homes.by_domain.setdefault(domain, set()).add(name)
    if homes.node in (home_node, backup_node):
        homes.incomplete_until[name] = now


def _mark_all_incomplete(homes: Homes, cluster: ClusterState, now: Seconds) -> None:
    """Mark all records of this balancer as incomplete.

    The previous home is unknown; the balancer that would be the home without this one
    takes its place.
    """
    others = [node for node in cluster.nodes.values() if node.id != homes.node]
    homes.former_roles.clear()
    homes.handed_over.clear()
    for name, known in homes.homes.items():
        known.boot_id = cluster.backend_servers[name].boot_id
        if not has_role(homes, name):
            continue
        homes.incomplete_until[name] = Seconds(now + FLOW_IDLE_TIMEOUT)
        if known.node != homes.node:
            continue
        known.previous = select_home(name, known.failure_domain, others)


def _invalidate_former_roles(homes: Homes) -> None:
    """Mark former roles as incomplete once the successor was replaced or restarted."""
    for name, former_role in list(homes.former_roles.items()):
        if not former_role.complete:
            continue
        successor = home(homes, name)
        known = former_role.successor is not None and successor == former_role.successor
        if not known or _incarnation(homes, successor) != former_role.incarnation:
            homes.former_roles[name] = _FormerRole(None, None, False)


def _incarnation(homes: Homes, node: NodeId | None) -> Incarnation | None:
    return None if node is None else homes.incarnations.get(node)
