"""Schemes with a connection table in each balancer: Maglev and JET style."""

from collections import defaultdict
from dataclasses import dataclass, field

import xxhash

from wasabigw.core.ids import BackendServerId, FlowKey, NodeId
from wasabigw_measure._mapping_scheme import (
    Carried,
    RendezvousChoices,
    Scheme,
    balancer_lost,
    carry,
    entries,
    flow_ended,
)
from wasabigw_measure._mapping_world import Balancer, Flow, PacketKind, World

MAGLEV_TABLE_SIZE = 4093
"""A prime, so that each permutation visits each slot."""

ConnectionTable = dict[FlowKey, BackendServerId]


@dataclass(slots=True)
class ConnectionTables(Scheme):
    """Base of schemes with a connection table in each balancer."""

    tables: defaultdict[NodeId, ConnectionTable] = field(
        default_factory=lambda: defaultdict(dict)
    )


@dataclass(slots=True)
class Maglev(ConnectionTables):
    """Lookup table and connection table (Eisenbud et al., NSDI 2016)."""

    lookups: dict[tuple[BackendServerId, ...], list[BackendServerId]] = field(
        default_factory=dict
    )


@dataclass(slots=True)
class TrackUnstable(ConnectionTables):
    """Only flows whose choice the next planned change moves are tracked.

    In the manner of JET (Mendelson et al., CoNEXT 2020), with rendezvous choices.
    """

    choices: RendezvousChoices = field(default_factory=RendezvousChoices)


def maglev_table(servers: tuple[BackendServerId, ...]) -> list[BackendServerId]:
    """Lookup table in which the servers take turns with their permutations."""
    size = MAGLEV_TABLE_SIZE
    offsets = [xxhash.xxh64_intdigest(s.encode(), seed=1) % size for s in servers]
    skips = [
        xxhash.xxh64_intdigest(s.encode(), seed=2) % (size - 1) + 1 for s in servers
    ]
    positions = [0] * len(servers)
    table: list[BackendServerId | None] = [None] * size
    filled = 0
    while True:
        for index, server in enumerate(servers):
            slot = (offsets[index] + positions[index] * skips[index]) % size
            while table[slot] is not None:
                positions[index] += 1
                slot = (offsets[index] + positions[index] * skips[index]) % size
            table[slot] = server
            positions[index] += 1
            filled += 1
            if filled == size:
                return [name for name in table if name is not None]


@carry.register
def _(
    scheme: Maglev,
    flow: Flow,
    kind: PacketKind,
    balancer: Balancer,
    world: World,
) -> Carried:
    table = scheme.tables[balancer.node]
    server = table.get(flow.key)
    if server is None:
        servers = world.view_of(balancer).accepting
        if servers not in scheme.lookups:
            scheme.lookups[servers] = maglev_table(servers)
        server = scheme.lookups[servers][flow.hash % MAGLEV_TABLE_SIZE]
        table[flow.key] = server
    return Carried(server)


@carry.register
def _(
    scheme: TrackUnstable,
    flow: Flow,
    kind: PacketKind,
    balancer: Balancer,
    world: World,
) -> Carried:
    table = scheme.tables[balancer.node]
    server = table.get(flow.key)
    if server is None:
        view = world.view_of(balancer)
        server = scheme.choices.server(flow, view.accepting)
        if scheme.choices.server(flow, view.upcoming) != server:
            table[flow.key] = server
    return Carried(server)


@balancer_lost.register
def _(scheme: ConnectionTables, node: NodeId) -> None:
    scheme.tables.pop(node, None)


@flow_ended.register
def _(scheme: ConnectionTables, flow: Flow) -> None:
    for table in scheme.tables.values():
        table.pop(flow.key, None)


@entries.register
def _(scheme: ConnectionTables) -> int:
    return sum(len(table) for table in scheme.tables.values())
