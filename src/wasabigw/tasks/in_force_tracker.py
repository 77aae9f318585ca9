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

MAX_WATCHED = 256
"""Changes that are followed at the same time; beyond it the oldest is forgotten."""

Progress = Callable[[Revision], Sequence[NodeProgress]]
"""How far each balancer is towards a revision."""


@dataclass(slots=True)
class _Watched:
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
        self._watched: OrderedDict[Revision, _Watched] = OrderedDict()

    def committed(
        self, revision: Revision, parent: TraceParent | None, now: Seconds
    ) -> None:
        """Begin to follow a change that was just applied here."""
        span = begin_span(self._tracer, "control.in_force", parent)
        span.set_attribute("wasabigw.revision", revision)
        self._watched[revision] = _Watched(now, span)
        if len(self._watched) > MAX_WATCHED:
            self._watched.popitem(last=False)

    def check(self, progress: Progress, now: Seconds) -> None:
        """Note which balancers have applied the changes that are followed."""
        for revision in list(self._watched):
            watched = self._watched[revision]
            nodes = progress(revision)
            for node in nodes:
                if node.applied >= revision and node.node not in watched.applied:
                    watched.applied.add(node.node)
                    watched.span.add_event("applied", {"node": node.node})
            if all(node.in_force for node in nodes):
                del self._watched[revision]
                watched.span.end()
                if self._metrics is not None:
                    delay = Seconds(now - watched.committed_at)
                    self._metrics.post(InForceMeasured(delay))

    def clear(self) -> None:
        """Forget all changes at the end of a leadership."""
        self._watched.clear()
