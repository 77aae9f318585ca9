"""Metrics of a process, recorded with OpenTelemetry, and their snapshot as JSON."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from opentelemetry.metrics import Counter, Histogram
from opentelemetry.metrics import _Gauge as Gauge
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    HistogramDataPoint,
    InMemoryMetricReader,
    Metric,
    NumberDataPoint,
)
from opentelemetry.sdk.resources import Resource

from wasabigw.core.ids import NodeId
from wasabigw.core.timing import IN_FORCE_BOUND
from wasabigw.telemetry.exposition import MetricKind

AttributeValue = str | bool | int | float
Attributes = Mapping[str, AttributeValue]
NO_ATTRIBUTES: Attributes = {}

IN_FORCE_BUCKETS = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, IN_FORCE_BOUND, 8.0, 16.0)
"""Upper bounds of the buckets for in-force delays, in seconds."""


@dataclass(frozen=True, slots=True)
class MetricDefinition:
    """Definition of a metric.

    :param name: dotted name, as in the OpenTelemetry semantic conventions.
    :param unit: UCUM unit, annotations in braces.
    :param attributes: attribute keys of its data points.
    """

    name: str
    kind: MetricKind
    unit: str
    description: str
    attributes: tuple[str, ...] = ()


class MetricName(Enum):
    """All metrics of the system."""

    BROKEN_FLOWS = MetricDefinition(
        "wasabigw.flows.broken",
        MetricKind.COUNTER,
        "{flow}",
        "Flows that ended although neither endpoint ended them",
        ("service", "reason"),
    )
    OPEN_FLOWS = MetricDefinition(
        "wasabigw.flows.open",
        MetricKind.GAUGE,
        "{flow}",
        "Flows that this home has records of",
        ("service", "backend_server"),
    )
    LOAD_IMBALANCE = MetricDefinition(
        "wasabigw.load.imbalance",
        MetricKind.GAUGE,
        "1",
        "Highest use of a backend server's capacity over the mean of its service",
        ("service",),
    )
    SERVED_DURING_MOVE = MetricDefinition(
        "wasabigw.failure_domain.move.served",
        MetricKind.GAUGE,
        "1",
        "Share of new flows that were served while a failure domain left or returned",
        ("service", "failure_domain"),
    )
    CONTROL_BYTES = MetricDefinition(
        "wasabigw.control.io",
        MetricKind.COUNTER,
        "By",
        "Control traffic of this process, without what TCP, UDP and IP add",
        ("direction",),
    )
    CONTROL_RATE = MetricDefinition(
        "wasabigw.control.io.rate",
        MetricKind.GAUGE,
        "By/s",
        "Control traffic of this process in both directions over the last 5 s",
    )
    PROCESSOR = MetricDefinition(
        "process.cpu.utilization",
        MetricKind.GAUGE,
        "1",
        "Share of one core over the last 5 s, of the packet task and of all others",
        ("part",),
    )
    MEMORY = MetricDefinition(
        "process.memory.usage",
        MetricKind.GAUGE,
        "By",
        "Resident memory of this process",
    )
    PACKETS = MetricDefinition(
        "wasabigw.packets",
        MetricKind.COUNTER,
        "{packet}",
        "Packets that this balancer carried",
        ("direction",),
    )
    PACKETS_DROPPED = MetricDefinition(
        "wasabigw.packets.dropped",
        MetricKind.COUNTER,
        "{packet}",
        "Packets that this balancer dropped",
        ("reason",),
    )
    PACKETS_REFUSED = MetricDefinition(
        "wasabigw.packets.refused",
        MetricKind.COUNTER,
        "{packet}",
        "Packets that this balancer answered with a refusal",
        ("reason",),
    )
    IN_FORCE_DELAY = MetricDefinition(
        "wasabigw.change.in_force.duration",
        MetricKind.HISTOGRAM,
        "s",
        "Time from the commit of a change until it is in force everywhere",
    )


class Metrics:
    """Instruments of a process.

    Tasks on the packet path keep integer counters and add them here on each tick,
    because recording with an instrument takes longer than processing a packet.
    """

    def __init__(self, node: NodeId) -> None:
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(
            (self._reader,),
            Resource({"service.name": "wasabigw", "service.instance.id": node}),
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter("wasabigw")
        self._counters: dict[MetricName, Counter] = {}
        self._gauges: dict[MetricName, Gauge] = {}
        self._histograms: dict[MetricName, Histogram] = {}
        for metric in MetricName:
            definition = metric.value
            arguments = (definition.name, definition.unit, definition.description)
            if definition.kind is MetricKind.COUNTER:
                self._counters[metric] = meter.create_counter(*arguments)
            elif definition.kind is MetricKind.GAUGE:
                self._gauges[metric] = meter.create_gauge(*arguments)
            else:
                self._histograms[metric] = meter.create_histogram(
                    *arguments, explicit_bucket_boundaries_advisory=IN_FORCE_BUCKETS
                )

    def record(
        self,
        metric: MetricName,
        value: float,
        attributes: Attributes = NO_ATTRIBUTES,
    ) -> None:
        """Add to a counter, set a gauge, or record a value in a histogram."""
        kind = metric.value.kind
        if kind is MetricKind.COUNTER:
            self._counters[metric].add(value, attributes)
        elif kind is MetricKind.GAUGE:
            self._gauges[metric].set(value, attributes)
        else:
            self._histograms[metric].record(value, attributes)

    def snapshot(self) -> dict[str, Any]:
        """Current values of all metrics as a JSON object, by metric name.

        Counters and histograms are cumulative since the start of the process. Gauges
        have their last value.
        """
        snapshot = {
            metric.value.name: _metric_json(metric.value) for metric in MetricName
        }
        data = self._reader.get_metrics_data()
        for resource in data.resource_metrics if data else ():
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    snapshot[metric.name]["points"] = _points_json(metric)
        return snapshot


def make_metrics(node: NodeId) -> Metrics:
    """Make the metrics of a process."""
    return Metrics(node)


def _metric_json(definition: MetricDefinition) -> dict[str, Any]:
    return {
        "kind": definition.kind.value,
        "unit": definition.unit,
        "description": definition.description,
        "points": [],
    }


def _points_json(metric: Metric) -> list[dict[str, Any]]:
    points = []
    for point in metric.data.data_points:
        encoded: dict[str, Any] = {"attributes": dict(point.attributes or {})}
        if isinstance(point, NumberDataPoint):
            encoded["value"] = point.value
        elif isinstance(point, HistogramDataPoint):
            encoded.update(_histogram_json(point))
        points.append(encoded)
    return points


def _histogram_json(point: HistogramDataPoint) -> dict[str, Any]:
    return {
        "count": point.count,
        "sum": point.sum,
        "min": point.min,
        "max": point.max,
        "bounds": list(point.explicit_bounds),
        "buckets": list(point.bucket_counts),
    }
