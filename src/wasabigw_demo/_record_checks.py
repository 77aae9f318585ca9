"""Checks of the records of callers, backend servers and fabric after a fault.

The checks are the same for all faults, except for the flows that may break.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from wasabigw_demo._layout import Layout
from wasabigw_demo._outcome import UNFINISHED, Check
from wasabigw_demo.caller_app import FlowOutcome, RequestOutcome
from wasabigw_demo.records import RecordKind, read_records

MAX_SHOWN_NAMES = 4
NOT_RUN = (FlowOutcome.REFUSED.value, FlowOutcome.SHED.value)
BROKEN = (FlowOutcome.BROKEN.value, FlowOutcome.FAILED.value, UNFINISHED)


@dataclass(frozen=True, slots=True)
class TrafficRecords:
    """Records of one run.

    :param attempts: records of the attempts of all flows, from the callers.
    :param finished: records of the requests that have an outcome, from the callers.
    :param planned: number of requests that the callers planned.
    :param runs: records of the requests that backend servers ran.
    :param fabric_flows: records of the flows that the fabric carried.
    :param opened: records of the connections that backend servers accepted.
    :param strays: records of segments at a backend server whose flow neither it nor
        an earlier process on its address accepted.
    """

    attempts: list[dict[str, Any]]
    finished: list[dict[str, Any]]
    planned: int
    runs: list[dict[str, Any]]
    fabric_flows: list[dict[str, Any]]
    opened: list[dict[str, Any]]
    strays: list[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class Expectation:
    """Established flows that may break.

    :param backend_servers: ids of backend servers whose flows may break.
    """

    backend_servers: frozenset[str] = field(default_factory=frozenset)


def read_traffic(layout: Layout) -> TrafficRecords:
    """Read the records of a run that has ended."""
    callers = [caller.name for caller in layout.callers]
    backend_servers = [
        str(backend_server.id) for backend_server in layout.backend_servers
    ]
    opened = _read_with_server(layout, RecordKind.OPENED, "caller")
    accepted_flows = {(record["server"], record["flow"]) for record in opened}
    strays = [
        record
        for record in _read_with_server(layout, RecordKind.STRAY, "remote")
        if not record["opening"]
        and (record["server"], record["flow"]) not in accepted_flows
    ]
    summaries = _read(layout, callers, RecordKind.SUMMARY)
    return TrafficRecords(
        _read(layout, callers, RecordKind.FLOW),
        _read(layout, callers, RecordKind.REQUEST),
        sum(summary["planned_requests"] for summary in summaries),
        _read(layout, backend_servers, RecordKind.REQUEST),
        _read(layout, ["fabric"], RecordKind.FLOW),
        opened,
        strays,
    )


def check_traffic(layout: Layout, expected: Expectation) -> list[Check]:
    """Check the conditions that hold after every fault."""
    records = read_traffic(layout)
    rules: tuple[Callable[[], Check], ...] = (
        lambda: _check_answers(records),
        lambda: _check_all_answered(layout, records, expected),
        lambda: _check_ran_once(records),
        lambda: _check_not_run_after_refusal(records),
        lambda: _check_one_backend_server(records),
        lambda: _check_flows_unbroken(layout, records, expected),
    )
    return [rule() for rule in rules]


def backend_records(
    layout: Layout, name: str, kind: RecordKind
) -> list[dict[str, Any]]:
    """Records of one kind of a backend server."""
    return _read(layout, [name], kind)


def _check_answers(records: TrafficRecords) -> Check:
    wrong = [
        r["id"]
        for r in records.finished
        if r["outcome"] == RequestOutcome.WRONG_ANSWER.value
    ]
    right = sum(r["outcome"] == RequestOutcome.ANSWERED.value for r in records.finished)
    name = "every answer whole and at its caller"
    detail = f"{right} right, {len(wrong)} wrong{_name_list(wrong)}"
    return Check(name, right > 0 and not wrong, detail)


def _check_all_answered(
    layout: Layout, records: TrafficRecords, expected: Expectation
) -> Check:
    answered = {
        r["id"]
        for r in records.finished
        if r["outcome"] == RequestOutcome.ANSWERED.value
    }
    lost = {r["id"]: r["flow"] for r in records.finished if r["id"] not in answered}
    breakable_flows = _find_breakable_flows(layout, records, expected)
    unexpected = [name for name, flow in lost.items() if flow not in breakable_flows]
    missing = records.planned - len(answered) - len(lost)
    detail = (
        f"{len(answered)} of {records.planned} answered, "
        f"{len(lost) - len(unexpected)} lost with their backend server, "
        f"{len(unexpected)} lost otherwise, "
        f"{missing} without outcome{_name_list(unexpected)}"
    )
    return Check(
        "every other request answered", not unexpected and missing == 0, detail
    )


def _check_ran_once(records: TrafficRecords) -> Check:
    runs = Counter(run["id"] for run in records.runs if not run["idempotent"])
    repeated = [name for name, count in runs.items() if count > 1]
    detail = (
        f"{len(runs)} ran, {len(repeated)} of them repeatedly{_name_list(repeated)}"
    )
    return Check("no non-idempotent request ran twice", not repeated, detail)


def _check_not_run_after_refusal(records: TrafficRecords) -> Check:
    """Check that no request ran in an attempt in which it was refused."""
    refused = {
        (attempt["caller"], request)
        for attempt in records.attempts
        if attempt["outcome"] in NOT_RUN
        for request in attempt["unanswered"][:1]
    }
    ran = {(run["caller"], run["id"]) for run in records.runs}
    wrong = sorted(request for _, request in refused & ran)
    detail = (
        f"{len(refused)} refusals, {len(wrong)} ran all the same{_name_list(wrong)}"
    )
    return Check("none ran after a refusal", not wrong, detail)


def _check_one_backend_server(records: TrafficRecords) -> Check:
    """Check that each flow has one backend server, by the records of the servers.

    Only a SYN without an answer may be sent to another backend server.
    """
    servers: defaultdict[str, set[str]] = defaultdict(set)
    for record in records.opened:
        servers[record["flow"]].add(record["server"])
    for run in records.runs:
        servers[run["caller"]].add(run["server"])
    several = sorted(flow for flow, names in servers.items() if len(names) > 1)
    strays = sorted({record["flow"] for record in records.strays})
    detail = (
        f"{len(servers)} flows, {len(several)} served by several{_name_list(several)}, "
        f"{len(strays)} with packets at another{_name_list(strays)}"
    )
    passed = bool(servers) and not several and not strays
    return Check("one backend server for each flow", passed, detail)


def _check_flows_unbroken(
    layout: Layout, records: TrafficRecords, expected: Expectation
) -> Check:
    broken = [
        a
        for a in records.attempts
        if a["outcome"] in BROKEN and (a["established"] or a["service"] == "feed")
    ]
    breakable_flows = _find_breakable_flows(layout, records, expected)
    unexpected = [a["flow"] for a in broken if a["flow"] not in breakable_flows]
    established = sum(a["established"] for a in records.attempts)
    detail = (
        f"{established} established, {len(broken) - len(unexpected)} ended with their "
        f"backend server, {len(unexpected)} broke otherwise{_name_list(unexpected)}"
    )
    return Check("no other established flow broke", not unexpected, detail)


def _find_breakable_flows(
    layout: Layout, records: TrafficRecords, expected: Expectation
) -> set[str]:
    """Names of the flows with packets at backend servers whose flows may break."""
    endpoints = {
        f"{place.inner.address}:{place.inner.port}"
        for place in layout.backend_servers
        if place.id in expected.backend_servers
    }
    callers = {
        flow["caller"]
        for flow in records.fabric_flows
        if endpoints & {*flow["backend_servers"]}
    }
    return {a["flow"] for a in records.attempts if a["caller"] in callers}


def _read_with_server(
    layout: Layout, kind: RecordKind, flow: str
) -> list[dict[str, Any]]:
    """Records of all backend servers, with the keys ``server`` and ``flow`` added.

    :param flow: key of the caller's endpoint in the records.
    """
    return [
        {**record, "server": place.id, "flow": record[flow]}
        for place in layout.backend_servers
        for record in _read(layout, [place.id], kind)
    ]


def _read(
    layout: Layout, names: Sequence[str], kind: RecordKind
) -> list[dict[str, Any]]:
    return [
        record for name in names for record in read_records(layout.record(name), kind)
    ]


def _name_list(names: Sequence[str]) -> str:
    return f": {' '.join(names[:MAX_SHOWN_NAMES])}" if names else ""
