"""Compare ways to choose the backend server of a new flow by figures that are old.

Run it with ``python -m wasabigw_measure.compare_choices``. It prints the tables of
docs/measurements.md and asserts nothing. All ways see the same callers.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from functools import cache, reduce
from statistics import fmean, quantiles
from typing import Annotated, NamedTuple

import typer

from wasabigw.core.ids import NodeId, Seconds, Tag
from wasabigw.core.load.figures import REPORT_INTERVAL, ServerFigures
from wasabigw.core.tags.choice import estimates, weights
from wasabigw.core.tags.choice.selection import rank_of
from wasabigw.core.tags.choice.turns import Turns, make_turns, phases_of, take_turn
from wasabigw_measure._choices_world import (
    HORIZON,
    SERVERS,
    SLOTS,
    SNAPSHOT_INTERVAL,
    WARM_UP,
    Choose,
    Speeds,
    World,
)

_EQUAL = [1.0] * SERVERS
_MIXED = [(0.7, 0.7, 1.7)[n % 3] for n in range(SERVERS)]
_SLOWED = [(0.2, 1.0, 1.0)[n % 3] for n in range(SERVERS)]
CASES = {
    "equal speeds": Speeds(_EQUAL, _EQUAL),
    "speeds 0.7, 0.7, 1.7": Speeds(_MIXED, _MIXED),
    "a third at a fifth": Speeds(_SLOWED, _SLOWED),
    "a third at a fifth for 8 s": Speeds(_EQUAL, _SLOWED),
}
AGES = (0.1, 0.5, 1.0, 2.0, 4.0)
BALANCERS = (8, 80, 1400)
Load = Callable[[int, World], Callable[[int], float]]
"""Returns the load of each backend server as a balancer knows it."""


@cache
def rank(balancer: int, server: int) -> float:
    """Rank from 0 to 1 of a backend server at a balancer."""
    return rank_of(NodeId(f"b-{balancer}"), Tag(server)) / 2**32


def own_flows(balancer: int, world: World) -> Callable[[int], float]:
    """Flows through this balancer: the choice without figures."""
    return lambda server: world.own_flows[balancer, server]


def old_requests(balancer: int, world: World) -> Callable[[int], float]:
    """Requests in flight by old figures."""
    servers = world.figures_at(balancer)[1]
    return lambda server: servers[server].in_flight


def old_flows(balancer: int, world: World) -> Callable[[int], float]:
    """Open flows by old figures."""
    servers = world.figures_at(balancer)[1]
    return lambda server: servers[server].flows


def fresh_requests(balancer: int, world: World) -> Callable[[int], float]:
    """Requests in flight now."""
    return lambda server: world.servers[server].in_flight


def fresh_flows(balancer: int, world: World) -> Callable[[int], float]:
    """Open flows now."""
    return lambda server: world.servers[server].flows


def latency(balancer: int, world: World) -> Callable[[int], float]:
    """Mean time to an answer, times the cube of requests in flight (C3)."""
    servers = world.figures_at(balancer)[1]

    def load(server: int) -> float:
        known = servers[server]
        mean = known.answer_time / known.answers if known.answers else 1.0
        return mean * (known.in_flight + 1) ** 3

    return load


def choose_random(balancer: int, world: World) -> int:
    """Draw a backend server."""
    return world.random.randrange(SERVERS)


def least_of_all(load_of: Load) -> Choose:
    """The least loaded; a rank breaks ties."""

    def choose(balancer: int, world: World) -> int:
        load = load_of(balancer, world)
        return min(range(SERVERS), key=lambda n: (load(n), rank(balancer, n)))

    return choose


def least_of_drawn(load_of: Load, draws: int) -> Choose:
    """The least loaded of some that are drawn."""

    def choose(balancer: int, world: World) -> int:
        drawn = world.random.sample(range(SERVERS), draws)
        return min(drawn, key=load_of(balancer, world))

    return choose


def corrected_sums() -> Choose:
    """Old flows, and own openings since then for each balancer (Dahlin)."""
    sent: defaultdict[int, tuple[int, Counter[int]]] = defaultdict(
        lambda: (-1, Counter())
    )

    def choose(balancer: int, world: World) -> int:
        number, servers = world.figures_at(balancer)
        if sent[balancer][0] != number:
            sent[balancer] = number, Counter()
        own = sent[balancer][1]

        def load(server: int) -> tuple[float, float]:
            flows = servers[server].flows + own[server] * world.balancers
            return flows, rank(balancer, server)

        chosen = min(range(SERVERS), key=load)
        own[chosen] += 1
        return chosen

    return choose


def idle_queues() -> Choose:
    """Join-idle-queue: those that were idle are divided among the balancers."""
    queues: dict[int, tuple[int, list[int]]] = {}

    def choose(balancer: int, world: World) -> int:
        number, servers = world.figures_at(balancer)
        if balancer not in queues or queues[balancer][0] != number:
            idle = [n for n in range(SERVERS) if servers[n].in_flight == 0]
            own = [
                n for n in idle if int(rank(number, n) * world.balancers) == balancer
            ]
            queues[balancer] = number, own
        queue = queues[balancer][1]
        return queue.pop() if queue else choose_random(balancer, world)

    return choose


def shared_load() -> Choose:
    """The choice of the product: turns by shares that even out the load."""
    speeds = {Tag(n): weights.Speed() for n in range(SERVERS)}
    known_weights: list[list[float]] = []
    turns: dict[int, tuple[int, Turns[Tag]]] = {}
    ages: dict[int, tuple[estimates.FlowAges, float]] = {}

    def weights_at(number: int, world: World) -> list[float]:
        seconds = int(number * SNAPSHOT_INTERVAL / REPORT_INTERVAL)
        while len(known_weights) <= seconds:
            index = int(len(known_weights) * REPORT_INTERVAL / SNAPSHOT_INTERVAL)
            for known in world.snapshots[index]:
                speed = speeds[known.tag]
                weights.record_figures(speed, known, SLOTS, REPORT_INTERVAL)
            weights.update_weights(speeds, REPORT_INTERVAL)
            known_weights.append([speed.weight for speed in speeds.values()])
        return known_weights[seconds]

    def shares(balancer: int, number: int, world: World) -> dict[Tag, float]:
        servers = world.snapshots[number]
        loads = {
            f.tag: _server_load(f, weight)
            for f, weight in zip(servers, weights_at(number, world), strict=True)
        }
        none = estimates.Activity(0, 0, 0)
        activity = reduce(estimates.add_activity, servers, none)
        flows, opened_at = world.own_open[balancer]
        before, seen_at = ages.get(balancer, (estimates.NO_AGES, 0.0))
        current = estimates.FlowAges(flows, flows * world.now - opened_at)
        own = estimates.add_ages(before, current, Seconds(world.now - seen_at))
        ages[balancer] = own, world.now
        horizon = Seconds(world.age + REPORT_INTERVAL / 2)
        return estimates.opening_shares(loads, activity, own, horizon)

    def choose(balancer: int, world: World) -> int:
        number, _ = world.figures_at(balancer)
        known = turns.get(balancer)
        if known is None or known[0] != number:
            phases = {Tag(n): rank(balancer, n) for n in range(SERVERS)}
            if known is not None:
                phases |= phases_of(known[1])
            known = number, make_turns(shares(balancer, number, world), phases)
            turns[balancer] = known
        tag = take_turn(known[1], lambda _: True)
        assert tag is not None
        return tag

    return choose


def _server_load(known: ServerFigures, weight: float) -> estimates.ServerLoad:
    capacity = weights.expected_capacity(weight, known.in_flight, SLOTS)
    return estimates.ServerLoad(capacity, known.in_flight, known.flows)


WAYS_WITHOUT_AGE: dict[str, Callable[[], Choose]] = {
    "own flows and rank (before)": lambda: least_of_all(own_flows),
    "random": lambda: choose_random,
    "two choices, requests, fresh": lambda: least_of_drawn(fresh_requests, 2),
    "two choices, flows, fresh": lambda: least_of_drawn(fresh_flows, 2),
}
WAYS: dict[str, Callable[[], Choose]] = {
    "least requests": lambda: least_of_all(old_requests),
    "least flows": lambda: least_of_all(old_flows),
    "two choices, requests": lambda: least_of_drawn(old_requests, 2),
    "two choices, flows": lambda: least_of_drawn(old_flows, 2),
    "corrected sums": corrected_sums,
    "join-idle-queue": idle_queues,
    "latency times requests, of three": lambda: least_of_drawn(latency, 3),
    "shared load (built)": shared_load,
}


class Outcome(NamedTuple):
    """Figures of one run.

    :param busiest: busiest over mean of the whole run, by work relative to capacity.
    :param busiest_second: the same of each second, the mean over the seconds.
    :param full: share of openings that found a full one while another had a free slot.
    """

    busiest: float
    busiest_second: float
    full: float
    median_wait: float
    high_wait: float
    lost: float


def measure(
    make_way: Callable[[], Choose],
    speeds: Speeds,
    balancers: int,
    age: float,
    seed: int,
) -> Outcome:
    """Run a way with the callers of a seed."""
    world = World(make_way(), speeds, balancers, age, seed)
    world.run()
    seconds = range(int(WARM_UP), int(HORIZON))
    rows = [[world.work[second, n] for n in range(SERVERS)] for second in seconds]
    sums = [sum(column) for column in zip(*rows, strict=True)]
    cuts = quantiles(world.waits, n=100)
    return Outcome(
        max(sums) / fmean(sums),
        fmean(max(row) / fmean(row) for row in rows),
        world.rejected / world.openings,
        cuts[49],
        cuts[98],
        world.lost,
    )


def row_of(name: str, age: str, outcomes: Sequence[Outcome]) -> str:
    """Row of the table with the means over the seeds."""
    mean = Outcome(*map(fmean, zip(*outcomes, strict=True)))
    return (
        f"| {name} | {age} | {mean.busiest:.2f} | {mean.busiest_second:.2f} "
        f"| {100 * mean.full:.2f} | {1000 * mean.median_wait:.0f} "
        f"| {1000 * mean.high_wait:.0f} | {mean.lost:.0f} |"
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
            print(
                "| way | age, s | busiest | of a second | full % | p50 | p99 | lost |"
            )
            print("| --- " * 8 + "|")
            for name, make_way in WAYS_WITHOUT_AGE.items():
                runs = [measure(make_way, speeds, count, 1.0, n) for n in seeds]
                print(row_of(name, "-", runs), flush=True)
            for name, make_way in WAYS.items():
                for value in age or AGES:
                    runs = [measure(make_way, speeds, count, value, n) for n in seeds]
                    print(row_of(name, f"{value:g}", runs), flush=True)


if __name__ == "__main__":
    application()
