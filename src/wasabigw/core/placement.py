"""Which balancer is the home of a backend server."""

from collections.abc import Iterable

import xxhash

from wasabigw.core.cluster import BackendServer, ClusterState, Node
from wasabigw.core.ids import BackendServerId, FailureDomainId, NodeId
from wasabigw.core.states import NodeState


def home_score(backend_server: BackendServerId, node: NodeId) -> int:
    """Rendezvous score of a balancer for a backend server."""
    return xxhash.xxh64_intdigest(f"{backend_server}\0{node}".encode())


def home_among(
    backend_server: BackendServerId,
    failure_domain: FailureDomainId,
    nodes: Iterable[Node],
) -> NodeId | None:
    """Home of a backend server among balancers of its own failure domain.

    Draining balancers are left out. If the failure domain has no balancer, one
    of another failure domain is the home.

    :returns: ``None`` if there is no balancer at all.
    """
    usable = [node for node in nodes if node.state is not NodeState.DRAINING]
    local = [node.id for node in usable if node.failure_domain == failure_domain]
    choices = local or [node.id for node in usable]
    if not choices:
        return None
    return max(choices, key=lambda node: home_score(backend_server, node))


def home_of(backend_server: BackendServer, state: ClusterState) -> NodeId | None:
    """Home of a registered backend server at the revision of ``state``."""
    return home_among(
        backend_server.id, backend_server.failure_domain, state.nodes.values()
    )
