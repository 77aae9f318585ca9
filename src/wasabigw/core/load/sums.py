"""Sums of load reports that a relay returns to balancers and to other relays."""

from collections.abc import Iterable, Iterator

from wasabigw.core.delivery_view import DeliveryView
from wasabigw.core.ids import FailureDomainId, NodeId, Seconds, Tag
from wasabigw.core.load.figures import (
    REPORT_INTERVAL,
    LoadSums,
    ServerFigures,
    ServiceFigures,
)
from wasabigw.core.load.known import ServiceKey
from wasabigw.core.load.ranking import is_due, rank_servers, rank_services
from wasabigw.core.load.rows import SERVER_WIDTH, SERVICE_WIDTH
from wasabigw.core.load.table import Contribution, LoadTable, expire_contributions
from wasabigw.core.load.totals import Row, add, column_sums, subtract
from wasabigw.core.registration import Registration
from wasabigw.core.states import RegistrationState

FILL_TIME = Seconds(1.5 * REPORT_INTERVAL)
"""Time from the first report until all balancers of a relay have sent one."""


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
    if is_due(table.ranking, view, now):
        _rank(table, view, now)
    return LoadSums(
        _mean_age(summed, now),
        sum(contribution.balancers for contribution in summed),
        tuple(
            _server_figures(tag, _without(own_servers.get(tag), _load(table, tag)))
            for tag in table.ranking.tags
        ),
        tuple(
            _service_figures(
                key, _without(own_services.get(key), _service_load(table, key))
            )
            for key in table.ranking.services
        ),
    )


def direct_sums(
    table: LoadTable, view: DeliveryView, asker: FailureDomainId, now: Seconds
) -> LoadSums:
    """Sums of the reports received directly, for another relay.

    :param asker: failure domain of that relay, which gets the backend servers that it
        names to its balancers.
    """
    expire_contributions(table, now)
    received = [kept.contribution for kept in table.reports.values()]
    domains = _domains_of_others(view, asker)
    servers = (
        _server_figures(tag, table.direct.servers.of(tag))
        for tag in table.direct.servers.sums
        if tag in view.boots and view.boots[tag].failure_domain not in domains
    )
    services = (
        _service_figures(key, table.direct.services.of(key))
        for key in table.direct.services.sums
    )
    return LoadSums(
        _mean_age(received, now), len(received), tuple(servers), tuple(services)
    )


def _contributions(table: LoadTable) -> Iterator[Contribution]:
    yield from (kept.contribution for kept in table.reports.values())
    yield from (answer.contribution for answer in table.peers.values())


def _load(table: LoadTable, tag: Tag) -> Row:
    others = table.indirect.servers.get(tag)
    if others is None:
        rows = (answer.contribution.servers.get(tag) for answer in table.peers.values())
        others = table.indirect.servers[tag] = _total(rows, SERVER_WIDTH)
    return add(table.direct.servers.of(tag), others)


def _service_load(table: LoadTable, key: ServiceKey) -> Row:
    others = table.indirect.services.get(key)
    if others is None:
        rows = (
            answer.contribution.services.get(key) for answer in table.peers.values()
        )
        others = table.indirect.services[key] = _total(rows, SERVICE_WIDTH)
    return add(table.direct.services.of(key), others)


def _total(rows: Iterable[Row | None], width: int) -> Row:
    return column_sums((row for row in rows if row is not None), width)


def _without(own: Row | None, row: Row) -> Row:
    return row if own is None else subtract(row, own)


def _rank(table: LoadTable, view: DeliveryView, now: Seconds) -> None:
    """Choose what responses name.

    Backend servers of failure domains that have relays of their own are left to these:
    only they get the figures of all balancers.
    """
    keys = set(table.direct.services.sums)
    for answer in table.peers.values():
        keys.update(answer.contribution.services)
    services = {service for service, _ in keys}
    domains = _domains_of_others(view, table.failure_domain)
    loads = {
        tag: _load(table, tag)
        for tag, boot in view.boots.items()
        if boot.service in services
        and boot.failure_domain not in domains
        and _accepts_new_flows(boot)
    }
    rank_servers(table.ranking, view, loads, now)
    rank_services(table.ranking, {key: _service_load(table, key) for key in keys})


def _domains_of_others(
    view: DeliveryView, own: FailureDomainId
) -> set[FailureDomainId | None]:
    """Failure domains with relays, without that of a relay itself.

    :param own: failure domain of the relay; empty if it is not known.
    """
    if not own:
        return set()
    return {source.failure_domain for source in view.sources} - {own}


def _accepts_new_flows(boot: Registration) -> bool:
    return boot.state is RegistrationState.SERVING and not boot.silent


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


def _mean_age(contributions: Iterable[Contribution], now: Seconds) -> Seconds:
    """Mean age of the reports in the contributions; 0 if there are none."""
    ages = [(c.balancers, now - c.measured_at) for c in contributions]
    balancers = sum(count for count, _ in ages)
    if balancers == 0:
        return Seconds(0.0)
    return Seconds(max(0.0, sum(count * age for count, age in ages) / balancers))
