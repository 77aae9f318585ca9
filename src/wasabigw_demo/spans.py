"""Spans of traced packets in the records of the stand-ins."""

import random
import time
from dataclasses import dataclass

from wasabigw_demo.records import RecordKind, RecordWriter
from wasabigw_demo.wire import TraceContext


@dataclass(frozen=True, slots=True)
class SpanName:
    """Process and operation of a span."""

    process: str
    operation: str


def start_trace(generator: random.Random) -> TraceContext:
    """Context of a new trace."""
    return TraceContext(generator.randbytes(16), generator.randbytes(8))


def record_span(
    records: RecordWriter,
    name: SpanName,
    parent: TraceContext | None,
    context: TraceContext,
) -> None:
    """Write the span of a packet in one process, in the format of the balancers."""
    now = time.time_ns()
    records.write(
        RecordKind.SPAN,
        trace_id=context.trace_id.hex(),
        span_id=context.span_id.hex(),
        parent_span_id=parent.span_id.hex() if parent else None,
        name=name.operation,
        node=name.process,
        start=now,
        end=now,
    )


def child_context(parent: TraceContext, generator: random.Random) -> TraceContext:
    """Context of a child span of ``parent``."""
    return TraceContext(parent.trace_id, generator.randbytes(8), parent.flags)
