"""Reports of what a balancer has counted."""

from collections.abc import Callable, Iterable, Sequence
from itertools import chain

from wasabigw.core.ids import Incarnation, Seconds, ServiceId
from wasabigw.core.load.counting import update_requests
from wasabigw.core.load.counts import ServerCounts
from wasabigw.core.load.figures import (
    COUNT_WINDOW,
    MAX_REPORTED_SERVERS,
    MAX_REPORTED_SERVICES,
    LoadReport,
    ServerFigures,
    ServiceFigures,
    StratumSizes,
)
from wasabigw.core.load.known import ServiceKey
from wasabigw.core.load.sampling import quotas
from wasabigw.core.tags.state import Server, TagState

Sample = Callable[[Sequence[Server], int], Sequence[Server]]
"""Returns a random sample of a given size without repetition."""


def make_report(
    state: TagState, incarnation: Incarnation, now: Seconds, sample: Sample
) -> LoadReport:
    """Make the next report, and begin the next period of the counts.

    :param sample: selects the backend servers if there are too many for one report.
    """
    update_requests(state, now)
    load = state.load
    load.sequence += 1
    # Corrects for periods that took longer, such as after a suspension.
    scale = min(1.0, COUNT_WINDOW / max(now - load.previous_began, 1e-3))
    strata = _strata(state.servers.values(), scale)
    services = _service_figures(chain(*strata), state, scale)
    sizes = StratumSizes(*(len(stratum) for stratum in strata))
    reported = [
        sample(stratum, quota) if quota < len(stratum) else stratum
        for stratum, quota in zip(
            strata, quotas(sizes, MAX_REPORTED_SERVERS), strict=True
        )
    ]
    servers = tuple(_figures_of(server, scale) for server in chain(*reported))
    _begin_period(state, now)
    return LoadReport(
        state.node,
        incarnation,
        state.failure_domain,
        load.sequence,
        sizes,
        servers,
        tuple(services),
    )


def _strata(servers: Iterable[Server], scale: float) -> list[list[Server]]:
    """Backend servers with load, by their stratum."""
    in_flight: list[Server] = []
    active: list[Server] = []
    idle: list[Server] = []
    for server in servers:
        if server.counts.in_flight > 0:
            in_flight.append(server)
        elif _has_events(server.counts, scale):
            active.append(server)
        elif server.open_flows > 0:
            idle.append(server)
    return [in_flight, active, idle]


def _has_events(counts: ServerCounts, scale: float) -> bool:
    """Whether there are openings or answers to report."""
    openings = counts.openings + counts.previous_openings
    answers = counts.answers + counts.previous_answers
    if openings == 0 and answers == 0:
        return False
    return round(openings * scale) > 0 or round(answers * scale) > 0


def _figures_of(server: Server, scale: float) -> ServerFigures:
    counts = server.counts
    return ServerFigures(
        server.registration.tag,
        server.open_flows,
        counts.in_flight,
        round((counts.openings + counts.previous_openings) * scale),
        round((counts.answers + counts.previous_answers) * scale),
        Seconds((counts.answer_time + counts.previous_answer_time) * scale),
    )


def _service_figures(
    loaded: Iterable[Server], state: TagState, scale: float
) -> list[ServiceFigures]:
    """Exact sums of each service, also if the report names only a sample of servers."""
    load, home = state.load, state.failure_domain
    flows: dict[ServiceKey, int] = {}
    in_flight: dict[ServiceKey, int] = {}
    for server in loaded:
        key = server.registration.service, server.registration.failure_domain
        flows[key] = flows.get(key, 0) + server.open_flows
        in_flight[key] = in_flight.get(key, 0) + server.counts.in_flight
    arrivals = {
        service: round(scale * recent_arrivals(service, state))
        for service in {**load.previous_arrivals, **load.arrivals}
    }
    keys = {*flows, *((service, home) for service in arrivals)}
    found = [
        ServiceFigures(
            service,
            domain,
            flows.get((service, domain), 0),
            in_flight.get((service, domain), 0),
            arrivals.get(service, 0) if domain == home else 0,
        )
        for service, domain in sorted(keys)
    ]
    found.sort(key=lambda f: (f.in_flight + f.arrivals, f.flows), reverse=True)
    return found[:MAX_REPORTED_SERVICES]


def recent_arrivals(service: ServiceId, state: TagState) -> int:
    """Openings of callers for a service that this balancer counted recently."""
    load = state.load
    return load.arrivals.get(service, 0) + load.previous_arrivals.get(service, 0)


def _begin_period(state: TagState, now: Seconds) -> None:
    load = state.load
    load.previous_began, load.period_began = load.period_began, now
    load.previous_arrivals, load.arrivals = load.arrivals, {}
    for server in state.servers.values():
        counts = server.counts
        if counts.openings or counts.previous_openings:
            counts.previous_openings, counts.openings = counts.openings, 0
        if counts.answers or counts.previous_answers:
            counts.previous_answers, counts.answers = counts.answers, 0
            counts.previous_answer_time = counts.answer_time
            counts.answer_time = 0.0
