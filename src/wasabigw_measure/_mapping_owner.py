"""Schemes in which one balancer owns a flow, without and with former choices."""

from dataclasses import dataclass, field

from wasabigw.core.ids import BackendServerId, NodeId
from wasabigw_measure._mapping_scheme import Carried, RendezvousChoices, carry
from wasabigw_measure._mapping_tables import ConnectionTables
from wasabigw_measure._mapping_world import Balancer, Flow, PacketKind, World


@dataclass(slots=True)
class FlowOwner(ConnectionTables):
    """The owner holds the only entry of a flow.

    :param former_choices: whether the owner asks the former owners, and then the
        servers that former views chose, newest first. That a backend server can
        say whether it has a flow is an idealisation.
    """

    former_choices: bool = False
    choices: RendezvousChoices = field(default_factory=RendezvousChoices)


@carry.register
def _(
    scheme: FlowOwner,
    flow: Flow,
    kind: PacketKind,
    balancer: Balancer,
    world: World,
) -> Carried:
    owner = scheme.choices.node(flow, world.view_of(balancer).nodes)
    forwards = 0 if owner == balancer.node else 1
    owning = world.balancers.get(owner)
    if owning is None or not owning.alive:
        return Carried(None, forwards)
    table = scheme.tables[owner]
    server = table.get(flow.key)
    queries = 0
    if server is None and scheme.former_choices and kind is not PacketKind.OPENING:
        server, queries = _ask_former(scheme, flow, owning, world)
    if server is None:
        server = scheme.choices.server(flow, world.view_of(owning).accepting)
    table[flow.key] = server
    return Carried(server, forwards, queries)


def _ask_former(
    scheme: FlowOwner, flow: Flow, owning: Balancer, world: World
) -> tuple[BackendServerId | None, int]:
    views = world.views[owning.revision :: -1]
    asked: set[NodeId | BackendServerId] = {owning.node}
    for view in views:
        owner = scheme.choices.node(flow, view.nodes)
        other = world.balancers.get(owner)
        if owner in asked or other is None or not other.alive:
            continue
        asked.add(owner)
        server = scheme.tables[owner].get(flow.key)
        if server is not None:
            return server, len(asked) - 1
    for view in views:
        server = scheme.choices.server(flow, view.accepting)
        if server in asked:
            continue
        asked.add(server)
        if server == flow.server:
            return server, len(asked) - 1
    return None, len(asked) - 1
