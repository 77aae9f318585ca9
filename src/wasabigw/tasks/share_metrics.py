"""Metrics of the shares of new flows that follow from load figures."""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId, Tag
from wasabigw.core.tags.choice.plans import ServicePlan
from wasabigw.core.tags.state import TagState
from wasabigw.telemetry.exposition import Family, MetricKind, Sample


class Balance(NamedTuple):
    """How even the load of a service is in one failure domain.

    :param slow: number of slow backend servers.
    :param lowest_weight: weight of the slowest one.
    :param flows: busiest over mean, by open flows relative to slots and weight.
    :param requests: the same by requests in flight.
    """

    service: ServiceId
    failure_domain: FailureDomainId
    slow: int
    lowest_weight: float
    flows: float
    requests: float


def share_families(state: TagState, now: Seconds) -> list[Family]:
    """Collect the metrics; they have no samples without current figures."""
    found = list(_balances(state)) if state.known_load.is_current(now) else []
    return [
        _family(
            "wasabigw_servers_slow",
            "Backend servers that get few new flows because they answer slowly",
            found,
            [balance.slow for balance in found],
        ),
        _family(
            "wasabigw_server_weight_lowest",
            "Weight of the slowest backend server, relative to the median",
            found,
            [balance.lowest_weight for balance in found],
        ),
        _family(
            "wasabigw_flows_busiest_over_mean",
            "Open flows of the busiest backend server over the mean, by capacity",
            found,
            [balance.flows for balance in found],
        ),
        _family(
            "wasabigw_requests_busiest_over_mean",
            "Requests in flight of the busiest backend server over the mean, by "
            "capacity",
            found,
            [balance.requests for balance in found],
        ),
    ]


def _balances(state: TagState) -> Iterator[Balance]:
    for service, plan in state.plans.items():
        for domain, turns in plan.turns.servers.items():
            tags = [tag for tag in turns.shares if tag in state.servers]
            if tags:
                yield _balance_of(service, domain, tags, plan, state)


def _balance_of(
    service: ServiceId,
    domain: FailureDomainId,
    tags: Sequence[Tag],
    plan: ServicePlan,
    state: TagState,
) -> Balance:
    weights = [plan.weight(tag) for tag in tags]
    capacities = [state.servers[tag].slots * plan.weight(tag) for tag in tags]
    return Balance(
        service,
        domain,
        sum(plan.speeds[tag].is_slow for tag in tags if tag in plan.speeds),
        min(weights),
        _busiest_over_mean([plan.loads[tag].flows for tag in tags], capacities),
        _busiest_over_mean([plan.loads[tag].in_flight for tag in tags], capacities),
    )


def _busiest_over_mean(loads: Sequence[float], capacities: Sequence[float]) -> float:
    """Highest load relative to capacity over that of all; 1 without any load."""
    mean = sum(loads) / sum(capacities)
    if mean <= 0:
        return 1.0
    return max(load / c for load, c in zip(loads, capacities, strict=True)) / mean


def _family(
    name: str, text: str, balances: Sequence[Balance], values: Sequence[float]
) -> Family:
    samples = tuple(
        Sample(
            value,
            {"service": balance.service, "failure_domain": balance.failure_domain},
        )
        for balance, value in zip(balances, values, strict=True)
    )
    return Family(name, MetricKind.GAUGE, text, samples)
