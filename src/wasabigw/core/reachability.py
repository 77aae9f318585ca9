"""Which other failure domains answer pings (design page, section 4.6)."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import singledispatch

from wasabigw.core.cluster import Node
from wasabigw.core.ids import FailureDomainId, NodeId, Seconds
from wasabigw.core.timing import IN_FORCE_BOUND

PING_TIMEOUT = Seconds(1.0)
"""Time without an answer after which a ping counts as lost."""
LOST_PINGS_THRESHOLD = 3
"""Consecutive lost pings that make a failure domain unreachable."""
HEALING_TIME = Seconds(IN_FORCE_BOUND + 1.0)
"""Time after a partition in which homes report the flows diverted during it."""


@dataclass(frozen=True, slots=True)
class PingDue:
    """Time to ping one balancer of each other failure domain.

    :param draw: random number from 0 to 1.
    """

    nodes: tuple[Node, ...]
    draw: float
    now: Seconds


@dataclass(frozen=True, slots=True)
class PingAnswered:
    """A ping was answered, possibly after its timeout."""

    sequence: int
    now: Seconds


@dataclass(frozen=True, slots=True)
class SendPing:
    """Ping a balancer."""

    node: NodeId
    sequence: int


@dataclass(frozen=True, slots=True)
class _Outstanding:
    failure_domain: FailureDomainId
    sent_at: Seconds


@dataclass(slots=True)
class Reachability:
    """Pings between the failure domain of this balancer and the others.

    :param lost_pings: consecutive lost pings, by failure domain.
    :param last_pinged: balancer that was pinged last, by failure domain.
    :param healed_at: when a failure domain last became reachable again.
    """

    failure_domain: FailureDomainId
    sequence: int = 0
    lost_pings: dict[FailureDomainId, int] = field(default_factory=dict)
    outstanding: dict[int, _Outstanding] = field(default_factory=dict)
    last_pinged: dict[FailureDomainId, NodeId] = field(default_factory=dict)
    healed_at: dict[FailureDomainId, Seconds] = field(default_factory=dict)


def is_reachable(state: Reachability, failure_domain: FailureDomainId) -> bool:
    """Whether one of the last :data:`LOST_PINGS_THRESHOLD` pings was answered."""
    return state.lost_pings.get(failure_domain, 0) < LOST_PINGS_THRESHOLD


def unreachable(state: Reachability) -> frozenset[FailureDomainId]:
    """Failure domains that do not answer pings."""
    return frozenset(
        d for d, lost in state.lost_pings.items() if lost >= LOST_PINGS_THRESHOLD
    )


def healing(state: Reachability, now: Seconds) -> frozenset[FailureDomainId]:
    """Failure domains that became reachable within the last :data:`HEALING_TIME`."""
    return frozenset(
        domain for domain, at in state.healed_at.items() if now - at < HEALING_TIME
    )


@singledispatch
def handle(event: PingDue | PingAnswered, state: Reachability) -> list[SendPing]:
    """Update the state for an event and return the pings to send."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@handle.register
def _(event: PingDue, state: Reachability) -> list[SendPing]:
    _count_lost_pings(state, event.now)
    pings = []
    for domain, nodes in sorted(_other_domains(event.nodes, state).items()):
        node = _choose_node(nodes, state.last_pinged.get(domain), event.draw)
        state.sequence = (state.sequence + 1) & 0xFFFF
        state.last_pinged[domain] = node
        state.outstanding[state.sequence] = _Outstanding(domain, event.now)
        pings.append(SendPing(node, state.sequence))
    return pings


@handle.register
def _(event: PingAnswered, state: Reachability) -> list[SendPing]:
    ping = state.outstanding.pop(event.sequence, None)
    if ping is None:
        return []
    if not is_reachable(state, ping.failure_domain):
        state.healed_at[ping.failure_domain] = event.now
    state.lost_pings[ping.failure_domain] = 0
    return []


def _count_lost_pings(state: Reachability, now: Seconds) -> None:
    for sequence, ping in list(state.outstanding.items()):
        if now - ping.sent_at < PING_TIMEOUT:
            continue
        del state.outstanding[sequence]
        state.lost_pings[ping.failure_domain] = (
            state.lost_pings.get(ping.failure_domain, 0) + 1
        )


def _other_domains(
    nodes: Iterable[Node], state: Reachability
) -> dict[FailureDomainId, list[NodeId]]:
    """Balancers by other failure domain; drops the state of domains without any."""
    found: dict[FailureDomainId, list[NodeId]] = {}
    for node in nodes:
        if node.failure_domain != state.failure_domain:
            found.setdefault(node.failure_domain, []).append(node.id)
    for domain in [domain for domain in state.lost_pings if domain not in found]:
        del state.lost_pings[domain]
    return found


def _choose_node(nodes: list[NodeId], last: NodeId | None, draw: float) -> NodeId:
    """A random balancer, not the one that was pinged last if there are others."""
    choices = [node for node in sorted(nodes) if node != last] or nodes
    return choices[min(int(draw * len(choices)), len(choices) - 1)]
