"""Outcome of a run, read from its records, and the checks on it."""

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from wasabigw_demo import _processes
from wasabigw_demo._layout import Layout
from wasabigw_demo._probes import ProbeResult
from wasabigw_demo.caller_app import FlowOutcome, RequestOutcome
from wasabigw_demo.records import RecordKind, read_records

UNFINISHED = "unfinished"


@dataclass(frozen=True, slots=True)
class FlowSummary:
    """A flow of a caller, with all its attempts.

    :param planned: number of planned requests.
    :param balancers: balancers that carried packets of its last attempt.
    :param backend_servers: inner endpoints that received packets of its last attempt.
    """

    name: str
    kind: str
    service: str
    outcome: str
    established: bool
    attempts: int
    planned: int
    answered: int
    seconds: float
    packets: int
    balancers: frozenset[str]
    backend_servers: frozenset[str]


@dataclass(frozen=True, slots=True)
class Check:
    """Result of one check."""

    name: str
    passed: bool
    detail: str


@dataclass(frozen=True, slots=True)
class Observations:
    """Observations of the launcher itself.

    :param drained_code: exit code of the backend server that was drained.
    :param unexpected_ends: exit codes of processes that ended without being told to.
    """

    probes: list[ProbeResult]
    drained_code: int | None
    unexpected_ends: dict[str, int]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Results of a run, from which the report is printed."""

    flows: list[FlowSummary]
    requests: list[dict[str, Any]]
    planned_requests: int
    runs: Counter[str]
    observations: Observations


def read_outcome(layout: Layout, observations: Observations) -> Outcome:
    """Read the outcome of a run from the records of the stand-ins."""
    callers = [caller.name for caller in layout.callers]
    requests = _records(layout, callers, RecordKind.REQUEST)
    summaries = _records(layout, callers, RecordKind.SUMMARY)
    backend_servers = [backend_server.id for backend_server in layout.backend_servers]
    ran = _records(layout, backend_servers, RecordKind.REQUEST)
    return Outcome(
        flows=list(_flows(layout, callers, requests)),
        requests=requests,
        planned_requests=sum(s["planned_requests"] for s in summaries),
        runs=Counter(record["id"] for record in ran),
        observations=observations,
    )


def read_trace(layout: Layout) -> list[dict[str, Any]]:
    """Spans of the trace of the first caller, sorted by start time."""
    names = ["fabric"]
    names += [caller.name for caller in layout.callers]
    names += [backend_server.id for backend_server in layout.backend_servers]
    spans = _records(layout, names, RecordKind.SPAN)
    spans += list(_processes.read_spans(layout))
    first = layout.callers[0].name
    roots = [s for s in spans if s["node"] == first and not s["parent_span_id"]]
    if not roots:
        return []
    trace = [span for span in spans if span["trace_id"] == roots[0]["trace_id"]]
    return sorted(trace, key=lambda span: int(span["start"]))


def check_outcome(outcome: Outcome) -> list[Check]:
    """Check the conditions of a successful run."""
    return [
        _check_all_answered(outcome),
        _check_no_flow_broke(outcome),
        _check_sprayed(outcome),
        _check_one_backend_server(outcome),
        _check_ran_once(outcome),
        _check_drained(outcome.observations),
        _check_clear_errors(outcome.observations),
        _check_unexpected_ends(outcome.observations),
    ]


def _check_all_answered(outcome: Outcome) -> Check:
    answered = RequestOutcome.ANSWERED.value
    right = sum(request["outcome"] == answered for request in outcome.requests)
    planned = outcome.planned_requests
    detail = f"{right} of {planned}"
    return Check("every request answered exactly", right == planned > 0, detail)


def _check_no_flow_broke(outcome: Outcome) -> Check:
    broken_outcomes = (FlowOutcome.BROKEN.value, FlowOutcome.FAILED.value, UNFINISHED)
    broken = [
        f.name for f in outcome.flows if f.established and f.outcome in broken_outcomes
    ]
    established = sum(flow.established for flow in outcome.flows)
    detail = f"{len(broken)} of {established} {' '.join(broken[:5])}".strip()
    return Check("no established flow broke", not broken, detail)


def _check_sprayed(outcome: Outcome) -> Check:
    several = sum(len(flow.balancers) > 1 for flow in outcome.flows)
    detail = f"{several} of {len(outcome.flows)} flows used more than one balancer"
    passed = several == len(outcome.flows) > 0
    return Check("packets sprayed over balancers", passed, detail)


def _check_one_backend_server(outcome: Outcome) -> Check:
    several = [f.name for f in outcome.flows if len(f.backend_servers) > 1]
    detail = f"{len(several)} flows reached several {' '.join(several[:5])}".strip()
    return Check("one backend server for each flow", not several, detail)


def _check_ran_once(outcome: Outcome) -> Check:
    non_idempotent = [r["id"] for r in outcome.requests if not r["idempotent"]]
    repeated = [name for name in non_idempotent if outcome.runs[name] > 1]
    detail = f"{len(repeated)} of {len(non_idempotent)} ran more than once"
    return Check("non-idempotent requests ran once", not repeated, detail)


def _check_drained(observations: Observations) -> Check:
    code = observations.drained_code
    detail = f"exit {code}" if code is not None else "still running"
    return Check("drained backend server left by itself", code == 0, detail)


def _check_clear_errors(observations: Observations) -> Check:
    unclear = [probe.name for probe in observations.probes if not probe.clear]
    detail = ", ".join(unclear) or f"{len(observations.probes)} kinds tried"
    passed = bool(observations.probes) and not unclear
    return Check("invalid input gave clear errors", passed, detail)


def _check_unexpected_ends(observations: Observations) -> Check:
    ended = observations.unexpected_ends
    detail = ", ".join(f"{name} exit {code}" for name, code in ended.items())
    return Check("no process stopped by itself", not ended, detail or "none")


def _records(
    layout: Layout, names: Sequence[str], kind: RecordKind
) -> list[dict[str, Any]]:
    return [
        record for name in names for record in read_records(layout.record(name), kind)
    ]


def _flows(
    layout: Layout, callers: list[str], requests: list[dict[str, Any]]
) -> Iterator[FlowSummary]:
    carried = _records(layout, ["fabric"], RecordKind.FLOW)
    by_caller = {record["caller"]: record for record in carried}
    answered = Counter(
        request["flow"]
        for request in requests
        if request["outcome"] == RequestOutcome.ANSWERED.value
    )
    last: dict[str, dict[str, Any]] = {}
    attempts: Counter[str] = Counter()
    for record in _records(layout, callers, RecordKind.FLOW):
        last[record["flow"]] = record
        attempts[record["flow"]] += 1
    for name, record in last.items():
        fabric_flow = by_caller.get(record["caller"], {})
        forward, back = fabric_flow.get("forward", {}), fabric_flow.get("back", {})
        yield FlowSummary(
            name=name,
            kind=record["flow_kind"],
            service=record["service"],
            outcome=record["outcome"],
            established=record["established"] or answered[name] > 0,
            attempts=attempts[name],
            planned=record["requests"],
            answered=answered[name],
            seconds=record["seconds"],
            packets=sum(forward.values()) + sum(back.values()),
            balancers=frozenset(forward) | frozenset(back),
            backend_servers=frozenset(fabric_flow.get("backend_servers", ())),
        )
