"""Follows accepted changes at the leader until they are in force everywhere."""

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
"""Changes that are followed at the same time; beyond it the oldest is forgotten."""

Progress = Callable[[Revision], Sequence[NodeProgress]]
"""How far each balancer is towards a revision."""


@dataclass(slots=True)
class _TrackedChange:
    committed_at: Seconds
    span: trace.Span
    applied: set[NodeId] = field(default_factory=set)


class InForceTracker:
    """Measures the time from commit until in force, and traces it.

    :param metrics: receives :class:`InForceMeasured`; ``None`` if nobody counts.
    """

    def __init__(self, metrics: Mailbox[Any] | None, tracer: trace.Tracer) -> None:
        self._metrics = metrics
        self._tracer = tracer
        self._tracked: OrderedDict[Revision, _TrackedChange] = OrderedDict()

    def track(
        self, revision: Revision, parent: TraceParent | None, now: Seconds
    ) -> None:
        """Begin to follow a change that was just applied here."""
        span = begin_span(self._tracer, "control.in_force", parent)
        span.set_attribute("wasabigw.revision", revision)
        self._tracked[revision] = _TrackedChange(now, span)
        if len(self._tracked) > MAX_TRACKED_CHANGES:
            self._tracked.popitem(last=False)

    def check(self, progress: Progress, now: Seconds) -> None:
        """Note which balancers have applied the changes that are followed."""
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
        """Forget all changes at the end of a leadership."""
        self._tracked.clear()
