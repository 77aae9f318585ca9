"""Everything that the capacity page is worked out from, measured in one run."""

import os
import platform
from collections.abc import Callable
from dataclasses import dataclass

from wasabigw_measure._capacity_control import (
    SnapshotCost,
    SyncedAppend,
    measure_announcement,
    measure_append,
    measure_poll,
    measure_report,
    measure_snapshot,
)
from wasabigw_measure._capacity_entries import SizeCosts, measure_size
from wasabigw_measure._capacity_memory import (
    FlowBytes,
    StateBytes,
    measure_flows,
    measure_state,
    process_bytes,
)
from wasabigw_measure._capacity_model import Line, Target, fit
from wasabigw_measure._capacity_storms import Storm, measure_storms
from wasabigw_measure._capacity_wire import Exchange, binding_bytes, ping_bytes

SWEEP = (1 / 16, 1 / 8, 1 / 4, 1 / 2, 1.0)
"""Shares of the largest size at which processor time is measured."""


@dataclass(frozen=True, slots=True)
class Extent:
    """How much one run measures.

    :param largest: share of the target that the sweep ends with.
    :param flows: flow records and cache entries in memory.
    :param calls: HTTP exchanges of each kind.
    :param unit: services, backend servers and nodes of the memory slopes.
    """

    largest: float = 1.0
    flows: int = 300_000
    calls: int = 500
    unit: int = 1_000


@dataclass(frozen=True, slots=True)
class Measurements:
    """Results of one run.

    :param largest: share of the target at the end of the sweep.
    :param cores: of the machine.
    :param load: runnable processes on it when the run began, mean of a minute.
    :param storms: at the largest size of the sweep.
    """

    target: Target
    largest: float
    cores: int
    load: float
    python: str
    poll: Exchange
    report: Exchange
    announcement: Exchange
    ping: int
    binding: int
    append: SyncedAppend
    state: StateBytes
    flows: FlowBytes
    process: int
    sizes: tuple[SizeCosts, ...]
    snapshots: tuple[SnapshotCost, ...]
    storms: tuple[Storm, ...]

    def line(self, value: Callable[[SizeCosts], float]) -> Line:
        """Line of a cost over the number of backend servers.

        Services and nodes grow in the same proportion.
        """
        return fit([(s.target.backend_servers, value(s)) for s in self.sizes])

    def snapshot_line(self, value: Callable[[SnapshotCost], float]) -> Line:
        """Line of a cost over the number of services."""
        return fit([(s.services, value(s)) for s in self.snapshots])


def measure(target: Target, extent: Extent) -> Measurements:
    """Run all measurements on this machine."""
    sizes = [target.scaled(extent.largest * share) for share in SWEEP]
    return Measurements(
        target=target,
        largest=extent.largest,
        cores=os.cpu_count() or 1,
        load=os.getloadavg()[0],
        python=platform.python_version(),
        poll=measure_poll(extent.calls),
        report=measure_report(extent.calls),
        announcement=measure_announcement(extent.calls),
        ping=ping_bytes(),
        binding=binding_bytes(),
        append=measure_append(),
        state=measure_state(extent.unit),
        flows=measure_flows(extent.flows),
        process=process_bytes("wasabigw.daemon"),
        sizes=tuple(measure_size(size) for size in sizes),
        snapshots=tuple(measure_snapshot(size) for size in sizes),
        storms=tuple(measure_storms(sizes[-1])),
    )
