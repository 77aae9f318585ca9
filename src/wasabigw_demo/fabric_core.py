"""Forwarding decisions of the fabric stand-in, without sockets or clocks."""

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
    """Faults that the fabric injects into the delivery of packets.

    :param drop: probability that a packet is dropped.
    :param duplicate: probability that a packet is delivered twice.
    :param delay: maximum delay in seconds; each copy gets a random delay up to it,
        which reorders packets.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    delay: Seconds = NO_DELAY


@dataclass(frozen=True, slots=True)
class Delivery:
    """A frame, its destination and the time at which it is due."""

    due_at: Seconds
    frame: bytes
    destination: Endpoint


@dataclass(frozen=True, slots=True)
class FlowEndpoints:
    """Protocol, caller endpoint and service endpoint of a flow."""

    protocol: int
    caller: Endpoint
    service: Endpoint


@dataclass(slots=True)
class FlowPackets:
    """Packets of a flow that each balancer received from the fabric, by direction."""

    forward: Counter[NodeId] = field(default_factory=Counter)
    reverse: Counter[NodeId] = field(default_factory=Counter)


@dataclass(slots=True)
class FabricState:
    """State of the fabric.

    :param balancers: data endpoints of the balancers that receive packets.
    :param hosts: routes from inner addresses to the endpoints of hosts.
    :param services: ranges of the service addresses.
    :param backend_servers: ranges of the inner addresses of backend servers, whose
        packets go through a balancer.
    :param health_delay: time for which a failed balancer still receives packets,
        until health checks would detect the failure.
    :param spread: never send two consecutive packets of one caller endpoint to the
        same balancer, so that even short flows use several balancers.
    :param last_balancers: balancer that received the last packet of a caller endpoint.
    :param flows_by_caller: flow of each protocol and caller endpoint.
    :param removal_times: when each failed balancer stops receiving packets.
    :param balancer_ids: all balancers by endpoint, including the failed ones.
    :param flows: packet counts by flow.
    :param flow_servers: backend servers that received packets of a caller endpoint.
    :param dropped: dropped frames by cause.
    """

    balancers: dict[NodeId, Endpoint]
    hosts: tuple[Route, ...]
    services: tuple[IPv4Network, ...]
    backend_servers: tuple[IPv4Network, ...]
    generator: random.Random
    faults: Faults = Faults()
    health_delay: Seconds = HEALTH_DELAY
    spread: bool = False
    last_balancers: dict[tuple[int, Endpoint], NodeId] = field(default_factory=dict)
    flows_by_caller: dict[tuple[int, Endpoint], FlowEndpoints] = field(
        default_factory=dict
    )
    removal_times: dict[NodeId, Seconds] = field(default_factory=dict)
    balancer_ids: dict[Endpoint, NodeId] = field(default_factory=dict)
    flows: defaultdict[FlowEndpoints, FlowPackets] = field(
        default_factory=lambda: defaultdict(FlowPackets)
    )
    flow_servers: defaultdict[tuple[int, Endpoint], set[Endpoint]] = field(
        default_factory=lambda: defaultdict(set)
    )
    dropped: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Index all balancers by endpoint; failed ones stay in the index."""
        self.balancer_ids = {
            endpoint: balancer for balancer, endpoint in self.balancers.items()
        }


def mark_failed(state: FabricState, balancer: NodeId, now: Seconds) -> bool:
    """Stop sending to a failed balancer once the health delay has passed.

    :returns: whether the balancer was known.
    """
    if balancer not in state.balancers:
        return False
    state.removal_times.setdefault(balancer, Seconds(now + state.health_delay))
    return True


def mark_recovered(state: FabricState, balancer: NodeId) -> bool:
    """Resume sending to a balancer that has recovered.

    :returns: whether the balancer was known.
    """
    endpoints = {known: endpoint for endpoint, known in state.balancer_ids.items()}
    if balancer not in endpoints:
        return False
    state.removal_times.pop(balancer, None)
    state.balancers[balancer] = endpoints[balancer]
    return True


def route(
    data: bytes, source: Endpoint, state: FabricState, now: Seconds
) -> list[Delivery]:
    """Deliveries of a frame; empty if it is dropped."""
    _remove_failed(state, now)
    next_hop = _next_hop(data, source, state)
    if next_hop is None:
        return []
    faults = state.faults
    if state.generator.random() < faults.drop:
        state.dropped["loss"] += 1
        return []
    copies = 2 if state.generator.random() < faults.duplicate else 1
    delays = [state.generator.uniform(0.0, faults.delay) for _ in range(copies)]
    return [Delivery(Seconds(now + delay), data, next_hop) for delay in delays]


def _remove_failed(state: FabricState, now: Seconds) -> None:
    for balancer, removal_time in list(state.removal_times.items()):
        if removal_time <= now:
            state.balancers.pop(balancer, None)
            del state.removal_times[balancer]


def _next_hop(data: bytes, source: Endpoint, state: FabricState) -> Endpoint | None:
    decoded = wire.decapsulate(data).bind(
        lambda frame: wire.parse_addresses(frame.inner)
    )
    if not isinstance(decoded, Success):
        state.dropped["malformed"] += 1
        return None
    addresses = decoded.unwrap()
    if source in state.balancer_ids:
        return _from_balancer(addresses, state)
    to_service = _in_networks(addresses.destination, state.services)
    if to_service or _in_networks(addresses.source, state.backend_servers):
        return _spray(addresses, to_service, state)
    return _host_endpoint(addresses.destination, state)


def _spray(
    addresses: wire.PacketAddresses, to_service: bool, state: FabricState
) -> Endpoint | None:
    if not state.balancers:
        state.dropped["no balancer"] += 1
        return None
    caller = addresses.source if to_service else addresses.destination
    balancer = _choose_balancer((addresses.protocol, caller), state)
    caller_key = (addresses.protocol, caller)
    if to_service:
        flow = FlowEndpoints(
            addresses.protocol, addresses.source, addresses.destination
        )
        state.flows[flow].forward[balancer] += 1
        state.flows_by_caller[caller_key] = flow
    elif caller_key in state.flows_by_caller:
        state.flows[state.flows_by_caller[caller_key]].reverse[balancer] += 1
    return state.balancers[balancer]


def _choose_balancer(caller_key: tuple[int, Endpoint], state: FabricState) -> NodeId:
    candidates = list(state.balancers)
    if state.spread and len(candidates) > 1:
        last = state.last_balancers.get(caller_key)
        candidates = [balancer for balancer in candidates if balancer != last]
    chosen = state.generator.choice(candidates)
    if state.spread:
        state.last_balancers[caller_key] = chosen
    return chosen


def _from_balancer(
    addresses: wire.PacketAddresses, state: FabricState
) -> Endpoint | None:
    if _in_networks(addresses.destination, state.backend_servers):
        caller_key = (addresses.protocol, addresses.source)
        state.flow_servers[caller_key].add(addresses.destination)
    return _host_endpoint(addresses.destination, state)


def _host_endpoint(endpoint: Endpoint, state: FabricState) -> Endpoint | None:
    address = IPv4Address(endpoint.address)
    for candidate in state.hosts:
        if address in candidate.network:
            return candidate.endpoint
    state.dropped["no host"] += 1
    return None


def _in_networks(endpoint: Endpoint, networks: tuple[IPv4Network, ...]) -> bool:
    address = IPv4Address(endpoint.address)
    return any(address in network for network in networks)


class DeliveryQueue:
    """Priority queue of deliveries, ordered by due time."""

    def __init__(self) -> None:
        self._heap: list[tuple[Seconds, int, Delivery]] = []
        self._sequence = itertools.count()

    def add(self, delivery: Delivery) -> None:
        """Add a delivery."""
        heapq.heappush(self._heap, (delivery.due_at, next(self._sequence), delivery))

    def next_due(self) -> Seconds | None:
        """Due time of the first delivery; ``None`` if the queue is empty."""
        return self._heap[0][0] if self._heap else None

    def take_due(self, now: Seconds) -> list[Delivery]:
        """Remove and return the deliveries that are due, in order."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due
