"""Spans for each hop of a packet or request, with W3C ids.

Spans of different processes join into one trace: HTTP carries the ``traceparent``
header and Geneve the TRACE option (:mod:`wasabigw.telemetry.trace_context`).
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
INSTRUMENTATION = "wasabigw"


class MailboxSpanExporter(SpanExporter):
    """Posts finished spans to the task that owns the trace file.

    It never waits: a span that the mailbox has no room for is lost.
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
    """Tracer of one process.

    :param sample_rate: share of the traces begun here that is recorded; spans with
        a parent follow the parent's decision.
    """
    provider = TracerProvider(
        sampler=ParentBased(TraceIdRatioBased(sample_rate)),
        resource=Resource(
            {"service.name": INSTRUMENTATION, "service.instance.id": node}
        ),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(SimpleSpanProcessor(MailboxSpanExporter(mailbox, node)))
    return provider.get_tracer(INSTRUMENTATION)


def make_disabled_tracer() -> trace.Tracer:
    """Tracer of a process without a trace file; records nothing."""
    return trace.NoOpTracer()


@contextmanager
def hop_span(
    tracer: trace.Tracer,
    name: str,
    parent: TraceParent | None = None,
    attributes: Mapping[str, AttributeValue] | None = None,
) -> Iterator[TraceParent | None]:
    """Span of one hop; yields the parent for the next hop, ``None`` without traces.

    :param parent: the hop before, or ``None`` to begin a trace.
    """
    context = trace.set_span_in_context(trace.NonRecordingSpan(_context(parent)))
    with tracer.start_as_current_span(name, context, attributes=attributes) as span:
        yield parent_from_span(span)


def begin_span(
    tracer: trace.Tracer, name: str, parent: TraceParent | None = None
) -> trace.Span:
    """Span that its owner ends, for work that outlasts one call.

    A span whose parent was not recorded, or that has none, is not recorded either.
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
