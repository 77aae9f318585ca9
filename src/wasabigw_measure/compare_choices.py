"""Compare ways to choose the backend server of a new flow by figures that are old.

Run it with ``python -m wasabigw_measure.compare_choices``. It prints the table of
docs/measurements.md and asserts nothing. All ways see the same callers.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from statistics import fmean, quantiles
from typing import Annotated, NamedTuple

import typer

from wasabigw.core.ids import NodeId, Seconds, Tag
from wasabigw.core.load.figures import REPORT_INTERVAL, ServerFigures
from wasabigw.core.tags.estimates import Activity, FlowAges, ServerLoad, opening_shares
from wasabigw.core.tags.selection import rank_of
from wasabigw.core.tags.turns import Turns, make_turns, phases_of, take_turn
from wasabigw.core.tags.weights import (
    Speed,
    expected_capacity,
    record_figures,
    update_weights,
)
from wasabigw_measure._choices_world import (
    HORIZON,
    SERVERS,
    SLOTS,
    SNAPSHOT_INTERVAL,
    WARM_UP,
    Speeds,
    Way,
    World,
)

_EQUAL = [1.0] * SERVERS
_MIXED = [(0.7, 0.7, 1.7)[n % 3] for n in range(SERVERS)]
_SLOWED = [(0.2, 1.0, 1.0)[n % 3] for n in range(SERVERS)]
CASES = {
    "equal": Speeds(_EQUAL, _EQUAL),
    "0.7, 0.7, 1.7": Speeds(_MIXED, _MIXED),
    "third at a fifth": Speeds(_SLOWED, _SLOWED),
    "for 8 s": Speeds(_EQUAL, _SLOWED),
}
AGES = (0.1, 0.5, 1.0, 2.0, 4.0)
BALANCERS = (8, 80, 1400)
MAX_RANK = 2**32


class Ranks(dict[tuple[int, int], float]):
    """Rank from 0 to 1 of each backend server at each balancer."""

    def __missing__(self, key: tuple[int, int]) -> float:
        """Compute a rank at its first use."""
        balancer, server = key
        rank = rank_of(NodeId(f"b-{balancer}"), Tag(server)) / MAX_RANK
        self[key] = rank
        return rank


class OwnFlows:
    """The choice without figures: fewest own flows, then the rank."""

    def __init__(self) -> None:
        self._ranks = Ranks()

    def choose(self, balancer: int, world: World) -> int:
        """Choose by the flows that pass this balancer."""

        def load(server: int) -> tuple[float, float]:
            return world.own_flows[balancer, server], self._ranks[balancer, server]

        return min(range(SERVERS), key=load)


class Random:
    """A random draw."""

    def choose(self, balancer: int, world: World) -> int:
        """Draw one."""
        return world.random.randrange(SERVERS)


Load = Callable[[World, int], Callable[[int], float]]
"""Returns the load of each backend server as a balancer knows it."""


def old_requests(world: World, balancer: int) -> Callable[[int], float]:
    """Requests in flight by old figures."""
    servers = world.figures_at(balancer)[1].servers
    return lambda number: servers[number].in_flight


def old_flows(world: World, balancer: int) -> Callable[[int], float]:
    """Open flows by old figures."""
    servers = world.figures_at(balancer)[1].servers
    return lambda number: servers[number].flows


def fresh_requests(world: World, balancer: int) -> Callable[[int], float]:
    """Requests in flight now."""
    return lambda number: world.servers[number].in_flight


def fresh_flows(world: World, balancer: int) -> Callable[[int], float]:
    """Open flows now."""
    return lambda number: world.servers[number].flows


def latency(world: World, balancer: int) -> Callable[[int], float]:
    """Mean time of the latest answers times requests in flight (C3, Prequal)."""
    servers = world.figures_at(balancer)[1].servers

    def load(number: int) -> float:
        figures = servers[number]
        mean = figures.answer_time / figures.answers if figures.answers else 1.0
        return mean * (figures.in_flight + 1) ** 3

    return load


class LeastOf:
    """The least loaded of some that are drawn, or of all.

    :param draws: how many are drawn; ``None`` for all.
    """

    def __init__(self, load: Load, draws: int | None) -> None:
        self._load = load
        self._draws = draws
        self._ranks = Ranks()

    def choose(self, balancer: int, world: World) -> int:
        """Choose the least loaded candidate."""
        load = self._load(world, balancer)
        if self._draws is not None:
            drawn = world.random.sample(range(SERVERS), self._draws)
            return min(drawn, key=load)
        ranks = self._ranks
        return min(range(SERVERS), key=lambda n: (load(n), ranks[balancer, n]))


class CorrectedSums:
    """Old flows plus what all balancers have sent since, as far as one can tell."""

    def __init__(self) -> None:
        self._seen: dict[int, int] = {}
        self._sent: defaultdict[int, Counter[int]] = defaultdict(Counter)
        self._ranks = Ranks()

    def choose(self, balancer: int, world: World) -> int:
        """Choose the least loaded, counting own flows for each balancer."""
        number, figures = world.figures_at(balancer)
        sent = self._sent[balancer]
        if self._seen.get(balancer) != number:
            self._seen[balancer] = number
            sent.clear()

        def load(server: int) -> tuple[float, float]:
            flows = figures.servers[server].flows + sent[server] * world.balancers
            return flows, self._ranks[balancer, server]

        chosen = min(range(SERVERS), key=load)
        sent[chosen] += 1
        return chosen


class IdleQueues:
    """Join-idle-queue: those that were idle are divided among the balancers."""

    def __init__(self) -> None:
        self._seen: dict[int, int] = {}
        self._idle: dict[int, list[int]] = {}

    def choose(self, balancer: int, world: World) -> int:
        """Choose an idle one that was assigned to this balancer, or draw one."""
        number, figures = world.figures_at(balancer)
        if self._seen.get(balancer) != number:
            self._seen[balancer] = number
            self._idle[balancer] = [
                n
                for n, server in enumerate(figures.servers)
                if server.in_flight == 0
                and rank_of(NodeId(str(number)), Tag(n)) % world.balancers == balancer
            ]
        idle = self._idle[balancer]
        return idle.pop() if idle else world.random.randrange(SERVERS)


class SharedLoad:
    """The choice of the product: turns by shares that even out the load."""

    def __init__(self) -> None:
        self._speeds = {Tag(n): Speed() for n in range(SERVERS)}
        self._weights: list[list[float]] = []
        self._turns: dict[int, tuple[int, Turns[Tag]]] = {}
        self._ranks = Ranks()

    def choose(self, balancer: int, world: World) -> int:
        """Take a turn."""
        number, figures = world.figures_at(balancer)
        known = self._turns.get(balancer)
        if known is None or known[0] != number:
            phases = {Tag(n): self._ranks[balancer, n] for n in range(SERVERS)}
            if known is not None:
                phases |= phases_of(known[1])
            shares = self._compute(balancer, number, figures.servers, world)
            known = number, make_turns(shares, phases)
            self._turns[balancer] = known
        tag = take_turn(known[1], lambda _: True)
        assert tag is not None
        return tag

    def _compute(
        self,
        balancer: int,
        number: int,
        servers: Sequence[ServerFigures],
        world: World,
    ) -> dict[Tag, float]:
        weights = self._weights_at(number, world)
        loads = {
            f.tag: ServerLoad(
                expected_capacity(weights[f.tag], f.in_flight, SLOTS), f.flows
            )
            for f in servers
        }
        activity = Activity(
            sum(f.flows for f in servers),
            sum(f.openings for f in servers),
            sum(f.answers for f in servers),
        )
        flows = world.ages[balancer]
        own = FlowAges(flows.count, flows.count * world.now - flows.opened_at)
        horizon = Seconds(world.age + REPORT_INTERVAL / 2)
        return opening_shares(loads, activity, own, horizon)

    def _weights_at(self, number: int, world: World) -> list[float]:
        """Weights by the figures up to a snapshot, updated once a second."""
        seconds = int(number * SNAPSHOT_INTERVAL / REPORT_INTERVAL)
        while len(self._weights) <= seconds:
            if self._weights:
                index = int(len(self._weights) * REPORT_INTERVAL / SNAPSHOT_INTERVAL)
                for figures in world.snapshots[index].servers:
                    speed = self._speeds[figures.tag]
                    record_figures(speed, figures, SLOTS, REPORT_INTERVAL)
                update_weights(self._speeds, REPORT_INTERVAL)
            weights = [self._speeds[Tag(n)].weight for n in range(SERVERS)]
            self._weights.append(weights)
        return self._weights[seconds]


WAYS: dict[str, Callable[[], Way]] = {
    "own flows and rank": OwnFlows,
    "random": Random,
    "least requests, old": lambda: LeastOf(old_requests, None),
    "least flows, old": lambda: LeastOf(old_flows, None),
    "two choices, requests, old": lambda: LeastOf(old_requests, 2),
    "two choices, flows, old": lambda: LeastOf(old_flows, 2),
    "corrected sums": CorrectedSums,
    "join-idle-queue": IdleQueues,
    "latency times requests": lambda: LeastOf(latency, 3),
    "shared load (built)": SharedLoad,
    "two choices, requests, fresh": lambda: LeastOf(fresh_requests, 2),
    "two choices, flows, fresh": lambda: LeastOf(fresh_flows, 2),
}
AGELESS = frozenset(
    {
        "own flows and rank",
        "random",
        "two choices, requests, fresh",
        "two choices, flows, fresh",
    }
)
"""Ways that use no old figures."""


class Outcome(NamedTuple):
    """Figures of one run.

    :param busiest: mean over the seconds of the busiest over the mean, by accepted work
        relative to capacity.
    :param lasting: the same over the whole run.
    :param full: share of openings that found a full one while another had a free slot.
    """

    busiest: float
    lasting: float
    full: float
    median_wait: float
    high_wait: float
    lost: int


def measure(
    make_way: Callable[[], Way],
    case: Speeds,
    balancers: int,
    age: float,
    seed: int,
) -> Outcome:
    """Run a way with the callers of a seed."""
    world = World(make_way(), case, balancers, age, seed)
    world.run()
    rows = [
        [world.work[second, n] for n in range(SERVERS)]
        for second in range(int(WARM_UP), int(HORIZON))
    ]
    sums = [sum(column) for column in zip(*rows, strict=True)]
    cuts = quantiles(world.waits, n=100)
    return Outcome(
        fmean(max(row) / fmean(row) for row in rows),
        max(sums) / fmean(sums),
        world.rejected / world.openings,
        cuts[49],
        cuts[98],
        world.lost,
    )


def row_of(name: str, outcomes: Sequence[Outcome]) -> str:
    """Row of the table with the means over the seeds."""
    mean = Outcome(*map(fmean, zip(*outcomes, strict=True)))  # type: ignore[arg-type]
    return (
        f"| {name} | {mean.busiest:.2f} | {mean.lasting:.2f} | {100 * mean.full:.2f} | "
        f"{1000 * mean.median_wait:.0f} | {1000 * mean.high_wait:.0f} | "
        f"{mean.lost:.0f} |"
    )


application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@application.command()
def main(
    seed: Annotated[list[int] | None, typer.Option(help="May be repeated.")] = None,
    age: Annotated[list[float] | None, typer.Option(help="May be repeated.")] = None,
    balancers: Annotated[
        list[int] | None, typer.Option(help="May be repeated.")
    ] = None,
) -> None:
    """Run each way with the same callers, and print a table for each case."""
    seeds = seed or [1, 2]
    for case, speeds in CASES.items():
        for count in balancers or BALANCERS:
            print(f"\n{case}, {count} balancers\n")
            print("| way | age | busiest | lasting | full % | p50 ms | p99 ms | lost |")
            print("|---|---|---|---|---|---|---|---|")
            for name, make_way in WAYS.items():
                for figures_age in [0.0] if name in AGELESS else age or AGES:
                    outcomes = [
                        measure(make_way, speeds, count, figures_age or 1.0, number)
                        for number in seeds
                    ]
                    label = (
                        f"{name} | {figures_age:g}" if figures_age else f"{name} | -"
                    )
                    print(row_of(label, outcomes), flush=True)


if __name__ == "__main__":
    application()
