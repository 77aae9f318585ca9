"""Search through all states that a scenario can reach within its budget."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from wasabigw.core.ids import NodeId, Seconds
from wasabigw_verify.log_check.faults import Budget, possible_faults
from wasabigw_verify.log_check.fingerprint import fingerprint
from wasabigw_verify.log_check.progress import (
    Digest,
    Link,
    Progress,
    has_leader,
    is_claimed,
)
from wasabigw_verify.log_check.safety import SafetyError
from wasabigw_verify.log_check.scenario import Scenario, initial_world
from wasabigw_verify.log_check.steps import Continue, Step
from wasabigw_verify.log_check.transitions import take
from wasabigw_verify.log_check.world import TICK, World

MAX_TICKS = 200
"""Ticks after which a run is not followed any further."""
MAX_FINDINGS = 5
MAX_STATES = 2_000_000

_CONTINUE = Continue()


@dataclass(frozen=True, slots=True)
class Path:
    """Steps that lead to a state, as a linked list."""

    step: Step
    before: "Path | None"

    def steps(self) -> list[Step]:
        """Steps from the first one on."""
        found: list[Step] = []
        path: Path | None = self
        while path is not None:
            found.append(path.step)
            path = path.before
        return found[::-1]


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation, with the steps that lead to it."""

    reason: str
    order: tuple[NodeId, ...]
    steps: tuple[Step, ...]

    @property
    def faults(self) -> tuple[Step, ...]:
        """Steps that are faults."""
        return tuple(step for step in self.steps if not isinstance(step, Continue))

    @property
    def summary(self) -> str:
        """Reason, number of steps and faults in one line."""
        return f"{self.reason} after {len(self.steps)} steps with {self.faults}"


@dataclass(slots=True)
class Report:
    """Result of a search.

    :param depth: largest number of steps to a state.
    :param is_complete: whether all states within the budget were explored.
    :param longest: longest time without a leader although a majority had no faults.
    """

    states: int = 0
    steps: int = 0
    depth: int = 0
    seconds: float = 0.0
    is_complete: bool = True
    longest: Seconds = field(default=Seconds(0.0))
    findings: list[Finding] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Origin:
    """How a state was reached first."""

    order: tuple[NodeId, ...]
    path: Path | None
    depth: int


@dataclass(frozen=True, slots=True)
class _Pending:
    """A step that is to be taken in an explored state."""

    world: World
    digest: Digest
    step: Step
    budget: Budget
    path: Path | None
    depth: int


class Search:
    """Depth-first search; the regular successor of a state is explored first.

    :param max_states: number of states after which the search ends.
    :param max_findings: number of findings after which the search ends.
    """

    def __init__(
        self,
        scenario: Scenario,
        max_states: int = MAX_STATES,
        max_findings: int = MAX_FINDINGS,
    ) -> None:
        self._scenario = scenario
        self._max_states = max_states
        self._max_findings = max_findings
        self._budgets: dict[Digest, list[Budget]] = {}
        self._origins: dict[Digest, _Origin] = {}
        self._progress = Progress()
        self._stack: list[_Pending] = []
        self._is_cut_short = False
        self.report = Report()

    def run(self, start: World | None = None) -> Report:
        """Explore all states, and check the progress from each of them.

        :param start: state to begin with in place of the start of the scenario.
        """
        began = time.perf_counter()
        for world in self._starts() if start is None else [start]:
            self._enter(world, self._scenario.budget, None, 0)
            while self._stack and not self._is_finished():
                self._take(self._stack.pop())
        self.report.is_complete = not self._stack and not self._is_cut_short
        self._check_progress()
        self.report.states = len(self._budgets)
        self.report.seconds = time.perf_counter() - began
        return self.report

    def _starts(self) -> Iterator[World]:
        for order in self._scenario.orders:
            yield initial_world(self._scenario, order)

    def _is_finished(self) -> bool:
        too_many = len(self._budgets) >= self._max_states
        return too_many or len(self.report.findings) >= self._max_findings

    def _take(self, pending: _Pending) -> None:
        world = pending.world.copy()
        self.report.steps += 1
        path = Path(pending.step, pending.path)
        try:
            take(pending.step, world, self._scenario.script)
        except SafetyError as error:
            self.report.findings.append(
                Finding(str(error), world.site.nodes, tuple(path.steps()))
            )
            return
        digest = self._enter(world, pending.budget, path, pending.depth + 1)
        if pending.step is _CONTINUE:
            self._link(pending, world, digest)

    def _link(self, pending: _Pending, world: World, digest: Digest) -> None:
        before = pending.world
        link = Link(
            digest, world.now - before.now, is_claimed(before), has_leader(before)
        )
        self._progress.record(pending.digest, link)

    def _enter(
        self, world: World, budget: Budget, path: Path | None, depth: int
    ) -> Digest:
        """Explore a state unless it was explored with at least the same budget."""
        digest = Digest(fingerprint(world))
        known = self._budgets.get(digest)
        if known is not None and any(found.covers(budget) for found in known):
            return digest
        is_new = known is None
        kept = [found for found in known or () if not budget.covers(found)]
        self._budgets[digest] = [*kept, budget]
        if is_new:
            self._origins[digest] = _Origin(world.site.nodes, path, depth)
            self.report.depth = max(self.report.depth, depth)
        if world.now >= MAX_TICKS:
            self._is_cut_short = True
        else:
            for fault in possible_faults(world, budget, self._scenario.kinds):
                self._stack.append(
                    _Pending(world, digest, fault.step, fault.remaining, path, depth)
                )
            self._stack.append(_Pending(world, digest, _CONTINUE, budget, path, depth))
        return digest

    def _check_progress(self) -> None:
        failures = self._progress.failures()
        self.report.longest = self._progress.longest()
        # A failure holds for all states of a chain; the first one stands for them.
        for digest in sorted(failures, key=lambda found: self._origins[found].depth):
            if len(self.report.findings) >= self._max_findings:
                return
            self._add_finding(digest, failures[digest])

    def _add_finding(self, digest: Digest, ticks: int) -> None:
        origin = self._origins[digest]
        steps = tuple(origin.path.steps()) if origin.path is not None else ()
        reason = f"no lasting leader for {ticks} ticks of {TICK} s"
        finding = Finding(reason, origin.order, steps)
        if all(found.faults != finding.faults for found in self.report.findings):
            self.report.findings.append(finding)
