"""Load figures: what balancers report to relays, and what relays return.

Figures are soft state. They are lost with their owner, expire by their age, and only
decide where new flows go; they never end a flow.
"""

from dataclasses import dataclass
from typing import NamedTuple

from wasabigw.core.ids import (
    FailureDomainId,
    Incarnation,
    NodeId,
    Seconds,
    ServiceId,
    Tag,
)

REPORT_INTERVAL = Seconds(1.0)
"""Time between two reports of a balancer."""
COUNT_WINDOW = Seconds(2.0)
"""Time over which openings and answers are counted."""
FIGURES_TTL = Seconds(4.0)
"""Age from which figures are ignored, so that decisions fall back to own counts."""
MAX_REPORTED_SERVERS = 64
"""Backend servers in one report; with more, the sums of a sample are less exact.

A report and the response to it share the 1.5 KB/s that polls leave of 3 KB/s.
"""
MAX_RETURNED_SERVERS = 64
"""Backend servers in one response; the others have about the mean of their service."""
MAX_REPORTED_SERVICES = 24
"""Pairs of service and failure domain in one report or response."""


class ServerFigures(NamedTuple):
    """Load of one boot of a backend server, at one balancer or summed over several.

    :param flows: open flows.
    :param in_flight: requests that were sent to it and have no answer yet.
    :param openings: openings sent to it within :data:`COUNT_WINDOW`.
    :param answers: first answers that callers acknowledged within that time, without
        those that seem to be rejections.
    :param answer_time: sum of the times from a request to its first answer.
    """

    tag: Tag
    flows: int
    in_flight: int
    openings: int
    answers: int
    answer_time: Seconds


class ServiceFigures(NamedTuple):
    """Load of the backend servers of a service in one failure domain.

    :param in_flight: as in :class:`ServerFigures`, summed.
    :param arrivals: openings of callers that arrived at balancers of this failure
        domain within :data:`COUNT_WINDOW`, wherever they were sent.
    """

    service: ServiceId
    failure_domain: FailureDomainId
    flows: int
    in_flight: int
    arrivals: int


class StratumSizes(NamedTuple):
    """Number of backend servers with load at a balancer.

    :param in_flight: those with requests in flight.
    :param active: others with recent openings or answers.
    :param idle: others with open flows.
    """

    in_flight: int
    active: int
    idle: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What one balancer has counted; a later one replaces it.

    :param incarnation: of the balancer's process; sequences start again with it.
    :param sequence: increases with each report, so that a late one is ignored.
    :param sizes: how many backend servers the balancer has; the relay multiplies the
        entries of a sample, so that sums stay right.
    :param age: time from its counts to when it was sent.
    """

    node: NodeId
    incarnation: Incarnation
    failure_domain: FailureDomainId
    sequence: int
    sizes: StratumSizes
    servers: tuple[ServerFigures, ...]
    services: tuple[ServiceFigures, ...]
    age: Seconds = Seconds(0.0)  # noqa: RUF009 - a NewType of float


@dataclass(frozen=True, slots=True)
class LoadSums:
    """Sums of the reports of several balancers, without those of the receiver.

    :param age: mean age of the reports when the response was sent.
    :param balancers: number of balancers whose reports were summed.
    :param servers: those whose load differs most from the mean of their service; the
        others have about the mean. Backend servers of failure domains that have relays
        of their own are not named at those of other failure domains.
    """

    age: Seconds
    balancers: int
    servers: tuple[ServerFigures, ...]
    services: tuple[ServiceFigures, ...]
