"""Arithmetic of the capacity page: lines through measured points, rows, verdicts."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

DAY = 86_400.0
"""Seconds of a day."""


class Role(Enum):
    """Role of a process at the target size."""

    BALANCER = "balancer and home"
    LEADER = "control leader"
    FOLLOWER = "control follower"
    RELAY = "relay (not built)"
    WHOLE = "whole system"


class Verdict(Enum):
    """Whether a row keeps its budget."""

    OK = "ok"
    OVER = "over"
    NONE = "-"


@dataclass(frozen=True, slots=True)
class Target:
    """Size that the design has to carry.

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
        """Backend servers homed at one balancer."""
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
        """Cluster of a share of the size with the same proportions."""
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
    """What control may cost a node, and how long a change may take.

    :param cpu: share of a core.
    :param memory: bytes.
    :param rate: bytes per second.
    :param in_force: seconds.
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


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Line through points of at least two sizes."""
    sizes, values = zip(*points, strict=True)
    slope, base = statistics.linear_regression(sizes, values)
    return Line(base, slope, tuple(points))


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the capacity page.

    :param mechanism: what carries it and the module.
    :param measured: slope or unit cost of the run.
    :param formula: how the value follows at the target size.
    :param limit: budget in the unit of ``value``; ``None`` if none applies.
    :param carrier: what will carry a row that is over.
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
    """Entries and reports of the log on an ordinary day, per second.

    :param up: registrations with a new boot id.
    :param step: ramp steps.
    :param down: leases that ended.
    :param release: releases of candidates.
    :param node: registrations and removals of balancers.
    :param change: operators' changes.
    """

    up: float
    step: float
    down: float
    release: float
    node: float
    change: float

    @property
    def total(self) -> float:
        """All of them."""
        return self.up + self.step + self.down + self.release + self.node + self.change


RAMP_REPORTS = 3
"""Steps that a home reports after a start: 2, 4 and 8 eighths."""
MOVES_PER_START = 4
"""Assignments that one start of a backend server changes: its four ramp steps.

Each of them is followed by one release of the former candidates, by the home of each
other backend server of the service that lost buckets or gave some up.
"""


def ordinary_day(target: Target) -> EntryRates:
    """Rates of the log that follow from the daily changes of the target.

    A VM that fails comes back, as one that is replaced does: one start each. A start
    of a backend server is taken to last longer than its lease.
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
    """Seconds that some bytes take at a rate in bytes per second."""
    return size / rate
