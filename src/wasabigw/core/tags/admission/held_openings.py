"""Openings that wait at the balancer for room at the backend servers of a service.

Urgent ones leave first. Within a rank, callers take turns, so that those of one address
can't take the room of the others.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.requirements import Priority
from wasabigw.core.tags.packets import FlowId, FlowPacket

MAX_HELD = 256
"""Maximum number of held openings, which bounds their memory and the work to expire."""


class Rank(NamedTuple):
    """Order in which held openings leave; the least rank leaves first.

    :param is_late: whether the request can't meet its latency objective any more.
    """

    priority: Priority
    is_late: bool


class HeldOpening(NamedTuple):
    """An opening that waits.

    :param datagram: the packet as it was received.
    :param waited: time that it spent in the receive buffer.
    :param deadline: when it stops waiting.
    """

    packet: FlowPacket
    datagram: bytes
    service: ServiceId
    rank: Rank
    waited: Seconds
    held_at: Seconds
    deadline: Seconds


_ByCaller = OrderedDict[int, dict[FlowId, HeldOpening]]
"""Held openings of each caller address, in the order of their turns."""


@dataclass(slots=True)
class HeldOpenings:
    """All held openings of a balancer.

    :param flows: all of them, the one that was held first in front.
    :param queues: by service and rank.
    """

    flows: dict[FlowId, HeldOpening] = field(default_factory=dict)
    queues: dict[ServiceId, dict[Rank, _ByCaller]] = field(default_factory=dict)


def add_held(held: HeldOpenings, opening: HeldOpening) -> HeldOpening | None:
    """Add an opening.

    :returns: the opening that has no place any more, which may be the new one.
    """
    replaced = None
    if len(held.flows) >= MAX_HELD:
        replaced = _least_entitled(held, opening)
        if replaced is opening:
            return opening
        remove_held(held, replaced.packet.flow)
    held.flows[opening.packet.flow] = opening
    ranks = held.queues.setdefault(opening.service, {})
    callers = ranks.setdefault(opening.rank, OrderedDict())
    callers.setdefault(opening.packet.flow.caller, {})[opening.packet.flow] = opening
    return replaced


def remove_held(held: HeldOpenings, flow: FlowId) -> HeldOpening | None:
    """Remove the opening of a flow; ``None`` if it is not held."""
    opening = held.flows.pop(flow, None)
    if opening is None:
        return None
    ranks = held.queues[opening.service]
    callers = ranks[opening.rank]
    del callers[flow.caller][flow]
    if not callers[flow.caller]:
        del callers[flow.caller]
    if not callers:
        del ranks[opening.rank]
    if not ranks:
        del held.queues[opening.service]
    return opening


def ranks_of(held: HeldOpenings, service: ServiceId) -> list[Rank]:
    """Ranks of the held openings of a service, the one that leaves first in front."""
    return sorted(held.queues.get(service, ()))


def pop_held(held: HeldOpenings, service: ServiceId, rank: Rank) -> HeldOpening:
    """Remove the opening whose turn it is, and put its caller last.

    :raises KeyError: if none of this service and rank is held.
    """
    callers = held.queues[service][rank]
    caller, openings = next(iter(callers.items()))
    flow = next(iter(openings))
    callers.move_to_end(caller)
    opening = remove_held(held, flow)
    assert opening is not None
    return opening


def pop_expired(held: HeldOpenings, now: Seconds) -> list[HeldOpening]:
    """Remove and return the openings that have waited until their deadline."""
    expired = [opening for opening in held.flows.values() if opening.deadline <= now]
    for opening in expired:
        remove_held(held, opening.packet.flow)
    return expired


def next_deadline(held: HeldOpenings) -> Seconds | None:
    """Earliest deadline; ``None`` if nothing is held."""
    return min((opening.deadline for opening in held.flows.values()), default=None)


def held_before(held: HeldOpenings, service: ServiceId, rank: Rank, caller: int) -> int:
    """Number of openings of the same priority that leave before another one would."""
    ranks = held.queues.get(service, {})
    before = 0
    for other, callers in ranks.items():
        if other.priority != rank.priority or other > rank:
            continue
        if other < rank:
            before += sum(map(len, callers.values()))
            continue
        own = len(callers[caller]) if caller in callers else 0
        turns = (min(len(openings), own + 1) for openings in callers.values())
        before += sum(turns)
    return before


def held_by_service(held: HeldOpenings) -> dict[ServiceId, int]:
    """Number of held openings of each service."""
    return {
        service: sum(len(o) for callers in ranks.values() for o in callers.values())
        for service, ranks in held.queues.items()
    }


def _least_entitled(held: HeldOpenings, opening: HeldOpening) -> HeldOpening:
    """The newest opening of the caller with the most openings of the last rank."""
    last = max(rank for ranks in held.queues.values() for rank in ranks)
    if opening.rank > last:
        return opening
    longest = max(_callers_of(held, last), key=len)
    if opening.rank == last:
        callers = held.queues.get(opening.service, {}).get(last)
        own = callers.get(opening.packet.flow.caller) if callers is not None else None
        if own is not None and len(own) >= len(longest):
            return opening
    return next(reversed(longest.values()))


def _callers_of(held: HeldOpenings, rank: Rank) -> Iterable[dict[FlowId, HeldOpening]]:
    for ranks in held.queues.values():
        callers = ranks.get(rank)
        if callers is not None:
            yield from callers.values()
