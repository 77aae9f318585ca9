"""Which other failure domains answer pings (design page, section 4.6)."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import singledispatch

from wasabigw.core.cluster import Node
from wasabigw.core.ids import FailureDomainId, NodeId, Seconds
from wasabigw.core.timing import IN_FORCE_BOUND

PING_TIMEOUT = Seconds(1.0)
"""A ping that is unanswered for this long is lost."""
LOST_PINGS = 3
"""Lost pings in a row that make a failure domain unreachable."""
HEALING_TIME = Seconds(IN_FORCE_BOUND + 1.0)
"""Time after a partition in which homes report the flows that they diverted."""


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
    """A ping was answered, perhaps late."""

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

    :param lost: lost pings in a row, by failure domain.
    :param asked: balancer that was pinged last, by failure domain.
    :param healed: when a failure domain answered after it was unreachable.
    """

    failure_domain: FailureDomainId
    sequence: int = 0
    lost: dict[FailureDomainId, int] = field(default_factory=dict)
    outstanding: dict[int, _Outstanding] = field(default_factory=dict)
    asked: dict[FailureDomainId, NodeId] = field(default_factory=dict)
    healed: dict[FailureDomainId, Seconds] = field(default_factory=dict)


def is_reachable(state: Reachability, failure_domain: FailureDomainId) -> bool:
    """Whether a failure domain has answered one of the last pings."""
    return state.lost.get(failure_domain, 0) < LOST_PINGS


def unreachable(state: Reachability) -> frozenset[FailureDomainId]:
    """Failure domains that do not answer."""
    return frozenset(d for d, lost in state.lost.items() if lost >= LOST_PINGS)


def healing(state: Reachability, now: Seconds) -> frozenset[FailureDomainId]:
    """Failure domains that answer again since less than :data:`HEALING_TIME`."""
    return frozenset(
        domain for domain, at in state.healed.items() if now - at < HEALING_TIME
    )


@singledispatch
def handle(event: PingDue | PingAnswered, state: Reachability) -> list[SendPing]:
    """Update the state and say whom to ping."""
    raise TypeError(f"no rule for the event {type(event).__name__}")


@handle.register
def _(event: PingDue, state: Reachability) -> list[SendPing]:
    _count_lost(state, event.now)
    pings = []
    for domain, nodes in sorted(_by_domain(event.nodes, state).items()):
        node = _choose(nodes, state.asked.get(domain), event.draw)
        state.sequence = (state.sequence + 1) & 0xFFFF
        state.asked[domain] = node
        state.outstanding[state.sequence] = _Outstanding(domain, event.now)
        pings.append(SendPing(node, state.sequence))
    return pings


@handle.register
def _(event: PingAnswered, state: Reachability) -> list[SendPing]:
    ping = state.outstanding.pop(event.sequence, None)
    if ping is None:
        return []
    if not is_reachable(state, ping.failure_domain):
        state.healed[ping.failure_domain] = event.now
    state.lost[ping.failure_domain] = 0
    return []


def _count_lost(state: Reachability, now: Seconds) -> None:
    for sequence, ping in list(state.outstanding.items()):
        if now - ping.sent_at < PING_TIMEOUT:
            continue
        del state.outstanding[sequence]
        state.lost[ping.failure_domain] = state.lost.get(ping.failure_domain, 0) + 1


def _by_domain(
    nodes: Iterable[Node], state: Reachability
) -> dict[FailureDomainId, list[NodeId]]:
    """Balancers of the other failure domains; forgets domains without any."""
    found: dict[FailureDomainId, list[NodeId]] = {}
    for node in nodes:
        if node.failure_domain != state.failure_domain:
            found.setdefault(node.failure_domain, []).append(node.id)
    for domain in [domain for domain in state.lost if domain not in found]:
        del state.lost[domain]
    return found


def _choose(nodes: list[NodeId], last: NodeId | None, draw: float) -> NodeId:
    """A random balancer, another one than the last time if there are several."""
    choices = [node for node in sorted(nodes) if node != last] or nodes
    return choices[min(int(draw * len(choices)), len(choices) - 1)]
