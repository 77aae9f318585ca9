"""What a mapping scheme has to answer; each scheme is a state class.

The functions are dispatched on the class of the state.
"""

from dataclasses import dataclass, field
from functools import singledispatch

import xxhash

from wasabigw.core.ids import BackendServerId, NodeId
from wasabigw_measure._mapping_world import Balancer, Flow, PacketKind, View, World


@dataclass(frozen=True, slots=True)
class Carried:
    """What became of a packet.

    :param server: backend server that got it; ``None`` if it was dropped.
    :param forwards: times it went from one balancer to another.
    :param queries: questions to other balancers or backend servers.
    :param control_bytes: control traffic that it caused.
    :param reset: whether the caller was told that the flow is gone.
    """

    server: BackendServerId | None
    forwards: int = 0
    queries: int = 0
    control_bytes: int = 0
    reset: bool = False


@dataclass(slots=True)
class Scheme:
    """Base of the states of the schemes."""

    name: str


@dataclass(slots=True)
class RendezvousChoices:
    """Rendezvous choice of each flow, remembered for each set of servers."""

    _known: dict[tuple[int, tuple[str, ...]], str] = field(default_factory=dict)

    def choose(self, flow: Flow, names: tuple[str, ...]) -> str:
        """Name with the highest score for a flow."""
        key = (flow.hash, names)
        found = self._known.get(key)
        if found is None:
            seed = flow.hash & 0xFFFFFFFF
            found = max(
                names, key=lambda name: xxhash.xxh64_intdigest(name.encode(), seed=seed)
            )
            self._known[key] = found
        return found

    def server(
        self, flow: Flow, servers: tuple[BackendServerId, ...]
    ) -> BackendServerId:
        """Chosen backend server."""
        return BackendServerId(self.choose(flow, servers))

    def node(self, flow: Flow, nodes: tuple[NodeId, ...]) -> NodeId:
        """Chosen balancer."""
        return NodeId(self.choose(flow, nodes))


@singledispatch
def carry(
    scheme: Scheme, flow: Flow, kind: PacketKind, balancer: Balancer, world: World
) -> Carried:
    """Carry a packet that reached a balancer."""
    raise TypeError(f"no such scheme: {scheme!r}")


@singledispatch
def view_committed(scheme: Scheme, view: View, world: World) -> None:
    """A view was committed; no balancer has seen it yet."""


@singledispatch
def view_applied(scheme: Scheme, balancer: Balancer, world: World) -> None:
    """A balancer applied its next revision, which ``balancer.applied`` names."""


@singledispatch
def balancer_lost(scheme: Scheme, node: NodeId) -> None:
    """A balancer crashed, and its state is gone."""


@singledispatch
def flow_ended(scheme: Scheme, flow: Flow) -> None:
    """A flow ended; its entries are freed."""


@singledispatch
def entries(scheme: Scheme) -> int:
    """Flow entries that all balancers hold together."""
    return 0


@singledispatch
def proposes_change(scheme: Scheme, world: World) -> int:
    """Bytes of log entries that the scheme itself wants to commit; 0 if none."""
    return 0
