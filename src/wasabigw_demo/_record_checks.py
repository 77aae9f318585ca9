"""What the records of callers, backend servers and the fabric say after a fault.

The conditions hold after every fault; only which flows may break depends on it.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from wasabigw_demo._layout import Layout
from wasabigw_demo._outcome import UNFINISHED, Check
from wasabigw_demo.caller_app import FlowOutcome, RequestOutcome
from wasabigw_demo.records import RecordKind, read_records

SHOWN_NAMES = 4
NOT_RUN = (FlowOutcome.REFUSED.value, FlowOutcome.SHED.value)
BROKEN = (FlowOutcome.BROKEN.value, FlowOutcome.FAILED.value, UNFINISHED)


@dataclass(frozen=True, slots=True)
class TrafficRecords:
    """Records of one run.

    :param attempts: record of each attempt of a flow, of all callers.
    :param answered: record of each request that has an outcome, of all callers.
    :param planned: requests that the callers planned.
    :param runs: record of each request that a backend server ran.
    :param uses: record of each flow that the fabric carried.
    :param opened: record of each connection that a backend server accepted.
    :param strays: record of each segment of a flow that a backend server, or its
        predecessor on the same address, never had.
    """

    attempts: list[dict[str, Any]]
    answered: list[dict[str, Any]]
    planned: int
    runs: list[dict[str, Any]]
    uses: list[dict[str, Any]]
    opened: list[dict[str, Any]]
    strays: list[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class Expectation:
    """Which established flows may break.

    :param backends: ids of backend servers whose flows may break.
    """

    backends: frozenset[str] = field(default_factory=frozenset)


def read_traffic(layout: Layout) -> TrafficRecords:
    """Records of a run that has ended."""
    callers = [caller.name for caller in layout.callers]
    backends = [str(backend.id) for backend in layout.backends]
    opened = _with_server(layout, RecordKind.OPENED, "caller")
    own = {(record["server"], record["flow"]) for record in opened}
    strays = [
        record
        for record in _with_server(layout, RecordKind.STRAY, "remote")
        if not record["opening"] and (record["server"], record["flow"]) not in own
    ]
    summaries = _read(layout, callers, RecordKind.SUMMARY)
    return TrafficRecords(
        _read(layout, callers, RecordKind.FLOW),
        _read(layout, callers, RecordKind.REQUEST),
        sum(summary["planned_requests"] for summary in summaries),
        _read(layout, backends, RecordKind.REQUEST),
        _read(layout, ["fabric"], RecordKind.FLOW),
        opened,
        strays,
    )


def check_traffic(layout: Layout, expected: Expectation) -> list[Check]:
    """Conditions that hold after every fault."""
    records = read_traffic(layout)
    rules: tuple[Callable[[], Check], ...] = (
        lambda: _answers_right(records),
        lambda: _all_answered(layout, records, expected),
        lambda: _ran_once(records),
        lambda: _not_run_after_refusal(records),
        lambda: _one_backend_server(records),
        lambda: _flows_unbroken(layout, records, expected),
    )
    return [rule() for rule in rules]


def backend_records(
    layout: Layout, name: str, kind: RecordKind
) -> list[dict[str, Any]]:
    """Records of one kind of a backend server."""
    return _read(layout, [name], kind)


def _answers_right(records: TrafficRecords) -> Check:
    wrong = [
        r["id"]
        for r in records.answered
        if r["outcome"] == RequestOutcome.WRONG_ANSWER.value
    ]
    right = sum(r["outcome"] == RequestOutcome.ANSWERED.value for r in records.answered)
    name = "every answer whole and at its caller"
    detail = f"{right} right, {len(wrong)} wrong{_shown(wrong)}"
    return Check(name, right > 0 and not wrong, detail)


def _all_answered(
    layout: Layout, records: TrafficRecords, expected: Expectation
) -> Check:
    answered = {
        r["id"]
        for r in records.answered
        if r["outcome"] == RequestOutcome.ANSWERED.value
    }
    lost = {r["id"]: r["flow"] for r in records.answered if r["id"] not in answered}
    may_break = _flows_on(layout, records, expected)
    bad = [name for name, flow in lost.items() if flow not in may_break]
    missing = records.planned - len(answered) - len(lost)
    detail = (
        f"{len(answered)} of {records.planned} answered, "
        f"{len(lost) - len(bad)} lost with their backend server, "
        f"{len(bad)} lost otherwise, {missing} without outcome{_shown(bad)}"
    )
    return Check("every other request answered", not bad and missing == 0, detail)


def _ran_once(records: TrafficRecords) -> Check:
    runs = Counter(run["id"] for run in records.runs if not run["idempotent"])
    repeated = [name for name, count in runs.items() if count > 1]
    detail = f"{len(runs)} ran, {len(repeated)} of them repeatedly{_shown(repeated)}"
    return Check("no non-idempotent request ran twice", not repeated, detail)


def _not_run_after_refusal(records: TrafficRecords) -> Check:
    """A request that was refused in one attempt did not run in that attempt."""
    refused = {
        (attempt["caller"], request)
        for attempt in records.attempts
        if attempt["outcome"] in NOT_RUN
        for request in attempt["unanswered"][:1]
    }
    ran = {(run["caller"], run["id"]) for run in records.runs}
    wrong = sorted(request for _, request in refused & ran)
    detail = f"{len(refused)} refusals, {len(wrong)} ran all the same{_shown(wrong)}"
    return Check("none ran after a refusal", not wrong, detail)


def _one_backend_server(records: TrafficRecords) -> Check:
    """By the records of the backend servers.

    A SYN that got no answer may be sent to another one; nothing else may.
    """
    servers: defaultdict[str, set[str]] = defaultdict(set)
    for record in records.opened:
        servers[record["flow"]].add(record["server"])
    for run in records.runs:
        servers[run["caller"]].add(run["server"])
    several = sorted(flow for flow, names in servers.items() if len(names) > 1)
    strays = sorted({record["flow"] for record in records.strays})
    detail = (
        f"{len(servers)} flows, {len(several)} served by several{_shown(several)}, "
        f"{len(strays)} with packets at another{_shown(strays)}"
    )
    passed = bool(servers) and not several and not strays
    return Check("one backend server for each flow", passed, detail)


def _flows_unbroken(
    layout: Layout, records: TrafficRecords, expected: Expectation
) -> Check:
    broken = [
        a
        for a in records.attempts
        if a["outcome"] in BROKEN and (a["established"] or a["service"] == "feed")
    ]
    may_break = _flows_on(layout, records, expected)
    bad = [a["flow"] for a in broken if a["flow"] not in may_break]
    established = sum(a["established"] for a in records.attempts)
    detail = (
        f"{established} established, {len(broken) - len(bad)} ended with their "
        f"backend server, {len(bad)} broke otherwise{_shown(bad)}"
    )
    return Check("no other established flow broke", not bad, detail)


def _flows_on(
    layout: Layout, records: TrafficRecords, expected: Expectation
) -> set[str]:
    """Names of the flows that reached backend servers whose flows may break."""
    endpoints = {
        f"{place.inner.address}:{place.inner.port}"
        for place in layout.backends
        if place.id in expected.backends
    }
    callers = {
        use["caller"] for use in records.uses if endpoints & {*use["backend_servers"]}
    }
    return {a["flow"] for a in records.attempts if a["caller"] in callers}


def _with_server(layout: Layout, kind: RecordKind, flow: str) -> list[dict[str, Any]]:
    """Records of all backend servers, with the server and the caller's endpoint."""
    return [
        {**record, "server": place.id, "flow": record[flow]}
        for place in layout.backends
        for record in _read(layout, [place.id], kind)
    ]


def _read(
    layout: Layout, names: Sequence[str], kind: RecordKind
) -> list[dict[str, Any]]:
    return [
        record for name in names for record in read_records(layout.record(name), kind)
    ]


def _shown(names: Sequence[str]) -> str:
    return f": {' '.join(names[:SHOWN_NAMES])}" if names else ""
