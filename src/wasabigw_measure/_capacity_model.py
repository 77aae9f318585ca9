"""Model of the capacity page: target size, budget, fitted lines, rows and verdicts."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

DAY = 86_400.0
"""Length of a day in seconds."""


class Role(Enum):
    """Role of a process at the target size."""

    BALANCER = "balancer and home"
    LEADER = "control leader"
    FOLLOWER = "control follower"
    RELAY = "relay (not built)"
    WHOLE = "whole system"


class Verdict(Enum):
    """Whether the value of a row is within its budget."""

    OK = "ok"
    OVER = "over"
    NONE = "-"


@dataclass(frozen=True, slots=True)
class Target:
    """Size that the system must support.

    :param lost_vms: VMs that fail on an ordinary day.
    :param restarted_vms: VMs that are restarted or replaced on an ordinary day.
    """

    nodes: int = 1_400
    backend_servers: int = 12_000
    services: int = 3_300
    failure_domains: int = 9
    regions: int = 3
    flows: int = 14_000_000
    new_flows: int = 140_000
    changes_per_day: int = 1_000
    lost_vms: int = 62
    restarted_vms: int = 3_300

    @property
    def servers_per_node(self) -> float:
        """Mean number of backend servers whose home is one balancer."""
        return self.backend_servers / self.nodes

    @property
    def servers_per_domain(self) -> int:
        """Backend servers of one failure domain, rounded up."""
        return -(-self.backend_servers // self.failure_domains)

    @property
    def nodes_per_domain(self) -> int:
        """Balancers of one failure domain, rounded up."""
        return -(-self.nodes // self.failure_domains)

    @property
    def server_share(self) -> float:
        """Share of backend servers among all VMs."""
        return self.backend_servers / (self.backend_servers + self.nodes)

    def scaled(self, share: float) -> "Target":
        """Target with the given share of the cluster size and the same proportions."""
        return Target(
            nodes=max(self.failure_domains, round(self.nodes * share)),
            backend_servers=max(
                self.failure_domains, round(self.backend_servers * share)
            ),
            services=max(2, round(self.services * share)),
            failure_domains=self.failure_domains,
            regions=self.regions,
        )


@dataclass(frozen=True, slots=True)
class Budget:
    """Limits of the cost of control at a node and of the delay of a change.

    :param cpu: share of a core.
    :param memory: bytes.
    :param rate: bytes per second.
    :param in_force: seconds until a change is in force everywhere.
    :param dedicated_vms: number of VMs that only run voters or relays.
    """

    cpu: float = 0.019
    memory: float = 256e6
    rate: float = 3_000.0
    in_force: float = 4.0
    dedicated_vms: int = 16


@dataclass(frozen=True, slots=True)
class Line:
    """Least-squares line through measured points.

    :param base: value at size 0.
    :param slope: growth for each unit of size.
    """

    base: float
    slope: float
    points: tuple[tuple[float, float], ...]

    def at(self, size: float) -> float:
        """Value at a size."""
        return self.base + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line to points of at least two different sizes."""
    sizes, values = zip(*points, strict=True)
    slope, base = statistics.linear_regression(sizes, values)
    return Line(base, slope, tuple(points))


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the capacity page.

    :param mechanism: modules and mechanism that cause the cost.
    :param measured: measured slope or unit cost.
    :param formula: calculation of the value at the target size.
    :param limit: budget in the unit of ``value``; ``None`` if none applies.
    :param carrier: planned change that will bring a row within its budget.
    """

    role: Role
    item: str
    mechanism: str
    measured: str
    formula: str
    value: float
    unit: str
    limit: float | None = None
    carrier: str = ""

    @property
    def verdict(self) -> Verdict:
        """Whether the value is within its budget."""
        if self.limit is None:
            return Verdict.NONE
        return Verdict.OK if self.value <= self.limit else Verdict.OVER


@dataclass(frozen=True, slots=True)
class EntryRates:
    """Log entries per second on an ordinary day.

    :param up: registrations with a new boot id.
    :param step: ramp steps.
    :param down: expired leases.
    :param release: releases of candidates.
    :param node: registrations and removals of balancers.
    :param change: changes by operators.
    """

    up: float
    step: float
    down: float
    release: float
    node: float
    change: float

    @property
    def total(self) -> float:
        """Sum over all kinds."""
        return self.up + self.step + self.down + self.release + self.node + self.change


RAMP_REPORTS = 3
"""Ramp steps that a home reports after a start: 2, 4 and 8 eighths."""
MOVES_PER_START = 4
"""Changes of the bucket assignment per start of a backend server: its four ramp steps.

After each of them, the home of every other backend server of the service that lost or
gave up buckets reports one release of the former candidates.
"""


def ordinary_day_rates(target: Target) -> EntryRates:
    """Rates of log entries that follow from the failures, restarts and changes per day.

    A VM that fails or is replaced starts once again. A start of a backend server is
    assumed to take longer than its lease, so that the lease expires.
    """
    starts = (target.lost_vms + target.restarted_vms) / DAY
    servers = starts * target.server_share
    nodes = starts - servers
    peers = target.backend_servers / target.services
    return EntryRates(
        up=servers,
        step=servers * RAMP_REPORTS,
        down=servers,
        release=servers * (MOVES_PER_START + 1) * peers,
        node=2 * nodes,
        change=target.changes_per_day / DAY,
    )


def seconds_to_send(size: float, rate: float) -> float:
    """Seconds to send a number of bytes at a rate in bytes per second."""
    return size / rate
