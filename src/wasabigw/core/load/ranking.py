"""Selection of the backend servers and services that a response with sums names.

A response names a limited number, and balancers take the others to have about the mean
of their service. So those come first that differ most from it.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from wasabigw.core.delivery_view import DeliveryView
from wasabigw.core.ids import NO_REVISION, Revision, Seconds, ServiceId, Tag
from wasabigw.core.load.figures import (
    MAX_REPORTED_SERVICES,
    MAX_RETURNED_SERVERS,
    REPORT_INTERVAL,
)
from wasabigw.core.load.known import ServiceKey
from wasabigw.core.load.rows import (
    ANSWER_TIME,
    ANSWERS,
    FLOWS,
    IN_FLIGHT,
    OPENINGS,
    SERVER_WIDTH,
)
from wasabigw.core.load.totals import Row, Totals, add_rows
from wasabigw.core.view_lease import NEVER


@dataclass(slots=True)
class Ranking:
    """What responses name.

    :param ranked_at: when it was chosen, with the view at ``revision``.
    """

    tags: tuple[Tag, ...] = ()
    services: tuple[ServiceKey, ...] = ()
    ranked_at: Seconds = NEVER
    revision: Revision = NO_REVISION


def is_due(ranking: Ranking, view: DeliveryView, now: Seconds) -> bool:
    """Whether the choice should be renewed, at most once for each round of reports."""
    is_old = now - ranking.ranked_at >= REPORT_INTERVAL
    return is_old or ranking.revision != view.revision


def rank_services(ranking: Ranking, loads: Mapping[ServiceKey, Row]) -> None:
    """Choose the services with the most load."""
    order = sorted(loads, key=lambda key: (loads[key][IN_FLIGHT], loads[key]))
    ranking.services = tuple(order[::-1][:MAX_REPORTED_SERVICES])


def rank_servers(
    ranking: Ranking, view: DeliveryView, loads: Mapping[Tag, Row], now: Seconds
) -> None:
    """Choose the backend servers that differ most from their service.

    :param loads: load of each backend server that may get new flows.
    """
    ranking.ranked_at, ranking.revision = now, view.revision
    if len(loads) <= MAX_RETURNED_SERVERS:
        ranking.tags = tuple(loads)
        return
    means = _means(view, loads)
    differences = {
        tag: _difference(row, means[view.boots[tag].service])
        for tag, row in loads.items()
    }
    order = sorted(loads, key=lambda tag: differences[tag], reverse=True)
    ranking.tags = tuple(order[:MAX_RETURNED_SERVERS])


def _means(view: DeliveryView, loads: Mapping[Tag, Row]) -> dict[ServiceId, Row]:
    """Mean load of the backend servers of each service."""
    sums: Totals[ServiceId] = Totals(SERVER_WIDTH)
    for tag, row in loads.items():
        add_rows(sums, {view.boots[tag].service: row})
    return {
        service: tuple(value / known.rows for value in known.values)
        for service, known in sums.sums.items()
    }


def _difference(row: Row, mean: Row) -> float:
    """Relative difference of the load, and of the time to an answer."""
    difference = sum(
        abs(row[position] - mean[position]) / (mean[position] + 1)
        for position in (FLOWS, IN_FLIGHT, OPENINGS)
    )
    if row[ANSWERS] > 0 and mean[ANSWER_TIME] > 0:
        time = row[ANSWER_TIME] / row[ANSWERS]
        difference += abs(time * mean[ANSWERS] / mean[ANSWER_TIME] - 1)
    return difference
