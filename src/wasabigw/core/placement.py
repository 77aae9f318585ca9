"""Placement of homes: which balancer is the home of a backend server."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from wasabigw.core.cluster import BackendServer, ClusterState, Node
from wasabigw.core.ids import BackendServerId, FailureDomainId, NodeId
from wasabigw.core.states import NodeState


def home_score(backend_server: BackendServerId, node: NodeId) -> int:
    """Rendezvous score of a balancer for a backend server."""
    return xxhash.xxh64_intdigest(f"{backend_server}\0{node}".encode())


def select_home(
    backend_server: BackendServerId,
    failure_domain: FailureDomainId,
    nodes: Iterable[Node],
) -> NodeId | None:
    """Home of a backend server among some balancers, by the highest score.

    Draining balancers are excluded. Balancers of the backend server's own failure
    domain are preferred to those of others.

    :returns: ``None`` if all balancers are draining or there are none.
    """
    usable = [node for node in nodes if node.state is not NodeState.DRAINING]
    local = [node.id for node in usable if node.failure_domain == failure_domain]
    choices = local or [node.id for node in usable]
    if not choices:
        return None
    return max(choices, key=lambda node: home_score(backend_server, node))


def home_of(backend_server: BackendServer, state: ClusterState) -> NodeId | None:
    """Home of a registered backend server at the revision of ``state``."""
    return select_home(
        backend_server.id, backend_server.failure_domain, state.nodes.values()
    )


@dataclass(frozen=True, slots=True)
class HomePlacement:
    """Inputs of the decision on which backend servers are homed at this node.

    :param local: balancers of the node's failure domain.
    :param usable: failure domains with a balancer that is not draining.
    """

    node: Node | None
    local: tuple[Node, ...]
    usable: frozenset[FailureDomainId]

    @property
    def membership(self) -> tuple[object, ...]:
        """Value that changes whenever the home of a backend server may change."""
        return (self.local, self.usable)


def placement_of(name: NodeId, cluster: ClusterState) -> HomePlacement:
    """Placement inputs of a node at the revision of ``cluster``."""
    node = cluster.nodes.get(name)
    usable = frozenset(
        other.failure_domain
        for other in cluster.nodes.values()
        if other.state is not NodeState.DRAINING
    )
    local = tuple(
        other
        for other in cluster.nodes.values()
        if node is not None and other.failure_domain == node.failure_domain
    )
    return HomePlacement(node, local, usable)


def is_home(
    server: BackendServer, placement: HomePlacement, cluster: ClusterState
) -> bool:
    """Whether this node is the home; scores only the balancers that can be it."""
    node = placement.node
    if node is None:
        return False
    if server.failure_domain == node.failure_domain:
        home = select_home(server.id, server.failure_domain, placement.local)
        return home == node.id and node.state is not NodeState.DRAINING
    if server.failure_domain in placement.usable:
        return False
    return home_of(server, cluster) == node.id
