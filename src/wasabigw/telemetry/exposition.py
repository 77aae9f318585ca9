"""Metrics in the Prometheus text exposition format, version 0.0.4.

Used by processes that must start fast: the OpenTelemetry SDK takes longer to load than
a balancer takes to start. Names are those that its Prometheus exporter would derive.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from wasabigw.core.durations import BOUNDS, Durations

CONTENT_TYPE = "text/plain; version=0.0.4"


class MetricKind(Enum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class Sample:
    """A value with its labels; the value of a histogram is a :class:`Durations`."""

    value: float | Durations
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Family:
    """A metric with all its samples."""

    name: str
    kind: MetricKind
    description: str
    samples: tuple[Sample, ...]


def gauge(name: str, description: str, value: float) -> Family:
    """Gauge with a single sample without labels."""
    return Family(name, MetricKind.GAUGE, description, (Sample(value),))


def declared_version(version: int | None) -> Family:
    """Gauge of the declared configuration version that the process applies."""
    return gauge("wasabigw_declared_version", "Configuration in force", version or 0)


def view_age(seconds: float) -> Family:
    """Gauge of the age of the process's view; infinite if it was never current."""
    return gauge(
        "wasabigw_view_age_seconds",
        "Time since the view was known to be current",
        seconds,
    )


def out_of_service(names: Iterable[str]) -> Family:
    """Gauge of the failure domains that are out of service in the process's view."""
    return Family(
        "wasabigw_failure_domain_out_of_service",
        MetricKind.GAUGE,
        "Failure domains whose backend servers get no new flows",
        tuple(Sample(1, {"failure_domain": name}) for name in names),
    )


def render(families: Iterable[Family]) -> bytes:
    """Encode metric families in the text format."""
    lines: list[str] = []
    for family in families:
        lines.append(f"# HELP {family.name} {family.description}")
        lines.append(f"# TYPE {family.name} {family.kind.value}")
        for sample in family.samples:
            lines.extend(_sample_lines(family.name, sample))
    return "\n".join((*lines, "")).encode()


def _sample_lines(name: str, sample: Sample) -> list[str]:
    value, labels = sample.value, sample.labels
    if not isinstance(value, Durations):
        return [_line(name, labels, value)]
    lines = []
    cumulative = 0
    for bound, count in zip((*BOUNDS, "+Inf"), value.buckets, strict=True):
        cumulative += count
        lines.append(_line(f"{name}_bucket", {**labels, "le": str(bound)}, cumulative))
    lines.append(_line(f"{name}_sum", labels, value.total))
    lines.append(_line(f"{name}_count", labels, cumulative))
    return lines


def _line(name: str, labels: Mapping[str, str], value: float) -> str:
    number = _number_text(value)
    if not labels:
        return f"{name} {number}"
    pairs = ",".join(f'{key}="{_escaped(text)}"' for key, text in labels.items())
    return f"{name}{{{pairs}}} {number}"


def _number_text(value: float) -> str:
    """Number in the text format; a whole number keeps all its digits."""
    if value == math.inf:
        return "+Inf"
    return str(int(value)) if float(value).is_integer() else f"{value:g}"


def _escaped(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
