"""Schemes with a connection table in each balancer: Maglev and JET style."""

from collections import defaultdict
from dataclasses import dataclass, field

import xxhash

from wasabigw.core.ids import BackendServerId, FlowKey, NodeId
from wasabigw_measure._mapping_scheme import (
    PacketOutcome,
    RendezvousSelector,
    Scheme,
    balancer_crashed,
    count_entries,
    flow_ended,
    process_packet,
)
from wasabigw_measure._mapping_world import Balancer, Flow, PacketKind, World

MAGLEV_TABLE_SIZE = 4093
"""A prime, so that the permutation of each server visits every slot."""

ConnectionTable = dict[FlowKey, BackendServerId]


@dataclass(slots=True)
class ConnectionTables(Scheme):
    """Base class of schemes with a connection table in each balancer."""

    tables: defaultdict[NodeId, ConnectionTable] = field(
        default_factory=lambda: defaultdict(dict)
    )


@dataclass(slots=True)
class Maglev(ConnectionTables):
    """Lookup table and connection table (Eisenbud et al., NSDI 2016)."""

    lookup_tables: dict[tuple[BackendServerId, ...], list[BackendServerId]] = field(
        default_factory=dict
    )


@dataclass(slots=True)
class JustEnoughTracking(ConnectionTables):
    """Connection table only for flows that the next planned change would move.

    Follows JET (Mendelson et al., CoNEXT 2020), with rendezvous hashing.
    """

    selector: RendezvousSelector = field(default_factory=RendezvousSelector)


def maglev_table(servers: tuple[BackendServerId, ...]) -> list[BackendServerId]:
    """Lookup table that the servers fill in turn, each by its own permutation."""
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


@process_packet.register
def _(
    scheme: Maglev,
    flow: Flow,
    kind: PacketKind,
    balancer: Balancer,
    world: World,
) -> PacketOutcome:
    table = scheme.tables[balancer.node]
    server = table.get(flow.key)
    if server is None:
        servers = world.view_of(balancer).accepting
        if servers not in scheme.lookup_tables:
            scheme.lookup_tables[servers] = maglev_table(servers)
        server = scheme.lookup_tables[servers][flow.hash % MAGLEV_TABLE_SIZE]
        table[flow.key] = server
    return PacketOutcome(server)


@process_packet.register
def _(
    scheme: JustEnoughTracking,
    flow: Flow,
    kind: PacketKind,
    balancer: Balancer,
    world: World,
) -> PacketOutcome:
    table = scheme.tables[balancer.node]
    server = table.get(flow.key)
    if server is None:
        view = world.view_of(balancer)
        server = scheme.selector.select_server(flow, view.accepting)
        if scheme.selector.select_server(flow, view.upcoming) != server:
            table[flow.key] = server
    return PacketOutcome(server)


@balancer_crashed.register
def _(scheme: ConnectionTables, node: NodeId) -> None:
    scheme.tables.pop(node, None)


@flow_ended.register
def _(scheme: ConnectionTables, flow: Flow) -> None:
    for table in scheme.tables.values():
        table.pop(flow.key, None)


@count_entries.register
def _(scheme: ConnectionTables) -> int:
    return sum(len(table) for table in scheme.tables.values())
