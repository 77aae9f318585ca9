"""Shares of new flows that even out the load, from figures that are old.

Figures of requests in flight are obsolete when they arrive, and balancers that all send
to the least loaded backend server overrun it. Open flows last longer than figures take.
The shares therefore fill the gaps that the flows which are still open then will leave,
by as much as is expected to arrive meanwhile. This is the interpretation of old figures
by Dahlin ("Interpreting stale load information", 2000), with the departure of flows.
The older the figures and the shorter the flows, the closer the shares come to the
capacities.
"""

from collections.abc import Mapping
from math import exp
from typing import NamedTuple

from wasabigw.core.ids import Seconds, Tag
from wasabigw.core.load.figures import COUNT_WINDOW, ServerFigures

PROBE_SHARE = 0.1
"""Part of the new flows that is distributed by capacity alone.

It keeps some flows on each backend server, so that its state shows.
"""
MAX_GAIN = 2.0
"""Factor by which a gap may raise the share above the one by capacity.

It bounds the effect of wrong figures, and lets one that has just joined fill gradually.
"""
MIN_OWN_FLOWS = 4
"""Own open flows from which their age counts more than the mean time of all flows."""
AGES_HALF_LIFE = Seconds(15.0)
"""Time after which the ages of open flows count half."""
MIN_OPENINGS = 1.0
"""Fewest openings within the window that are assumed, so that shares are defined."""


class ServerLoad(NamedTuple):
    """What is known of a backend server.

    :param capacity: slots, weighted by speed, less if requests queue.
    :param in_flight: requests without an answer.
    :param flows: open flows of all balancers.
    """

    capacity: float
    in_flight: float
    flows: float


class Activity(NamedTuple):
    """Openings and answers of some backend servers within the window, and open flows.

    :param flows: open flows of the same backend servers.
    """

    flows: float
    openings: float
    answers: float


def add_activity(activity: Activity, figures: ServerFigures) -> Activity:
    """Add the figures of a backend server."""
    return Activity(
        activity.flows + figures.flows,
        activity.openings + figures.openings,
        activity.answers + figures.answers,
    )


class FlowAges(NamedTuple):
    """Open flows of this balancer, and the sum of the times since they were opened.

    Both include earlier ones in part, as a balancer may have few flows at a time.
    """

    flows: float
    total_age: float


NO_AGES = FlowAges(0.0, 0.0)


def add_ages(before: FlowAges, current: FlowAges, elapsed: Seconds) -> FlowAges:
    """Add open flows to those of earlier plans, which count less with time.

    :param elapsed: time since the plan before.
    """
    kept = 0.5 ** (elapsed / AGES_HALF_LIFE)
    return FlowAges(
        before.flows * kept + current.flows, before.total_age * kept + current.total_age
    )


def opening_shares(
    loads: Mapping[Tag, ServerLoad],
    activity: Activity,
    own: FlowAges,
    horizon: Seconds,
) -> dict[Tag, float]:
    """Share of the new flows for each backend server; the sum is 1.

    :param loads: all backend servers that may get the new flows.
    :param own: open flows of this balancer, with earlier ones.
    :param horizon: time from the measurement of the figures to their replacement.
    """
    total_flows = sum(load.flows for load in loads.values())
    if activity.flows <= 0 or total_flows <= 0:
        return _normalized({tag: load.capacity for tag, load in loads.items()})
    # Both are relative to the number of open flows.
    openings = max(activity.openings, MIN_OPENINGS) / activity.flows
    answers = max(activity.answers / activity.flows, openings)
    staying = exp(-horizon / _remaining_time(COUNT_WINDOW / openings, own))
    persistent = (answers - openings) * staying
    expected = answers * total_flows
    remaining = {tag: persistent * load.flows for tag, load in loads.items()}
    gaps = _gaps(loads, remaining, expected)
    return _bounded_shares(loads, gaps)


def _remaining_time(mean_time: float, own: FlowAges) -> float:
    """Expected time for which flows that are open now stay open.

    In a steady state this is the mean age of open flows. It is longer than the mean
    time of all flows if many flows are short.

    :param mean_time: mean time of all flows, by Little's law.
    """
    age = own.total_age + MIN_OWN_FLOWS * mean_time
    return max(age / (own.flows + MIN_OWN_FLOWS), mean_time)


def _gaps(
    loads: Mapping[Tag, ServerLoad], remaining: Mapping[Tag, float], expected: float
) -> dict[Tag, float]:
    """Load that each backend server lacks to the level that all reach together.

    :param remaining: load that each one keeps.
    :param expected: load of all together.
    """
    order = sorted(loads, key=lambda tag: remaining[tag] / loads[tag].capacity)
    volume, capacity, level = expected - sum(remaining.values()), 0.0, 0.0
    for tag in order:
        if capacity > 0 and remaining[tag] / loads[tag].capacity >= level:
            break
        volume += remaining[tag]
        capacity += loads[tag].capacity
        level = volume / capacity
    return {
        tag: max(level * load.capacity - remaining[tag], 0.0)
        for tag, load in loads.items()
    }


def _bounded_shares(
    loads: Mapping[Tag, ServerLoad], gaps: Mapping[Tag, float]
) -> dict[Tag, float]:
    """Shares by gaps within bounds; what is left is distributed by capacity."""
    by_gap = _normalized(gaps)
    by_capacity = _normalized({tag: load.capacity for tag, load in loads.items()})
    bounded = {
        tag: (1 - PROBE_SHARE) * min(by_gap[tag], MAX_GAIN * by_capacity[tag])
        for tag in loads
    }
    rest = 1 - sum(bounded.values())
    return {tag: bounded[tag] + rest * by_capacity[tag] for tag in loads}


def _normalized(parts: Mapping[Tag, float]) -> dict[Tag, float]:
    total = sum(parts.values())
    if total <= 0:
        return dict.fromkeys(parts, 1.0 / len(parts)) if parts else {}
    return {tag: part / total for tag, part in parts.items()}
