"""Metrics in the usual text format, version 0.0.4.

For processes that must start fast: the OpenTelemetry SDK takes longer to load than a
balancer takes to start. Names follow what its exporter makes of a metric's name.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from wasabigw.core.durations import BOUNDS, Durations

CONTENT_TYPE = "text/plain; version=0.0.4"


class MetricKind(Enum):
    """How the values of a metric add up."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class Sample:
    """A value of a metric; a histogram has durations."""

    value: float | Durations
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Family:
    """All values of a metric."""

    name: str
    kind: MetricKind
    description: str
    samples: tuple[Sample, ...]


def gauge(name: str, description: str, value: float) -> Family:
    """Gauge with a single value."""
    return Family(name, MetricKind.GAUGE, description, (Sample(value),))


def declared_version(version: int | None) -> Family:
    """Configuration that the process follows."""
    return gauge("wasabigw_declared_version", "Configuration in force", version or 0)


def out_of_service(names: Iterable[str]) -> Family:
    """Failure domains that the process knows to be out of service."""
    return Family(
        "wasabigw_failure_domain_out_of_service",
        MetricKind.GAUGE,
        "Failure domains whose backend servers get no new flows",
        tuple(Sample(1, {"failure_domain": name}) for name in names),
    )


def render(families: Iterable[Family]) -> bytes:
    """Text of metrics."""
    lines: list[str] = []
    for family in families:
        lines.append(f"# HELP {family.name} {family.description}")
        lines.append(f"# TYPE {family.name} {family.kind.value}")
        for sample in family.samples:
            lines.extend(_lines(family.name, sample))
    return "\n".join((*lines, "")).encode()


def _lines(name: str, sample: Sample) -> list[str]:
    value, labels = sample.value, sample.labels
    if not isinstance(value, Durations):
        return [_line(name, labels, value)]
    lines = []
    count = 0
    for bound, number in zip((*BOUNDS, "+Inf"), value.buckets, strict=True):
        count += number
        lines.append(_line(f"{name}_bucket", {**labels, "le": str(bound)}, count))
    lines.append(_line(f"{name}_sum", labels, value.total))
    lines.append(_line(f"{name}_count", labels, count))
    return lines


def _line(name: str, labels: Mapping[str, str], value: float) -> str:
    if not labels:
        return f"{name} {value:g}"
    shown = ",".join(f'{key}="{_escaped(text)}"' for key, text in labels.items())
    return f"{name}{{{shown}}} {value:g}"


def _escaped(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
