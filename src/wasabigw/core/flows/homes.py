"""Homes of backend servers as this balancer knows them, and their completeness.

The balancer of the same failure domain with the second highest score is the backup:
it keeps copies of the records and becomes the home if the home fails. Homes are
followed entry by entry, so that the previous home is known and only the backend
servers that a change of the balancers concerns are looked at.
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
    """Home of a backend server.

    :param node: ``None`` if there is no balancer.
    :param backup: ``None`` if the failure domain has only one balancer.
    :param previous: home before ``node`` took over, as far as known.
    """

    failure_domain: FailureDomainId
    boot_id: BootId
    node: NodeId | None
    backup: NodeId | None = None
    previous: NodeId | None = None


@dataclass(frozen=True, slots=True)
class _Claim:
    """A former role of this balancer, whose records it keeps.

    :param complete: whether it had all records then.
    """

    successor: NodeId | None
    incarnation: Incarnation | None
    complete: bool


@dataclass(frozen=True, slots=True)
class HomeChanges:
    """Backend servers whose home this balancer became or ceased to be."""

    gained: tuple[BackendServerId, ...] = ()
    lost: tuple[BackendServerId, ...] = ()


@dataclass(slots=True)
class Homes:
    """Homes of all backend servers and what this balancer holds as one.

    :param incomplete_until: by backend server of which this balancer is the home or
        the backup.
    :param seen: backend servers of the last update; only those that were replaced
        since are looked at.
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
    claims: dict[BackendServerId, _Claim] = field(default_factory=dict)
    seen: dict[BackendServerId, BackendServer] = field(default_factory=dict)


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
    """Home before the present one, if it is still a balancer."""
    known = homes.homes.get(backend_server)
    if known is None or known.previous not in homes.incarnations:
        return None
    return known.previous


def is_complete(
    homes: Homes, backend_server: BackendServerId, bucket: BucketNumber, now: Seconds
) -> bool:
    """Whether this balancer would know any flow of a bucket.

    As a former home it knows the flows from before its immediate successor.
    """
    if has_role(homes, backend_server):
        if bucket in homes.handed_over.get(backend_server, ()):
            return True
        return now >= homes.incomplete_until.get(backend_server, Seconds(0.0))
    claim = homes.claims.get(backend_server)
    return claim is not None and claim.complete


def take_handover(
    homes: Homes, backend_server: BackendServerId, buckets: frozenset[BucketNumber]
) -> None:
    """Note that the previous home has handed over all records of some buckets."""
    if home(homes, backend_server) == homes.node:
        homes.handed_over[backend_server] = buckets


def doubt_copies(homes: Homes, now: Seconds) -> None:
    """Note that homes may have opened flows without a copy at this backup.

    They do so under a stale view, and lose their view when this balancer does.
    """
    for name in homes.incomplete_until:
        if backup(homes, name) == homes.node:
            homes.incomplete_until[name] = Seconds(now + FLOW_IDLE_TIMEOUT)


def update_homes(
    homes: Homes, cluster: ClusterState, now: Seconds, history_known: bool
) -> HomeChanges:
    """Follow the homes to the revision of the replicated state.

    :param history_known: whether each entry since the last update was applied; if
        not, this balancer may lack records of any backend server.
    """
    before = homes.usable
    homes.usable = {
        node.id: node.failure_domain
        for node in cluster.nodes.values()
        if node.state is not NodeState.DRAINING
    }
    homes.incarnations = {node.id: node.incarnation for node in cluster.nodes.values()}
    changed = changed_keys(cluster.backend_servers, homes.seen)
    for name in removed_keys(cluster.backend_servers, homes.seen, changed):
        _remove_unregistered(homes, name)
    changes = _follow_nodes(homes, before, cluster, now)
    _follow_backend_servers(homes, cluster, changed, now, history_known)
    if not history_known:
        _assume_nothing(homes, cluster, now)
    _check_claims(homes)
    return changes


def _remove_unregistered(homes: Homes, name: BackendServerId) -> None:
    domain = homes.homes.pop(name).failure_domain
    homes.by_domain[domain].discard(name)
    _forget_own(homes, name)


def _forget_own(homes: Homes, name: BackendServerId) -> None:
    homes.incomplete_until.pop(name, None)
    homes.handed_over.pop(name, None)
    homes.claims.pop(name, None)


def _follow_nodes(
    homes: Homes,
    before: dict[NodeId, FailureDomainId],
    cluster: ClusterState,
    now: Seconds,
) -> HomeChanges:
    if before == homes.usable:
        return HomeChanges()
    removed = {n for n, domain in before.items() if homes.usable.get(n) != domain}
    added = {n for n, domain in homes.usable.items() if before.get(n) != domain}
    staffed = set(homes.usable.values())
    were_staffed = set(before.values())
    gained: list[BackendServerId] = []
    lost: list[BackendServerId] = []
    for domain, names in homes.by_domain.items():
        whole = domain not in staffed or domain not in were_staffed
        joined = [n for n in added if homes.usable[n] == domain]
        for name in names:
            known = homes.homes[name]
            roles = (known.node, known.backup)
            if whole or None in roles or not removed.isdisjoint(roles):
                first, second = _ranked(homes, name, domain, cluster)
            elif joined:
                first, second = _best_two(name, [*filter(None, roles), *joined])
            else:
                continue
            if (first, second) == roles:
                continue
            if known.node == homes.node and first != homes.node:
                lost.append(name)
            if known.node != homes.node and first == homes.node:
                gained.append(name)
            _move_home(homes, name, known, first, second, now)
    return HomeChanges(tuple(gained), tuple(lost))


def _ranked(
    homes: Homes,
    name: BackendServerId,
    domain: FailureDomainId,
    cluster: ClusterState,
) -> tuple[NodeId | None, NodeId | None]:
    """Home and backup among all balancers."""
    local = [node for node, where in homes.usable.items() if where == domain]
    if local:
        return _best_two(name, local)
    return select_home(name, domain, cluster.nodes.values()), None


def _best_two(
    name: BackendServerId, nodes: list[NodeId]
) -> tuple[NodeId | None, NodeId | None]:
    ranked = sorted(nodes, key=lambda node: home_score(name, node), reverse=True)
    return ranked[0], ranked[1] if len(ranked) > 1 else None


def _move_home(
    homes: Homes,
    name: BackendServerId,
    known: _Home,
    first: NodeId | None,
    second: NodeId | None,
    now: Seconds,
) -> None:
    had_role = homes.node in (known.node, known.backup)
    has_one = homes.node in (first, second)
    if had_role and not has_one:
        until = homes.incomplete_until.pop(name, Seconds(0.0))
        homes.handed_over.pop(name, None)
        complete = now >= until
        homes.claims[name] = _Claim(first, _incarnation(homes, first), complete)
    if has_one and not had_role:
        homes.claims.pop(name, None)
        homes.incomplete_until[name] = Seconds(now + FLOW_IDLE_TIMEOUT)
    if first != known.node:
        known.previous = known.node
        known.node = first
    known.backup = second


def _follow_backend_servers(
    homes: Homes,
    cluster: ClusterState,
    changed: list[BackendServerId],
    now: Seconds,
    history_known: bool,
) -> None:
    homes.seen = dict(cluster.backend_servers)
    for backend_server in map(homes.seen.__getitem__, changed):
        known = homes.homes.get(backend_server.id)
        if known is None or known.failure_domain != backend_server.failure_domain:
            _add_backend_server(homes, backend_server, cluster, now)
        elif known.boot_id != backend_server.boot_id and history_known:
            known.boot_id = backend_server.boot_id
            # Its earlier flows are gone, so that no record can be missing.
            if has_role(homes, backend_server.id):
                homes.incomplete_until[backend_server.id] = now


def _add_backend_server(
    homes: Homes, backend_server: BackendServer, cluster: ClusterState, now: Seconds
) -> None:
    name, domain = backend_server.id, backend_server.failure_domain
    old = homes.homes.get(name)
    if old is not None:
        homes.by_domain[old.failure_domain].discard(name)
    _forget_own(homes, name)
    first, second = _ranked(homes, name, domain, cluster)
    homes.homes[name] = _Home(domain, backend_server.boot_id, first, second)
    homes.by_domain.setdefault(domain, set()).add(name)
    if homes.node in (first, second):
        homes.incomplete_until[name] = now


def _assume_nothing(homes: Homes, cluster: ClusterState, now: Seconds) -> None:
    """Count every own home as incomplete; ask who would be home without this node."""
    others = [node for node in cluster.nodes.values() if node.id != homes.node]
    homes.claims.clear()
    homes.handed_over.clear()
    for name, known in homes.homes.items():
        known.boot_id = cluster.backend_servers[name].boot_id
        if not has_role(homes, name):
            continue
        homes.incomplete_until[name] = Seconds(now + FLOW_IDLE_TIMEOUT)
        if known.node != homes.node:
            continue
        known.previous = select_home(name, known.failure_domain, others)


def _check_claims(homes: Homes) -> None:
    """Void claims once the successor was itself succeeded or restarted."""
    for name, claim in list(homes.claims.items()):
        if not claim.complete:
            continue
        successor = home(homes, name)
        known = claim.successor is not None and successor == claim.successor
        if not known or _incarnation(homes, successor) != claim.incarnation:
            homes.claims[name] = _Claim(None, None, False)


def _incarnation(homes: Homes, node: NodeId | None) -> Incarnation | None:
    return None if node is None else homes.incarnations.get(node)
