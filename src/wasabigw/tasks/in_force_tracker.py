"""Tracks committed changes on the leader until they are in force everywhere."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from opentelemetry import trace

from wasabigw.core.ids import NodeId, Revision, Seconds
from wasabigw.core.log_messages import NodeProgress
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.metrics_task import InForceMeasured
from wasabigw.telemetry.trace_context import TraceParent
from wasabigw.telemetry.tracing import begin_span

MAX_TRACKED_CHANGES = 256
"""Changes tracked at the same time; beyond this the oldest is dropped."""

GetNodeProgress = Callable[[Revision], Sequence[NodeProgress]]
"""Returns the progress of each balancer towards a revision."""


@dataclass(slots=True)
class _TrackedChange:
    committed_at: Seconds
    span: trace.Span
    applied: set[NodeId] = field(default_factory=set)


class InForceTracker:
    """Measures the time from the commit of a change until it is in force.

    A traced change also gets a span with an event for each balancer that applied it.

    :param metrics: receives :class:`InForceMeasured`; ``None`` without metrics.
    """

    def __init__(self, metrics: Mailbox[Any] | None, tracer: trace.Tracer) -> None:
        self._metrics = metrics
        self._tracer = tracer
        self._tracked: OrderedDict[Revision, _TrackedChange] = OrderedDict()

    def track(
        self, revision: Revision, parent: TraceParent | None, now: Seconds
    ) -> None:
        """Start to track a change that this voter has just applied."""
        span = begin_span(self._tracer, "control.in_force", parent)
        span.set_attribute("wasabigw.revision", revision)
        self._tracked[revision] = _TrackedChange(now, span)
        if len(self._tracked) > MAX_TRACKED_CHANGES:
            self._tracked.popitem(last=False)

    def check(self, progress: GetNodeProgress, now: Seconds) -> None:
        """Update the tracked changes from the progress of the balancers."""
        for revision in list(self._tracked):
            change = self._tracked[revision]
            nodes = progress(revision)
            for node in nodes:
                if node.applied >= revision and node.node not in change.applied:
                    change.applied.add(node.node)
                    change.span.add_event("applied", {"node": node.node})
            if all(node.in_force for node in nodes):
                del self._tracked[revision]
                change.span.end()
                if self._metrics is not None:
                    delay = Seconds(now - change.committed_at)
                    self._metrics.post(InForceMeasured(delay))

    def clear(self) -> None:
        """Drop all tracked changes when the leadership ends."""
        self._tracked.clear()
