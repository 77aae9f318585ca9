"""Schemes without flow state: hash modulo and rendezvous hashing."""

from dataclasses import dataclass, field

from wasabigw_measure._mapping_scheme import (
    PacketOutcome,
    RendezvousSelector,
    Scheme,
    process_packet,
)
from wasabigw_measure._mapping_world import Balancer, Flow, PacketKind, World


@dataclass(slots=True)
class HashModulo(Scheme):
    """Flow hash modulo the number of backend servers that accept flows."""


@dataclass(slots=True)
class Rendezvous(Scheme):
    """Rendezvous hashing (Thaler and Ravishankar, 1998)."""

    selector: RendezvousSelector = field(default_factory=RendezvousSelector)


@process_packet.register
def _(
    scheme: HashModulo,
    flow: Flow,
    kind: PacketKind,
    balancer: Balancer,
    world: World,
) -> PacketOutcome:
    servers = world.view_of(balancer).accepting
    return PacketOutcome(servers[flow.hash % len(servers)])


@process_packet.register
def _(
    scheme: Rendezvous,
    flow: Flow,
    kind: PacketKind,
    balancer: Balancer,
    world: World,
) -> PacketOutcome:
    return PacketOutcome(
        scheme.selector.select_server(flow, world.view_of(balancer).accepting)
    )
