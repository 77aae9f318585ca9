"""W3C Trace Context: ids that link the spans of several processes to one trace."""

import re
from dataclasses import dataclass

from opentelemetry import trace
from returns.result import Failure, Result, Success

TRACE_ID_BYTES = 16
SPAN_ID_BYTES = 8
SAMPLED_FLAG = 1
PACKED_BYTES = TRACE_ID_BYTES + SPAN_ID_BYTES + 1

_TRACEPARENT = re.compile(
    r"(?P<version>[0-9a-f]{2})-(?P<trace>[0-9a-f]{32})-(?P<span>[0-9a-f]{16})"
    r"-(?P<flags>[0-9a-f]{2})(?P<rest>-.*)?"
)
_KNOWN_VERSION = "00"
_INVALID_VERSION = "ff"


@dataclass(frozen=True, slots=True)
class TraceParent:
    """Parent of a span in another process.

    :param sampled: whether the spans of the trace are recorded.
    """

    trace_id: int
    span_id: int
    sampled: bool


@dataclass(frozen=True, slots=True)
class MalformedTraceParent:
    """A trace parent is malformed; the receiver starts a new trace."""

    read: str


def parse_traceparent(text: str) -> Result[TraceParent, MalformedTraceParent]:
    """Decode the ``traceparent`` header of HTTP."""
    match = _TRACEPARENT.fullmatch(text.strip())
    if match is None or match["version"] == _INVALID_VERSION:
        return Failure(MalformedTraceParent(text))
    if match["version"] == _KNOWN_VERSION and match["rest"]:
        return Failure(MalformedTraceParent(text))
    return _validated_parent(
        int(match["trace"], 16), int(match["span"], 16), int(match["flags"], 16), text
    )


def format_traceparent(parent: TraceParent) -> str:
    """Encode a parent as the ``traceparent`` header of HTTP."""
    flags = SAMPLED_FLAG if parent.sampled else 0
    return f"00-{parent.trace_id:032x}-{parent.span_id:016x}-{flags:02x}"


def unpack(data: bytes) -> Result[TraceParent, MalformedTraceParent]:
    """Decode the TRACE option: trace id, span id, flags, padding."""
    if len(data) < PACKED_BYTES:
        return Failure(MalformedTraceParent(data.hex()))
    trace_id = int.from_bytes(data[:TRACE_ID_BYTES])
    span_id = int.from_bytes(data[TRACE_ID_BYTES : TRACE_ID_BYTES + SPAN_ID_BYTES])
    return _validated_parent(trace_id, span_id, data[PACKED_BYTES - 1], data.hex())


def pack(parent: TraceParent) -> bytes:
    """Encode a parent for the TRACE option, without its padding."""
    flags = SAMPLED_FLAG if parent.sampled else 0
    return (
        parent.trace_id.to_bytes(TRACE_ID_BYTES)
        + parent.span_id.to_bytes(SPAN_ID_BYTES)
        + bytes((flags,))
    )


def parent_from_span(span: trace.Span) -> TraceParent | None:
    """Parent for the spans of the next hop; ``None`` if the span has no valid ids."""
    context = span.get_span_context()
    if not context.is_valid:
        return None
    sampled = bool(context.trace_flags & trace.TraceFlags.SAMPLED)
    return TraceParent(context.trace_id, context.span_id, sampled)


def _validated_parent(
    trace_id: int, span_id: int, flags: int, read: str
) -> Result[TraceParent, MalformedTraceParent]:
    if trace_id == 0 or span_id == 0:
        return Failure(MalformedTraceParent(read))
    return Success(TraceParent(trace_id, span_id, bool(flags & SAMPLED_FLAG)))
