"""Schemes without flow state: hash modulo live servers, and rendezvous."""

from dataclasses import dataclass, field

from wasabigw_measure._mapping_scheme import (
    Carried,
    RendezvousChoices,
    Scheme,
    carry,
)
from wasabigw_measure._mapping_world import Balancer, Flow, PacketKind, World


@dataclass(slots=True)
class HashModulo(Scheme):
    """Hash of the flow modulo the number of live backend servers."""


@dataclass(slots=True)
class Rendezvous(Scheme):
    """Highest rendezvous score (Thaler and Ravishankar, 1998)."""

    choices: RendezvousChoices = field(default_factory=RendezvousChoices)


@carry.register
def _(
    scheme: HashModulo,
    flow: Flow,
    kind: PacketKind,
    balancer: Balancer,
    world: World,
) -> Carried:
    servers = world.view_of(balancer).accepting
    return Carried(servers[flow.hash % len(servers)])


@carry.register
def _(
    scheme: Rendezvous,
    flow: Flow,
    kind: PacketKind,
    balancer: Balancer,
    world: World,
) -> Carried:
    return Carried(scheme.choices.server(flow, world.view_of(balancer).accepting))
