"""Costs at the target size that rows of several roles use."""

from wasabigw.core.timing import (
    MAX_STORED_REQUESTS,
)
from wasabigw_measure._capacity_entries import EntryCost, SizeCosts
from wasabigw_measure._capacity_model import (
    EntryRates,
    ordinary_day_rates,
)
from wasabigw_measure._capacity_run import Measurements

VOTERS = 5
DEDICATED_CPU = 0.5
"""Share of a core that a voter or relay on a dedicated VM may use on average."""
ROUND_TRIP = 0.05
"""Assumed round-trip time between two regions in seconds."""
ENTRY_KINDS = {
    "up": "backend server up (new boot)",
    "step": "backend server step",
    "down": "backend server down",
    "release": "candidates released",
    "node": "node up (new incarnation)",
    "change": "change of a service",
}


def entry_cost(measured: Measurements, kind: str) -> EntryCost:
    """Cost of an entry of a kind at the target size, from the fitted lines."""
    servers = measured.target.backend_servers

    def at(value: str) -> float:
        def of(costs: SizeCosts) -> float:
            cost: float = getattr(costs.entries[kind], value)
            return cost

        return max(0.0, measured.line(of).at(servers))

    return EntryCost(at("size"), at("voter"), at("balancer"))


def ordinary_day_cost(measured: Measurements, value: str) -> float:
    """Cost of all log entries per second of an ordinary day.

    :param value: attribute of :class:`EntryCost` to sum over all kinds of entries.
    """
    rates: EntryRates = ordinary_day_rates(measured.target)
    costs = {name: entry_cost(measured, kind) for name, kind in ENTRY_KINDS.items()}
    total: float = sum(
        getattr(rates, name) * getattr(cost, value) for name, cost in costs.items()
    )
    return total


def state_bytes(measured: Measurements) -> float:
    """Memory of the replicated state at the target size, in bytes."""
    target, state = measured.target, measured.state
    return (
        target.services * state.service
        + target.backend_servers * state.server
        + target.nodes * state.node
        + MAX_STORED_REQUESTS * state.request
    )


def describe_entry_costs(measured: Measurements, value: str) -> str:
    """Describe the cost of each kind of entry by its base and slope."""
    parts = []
    for kind in ENTRY_KINDS.values():
        line = measured.line(lambda s, k=kind: getattr(s.entries[k], value))  # type: ignore[misc]
        parts.append(f"{kind} {1e3 * line.base:.2f} ms + {1e9 * line.slope:.0f} ns x n")
    return "for n backend servers: " + "; ".join(parts)
