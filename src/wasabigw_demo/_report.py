"""Prints the results of a run as compact tables."""

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any

from wasabigw_demo._layout import Layout
from wasabigw_demo._outcome import (
    Check,
    FlowSummary,
    Outcome,
    check_outcome,
    read_trace,
)
from wasabigw_demo.caller_app import FlowOutcome

FLOWS_PER_LINE = 3
MAX_SPANS = 60


def print_report(layout: Layout, outcome: Outcome) -> bool:
    """Print the report; returns whether all checks passed."""
    servers = {
        f"{place.inner.address}:{place.inner.port}": str(place.id)
        for place in layout.backend_servers
    }
    print("\nFlows: name, requests answered/planned, balancers used, packets,")
    print("backend server, seconds, attempts if more than one, outcome if not complete")
    for line in _flow_lines(outcome.flows, servers):
        print(line)
    print("\nRequests by kind of flow and outcome")
    for line in _request_lines(outcome.requests):
        print(line)
    print("\nBalancers per flow")
    for line in _spray_lines(outcome.flows):
        print(line)
    print(f"\nTrace of the first long flow of {layout.callers[0].name}")
    for line in _trace_lines(read_trace(layout)):
        print(line)
    print("\nInvalid input")
    for probe in outcome.observations.probes:
        print(f"  {_status_mark(probe.clear)} {probe.name:26} {probe.answer}")
    checks = check_outcome(outcome)
    print("\nChecks")
    for check in checks:
        print(_check_line(check))
    return all(check.passed for check in checks)


def _flow_lines(flows: Sequence[FlowSummary], servers: dict[str, str]) -> Iterator[str]:
    cells = [_flow_cell(flow, servers) for flow in flows]
    for start in range(0, len(cells), FLOWS_PER_LINE):
        row = cells[start : start + FLOWS_PER_LINE]
        yield "  " + " | ".join(f"{cell:52}" for cell in row).rstrip()


def _flow_cell(flow: FlowSummary, servers: dict[str, str]) -> str:
    server_names = "+".join(sorted(servers.get(s, s) for s in flow.backend_servers))
    cell = (
        f"{flow.name:19} {flow.answered}/{flow.planned} b{len(flow.balancers)}"
        f" {flow.packets:4}p {server_names or '-':6} {flow.seconds:6.2f}s"
    )
    if flow.attempts > 1:
        cell += f" x{flow.attempts}"
    if flow.outcome != FlowOutcome.COMPLETE.value:
        cell += f" {flow.outcome.upper()}"
    return cell


def _request_lines(requests: Sequence[dict[str, Any]]) -> Iterator[str]:
    counts = Counter((r["flow_kind"], r["outcome"]) for r in requests)
    for (kind, outcome), count in sorted(counts.items()):
        matching = [
            r for r in requests if (r["flow_kind"], r["outcome"]) == (kind, outcome)
        ]
        longest = max(r["seconds"] for r in matching)
        repeated = sum(r["attempts"] > 1 for r in matching)
        yield (
            f"  {kind:9} {outcome:13} {count:5}   longest {longest:6.2f} s"
            f"   on a repeated attempt {repeated}"
        )


def _spray_lines(flows: Sequence[FlowSummary]) -> Iterator[str]:
    counts = Counter((flow.kind, len(flow.balancers)) for flow in flows)
    for kind in sorted({flow.kind for flow in flows}):
        parts = [
            f"{number} balancers: {count}"
            for (flow_kind, number), count in sorted(counts.items())
            if flow_kind == kind
        ]
        yield f"  {kind:9} {', '.join(parts)}"


def _trace_lines(spans: Sequence[dict[str, Any]]) -> Iterator[str]:
    if not spans:
        yield "  no spans were recorded"
        return
    parents = {span["span_id"]: span["parent_span_id"] for span in spans}
    first = int(spans[0]["start"])
    for span in spans[:MAX_SPANS]:
        milliseconds = (int(span["start"]) - first) / 1e6
        indent = "  " * _depth(span["span_id"], parents)
        yield f"  {milliseconds:9.2f} ms {indent}{span['node']} {span['name']}"
    if len(spans) > MAX_SPANS:
        yield f"  and {len(spans) - MAX_SPANS} more"


def _depth(span: str, parents: dict[str, str | None]) -> int:
    depth = 0
    parent = parents.get(span)
    while parent is not None and depth < MAX_SPANS:
        depth += 1
        parent = parents.get(parent)
    return depth


def _check_line(check: Check) -> str:
    return f"  {_status_mark(check.passed)} {check.name:38} {check.detail}"


def _status_mark(passed: bool) -> str:
    return "ok  " if passed else "FAIL"
