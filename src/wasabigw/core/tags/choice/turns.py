"""Turns by share: which of several targets gets the next new flow.

Stride scheduling (Waldspurger and Weihl, 1995): a target is due again after the inverse
of its share. A balancer then sends each target its share to within one flow, while
independent random draws would add up to bursts. Each balancer begins at phases of its
own, so that balancers with the same shares don't choose the same target at once.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

Target = TypeVar("Target")


@dataclass(slots=True)
class Turns(Generic[Target]):
    """Targets by when they are due, in flows of all targets.

    :param shares: positive share of each target.
    :param due: heap of when each target is due; the number breaks ties.
    :param current: when the latest taken turn was due.
    """

    shares: Mapping[Target, float]
    due: list[tuple[float, int, Target]] = field(default_factory=list)
    current: float = 0.0


def make_turns(
    shares: Mapping[Target, float], phases: Mapping[Target, float]
) -> Turns[Target]:
    """Create turns.

    :param shares: share of each target; those without a positive one get no turn.
    :param phases: part of its interval from 0 to 1 after which a target is first due.
    """
    positive = {target: share for target, share in shares.items() if share > 0}
    due = [
        (phases[target] / share, number, target)
        for number, (target, share) in enumerate(positive.items())
    ]
    heapify(due)
    return Turns(positive, due)


def phases_of(turns: Turns[Target]) -> dict[Target, float]:
    """Part of its interval after which each target is due, for turns by new shares."""
    return {
        target: min(max((due - turns.current) * turns.shares[target], 0.0), 1.0)
        for due, _, target in turns.due
    }


def take_turn(
    turns: Turns[Target], is_allowed: Callable[[Target], bool]
) -> Target | None:
    """Take the turn of the first target that is allowed; ``None`` if none is.

    One that is passed over goes first once it is allowed, without making up for the
    turns that it has missed.
    """
    passed_over = []
    chosen = None
    while turns.due:
        entry = heappop(turns.due)
        due, number, target = entry
        if is_allowed(target):
            chosen = target
            turns.current = max(turns.current, due)
            following = turns.current + 1.0 / turns.shares[target]
            heappush(turns.due, (following, number, target))
            break
        passed_over.append(entry)
    for entry in passed_over:
        heappush(turns.due, entry)
    return chosen
