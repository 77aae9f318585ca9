"""Caller of the tour: sends requests to one service and prints the answers."""

import random
import threading
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import RequestId, Seconds
from wasabigw.core.states import Protocol
from wasabigw_demo._layout import CallerPlace
from wasabigw_demo.caller_app import CallerApplication, RequestOutcome
from wasabigw_demo.exchange import Request
from wasabigw_demo.host import Host
from wasabigw_demo.plan import FlowKind, FlowPlan, Target
from wasabigw_demo.records import RecordKind, RecordWriter

ANSWER_SIZE = 2_000
PRINT_PERIOD = Seconds(1.0)


class PrintingRecordWriter(RecordWriter):
    """Record writer that also prints the outcomes of requests.

    :param each: whether to print a line per request instead of one per second.
    """

    def __init__(self, path: Path, each: bool) -> None:
        super().__init__(path)
        self._each = each
        self._counts: Counter[str] = Counter()
        self._print_at = time.monotonic() + PRINT_PERIOD

    def write(self, kind: RecordKind, **fields: Any) -> None:
        """Append a record, and print it if it is about a request."""
        super().write(kind, **fields)
        if kind is not RecordKind.REQUEST:
            return
        answered = fields["outcome"] == RequestOutcome.ANSWERED.value
        result = str(fields["server"] if answered else fields["outcome"])
        if self._each:
            duration = f"{fields['seconds']:.3f} s, attempt {fields['attempts']}"
            verb = "answered by" if answered else "failed:"
            print(f"{fields['id']} {verb} {result} in {duration}", flush=True)
            return
        self._counts[result] += 1
        if time.monotonic() >= self._print_at:
            self.print_counts()

    def print_counts(self) -> None:
        """Print the number of requests by outcome since the last line."""
        if self._counts:
            counts = [f"{name} {count}" for name, count in sorted(self._counts.items())]
            print(f"{time.strftime('%H:%M:%S')}  {'  '.join(counts)}", flush=True)
        self._counts.clear()
        self._print_at = time.monotonic() + PRINT_PERIOD


def call_service(
    place: CallerPlace,
    fabric: Endpoint,
    service: Endpoint,
    requests: int,
    rate: float,
    record: Path,
) -> int:
    """Send each request on a separate flow; returns the number of failures.

    :param rate: flows per second.
    """
    target = Target("service", Protocol.TCP, service)
    stamp = f"{time.time_ns() // 1_000_000 % 10_000_000:07}"
    plans = [_plan(f"r{stamp}-{n}", n / rate, target) for n in range(requests)]
    done = threading.Event()
    seed = random.getrandbits(32)
    with ExitStack() as stack:
        records = PrintingRecordWriter(record, requests <= rate)
        stack.enter_context(records)
        caller = CallerApplication(
            place.name, place.address, plans, records, seed, done
        )
        host = Host(place.name, place.geneve, fabric, caller, records, seed)
        stack.enter_context(host)
        done.wait()
        records.print_counts()
    return caller.failures


def _plan(name: str, start: float, target: Target) -> FlowPlan:
    request = Request(RequestId(name), ANSWER_SIZE, True)
    return FlowPlan(name, Seconds(start), FlowKind.SHORT, target, (request,))
