"""Decisions of the fabric stand-in: which balancer or host gets a frame."""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from ipaddress import IPv4Address, IPv4Network

from returns.result import Success

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import NodeId, Seconds
from wasabigw_demo import wire
from wasabigw_demo.addresses import Route

NO_DELAY = Seconds(0.0)
HEALTH_DELAY = Seconds(1.0)


@dataclass(frozen=True, slots=True)
class Faults:
    """How the fabric treats packets on their way.

    :param drop: probability that a packet is lost.
    :param duplicate: probability that a packet arrives twice.
    :param delay: most seconds by which a packet is delayed; less reorders.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    delay: Seconds = NO_DELAY


@dataclass(frozen=True, slots=True)
class Delivery:
    """A frame that has to be sent to an endpoint at a time."""

    at: Seconds
    frame: bytes
    to: Endpoint


@dataclass(frozen=True, slots=True)
class FlowName:
    """Protocol, caller and service endpoint of a flow."""

    protocol: int
    caller: Endpoint
    service: Endpoint


@dataclass(slots=True)
class FlowUse:
    """Which balancers got the packets of a flow from the fabric, by direction."""

    forward: Counter[NodeId] = field(default_factory=Counter)
    back: Counter[NodeId] = field(default_factory=Counter)


@dataclass(slots=True)
class FabricState:
    """State of the fabric.

    :param balancers: data endpoint of each balancer that gets packets.
    :param hosts: where inner addresses are.
    :param services: ranges of the service addresses.
    :param backend_servers: ranges whose packets go through a balancer.
    :param health_delay: time in which a balancer that is gone still gets packets.
    :param spread: two packets in a row of one caller's endpoint never go to the same
        balancer, so that each flow is seen to use several.
    :param last: balancer that got the last packet of a caller's endpoint.
    """

    balancers: dict[NodeId, Endpoint]
    hosts: tuple[Route, ...]
    services: tuple[IPv4Network, ...]
    backend_servers: tuple[IPv4Network, ...]
    generator: random.Random
    faults: Faults = Faults()
    health_delay: Seconds = HEALTH_DELAY
    spread: bool = False
    last: dict[tuple[int, Endpoint], NodeId] = field(default_factory=dict)
    names_of_callers: dict[tuple[int, Endpoint], FlowName] = field(default_factory=dict)
    leaving: dict[NodeId, Seconds] = field(default_factory=dict)
    names: dict[Endpoint, NodeId] = field(default_factory=dict)
    flows: defaultdict[FlowName, FlowUse] = field(
        default_factory=lambda: defaultdict(FlowUse)
    )
    servers: defaultdict[tuple[int, Endpoint], set[Endpoint]] = field(
        default_factory=lambda: defaultdict(set)
    )
    dropped: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Index the balancers by endpoint; one that is gone stays known."""
        self.names = {endpoint: name for name, endpoint in self.balancers.items()}


def balancer_gone(state: FabricState, balancer: NodeId, now: Seconds) -> bool:
    """Stop sending to a balancer after the health delay.

    :returns: whether the balancer was known.
    """
    if balancer not in state.balancers:
        return False
    state.leaving.setdefault(balancer, Seconds(now + state.health_delay))
    return True


def balancer_back(state: FabricState, balancer: NodeId) -> bool:
    """Send to a balancer again.

    :returns: whether the balancer was known.
    """
    known = {name: endpoint for endpoint, name in state.names.items()}
    if balancer not in known:
        return False
    state.leaving.pop(balancer, None)
    state.balancers[balancer] = known[balancer]
    return True


def route(
    data: bytes, source: Endpoint, state: FabricState, now: Seconds
) -> list[Delivery]:
    """Where a frame goes; an empty list if it is dropped."""
    _remove_gone(state, now)
    target = _target(data, source, state)
    if target is None:
        return []
    faults = state.faults
    if state.generator.random() < faults.drop:
        state.dropped["loss"] += 1
        return []
    copies = 2 if state.generator.random() < faults.duplicate else 1
    delays = [state.generator.uniform(0.0, faults.delay) for _ in range(copies)]
    return [Delivery(Seconds(now + delay), data, target) for delay in delays]


def _remove_gone(state: FabricState, now: Seconds) -> None:
    for balancer, until in list(state.leaving.items()):
        if until <= now:
            state.balancers.pop(balancer, None)
            del state.leaving[balancer]


def _target(data: bytes, source: Endpoint, state: FabricState) -> Endpoint | None:
    decoded = wire.decapsulate(data).bind(
        lambda frame: wire.parse_addresses(frame.inner)
    )
    if not isinstance(decoded, Success):
        state.dropped["malformed"] += 1
        return None
    addresses = decoded.unwrap()
    if source in state.names:
        return _from_balancer(addresses, state)
    to_service = _within(addresses.destination, state.services)
    if to_service or _within(addresses.source, state.backend_servers):
        return _spray(addresses, to_service, state)
    return _host_of(addresses.destination, state)


def _spray(
    addresses: wire.PacketAddresses, to_service: bool, state: FabricState
) -> Endpoint | None:
    if not state.balancers:
        state.dropped["no balancer"] += 1
        return None
    caller = addresses.source if to_service else addresses.destination
    balancer = _choose((addresses.protocol, caller), state)
    flow = (addresses.protocol, caller)
    if to_service:
        name = FlowName(addresses.protocol, addresses.source, addresses.destination)
        state.flows[name].forward[balancer] += 1
        state.names_of_callers[flow] = name
    elif flow in state.names_of_callers:
        state.flows[state.names_of_callers[flow]].back[balancer] += 1
    return state.balancers[balancer]


def _choose(caller: tuple[int, Endpoint], state: FabricState) -> NodeId:
    choices = list(state.balancers)
    if state.spread and len(choices) > 1:
        last = state.last.get(caller)
        choices = [balancer for balancer in choices if balancer != last]
    chosen = state.generator.choice(choices)
    if state.spread:
        state.last[caller] = chosen
    return chosen


def _from_balancer(
    addresses: wire.PacketAddresses, state: FabricState
) -> Endpoint | None:
    if _within(addresses.destination, state.backend_servers):
        flow = (addresses.protocol, addresses.source)
        state.servers[flow].add(addresses.destination)
    return _host_of(addresses.destination, state)


def _host_of(endpoint: Endpoint, state: FabricState) -> Endpoint | None:
    address = IPv4Address(endpoint.address)
    for candidate in state.hosts:
        if address in candidate.network:
            return candidate.endpoint
    state.dropped["no host"] += 1
    return None


def _within(endpoint: Endpoint, networks: tuple[IPv4Network, ...]) -> bool:
    address = IPv4Address(endpoint.address)
    return any(address in network for network in networks)


class DeliveryQueue:
    """Deliveries ordered by time."""

    def __init__(self) -> None:
        self._heap: list[tuple[Seconds, int, Delivery]] = []
        self._order = itertools.count()

    def add(self, delivery: Delivery) -> None:
        """Add a delivery."""
        heapq.heappush(self._heap, (delivery.at, next(self._order), delivery))

    def next_at(self) -> Seconds | None:
        """Time of the first delivery."""
        return self._heap[0][0] if self._heap else None

    def take_due(self, now: Seconds) -> list[Delivery]:
        """Remove the deliveries that are due, in order."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due
