"""All measurements for the capacity page, made in one run."""

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
from wasabigw_measure._capacity_model import Line, Target, fit_line
from wasabigw_measure._capacity_storms import Storm, measure_storms
from wasabigw_measure._capacity_wire import Exchange, binding_bytes, ping_bytes

SWEEP = (1 / 16, 1 / 8, 1 / 4, 1 / 2, 1.0)
"""Shares of the largest size at which processor time is measured."""


@dataclass(frozen=True, slots=True)
class MeasurementSettings:
    """Settings of one run.

    :param largest: share of the target size at which the sweep ends.
    :param flows: number of flow records and of cache entries whose memory is measured.
    :param calls: number of HTTP exchanges of each kind.
    :param memory_unit: number of services, backend servers or nodes by which two
        clusters differ whose memory is compared.
    """

    largest: float = 1.0
    flows: int = 300_000
    calls: int = 500
    memory_unit: int = 1_000


@dataclass(frozen=True, slots=True)
class Measurements:
    """Results of one run.

    :param largest: share of the target size at which the sweep ends.
    :param cores: number of cores of the computer.
    :param load: load average over one minute at the start of the run.
    :param process: resident bytes of a process that has only imported the daemon.
    :param storms: measured at the largest size of the sweep.
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
        """Fit a line to a cost by the number of backend servers.

        The numbers of services and nodes grow in the same proportion.
        """
        return fit_line([(s.target.backend_servers, value(s)) for s in self.sizes])

    def snapshot_line(self, value: Callable[[SnapshotCost], float]) -> Line:
        """Fit a line to a cost by the number of services."""
        return fit_line([(s.services, value(s)) for s in self.snapshots])


def measure(target: Target, settings: MeasurementSettings) -> Measurements:
    """Run all measurements on this computer."""
    sizes = [target.scaled(settings.largest * share) for share in SWEEP]
    return Measurements(
        target=target,
        largest=settings.largest,
        cores=os.cpu_count() or 1,
        load=os.getloadavg()[0],
        python=platform.python_version(),
        poll=measure_poll(settings.calls),
        report=measure_report(settings.calls),
        announcement=measure_announcement(settings.calls),
        ping=ping_bytes(),
        binding=binding_bytes(),
        append=measure_append(),
        state=measure_state(settings.memory_unit),
        flows=measure_flows(settings.flows),
        process=process_bytes("wasabigw.daemon"),
        sizes=tuple(measure_size(size) for size in sizes),
        snapshots=tuple(measure_snapshot(size) for size in sizes),
        storms=tuple(measure_storms(sizes[-1])),
    )
