"""Simulated views and balancers, and the workload and changes of a run."""

import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from wasabigw.core.ids import BackendServerId, FailureDomainId, FlowKey, NodeId, Seconds
from wasabigw.core.timing import NODE_TIMEOUT, VIEW_LEASE

HORIZON = Seconds(600.0)
"""Simulated time of a run."""
FLOWS = 18_000
LONG_FLOW_SHARE = 0.1
LONG_FLOW_MEAN = 300.0
SHORT_FLOW_MEAN = 15.0
PACKET_INTERVAL = Seconds(1.0)
BALANCERS = 8
BACKEND_SERVERS = 10
MIN_BACKEND_SERVERS = 7
MAX_BACKEND_SERVERS = 13
BACKEND_SERVER_CHANGES = 29
BALANCER_CHANGES = 18
MAX_UPDATE_DELAY = 2.0
"""Longest time in seconds from the commit of a view to its arrival at a balancer."""
HEALTH_CHECK_DELAY = Seconds(1.0)
"""Time for which the fabric still sends packets to a crashed balancer."""
FAILURE_DOMAINS = tuple(FailureDomainId(f"zone-{letter}") for letter in "abc")


class PacketKind(Enum):
    """Position of a packet in its flow."""

    OPENING = "opening"
    MIDDLE = "middle"
    CLOSING = "closing"


@dataclass(slots=True)
class Flow:
    """A flow.

    :param server: backend server that holds its state.
    :param retries: retransmissions of the current packet so far.
    """

    key: FlowKey
    hash: int
    start: Seconds
    end: Seconds
    server: BackendServerId | None = None
    retries: int = 0
    broken: bool = False
    closed: bool = False


@dataclass(frozen=True, slots=True)
class ServerJoins:
    """A backend server starts to accept flows."""

    server: BackendServerId


@dataclass(frozen=True, slots=True)
class ServerDrains:
    """A backend server stops accepting new flows but keeps serving its own."""

    server: BackendServerId


@dataclass(frozen=True, slots=True)
class BalancerCrashes:
    """A balancer loses all its state; it is selected at random when this happens."""


@dataclass(frozen=True, slots=True)
class BalancerJoins:
    """A balancer joins without any state."""

    node: NodeId


Change = ServerJoins | ServerDrains | BalancerCrashes | BalancerJoins


@dataclass(frozen=True, slots=True)
class View:
    """Membership at one revision.

    :param accepting: backend servers that accept new flows.
    :param upcoming: backend servers that accept flows after the next planned change.
    """

    revision: int
    committed_at: Seconds
    accepting: tuple[BackendServerId, ...]
    upcoming: tuple[BackendServerId, ...]
    nodes: tuple[NodeId, ...]


@dataclass(slots=True)
class Balancer:
    """A balancer and the revision that it has applied.

    :param pending: time of arrival of each revision that it has not applied yet.
    :param applied: time at which it applied each revision.
    """

    node: NodeId
    failure_domain: FailureDomainId
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
    def latest_view(self) -> View:
        """The view that was committed last."""
        return self.views[-1]

    def view_of(self, balancer: Balancer) -> View:
        """View that a balancer has applied."""
        return self.views[balancer.revision]

    def is_fresh(self, balancer: Balancer) -> bool:
        """Whether the view lease of a balancer can still be valid.

        If a revision that the balancer has not applied was committed longer ago than
        the lease lasts, the leader cannot have confirmed its view within the lease.
        """
        if not balancer.pending:
            return True
        oldest = self.views[balancer.pending[0][1]]
        return self.now - oldest.committed_at <= VIEW_LEASE

    def commit(
        self,
        accepting: tuple[BackendServerId, ...],
        upcoming: tuple[BackendServerId, ...],
        nodes: tuple[NodeId, ...],
    ) -> View:
        """Add a view with a random time of arrival at each balancer."""
        view = View(len(self.views), self.now, accepting, upcoming, nodes)
        self.views.append(view)
        for balancer in self.balancers.values():
            delay = self.generator.uniform(0.0, MAX_UPDATE_DELAY)
            last = balancer.pending[-1][0] if balancer.pending else self.now
            seen = Seconds(max(last, self.now + delay))
            balancer.pending.append((seen, view.revision))
        return view


def draw_flows(generator: random.Random) -> list[Flow]:
    """Draw random flows, sorted by start time."""
    starts = sorted(generator.uniform(0.0, HORIZON) for _ in range(FLOWS))
    return [_draw_flow(Seconds(start), generator) for start in starts]


def _draw_flow(start: Seconds, generator: random.Random) -> Flow:
    is_long = generator.random() < LONG_FLOW_SHARE
    duration = generator.expovariate(
        1.0 / (LONG_FLOW_MEAN if is_long else SHORT_FLOW_MEAN)
    )
    key = FlowKey(generator.randbytes(13))
    digest = xxhash.xxh64_intdigest(key)
    return Flow(key, digest, start, Seconds(start + duration))


def initial_servers() -> tuple[BackendServerId, ...]:
    """Backend servers of the first view."""
    names = (BackendServerId(f"server-{number}") for number in range(BACKEND_SERVERS))
    return tuple(sorted(names))


def draw_server_changes(
    generator: random.Random,
) -> list[tuple[Seconds, ServerJoins | ServerDrains]]:
    """Draw planned joins and drains of backend servers, sorted by time."""
    accepting = list(initial_servers())
    times = sorted(
        generator.uniform(10.0, HORIZON - 10) for _ in range(BACKEND_SERVER_CHANGES)
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
    """Draw crashes of balancers, each followed by the join of a new one."""
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


def make_initial_world(generator: random.Random) -> World:
    """Create the balancers, spread over the failure domains, with the first view."""
    nodes = tuple(NodeId(f"balancer-{number}") for number in range(BALANCERS))
    servers = initial_servers()
    view = View(0, Seconds(0.0), servers, servers, nodes)
    balancers = {
        node: Balancer(node, FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)], 0)
        for number, node in enumerate(nodes)
    }
    return World([view], balancers, generator, Seconds(0.0))


def failure_domain_of(server: BackendServerId) -> FailureDomainId:
    """Failure domain of a backend server."""
    return FAILURE_DOMAINS[
        xxhash.xxh64_intdigest(server.encode()) % len(FAILURE_DOMAINS)
    ]


DETECTION_TIME = NODE_TIMEOUT
"""Time from the crash of a balancer to the commit of the view without it."""
