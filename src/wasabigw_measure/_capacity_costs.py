"""Costs at the target size that rows of several roles share."""

from wasabigw.core.timing import (
    MAX_STORED_REQUESTS,
)
from wasabigw_measure._capacity_entries import EntryCost, SizeCosts
from wasabigw_measure._capacity_model import (
    EntryRates,
    ordinary_day,
)
from wasabigw_measure._capacity_run import Measurements

VOTERS = 5
DEDICATED_CPU = 0.5
"""Share of a core that a voter or relay on a VM of its own may use on average."""
ROUND_TRIP = 0.05
"""Assumed round trip between two regions in seconds."""
ENTRY_KINDS = {
    "up": "backend server up (new boot)",
    "step": "backend server step",
    "down": "backend server down",
    "release": "candidates released",
    "node": "node up (new incarnation)",
    "change": "change of a service",
}


def entry_cost(measured: Measurements, kind: str) -> EntryCost:
    """Cost of an entry of a kind at the target, by the lines."""
    size = measured.target.backend_servers

    def at(value: str) -> float:
        def of(costs: SizeCosts) -> float:
            cost: float = getattr(costs.entries[kind], value)
            return cost

        return max(0.0, measured.line(of).at(size))

    return EntryCost(at("size"), at("voter"), at("balancer"))


def daily(measured: Measurements, value: str) -> float:
    """Sum over the kinds of rate times cost, per second of an ordinary day."""
    rates: EntryRates = ordinary_day(measured.target)
    costs = {name: entry_cost(measured, kind) for name, kind in ENTRY_KINDS.items()}
    total: float = sum(
        getattr(rates, name) * getattr(cost, value) for name, cost in costs.items()
    )
    return total


def state_bytes(measured: Measurements) -> float:
    """Memory of the replicated state at the target."""
    size, per = measured.target, measured.state
    return (
        size.services * per.service
        + size.backend_servers * per.server
        + size.nodes * per.node
        + MAX_STORED_REQUESTS * per.request
    )


def entry_slopes(measured: Measurements, value: str) -> str:
    """Cost of an entry as a line over the size of the system."""
    parts = []
    for kind in ENTRY_KINDS.values():
        line = measured.line(lambda s, k=kind: getattr(s.entries[k], value))  # type: ignore[misc]
        parts.append(f"{kind} {1e3 * line.base:.2f} ms + {1e9 * line.slope:.0f} ns x n")
    return "for n backend servers: " + "; ".join(parts)
