"""Workload and changes under which the mapping schemes are compared."""

import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from wasabigw.core.ids import BackendServerId, FailureDomainId, FlowKey, NodeId, Seconds
from wasabigw.core.timing import NODE_TIMEOUT, VIEW_LEASE

HORIZON = Seconds(600.0)
FLOWS = 18_000
LONG_SHARE = 0.1
LONG_MEAN = 300.0
SHORT_MEAN = 15.0
PACKET_INTERVAL = Seconds(1.0)
"""Time between two packets of a flow."""
BALANCERS = 8
BACKEND_SERVERS = 10
MIN_BACKEND_SERVERS = 7
MAX_BACKEND_SERVERS = 13
BACKEND_CHANGES = 29
BALANCER_CHANGES = 18
MAX_UPDATE_DELAY = 2.0
HEALTH_DELAY = Seconds(1.0)
"""How long the fabric sends packets to a balancer that has crashed."""
ZONES = tuple(FailureDomainId(f"zone-{letter}") for letter in "abc")


class PacketKind(Enum):
    """Position of a packet in its flow."""

    OPENING = "opening"
    MIDDLE = "middle"
    CLOSING = "closing"


@dataclass(slots=True)
class Flow:
    """A flow and the backend server that has its state.

    :param tries: repetitions of the packet that is under way.
    """

    key: FlowKey
    hash: int
    start: Seconds
    end: Seconds
    server: BackendServerId | None = None
    tries: int = 0
    broken: bool = False
    closed: bool = False


@dataclass(frozen=True, slots=True)
class ServerJoins:
    """A backend server begins to accept flows."""

    server: BackendServerId


@dataclass(frozen=True, slots=True)
class ServerDrains:
    """A backend server accepts no new flows, and serves those that it has."""

    server: BackendServerId


@dataclass(frozen=True, slots=True)
class BalancerCrashes:
    """A balancer loses all its state; which one is drawn when it happens."""


@dataclass(frozen=True, slots=True)
class BalancerJoins:
    """A balancer without any state joins."""

    node: NodeId


Change = ServerJoins | ServerDrains | BalancerCrashes | BalancerJoins


@dataclass(frozen=True, slots=True)
class View:
    """Membership at one revision.

    :param accepting: backend servers that take new flows.
    :param upcoming: those after the next planned change.
    """

    revision: int
    committed: Seconds
    accepting: tuple[BackendServerId, ...]
    upcoming: tuple[BackendServerId, ...]
    nodes: tuple[NodeId, ...]


@dataclass(slots=True)
class Balancer:
    """A balancer and the revision that it has applied.

    :param pending: time of arrival of revisions that it has not seen yet.
    :param applied: when it applied each revision.
    """

    node: NodeId
    zone: FailureDomainId
    revision: int
    alive: bool = True
    pending: deque[tuple[Seconds, int]] = field(default_factory=deque)
    applied: dict[int, Seconds] = field(default_factory=dict)


@dataclass(slots=True)
class World:
    """Views and balancers of one run."""

    views: list[View]
    balancers: dict[NodeId, Balancer]
    generator: random.Random
    now: Seconds

    @property
    def committed(self) -> View:
        """The newest view."""
        return self.views[-1]

    def view_of(self, balancer: Balancer) -> View:
        """View that a balancer uses now."""
        return self.views[balancer.revision]

    def is_fresh(self, balancer: Balancer) -> bool:
        """Whether the view lease of a balancer can still be valid.

        A revision that is older than the lease and that the balancer has not seen
        means that the leader can't have confirmed its view within the lease.
        """
        if not balancer.pending:
            return True
        oldest = self.views[balancer.pending[0][1]]
        return self.now - oldest.committed <= VIEW_LEASE

    def commit(
        self,
        accepting: tuple[BackendServerId, ...],
        upcoming: tuple[BackendServerId, ...],
        nodes: tuple[NodeId, ...],
    ) -> View:
        """Add a view, and draw when each balancer sees it."""
        view = View(len(self.views), self.now, accepting, upcoming, nodes)
        self.views.append(view)
        for balancer in self.balancers.values():
            delay = self.generator.uniform(0.0, MAX_UPDATE_DELAY)
            last = balancer.pending[-1][0] if balancer.pending else self.now
            seen = Seconds(max(last, self.now + delay))
            balancer.pending.append((seen, view.revision))
        return view


def draw_flows(generator: random.Random) -> list[Flow]:
    """Flows in the order of their start."""
    starts = sorted(generator.uniform(0.0, HORIZON) for _ in range(FLOWS))
    return [_draw_flow(Seconds(start), generator) for start in starts]


def _draw_flow(start: Seconds, generator: random.Random) -> Flow:
    is_long = generator.random() < LONG_SHARE
    duration = generator.expovariate(1.0 / (LONG_MEAN if is_long else SHORT_MEAN))
    key = FlowKey(generator.randbytes(13))
    digest = xxhash.xxh64_intdigest(key)
    return Flow(key, digest, start, Seconds(start + duration))


def first_servers() -> tuple[BackendServerId, ...]:
    """Backend servers at the start."""
    names = (BackendServerId(f"server-{number}") for number in range(BACKEND_SERVERS))
    return tuple(sorted(names))


def draw_server_changes(
    generator: random.Random,
) -> list[tuple[Seconds, ServerJoins | ServerDrains]]:
    """Planned joins and drains of backend servers."""
    accepting = list(first_servers())
    times = sorted(
        generator.uniform(10.0, HORIZON - 10) for _ in range(BACKEND_CHANGES)
    )
    changes: list[tuple[Seconds, ServerJoins | ServerDrains]] = []
    for number, at in enumerate(times):
        too_few = len(accepting) <= MIN_BACKEND_SERVERS
        too_many = len(accepting) >= MAX_BACKEND_SERVERS
        if too_few or (not too_many and generator.random() < 0.5):
            joining = BackendServerId(f"joined-{number}")
            accepting.append(joining)
            changes.append((Seconds(at), ServerJoins(joining)))
        else:
            leaving = accepting.pop(generator.randrange(len(accepting)))
            changes.append((Seconds(at), ServerDrains(leaving)))
    return changes


def draw_balancer_changes(
    generator: random.Random,
) -> list[tuple[Seconds, BalancerCrashes | BalancerJoins]]:
    """Crashes, each followed by the join of a new balancer."""
    times = sorted(
        generator.uniform(10.0, HORIZON - 10) for _ in range(BALANCER_CHANGES)
    )
    changes: list[tuple[Seconds, BalancerCrashes | BalancerJoins]] = []
    for number, at in enumerate(times):
        if number % 2 == 0:
            changes.append((Seconds(at), BalancerCrashes()))
        else:
            node = NodeId(f"joined-{number}")
            changes.append((Seconds(at), BalancerJoins(node)))
    return changes


def first_world(generator: random.Random) -> World:
    """Eight balancers in three failure domains, all at the first view."""
    nodes = tuple(NodeId(f"balancer-{number}") for number in range(BALANCERS))
    servers = first_servers()
    view = View(0, Seconds(0.0), servers, servers, nodes)
    balancers = {
        node: Balancer(node, ZONES[number % len(ZONES)], 0)
        for number, node in enumerate(nodes)
    }
    return World([view], balancers, generator, Seconds(0.0))


def zone_of(server: BackendServerId) -> FailureDomainId:
    """Failure domain of a backend server."""
    return ZONES[xxhash.xxh64_intdigest(server.encode()) % len(ZONES)]


DETECTION_TIME = NODE_TIMEOUT
"""Time from a crash of a balancer to the entry that removes it."""
