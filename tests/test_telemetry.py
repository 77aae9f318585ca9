"""Traces across processes, the trace file, metric snapshots and the event catalogue."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from returns.result import Failure, Success

from wasabigw.core.ids import NodeId
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Stop
from wasabigw.telemetry import catalogue, trace_context
from wasabigw.telemetry.metrics import MetricName, make_metrics
from wasabigw.telemetry.trace_context import TraceParent
from wasabigw.telemetry.trace_file import SpanRecord, TraceFileTask
from wasabigw.telemetry.tracing import hop_span, make_disabled_tracer, make_tracer

DOCS = Path(__file__).resolve().parent.parent / "docs"
NODE = NodeId("recife-1")
PARENT = TraceParent(0x4BF92F3577B34DA6A3CE929D0E0E4736, 0x00F067AA0BA902B7, True)
PARENT_TEXT = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"


def lines(path: Path) -> list[Any]:
    """Decode a file with one JSON object per line."""
    return [json.loads(line) for line in path.read_text().splitlines()]


def record(number: int) -> SpanRecord:
    """Span of about 200 bytes."""
    return SpanRecord(f"{number:032x}", f"{number:016x}", None, "hop", NODE, 1, 2)


class TraceContext(unittest.TestCase):
    """Guards against hops of one request that appear as separate traces."""

    def test_header_and_option_carry_the_same_parent(self) -> None:
        self.assertEqual(trace_context.parse_traceparent(PARENT_TEXT), Success(PARENT))
        self.assertEqual(trace_context.format_traceparent(PARENT), PARENT_TEXT)
        packed = trace_context.pack(PARENT)
        self.assertEqual(trace_context.unpack(packed + bytes(3)), Success(PARENT))

    def test_malformed_parents_are_failures(self) -> None:
        zero = f"00-{0:032x}-00f067aa0ba902b7-01"
        for text in ("", zero, f"ff{PARENT_TEXT[2:]}", f"{PARENT_TEXT}-x", "é" * 55):
            with self.subTest(text=text):
                parsed = trace_context.parse_traceparent(text)
                self.assertIsInstance(parsed, Failure)
        self.assertIsInstance(trace_context.unpack(bytes(28)), Failure)
        self.assertIsInstance(trace_context.unpack(b"short"), Failure)


class TraceFile(unittest.TestCase):
    """Guards against spans that are lost, unreadable or fill the disk."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder, "spans.jsonl")

    def test_spans_of_two_processes_belong_to_one_trace(self) -> None:
        with TraceFileTask(self.path, 10**6) as task:
            tracers = [
                make_tracer(NodeId(name), 1.0, task.mailbox) for name in ("a", "b")
            ]
            with (
                hop_span(tracers[0], "first", attributes={"hop": 1}) as parent,
                hop_span(tracers[1], "second", parent),
            ):
                pass
        second, first = lines(self.path)
        self.assertEqual(second["trace_id"], first["trace_id"])
        self.assertEqual(second["parent_span_id"], first["span_id"])
        self.assertEqual((first["node"], second["node"]), ("a", "b"))
        self.assertEqual(first["attributes"], {"hop": 1})

    def test_sampling_follows_the_parent(self) -> None:
        with TraceFileTask(self.path, 10**6) as task:
            tracer = make_tracer(NODE, 0.0, task.mailbox)
            with hop_span(tracer, "own"), hop_span(tracer, "sampled", PARENT):
                pass
        (only,) = lines(self.path)
        self.assertEqual(only["name"], "sampled")

    def test_process_without_tracing_yields_no_parent(self) -> None:
        with hop_span(make_disabled_tracer(), "hop") as parent:
            self.assertIsNone(parent)

    def test_file_is_rotated_at_its_size_limit(self) -> None:
        with TraceFileTask(self.path, 1_000) as task:
            for number in range(1, 21):
                task.mailbox.post(record(number))
        rotated = Path(f"{self.path}.1")
        self.assertLessEqual(self.path.stat().st_size, 1_000)
        self.assertLessEqual(rotated.stat().st_size, 1_000)
        self.assertEqual(lines(self.path)[-1]["span_id"], f"{20:016x}")

    def test_unwritable_file_does_not_block_the_end_of_the_task(self) -> None:
        with TraceFileTask(self.path.parent, 1_000) as task:
            task.mailbox.post(record(1))
        self.assertFalse(task._thread.is_alive())

    def test_spans_are_lost_without_blocking_if_the_mailbox_is_full(self) -> None:
        mailbox: Mailbox[SpanRecord | Stop] = Mailbox("spans", 1)
        tracer = make_tracer(NODE, 1.0, mailbox)
        for _ in range(3):
            with hop_span(tracer, "hop"):
                pass
        self.assertEqual(len(list(mailbox.drain())), 1)


class MetricsSnapshot(unittest.TestCase):
    """Guards against metrics that are lost, renamed or can't be encoded as JSON."""

    def test_each_kind_of_metric_keeps_its_values(self) -> None:
        metrics = make_metrics(NODE)
        for _ in range(2):
            metrics.record(MetricName.PACKETS_DROPPED, 3, {"reason": "ttl"})
            metrics.record(MetricName.LOAD_IMBALANCE, 1.25, {"service": "seats"})
            metrics.record(MetricName.IN_FORCE_DELAY, 0.3)
            snapshot = json.loads(json.dumps(metrics.snapshot()))
        (dropped,) = snapshot["wasabigw.packets.dropped"]["points"]
        self.assertEqual(dropped, {"attributes": {"reason": "ttl"}, "value": 6})
        (imbalance,) = snapshot["wasabigw.load.imbalance"]["points"]
        self.assertEqual(imbalance["value"], 1.25)
        (delay,) = snapshot["wasabigw.change.in_force.duration"]["points"]
        self.assertEqual((delay["count"], sum(delay["buckets"])), (2, 2))
        self.assertEqual(set(snapshot), {metric.value.name for metric in MetricName})


class Catalogue(unittest.TestCase):
    """Guards against events that are missing from the page or share a number."""

    def test_page_matches_the_code(self) -> None:
        page = (DOCS / "log-events.md").read_text(encoding="utf-8")
        self.assertEqual(page, catalogue.catalogue_page())

    def test_numbers_are_unique(self) -> None:
        self.assertEqual(catalogue.duplicate_numbers(), ())
