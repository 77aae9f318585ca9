"""Counts of load that a balancer keeps from packet to packet."""

from dataclasses import dataclass, field

from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.view_lease import NEVER


@dataclass(slots=True)
class ServerCounts:
    """What a balancer has counted for one boot of a backend server.

    Events are counted in the current period and kept for one more, so that both
    together cover :data:`~wasabigw.core.load.figures.COUNT_WINDOW`.

    :param in_flight: requests without an answer yet.
    :param openings: openings sent in the current period.
    :param answers: first answers acknowledged in the current period.
    :param answer_time: sum of the times to these answers.
    """

    in_flight: int = 0
    openings: int = 0
    answers: int = 0
    answer_time: float = 0.0
    previous_openings: int = 0
    previous_answers: int = 0
    previous_answer_time: float = 0.0


@dataclass(slots=True)
class LoadCounts:
    """Counts of a balancer that belong to no single backend server.

    :param arrivals: openings of callers for each service in the current period.
    :param period_began: start of the current period.
    :param sequence: sequence of the latest report.
    """

    arrivals: dict[ServiceId, int] = field(default_factory=dict)
    previous_arrivals: dict[ServiceId, int] = field(default_factory=dict)
    period_began: Seconds = NEVER
    previous_began: Seconds = NEVER
    sequence: int = 0
