"""Progress: without further faults, a connected majority has a leader in time.

Every explored state has one regular successor, so the states form chains without
further faults. From each state on, the time to the last state of its chain that has no
leader is limited, so that neither an endless election nor a leader that repeatedly
steps down passes.
"""

from dataclasses import dataclass
from typing import NewType

from wasabigw.core.consensus.lease import has_leader_lease
from wasabigw.core.ids import Seconds
from wasabigw.core.timing import (
    ADMISSION_RETRY_DELAY,
    ELECTION_TIMEOUT_MAX,
    ELECTION_TIMEOUT_MIN,
)
from wasabigw_verify.log_check.membership import has_majority
from wasabigw_verify.log_check.vm_losses import is_within_tolerance
from wasabigw_verify.log_check.world import TICK, World

Digest = NewType("Digest", bytes)

LEADER_WITHIN = Seconds(
    ELECTION_TIMEOUT_MIN + 2 * ELECTION_TIMEOUT_MAX + ADMISSION_RETRY_DELAY
)
"""Time within which a majority without further faults has a lasting leader.

Votes for others are ignored for the shortest timeout after the last request of an
earlier leader. A voter that can win then stands within the longest timeout; one more is
allowed for a vote in the same term for another candidate, and the interval of the
admission requests for a voter that has to learn that it is admitted. The sum is three
of the longest election timeouts.
"""
LEADER_WITHIN_TICKS = round(LEADER_WITHIN / TICK)
ENDLESS = LEADER_WITHIN_TICKS + 1


@dataclass(frozen=True, slots=True)
class Link:
    """Regular successor of a state.

    :param ticks: ticks that pass on the way.
    :param is_claimed: whether the state has to have a leader in time.
    :param has_leader: whether a voter of the state may answer as the leader.
    """

    successor: Digest
    ticks: int
    is_claimed: bool
    has_leader: bool


class Progress:
    """Links between explored states, and the time until each has a lasting leader."""

    def __init__(self) -> None:
        self._links: dict[Digest, Link] = {}
        self._ticks: dict[Digest, int] = {}

    def record(self, state: Digest, link: Link) -> None:
        """Record the regular successor of a state."""
        self._links[state] = link

    def failures(self) -> dict[Digest, int]:
        """States without a lasting leader in time, with the ticks until there is one.

        A chain without an end counts as longer than any bound.
        """
        for state in self._links:
            self._resolve(state)
        return {s: n for s, n in self._ticks.items() if n > LEADER_WITHIN_TICKS}

    def longest(self) -> Seconds:
        """Longest time without a lasting leader that was found."""
        return Seconds(max(self._ticks.values(), default=0) * TICK)

    def _resolve(self, state: Digest) -> None:
        path: list[Digest] = []
        positions: dict[Digest, int] = {}
        while state in self._links and state not in self._ticks:
            if state in positions:
                self._resolve_cycle(path[positions[state] :])
                break
            positions[state] = len(path)
            path.append(state)
            state = self._links[state].successor
        for found in reversed(path):
            if found not in self._ticks:
                self._ticks[found] = self._ticks_of(found)

    def _resolve_cycle(self, cycle: list[Digest]) -> None:
        links = [self._links[state] for state in cycle]
        is_endless = any(link.is_claimed and not link.has_leader for link in links)
        for state in cycle:
            self._ticks[state] = ENDLESS if is_endless else 0

    def _ticks_of(self, state: Digest) -> int:
        link = self._links[state]
        if not link.is_claimed:
            return 0
        after = self._ticks.get(link.successor, 0)
        if after > 0 or not link.has_leader:
            return after + link.ticks
        return 0


def is_claimed(world: World) -> bool:
    """Whether there has to be a leader in time: no fault is pending, and few are lost.

    Few control VMs are lost if the operators have kept their promise, or if a majority
    of each membership is connected all the same.
    """
    is_quiet = (
        world.script_position == world.script_length
        and not world.late
        and all(
            vm.starts_at is None and not world.is_cut(node)
            for node, vm in world.vms.items()
        )
    )
    if not is_quiet or not world.running():
        return False
    return is_within_tolerance(world) or has_majority(world)


def has_leader(world: World) -> bool:
    """Whether a voter may answer as the leader."""
    return any(
        has_leader_lease(world.state(node), world.time) for node in world.running()
    )
