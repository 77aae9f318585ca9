"""Task that converts the hops of traced packets to spans for the trace file."""

from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Task
from wasabigw.tasks.messages import HopSpan
from wasabigw.telemetry.trace_file import SpanRecord
from wasabigw.telemetry.tracing import SpanMailbox

MAILBOX_CAPACITY = 8_192
"""Capacity of the mailbox; further hops are lost."""


class SpanExport(Task[HopSpan]):
    """Converts hops in a task of its own, so that the packet task is not delayed."""

    def __init__(self, spans: SpanMailbox) -> None:
        super().__init__("spans", Mailbox("spans", MAILBOX_CAPACITY))
        self._spans = spans

    def receive(self, message: HopSpan) -> None:
        """Post the span of a hop; it is lost if the trace file is too slow."""
        self._spans.post(span_of(message))


def span_of(hop: HopSpan) -> SpanRecord:
    """Convert a hop to a span of the trace file."""
    attributes = {"wasabigw.outcome": hop.outcome}
    if hop.reason is not None:
        attributes["wasabigw.reason"] = hop.reason
    parent = hop.parent_span_id
    return SpanRecord(
        trace_id=hop.trace_id.hex(),
        span_id=hop.span_id.hex(),
        parent_span_id=None if parent is None else parent.hex(),
        name="balancer.hop",
        node=hop.node,
        start=hop.started,
        end=hop.ended,
        attributes=attributes,
    )


def make_span_export(spans: SpanMailbox) -> SpanExport:
    """Create the task that posts spans to the trace file.

    :param spans: mailbox of the trace file task.
    """
    return SpanExport(spans)
