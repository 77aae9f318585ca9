"""Scheme in which one balancer owns a flow and holds its only entry."""

from dataclasses import dataclass, field

from wasabigw.core.ids import BackendServerId, NodeId
from wasabigw_measure._mapping_scheme import (
    PacketOutcome,
    RendezvousSelector,
    process_packet,
)
from wasabigw_measure._mapping_tables import ConnectionTables
from wasabigw_measure._mapping_world import Balancer, Flow, PacketKind, World


@dataclass(slots=True)
class FlowOwner(ConnectionTables):
    """Flow entries only at the owner, which rendezvous hashing selects.

    :param query_former_choices: whether an owner without an entry queries the former
        owners, and then the backend servers that former views select, newest first.
        That a backend server can tell whether it has a flow is an idealisation.
    """

    query_former_choices: bool = False
    selector: RendezvousSelector = field(default_factory=RendezvousSelector)


@process_packet.register
def _(
    scheme: FlowOwner,
    flow: Flow,
    kind: PacketKind,
    balancer: Balancer,
    world: World,
) -> PacketOutcome:
    owner_id = scheme.selector.select_node(flow, world.view_of(balancer).nodes)
    forwards = 0 if owner_id == balancer.node else 1
    owner = world.balancers.get(owner_id)
    if owner is None or not owner.alive:
        return PacketOutcome(None, forwards)
    table = scheme.tables[owner_id]
    server = table.get(flow.key)
    queries = 0
    if (
        server is None
        and scheme.query_former_choices
        and kind is not PacketKind.OPENING
    ):
        server, queries = _query_former_choices(scheme, flow, owner, world)
    if server is None:
        server = scheme.selector.select_server(flow, world.view_of(owner).accepting)
    table[flow.key] = server
    return PacketOutcome(server, forwards, queries)


def _query_former_choices(
    scheme: FlowOwner, flow: Flow, owner: Balancer, world: World
) -> tuple[BackendServerId | None, int]:
    views = world.views[owner.revision :: -1]
    queried: set[NodeId | BackendServerId] = {owner.node}
    for view in views:
        owner_id = scheme.selector.select_node(flow, view.nodes)
        other = world.balancers.get(owner_id)
        if owner_id in queried or other is None or not other.alive:
            continue
        queried.add(owner_id)
        server = scheme.tables[owner_id].get(flow.key)
        if server is not None:
            return server, len(queried) - 1
    for view in views:
        server = scheme.selector.select_server(flow, view.accepting)
        if server in queried:
            continue
        queried.add(server)
        if server == flow.server:
            return server, len(queried) - 1
    return None, len(queried) - 1
