"""Task that owns the metrics of a process and answers ``GET /v1/metrics``."""

import os
import resource
import time
from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatchmethod
from pathlib import Path
from typing import Any

from wasabigw.core.flows.metrics import AdmittedShare, BrokenReason
from wasabigw.core.home_load import ServerLoad, imbalance
from wasabigw.core.ids import NodeId, Seconds, ServiceId
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Task
from wasabigw.runtime.timer import Tick, monotonic
from wasabigw.tasks.messages import PacketCounts
from wasabigw.tasks.traffic import ControlTraffic
from wasabigw.telemetry.metrics import MetricName, make_metrics

CAPACITY = 4_096
"""Maximum number of queued messages; beyond it measurements are lost."""
USAGE_TICK = "budget"
USAGE_PERIOD = Seconds(5.0)
"""Period over which the rates of control traffic and processor time are computed."""
BALANCED = 1.0
"""Imbalance recorded for services whose imbalance can no longer be computed here."""
_MEMORY_FILE = Path("/proc/self/statm")


@dataclass(frozen=True, slots=True)
class PacketMetrics:
    """Counters of the packet task since it started.

    :param processor: processor time of the packet task.
    :param control_received: received bytes of control frames.
    :param control_sent: sent bytes of control frames.
    """

    packets: PacketCounts
    broken: Mapping[tuple[ServiceId, BrokenReason], int]
    server_loads: tuple[ServerLoad, ...]
    admitted_shares: tuple[AdmittedShare, ...]
    processor: Seconds
    control_received: int
    control_sent: int


@dataclass(frozen=True, slots=True)
class InForceMeasured:
    """A change is in force everywhere.

    :param delay: time since its commit.
    """

    delay: Seconds


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """All metrics of a process by name."""

    node: NodeId
    metrics: dict[str, Any]


@dataclass(frozen=True, slots=True)
class MetricsRequest:
    """Requests a snapshot of all metrics."""

    reply: Mailbox[MetricsSnapshot]


MetricsMessage = (
    PacketMetrics | InForceMeasured | ControlTraffic | MetricsRequest | Tick
)


class MetricsTask(Task[MetricsMessage]):
    """Records the counters of other tasks as metrics."""

    def __init__(self, node: NodeId) -> None:
        super().__init__("metrics", Mailbox("metrics", CAPACITY))
        self._node = node
        self._metrics = make_metrics(node)
        self._totals: dict[tuple[MetricName, str], int] = {}
        self._control_bytes = 0
        # Gauges keep their last value, so those of previous homes have to be reset.
        self._server_loads: tuple[ServerLoad, ...] = ()
        self._packet_processor = Seconds(0.0)
        self._usage = _UsageTotals(monotonic(), time.process_time(), 0.0, 0)

    @singledispatchmethod
    def receive(self, message: MetricsMessage) -> None:
        """Record measurements, or reply with all metrics."""
        raise TypeError(f"unsupported message type: {type(message).__name__}")

    @receive.register
    def _(self, message: PacketMetrics) -> None:
        counts = message.packets
        for direction, count in (
            ("received", counts.received),
            ("direct", counts.direct),
            ("to-backend", counts.to_backend),
            ("to-caller", counts.to_caller),
            ("forwarded", counts.forwarded),
        ):
            self._record_increase(MetricName.PACKETS, count, {"direction": direction})
        for reason, count in counts.dropped.items():
            self._record_increase(MetricName.PACKETS_DROPPED, count, {"reason": reason})
        for reason, count in counts.refused.items():
            self._record_increase(MetricName.PACKETS_REFUSED, count, {"reason": reason})
        for (service, cause), count in message.broken.items():
            attributes = {"service": str(service), "reason": cause.value}
            self._record_increase(MetricName.BROKEN_FLOWS, count, attributes)
        self._record_homes(message)
        self._packet_processor = message.processor
        self._record_control_total("received", message.control_received)
        self._record_control_total("sent", message.control_sent)

    @receive.register
    def _(self, message: ControlTraffic) -> None:
        self._record_control_bytes("received", message.received)
        self._record_control_bytes("sent", message.sent)

    @receive.register
    def _(self, message: InForceMeasured) -> None:
        self._metrics.record(MetricName.IN_FORCE_DELAY, message.delay)

    @receive.register
    def _(self, message: Tick) -> None:
        self._metrics.record(MetricName.MEMORY, _memory())
        totals = _UsageTotals(
            message.now,
            time.process_time(),
            self._packet_processor,
            self._control_bytes,
        )
        elapsed = totals.at - self._usage.at
        if elapsed <= 0:
            return
        packets = (totals.packets - self._usage.packets) / elapsed
        control = (totals.process - self._usage.process) / elapsed - packets
        rate = (totals.control_bytes - self._usage.control_bytes) / elapsed
        self._usage = totals
        self._metrics.record(MetricName.PROCESSOR, packets, {"part": "packets"})
        # The packet task reports its time before the tick: the difference may be
        # negative.
        self._metrics.record(
            MetricName.PROCESSOR, max(0.0, control), {"part": "control"}
        )
        self._metrics.record(MetricName.CONTROL_RATE, rate)

    @receive.register
    def _(self, message: MetricsRequest) -> None:
        message.reply.post(MetricsSnapshot(self._node, self._metrics.snapshot()))

    def _record_homes(self, message: PacketMetrics) -> None:
        flows = {(use.service, use.backend_server): 0 for use in self._server_loads}
        flows |= {
            (u.service, u.backend_server): u.open_flows for u in message.server_loads
        }
        for (service, backend_server), count in flows.items():
            attributes = {"service": service, "backend_server": backend_server}
            self._metrics.record(MetricName.OPEN_FLOWS, count, attributes)
        reset_ratios = dict.fromkeys(imbalance(self._server_loads), BALANCED)
        for service, ratio in (reset_ratios | imbalance(message.server_loads)).items():
            self._metrics.record(MetricName.LOAD_IMBALANCE, ratio, {"service": service})
        self._server_loads = message.server_loads
        for move in message.admitted_shares:
            attributes = {
                "service": str(move.service),
                "failure_domain": str(move.failure_domain),
            }
            self._metrics.record(MetricName.SERVED_DURING_MOVE, move.share, attributes)

    def _record_increase(
        self, metric: MetricName, total: int, attributes: dict[str, str]
    ) -> None:
        """Add the increase of a total since the last message."""
        key = (metric, ",".join(attributes.values()))
        increase = total - self._totals.get(key, 0)
        self._totals[key] = total
        if increase:
            self._metrics.record(metric, increase, attributes)

    def _record_control_total(self, direction: str, total: int) -> None:
        key = (MetricName.CONTROL_BYTES, direction)
        increase = total - self._totals.get(key, 0)
        self._totals[key] = total
        self._record_control_bytes(direction, increase)

    def _record_control_bytes(self, direction: str, count: int) -> None:
        self._control_bytes += count
        if count:
            attributes = {"direction": direction}
            self._metrics.record(MetricName.CONTROL_BYTES, count, attributes)


@dataclass(frozen=True, slots=True)
class _UsageTotals:
    """Totals at the start of a period."""

    at: float
    process: float
    packets: float
    control_bytes: int


def _memory() -> int:
    """Resident memory of this process in bytes; its peak if only that is available."""
    try:
        pages = int(_MEMORY_FILE.read_text(encoding="ascii").split()[1])
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    return pages * os.sysconf("SC_PAGE_SIZE")


def make_metrics_task(node: NodeId) -> MetricsTask:
    """Create the task that owns the metrics; subscribe it to :data:`USAGE_TICK`."""
    return MetricsTask(node)
