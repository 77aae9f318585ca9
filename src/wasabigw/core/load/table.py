"""Load reports at a relay, and their running sums.

The relay keeps the latest report of each balancer and the sums that other relays have
received directly. Both expire by their age.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, Incarnation, NodeId, Seconds, Tag
from wasabigw.core.load.bounds import limit_answer_times, limit_totals
from wasabigw.core.load.figures import (
    FIGURES_TTL,
    REPORT_INTERVAL,
    LoadReport,
    LoadSums,
)
from wasabigw.core.load.known import ServiceKey
from wasabigw.core.load.ranking import Ranking
from wasabigw.core.load.rows import SERVER_WIDTH, SERVICE_WIDTH
from wasabigw.core.load.sampling import stratum_of, weights_of
from wasabigw.core.load.totals import (
    Row,
    Totals,
    add_rows,
    remove_rows,
)
from wasabigw.core.view_lease import NEVER

NO_FAILURE_DOMAIN = FailureDomainId("")
"""Failure domain of a relay that does not know its own."""
PEER_TTL = Seconds(2.5 * REPORT_INTERVAL)
"""Time without an answer after which the sums of a relay are removed.

Shorter than :data:`FIGURES_TTL`: the balancers of a lost relay soon report to another
one, and would count twice until then.
"""
ARRIVAL_PERIOD = Seconds(2.5 * REPORT_INTERVAL)
"""Time for which other relays are told that a balancer reports to this one now."""


class ArrivedBalancer(NamedTuple):
    """A balancer that has begun to report to a relay.

    :param age: age of its latest report.
    """

    node: NodeId
    age: Seconds


class ReportOutcome(Enum):
    """What became of a report."""

    ACCEPTED = "accepted"
    LATE = "late"
    """A later one of the same balancer was known."""
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Contribution:
    """What a report, or the sums of a relay, add to the sums.

    :param measured_at: mean time at which its figures were counted.
    :param balancers: number of balancers that counted them.
    """

    measured_at: Seconds
    balancers: int
    servers: Mapping[Tag, Row]
    services: Mapping[ServiceKey, Row]


@dataclass(frozen=True, slots=True)
class KeptReport:
    """Latest report of a balancer.

    :param arrived_at: when the balancer began to report to this relay.
    :param replaced: incarnation before this one, whose late reports are ignored.
    """

    incarnation: Incarnation
    sequence: int
    replaced: Incarnation | None
    arrived_at: Seconds
    contribution: Contribution


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """Latest sums of another relay."""

    received_at: Seconds
    contribution: Contribution


@dataclass(slots=True)
class _Sums:
    """Sums of several contributions."""

    servers: Totals[Tag] = field(default_factory=lambda: Totals(SERVER_WIDTH))
    services: Totals[ServiceKey] = field(default_factory=lambda: Totals(SERVICE_WIDTH))


@dataclass(slots=True)
class _PeerSums:
    """Sums over all relays that were needed since one of them answered."""

    servers: dict[Tag, Row] = field(default_factory=dict)
    services: dict[ServiceKey, Row] = field(default_factory=dict)


@dataclass(slots=True)
class LoadTable:
    """Contributions that have not expired, and their sums.

    :param failure_domain: that of the relay; empty if it is not known.
    :param reports: latest report of each balancer that polls this relay.
    :param peers: what other relays have received directly.
    :param direct: sums of ``reports``.
    :param indirect: sums of ``peers``, as far as they were needed.
    :param ranking: what responses name first.
    :param first_report_at: when the first report came after a time without any.
    """

    failure_domain: FailureDomainId = NO_FAILURE_DOMAIN
    reports: dict[NodeId, KeptReport] = field(default_factory=dict)
    peers: dict[Endpoint, PeerAnswer] = field(default_factory=dict)
    direct: _Sums = field(default_factory=_Sums)
    indirect: _PeerSums = field(default_factory=_PeerSums)
    ranking: Ranking = field(default_factory=Ranking)
    first_report_at: Seconds = NEVER


def record_report(table: LoadTable, report: LoadReport, now: Seconds) -> ReportOutcome:
    """Replace the previous report of a balancer, unless this one is older."""
    known = table.reports.get(report.node)
    replaced, arrived_at = None, now
    if known is not None:
        if report.incarnation == known.incarnation:
            if report.sequence <= known.sequence:
                return ReportOutcome.LATE
            replaced = known.replaced
        elif report.incarnation == known.replaced:
            return ReportOutcome.LATE
        else:
            replaced = known.incarnation
        arrived_at = known.arrived_at
        _remove_report(table, report.node)
    elif not table.reports:
        table.first_report_at = now
    contribution = _contribution_of(report, table, now)
    _add(table.direct, contribution)
    table.reports[report.node] = KeptReport(
        report.incarnation, report.sequence, replaced, arrived_at, contribution
    )
    return ReportOutcome.ACCEPTED


def record_peer(
    table: LoadTable, peer: Endpoint, sums: LoadSums, received_at: Seconds
) -> None:
    """Replace the sums that another relay has received directly."""
    contribution = Contribution(
        Seconds(received_at - sums.age),
        sums.balancers,
        {figures.tag: tuple(figures[1:]) for figures in sums.servers},
        {(f.service, f.failure_domain): tuple(f[2:]) for f in sums.services},
    )
    table.peers[peer] = PeerAnswer(received_at, contribution)
    table.indirect = _PeerSums()


def expire_contributions(table: LoadTable, now: Seconds) -> None:
    """Remove reports and sums that have reached :data:`FIGURES_TTL`."""
    for node, kept in list(table.reports.items()):
        if now - kept.contribution.measured_at >= FIGURES_TTL:
            _remove_report(table, node)
    for peer, answer in list(table.peers.items()):
        is_old = now - answer.contribution.measured_at >= FIGURES_TTL
        if is_old or now - answer.received_at >= PEER_TTL:
            del table.peers[peer]
            table.indirect = _PeerSums()


def arrived_balancers(table: LoadTable, now: Seconds) -> tuple[ArrivedBalancer, ...]:
    """Balancers that have begun to report to this relay a short time ago."""
    return tuple(
        ArrivedBalancer(node, Seconds(now - kept.contribution.measured_at))
        for node, kept in table.reports.items()
        if now - kept.arrived_at < ARRIVAL_PERIOD
    )


def remove_departed(
    table: LoadTable, arrived: Iterable[ArrivedBalancer], now: Seconds
) -> int:
    """Remove reports of balancers that have reported to another relay since.

    :param arrived: balancers that have begun to report to that relay.
    :returns: number of removed reports.
    """
    before = len(table.reports)
    for node, age in arrived:
        kept = table.reports.get(node)
        if kept is not None and kept.contribution.measured_at < now - age:
            _remove_report(table, node)
    return before - len(table.reports)


def _remove_report(table: LoadTable, node: NodeId) -> None:
    _remove(table.direct, table.reports.pop(node).contribution)


def _contribution_of(
    report: LoadReport, table: LoadTable, now: Seconds
) -> Contribution:
    """Contribution of a report, bounded by those of the other balancers."""
    weights = weights_of(report.sizes, report.servers)
    servers: dict[Tag, Row] = {}
    for figures in report.servers:
        stratum = stratum_of(figures.in_flight, figures.openings, figures.answers)
        weight = weights[stratum.value]
        servers[figures.tag] = tuple(value * weight for value in figures[1:])
    services: dict[ServiceKey, Row] = {
        (f.service, f.failure_domain): tuple(float(value) for value in f[2:])
        for f in report.services
    }
    others = table.direct
    count = len(table.reports)
    servers = limit_answer_times(servers, others.servers)
    servers = limit_totals(servers, others.servers.overall, count)
    services = limit_totals(services, others.services.overall, count)
    return Contribution(Seconds(now - report.age), 1, servers, services)


def _add(sums: _Sums, contribution: Contribution) -> None:
    add_rows(sums.servers, contribution.servers)
    add_rows(sums.services, contribution.services)


def _remove(sums: _Sums, contribution: Contribution) -> None:
    remove_rows(sums.servers, contribution.servers)
    remove_rows(sums.services, contribution.services)
