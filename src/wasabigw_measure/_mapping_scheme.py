"""Interface of the mapping schemes.

The state of a scheme is a subclass of :class:`Scheme`, on which the functions of this
module are dispatched.
"""

from dataclasses import dataclass, field
from functools import singledispatch

import xxhash

from wasabigw.core.ids import BackendServerId, NodeId
from wasabigw_measure._mapping_world import Balancer, Flow, PacketKind, View, World


@dataclass(frozen=True, slots=True)
class PacketOutcome:
    """Result of processing a packet.

    :param server: backend server that received it; ``None`` if it was dropped.
    :param forwards: number of times that a balancer forwarded it to another one.
    :param queries: number of queries to other balancers or to backend servers.
    :param control_bytes: bytes of the control traffic that it caused.
    :param reset: whether the flow was reset.
    """

    server: BackendServerId | None
    forwards: int = 0
    queries: int = 0
    control_bytes: int = 0
    reset: bool = False


@dataclass(slots=True)
class Scheme:
    """Base class of the state of a scheme."""

    name: str


@dataclass(slots=True)
class RendezvousSelector:
    """Rendezvous hashing of flows, with a cache of the results by set of names."""

    _cache: dict[tuple[int, tuple[str, ...]], str] = field(default_factory=dict)

    def select(self, flow: Flow, names: tuple[str, ...]) -> str:
        """Select the name with the highest score for a flow."""
        key = (flow.hash, names)
        selected = self._cache.get(key)
        if selected is None:
            seed = flow.hash & 0xFFFFFFFF
            selected = max(
                names, key=lambda name: xxhash.xxh64_intdigest(name.encode(), seed=seed)
            )
            self._cache[key] = selected
        return selected

    def select_server(
        self, flow: Flow, servers: tuple[BackendServerId, ...]
    ) -> BackendServerId:
        """Select a backend server for a flow."""
        return BackendServerId(self.select(flow, servers))

    def select_node(self, flow: Flow, nodes: tuple[NodeId, ...]) -> NodeId:
        """Select a balancer for a flow."""
        return NodeId(self.select(flow, nodes))


@singledispatch
def process_packet(
    scheme: Scheme, flow: Flow, kind: PacketKind, balancer: Balancer, world: World
) -> PacketOutcome:
    """Process a packet that a balancer received from the fabric."""
    raise TypeError(f"mapping scheme {scheme!r} does not process packets")


@singledispatch
def view_committed(scheme: Scheme, view: View, world: World) -> None:
    """Update the scheme for a committed view that no balancer has applied yet."""


@singledispatch
def view_applied(scheme: Scheme, balancer: Balancer, world: World) -> None:
    """Update the scheme after a balancer applied the revision ``balancer.revision``."""


@singledispatch
def balancer_crashed(scheme: Scheme, node: NodeId) -> None:
    """Discard the state of a balancer that crashed."""


@singledispatch
def flow_ended(scheme: Scheme, flow: Flow) -> None:
    """Free the entries of a flow that ended."""


@singledispatch
def count_entries(scheme: Scheme) -> int:
    """Number of flow entries in all balancers."""
    return 0


@singledispatch
def propose_entries(scheme: Scheme, world: World) -> int:
    """Size in bytes of the log entries that the scheme proposes; 0 if none."""
    return 0
