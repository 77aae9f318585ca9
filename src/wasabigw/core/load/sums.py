"""Sums of load reports at a relay.

The relay keeps the latest report of each balancer and the sums that other relays have
received directly. Both expire by their age.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from wasabigw.core.delivery_view import DeliveryView
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, Incarnation, NodeId, Seconds, Tag
from wasabigw.core.load.bounds import limit_answer_times, limit_totals
from wasabigw.core.load.figures import (
    FIGURES_TTL,
    MAX_REPORTED_SERVICES,
    REPORT_INTERVAL,
    LoadReport,
    LoadSums,
    ServerFigures,
    ServiceFigures,
)
from wasabigw.core.load.known import ServiceKey
from wasabigw.core.load.ranking import Ranking, is_due, rank
from wasabigw.core.load.rows import SERVER_WIDTH, SERVICE_WIDTH
from wasabigw.core.load.totals import (
    Row,
    Totals,
    add,
    add_rows,
    remove_rows,
    subtract,
)
from wasabigw.core.registration import Registration
from wasabigw.core.states import RegistrationState
from wasabigw.core.view_lease import NEVER

FILL_TIME = Seconds(1.5 * REPORT_INTERVAL)
"""Time from the first report until all balancers of a relay have sent one."""


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
class _Contribution:
    """What a report, or the sums of a relay, add to the sums.

    :param measured_at: mean time at which its figures were counted.
    :param balancers: number of balancers that counted them.
    """

    measured_at: Seconds
    balancers: int
    servers: Mapping[Tag, Row]
    services: Mapping[ServiceKey, Row]


@dataclass(frozen=True, slots=True)
class _KeptReport:
    """Latest report of a balancer.

    :param arrived_at: when its first report came since this relay had none.
    :param replaced: incarnation before this one, whose late reports are ignored.
    """

    incarnation: Incarnation
    sequence: int
    replaced: Incarnation | None
    arrived_at: Seconds
    contribution: _Contribution


@dataclass(frozen=True, slots=True)
class _PeerAnswer:
    """Latest sums of another relay."""

    received_at: Seconds
    contribution: _Contribution


@dataclass(slots=True)
class _Sums:
    """Sums of several contributions."""

    servers: Totals[Tag] = field(default_factory=lambda: Totals(SERVER_WIDTH))
    services: Totals[ServiceKey] = field(default_factory=lambda: Totals(SERVICE_WIDTH))


@dataclass(slots=True)
class LoadTable:
    """Contributions that have not expired, and their sums.

    :param reports: latest report of each balancer that polls this relay.
    :param peers: what other relays have received directly.
    :param direct: sums of ``reports``.
    :param indirect: sums of ``peers``.
    :param ranking: backend servers to name first in responses.
    :param first_report_at: when the first report came since there was none.
    """

    reports: dict[NodeId, _KeptReport] = field(default_factory=dict)
    peers: dict[Endpoint, _PeerAnswer] = field(default_factory=dict)
    direct: _Sums = field(default_factory=_Sums)
    indirect: _Sums = field(default_factory=_Sums)
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
    table.reports[report.node] = _KeptReport(
        report.incarnation, report.sequence, replaced, arrived_at, contribution
    )
    return ReportOutcome.ACCEPTED


def record_peer(
    table: LoadTable, peer: Endpoint, sums: LoadSums, received_at: Seconds
) -> None:
    """Replace the sums that another relay has received directly."""
    known = table.peers.pop(peer, None)
    if known is not None:
        _remove(table.indirect, known.contribution)
    contribution = _Contribution(
        Seconds(received_at - sums.age),
        sums.balancers,
        {figures.tag: tuple(figures[1:]) for figures in sums.servers},
        {(f.service, f.failure_domain): tuple(f[2:]) for f in sums.services},
    )
    _add(table.indirect, contribution)
    table.peers[peer] = _PeerAnswer(received_at, contribution)


def expire_contributions(table: LoadTable, now: Seconds) -> None:
    """Remove reports and sums that have reached :data:`FIGURES_TTL`."""
    for node, kept in list(table.reports.items()):
        if now - kept.contribution.measured_at >= FIGURES_TTL:
            _remove_report(table, node)
    for peer, answer in list(table.peers.items()):
        is_old = now - answer.contribution.measured_at >= FIGURES_TTL
        if is_old or now - answer.received_at >= PEER_TTL:
            _remove(table.indirect, answer.contribution)
            del table.peers[peer]


def arrived_balancers(table: LoadTable, now: Seconds) -> tuple[ArrivedBalancer, ...]:
    """Balancers that have begun to report to this relay a short time ago."""
    return tuple(
        ArrivedBalancer(node, Seconds(now - kept.contribution.measured_at))
        for node, kept in table.reports.items()
        if now - kept.arrived_at < ARRIVAL_PERIOD
    )


def remove_departed(
    table: LoadTable, arrived: Iterable[ArrivedBalancer], now: Seconds
) -> None:
    """Remove reports of balancers that have reported to another relay since.

    :param arrived: balancers that have begun to report to that relay.
    """
    for node, age in arrived:
        kept = table.reports.get(node)
        if kept is not None and kept.contribution.measured_at < now - age:
            _remove_report(table, node)


def _remove_report(table: LoadTable, node: NodeId) -> None:
    _remove(table.direct, table.reports.pop(node).contribution)


def sums_for(
    table: LoadTable, node: NodeId, view: DeliveryView, now: Seconds
) -> LoadSums | None:
    """Sums for a balancer, without its own report.

    :returns: ``None`` while there are no other reports, or the relay may lack some
        because it has just started; balancers keep the sums that they have.
    """
    expire_contributions(table, now)
    if now - table.first_report_at < FILL_TIME:
        return None
    own = table.reports.get(node)
    own_servers = own.contribution.servers if own is not None else {}
    own_services = own.contribution.services if own is not None else {}
    summed = [
        contribution
        for contribution in _contributions(table)
        if own is None or contribution is not own.contribution
    ]
    if not summed:
        return None
    tags = _ranked_tags(table, view, now)
    return LoadSums(
        _mean_age(summed, now),
        sum(contribution.balancers for contribution in summed),
        tuple(
            _server_figures(tag, _without(own_servers.get(tag), _load(table, tag)))
            for tag in tags
            if tag in view.boots
        ),
        _service_sums(table, own_services),
    )


def direct_sums(
    table: LoadTable,
    view: DeliveryView,
    only: FailureDomainId | None,
    now: Seconds,
) -> LoadSums:
    """Sums of the reports received directly, for another relay.

    :param only: failure domain of the backend servers to name; ``None`` for all.
    """
    expire_contributions(table, now)
    received = [kept.contribution for kept in table.reports.values()]
    servers = (
        _server_figures(tag, table.direct.servers.of(tag))
        for tag in table.direct.servers.sums
        if tag in view.boots and only in (None, view.boots[tag].failure_domain)
    )
    services = (
        _service_figures(key, table.direct.services.of(key))
        for key in table.direct.services.sums
    )
    return LoadSums(
        _mean_age(received, now), len(received), tuple(servers), tuple(services)
    )


def _contribution_of(
    report: LoadReport, table: LoadTable, now: Seconds
) -> _Contribution:
    """Contribution of a report, bounded by those of the other balancers."""
    servers: dict[Tag, Row] = {
        figures.tag: tuple(value / report.share for value in figures[1:])
        for figures in report.servers
    }
    services: dict[ServiceKey, Row] = {
        (f.service, f.failure_domain): tuple(float(value) for value in f[2:])
        for f in report.services
    }
    others = table.direct
    count = len(table.reports)
    servers = limit_answer_times(servers, others.servers)
    servers = limit_totals(servers, others.servers.overall, count)
    services = limit_totals(services, others.services.overall, count)
    return _Contribution(Seconds(now - report.age), 1, servers, services)


def _add(sums: _Sums, contribution: _Contribution) -> None:
    add_rows(sums.servers, contribution.servers)
    add_rows(sums.services, contribution.services)


def _remove(sums: _Sums, contribution: _Contribution) -> None:
    remove_rows(sums.servers, contribution.servers)
    remove_rows(sums.services, contribution.services)


def _contributions(table: LoadTable) -> Iterator[_Contribution]:
    yield from (kept.contribution for kept in table.reports.values())
    yield from (answer.contribution for answer in table.peers.values())


def _load(table: LoadTable, tag: Tag) -> Row:
    return add(table.direct.servers.of(tag), table.indirect.servers.of(tag))


def _without(own: Row | None, row: Row) -> Row:
    return row if own is None else subtract(row, own)


def _ranked_tags(table: LoadTable, view: DeliveryView, now: Seconds) -> tuple[Tag, ...]:
    """Backend servers of all services with figures, limited to those named first."""
    if is_due(table.ranking, view, now):
        services = {service for service, _ in _service_keys(table)}
        loads = {
            tag: _load(table, tag)
            for tag, boot in view.boots.items()
            if boot.service in services and _accepts_new_flows(boot)
        }
        rank(table.ranking, view, loads, now)
    return table.ranking.tags


def _accepts_new_flows(boot: Registration) -> bool:
    return boot.state is RegistrationState.SERVING and not boot.silent


def _service_keys(table: LoadTable) -> set[ServiceKey]:
    return {*table.direct.services.sums, *table.indirect.services.sums}


def _service_sums(
    table: LoadTable, own: Mapping[ServiceKey, Row]
) -> tuple[ServiceFigures, ...]:
    sums = [
        _service_figures(
            key,
            _without(
                own.get(key),
                add(table.direct.services.of(key), table.indirect.services.of(key)),
            ),
        )
        for key in sorted(_service_keys(table))
    ]
    sums.sort(key=lambda f: (f.in_flight + f.arrivals, f.flows), reverse=True)
    return tuple(sums[:MAX_REPORTED_SERVICES])


def _server_figures(tag: Tag, row: Row) -> ServerFigures:
    flows, in_flight, openings, answers, answer_time = (max(0.0, f) for f in row)
    return ServerFigures(
        tag,
        round(flows),
        round(in_flight),
        round(openings),
        round(answers),
        Seconds(answer_time),
    )


def _service_figures(key: ServiceKey, row: Row) -> ServiceFigures:
    flows, in_flight, arrivals = (round(max(0.0, figure)) for figure in row)
    return ServiceFigures(*key, flows, in_flight, arrivals)


def _mean_age(contributions: Iterable[_Contribution], now: Seconds) -> Seconds:
    """Mean age of the reports in the contributions; 0 if there are none."""
    ages = [(c.balancers, now - c.measured_at) for c in contributions]
    balancers = sum(count for count, _ in ages)
    if balancers == 0:
        return Seconds(0.0)
    return Seconds(max(0.0, sum(count * age for count, age in ages) / balancers))
