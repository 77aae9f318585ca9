"""Samples of the backend servers of a balancer that has too many for one report.

A balancer with many backend servers has requests in flight at few of them; most have
open flows only. Samples are therefore stratified: nearly all of those with
requests in flight are reported, so that their sums are about exact, and the remaining
entries are shared between the others. The sum of a stratum stays unbiased if each
figure is multiplied by the size of the stratum and divided by the number of its entries
(Horvitz and Thompson, 1952).
"""

from collections.abc import Iterable, Sequence
from enum import Enum
from typing import NamedTuple

from wasabigw.core.load.figures import ServerFigures, StratumSizes

RESERVED_SHARE = 0.25
"""Part of the entries that a stratum gets before those with requests in flight."""


class Stratum(Enum):
    """Stratum of a backend server by its load at one balancer."""

    IN_FLIGHT = 0
    """It has requests in flight."""
    ACTIVE = 1
    """It has had openings or answers lately."""
    IDLE = 2
    """It has open flows only."""


class Weights(NamedTuple):
    """Factor of the figures of each stratum, in the order of :class:`Stratum`."""

    in_flight: float
    active: float
    idle: float


def stratum_of(in_flight: int, openings: int, answers: int) -> Stratum:
    """Stratum of a backend server."""
    if in_flight > 0:
        return Stratum.IN_FLIGHT
    return Stratum.ACTIVE if openings > 0 or answers > 0 else Stratum.IDLE


def quotas(sizes: Sequence[int], entries: int) -> list[int]:
    """Number of entries for each stratum, in the order of :class:`Stratum`.

    :param sizes: number of backend servers in each stratum.
    """
    if sum(sizes) <= entries:
        return list(sizes)
    in_flight, active, idle = sizes
    reserved = int(entries * RESERVED_SHARE)
    idle_quota = min(idle, reserved)
    active_quota = min(active, reserved)
    in_flight_quota = min(in_flight, entries - idle_quota - active_quota)
    active_quota = min(active, entries - in_flight_quota - idle_quota)
    idle_quota = min(idle, entries - in_flight_quota - active_quota)
    return [in_flight_quota, active_quota, idle_quota]


def entries_of(figures: Iterable[ServerFigures]) -> list[int]:
    """Number of entries of each stratum in a report."""
    entries = [0] * len(Stratum)
    for f in figures:
        entries[stratum_of(f.in_flight, f.openings, f.answers).value] += 1
    return entries


def weights_of(sizes: StratumSizes, figures: Iterable[ServerFigures]) -> Weights:
    """Factors by which the figures of a report count."""
    entries = entries_of(figures)
    pairs = zip(sizes, entries, strict=True)
    return Weights(*(size / max(count, 1) for size, count in pairs))
