"""Spans for the hops of traced packets."""

import random
import time
from dataclasses import dataclass

from wasabigw.codec.geneve import Trace, encode_trace
from wasabigw.core.ids import NodeId
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.messages import HopSpan

TRACE_ID_BYTES = 16
SPAN_ID_BYTES = 8


@dataclass(frozen=True, slots=True)
class Hop:
    """A span that has started but not ended.

    :param trace: trace and span that the packet carries to the next hop.
    :param parent: span of the previous hop; ``None`` at the first hop.
    :param started: nanoseconds since the epoch.
    """

    trace: Trace
    parent: bytes | None
    started: int

    @property
    def option(self) -> bytes:
        """TRACE option that makes this span the parent of the next hop."""
        return encode_trace(self.trace)


class HopTracer:
    """Starts spans and posts them when they end.

    :param sample_rate: share of the flow openings without a TRACE option that start
        a trace.
    :param spans: receives the spans, which are lost while it is full; ``None`` if
        spans are not exported.
    """

    def __init__(
        self, node: NodeId, sample_rate: float, spans: Mailbox[HopSpan] | None
    ) -> None:
        self._node = node
        self._sample_rate = sample_rate
        self._spans = spans
        self._random = random.SystemRandom()

    def continue_trace(self, parent: Trace) -> Hop:
        """Start the span of a packet that carries a TRACE option."""
        span = self._random.randbytes(SPAN_ID_BYTES)
        trace = Trace(parent.trace_id, span, parent.flags)
        return Hop(trace, parent.span_id, time.time_ns())

    def start_sampled_trace(self) -> Hop | None:
        """Start a trace at a flow opening, for the share given by the sample rate."""
        if self._spans is None or not self._sample_rate:
            return None
        if self._random.random() >= self._sample_rate:
            return None
        trace = self._random.randbytes(TRACE_ID_BYTES)
        span = self._random.randbytes(SPAN_ID_BYTES)
        return Hop(Trace(trace, span), None, time.time_ns())

    def end(self, hop: Hop, outcome: str, reason: str | None) -> None:
        """End the span of a hop and post it."""
        if self._spans is None:
            return
        span = HopSpan(
            hop.trace.trace_id,
            hop.trace.span_id,
            hop.parent,
            self._node,
            hop.started,
            time.time_ns(),
            outcome,
            reason,
        )
        self._spans.post(span)
