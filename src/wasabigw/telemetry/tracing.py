"""Spans for each hop of a packet or request, with W3C ids.

The spans of several processes belong to one trace: HTTP requests have the
``traceparent`` header and Geneve packets the TRACE option
(:mod:`wasabigw.telemetry.trace_context`).
"""

from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from returns.result import Success

from wasabigw.core.ids import NodeId
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Stop
from wasabigw.telemetry.trace_context import (
    TraceParent,
    parent_from_span,
)
from wasabigw.telemetry.trace_file import AttributeValue, SpanEvent, SpanRecord

SpanMailbox = Mailbox[SpanRecord | Stop]
SERVICE_NAME = "wasabigw"


class MailboxSpanExporter(SpanExporter):
    """Posts finished spans to the task that owns the trace file.

    It never blocks: if the mailbox is full, spans are lost.
    """

    def __init__(self, mailbox: SpanMailbox, node: NodeId) -> None:
        self._mailbox = mailbox
        self._node = node

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Post the spans."""
        results = [self._mailbox.post(_record(span, self._node)) for span in spans]
        if all(isinstance(result, Success) for result in results):
            return SpanExportResult.SUCCESS
        return SpanExportResult.FAILURE


def make_tracer(node: NodeId, sample_rate: float, mailbox: SpanMailbox) -> trace.Tracer:
    """Make the tracer of a process.

    :param sample_rate: fraction of the traces started by this process that are
        recorded; spans with a parent follow the parent's sampling decision.
    """
    provider = TracerProvider(
        sampler=ParentBased(TraceIdRatioBased(sample_rate)),
        resource=Resource({"service.name": SERVICE_NAME, "service.instance.id": node}),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(SimpleSpanProcessor(MailboxSpanExporter(mailbox, node)))
    return provider.get_tracer(SERVICE_NAME)


def make_disabled_tracer() -> trace.Tracer:
    """Make the tracer of a process without a trace file; it records nothing."""
    return trace.NoOpTracer()


@contextmanager
def hop_span(
    tracer: trace.Tracer,
    name: str,
    parent: TraceParent | None = None,
    attributes: Mapping[str, AttributeValue] | None = None,
) -> Iterator[TraceParent | None]:
    """Span of one hop; yields the parent for the next one, ``None`` without tracing.

    :param parent: the previous hop, or ``None`` to start a trace.
    """
    context = trace.set_span_in_context(trace.NonRecordingSpan(_context(parent)))
    with tracer.start_as_current_span(name, context, attributes=attributes) as span:
        yield parent_from_span(span)


def begin_span(
    tracer: trace.Tracer, name: str, parent: TraceParent | None = None
) -> trace.Span:
    """Start a span that its owner ends, for work that outlasts one call.

    A span without a parent, or whose parent was not sampled, is not recorded.
    """
    if parent is None:
        return trace.INVALID_SPAN
    context = trace.set_span_in_context(trace.NonRecordingSpan(_context(parent)))
    return tracer.start_span(name, context)


def _context(parent: TraceParent | None) -> trace.SpanContext:
    if parent is None:
        return trace.INVALID_SPAN_CONTEXT
    sampled = trace.TraceFlags.SAMPLED if parent.sampled else trace.TraceFlags.DEFAULT
    return trace.SpanContext(
        parent.trace_id,
        parent.span_id,
        is_remote=True,
        trace_flags=trace.TraceFlags(sampled),
    )


def _record(span: ReadableSpan, node: NodeId) -> SpanRecord:
    context = span.get_span_context()
    parent = span.parent
    failed = span.status.status_code is trace.StatusCode.ERROR
    return SpanRecord(
        trace_id=f"{context.trace_id:032x}" if context else "",
        span_id=f"{context.span_id:016x}" if context else "",
        parent_span_id=f"{parent.span_id:016x}" if parent else None,
        name=span.name,
        node=node,
        start=span.start_time or 0,
        end=span.end_time or 0,
        attributes=_attributes(span.attributes),
        error=(span.status.description or "error") if failed else None,
        events=tuple(
            SpanEvent(event.name, event.timestamp, _attributes(event.attributes))
            for event in span.events
        ),
    )


def _attributes(attributes: Mapping[str, object] | None) -> dict[str, AttributeValue]:
    return {
        key: value
        for key, value in (attributes or {}).items()
        if isinstance(value, AttributeValue)
    }
