"""Figures of backend servers from all balancers: those of others and own counts."""

from collections.abc import Sequence
from typing import NamedTuple

from wasabigw.core.ids import Seconds
from wasabigw.core.load.figures import ServerFigures
from wasabigw.core.load.known import KnownLoad
from wasabigw.core.tags.state import Server


class MeanLoad(NamedTuple):
    """Mean load of backend servers."""

    flows: float
    in_flight: float


def own_figures(server: Server) -> ServerFigures:
    """Load of a backend server that passes this balancer."""
    counts = server.counts
    return ServerFigures(
        server.registration.tag,
        server.open_flows,
        counts.in_flight,
        counts.openings + counts.previous_openings,
        counts.answers + counts.previous_answers,
        Seconds(counts.answer_time + counts.previous_answer_time),
    )


def combined_figures(server: Server, known: KnownLoad) -> ServerFigures | None:
    """Load of a backend server from all balancers; ``None`` if others don't name it."""
    others = known.servers.get(server.registration.tag)
    return None if others is None else _sum(own_figures(server), others)


def answers_of_unnamed(
    servers: Sequence[Server], known: KnownLoad
) -> tuple[ServerFigures | None, int]:
    """Own answers of all backend servers that others don't name, and their slots.

    These have about the mean load, and one balancer has too few answers of each.
    """
    unnamed = [s for s in servers if s.registration.tag not in known.servers]
    if not unnamed:
        return None, 0
    counts = [server.counts for server in unnamed]
    figures = ServerFigures(
        unnamed[0].registration.tag,
        sum(server.open_flows for server in unnamed),
        sum(c.in_flight for c in counts),
        sum(c.openings + c.previous_openings for c in counts),
        sum(c.answers + c.previous_answers for c in counts),
        Seconds(sum(c.answer_time + c.previous_answer_time for c in counts)),
    )
    return figures, sum(server.slots for server in unnamed)


def mean_of_unnamed(servers: Sequence[Server], known: KnownLoad) -> MeanLoad:
    """Mean load of the backend servers of a failure domain that others don't name.

    :param servers: those of one service in one failure domain.
    """
    named = [f for s in servers if (f := combined_figures(s, known)) is not None]
    boot = servers[0].registration
    total = known.services.get((boot.service, boot.failure_domain))
    count = len(servers) - len(named)
    if total is None or count == 0:
        return MeanLoad(_mean([f.flows for f in named]), _mean(_in_flight(named)))
    flows = total.flows + sum(server.open_flows for server in servers)
    in_flight = total.in_flight + sum(server.counts.in_flight for server in servers)
    return MeanLoad(
        _mean_of_rest(flows, [f.flows for f in named], count),
        _mean_of_rest(in_flight, _in_flight(named), count),
    )


def _in_flight(figures: Sequence[ServerFigures]) -> list[int]:
    return [f.in_flight for f in figures]


def _mean(values: Sequence[int]) -> float:
    return sum(values) / max(len(values), 1)


def _mean_of_rest(total: float, named: Sequence[int], count: int) -> float:
    """Mean of the unnamed ones, which don't exceed the named ones.

    The total includes boots that get no new flows, such as draining ones.
    """
    mean = max(total - sum(named), 0.0) / count
    return min(mean, max(named, default=mean))


def _sum(one: ServerFigures, other: ServerFigures) -> ServerFigures:
    return ServerFigures(
        one.tag,
        one.flows + other.flows,
        one.in_flight + other.in_flight,
        one.openings + other.openings,
        one.answers + other.answers,
        Seconds(one.answer_time + other.answer_time),
    )
