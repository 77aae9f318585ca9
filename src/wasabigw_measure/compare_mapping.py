"""Compare schemes that map flows to backend servers.

Run it with ``python -m wasabigw_measure.compare_mapping``. It prints the table of
docs/measurements.md and asserts nothing.
"""

import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import singledispatch
from typing import Annotated

import requests
import typer

from wasabigw.codec import messages
from wasabigw.core.cluster import BackendServer, Endpoint, Node, Service
from wasabigw.core.commands import BackendServerUp, NodeUp, Report, ReportBatch
from wasabigw.core.flows import records
from wasabigw.core.flows.targets import make_target, prepare_nothing
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    BucketNumber,
    FailureDomainId,
    FlowKey,
    Incarnation,
    NodeId,
    Revision,
    Seconds,
    ServiceId,
    Term,
)
from wasabigw.core.log_messages import (
    Announcement,
    AnnouncementAccepted,
    LogBatch,
    LogEntry,
    LogPoll,
)
from wasabigw.core.states import BackendServerState, Protocol
from wasabigw.core.timing import ANNOUNCE_INTERVAL, ANNOUNCE_LEASE, LOG_POLL_WAIT
from wasabigw_measure._mapping_buckets import FlowRecord, StableBuckets
from wasabigw_measure._mapping_owner import FlowOwner
from wasabigw_measure._mapping_project import ProjectDecisions
from wasabigw_measure._mapping_run import Run, RunResult
from wasabigw_measure._mapping_scheme import Scheme
from wasabigw_measure._mapping_stateless import HashModulo, Rendezvous
from wasabigw_measure._mapping_tables import JustEnoughTracking, Maglev
from wasabigw_measure._mapping_world import (
    BACKEND_SERVERS,
    BALANCERS,
    HORIZON,
)

RESPONSE_HEADER_BYTES = 160
"""Size of the status line and headers of an HTTP response."""
MEASURED_ENTRY_COUNT = 10_000
_ENDPOINT = Endpoint("10.20.30.40", 8080)

SCHEMES: tuple[Callable[[], Scheme], ...] = (
    lambda: HashModulo("hash modulo live servers"),
    lambda: Rendezvous("rendezvous without state"),
    lambda: Maglev("Maglev, table per balancer"),
    lambda: JustEnoughTracking("JET style, table per balancer"),
    lambda: FlowOwner("owner without backup"),
    lambda: FlowOwner("owner, former choices on a miss", query_former_choices=True),
    lambda: StableBuckets("stable buckets, home, view lease, without backup"),
    lambda: ProjectDecisions("the project's decisions"),
)

_COLUMNS = (
    "scheme",
    "seed",
    "broken %",
    "misdirected",
    "reset",
    "timed out",
    "not opened",
    "imbalance",
    "forwarded %",
    "queries/1000",
    "control B/s/node",
    "entries/flow",
    "B/flow",
)


@dataclass(frozen=True, slots=True)
class SharedCosts:
    """Control traffic that every scheme causes.

    :param bytes_per_second: of the log polls of a balancer and of its share of the
        announcements.
    :param server_entry_bytes: size of a log entry that registers a backend server.
    :param node_entry_bytes: size of a log entry that registers a balancer.
    """

    bytes_per_second: float
    server_entry_bytes: int
    node_entry_bytes: int


def shared_costs() -> SharedCosts:
    """Compute the shared costs from the encoded messages of the project."""
    endpoint = _ENDPOINT
    failure_domain = FailureDomainId("zone-a")
    node = Node(
        NodeId("balancer-1"), failure_domain, endpoint, endpoint, Incarnation("0" * 16)
    )
    server = BackendServerId("server-1")
    service = ServiceId("service")
    boot = BootId("0" * 16)
    state = BackendServerState.READY
    announcement = Announcement(
        server, service, failure_domain, endpoint, boot, state, 4, 2000
    )
    accepted = AnnouncementAccepted(ANNOUNCE_LEASE, node.id)
    announcing = http_bytes(announcement, accepted) / ANNOUNCE_INTERVAL
    poll = LogPoll(node, Revision(1000), LOG_POLL_WAIT)
    batch = LogBatch(Term(1), Revision(1000), Seconds(1.4))
    polling = http_bytes(poll, batch) / LOG_POLL_WAIT
    up = BackendServerUp(
        server, service, failure_domain, endpoint, boot, 4, 2000, state, 8
    )
    share = BACKEND_SERVERS / BALANCERS
    return SharedCosts(
        polling + announcing * share, _entry_bytes(up), _entry_bytes(NodeUp(node))
    )


def _entry_bytes(report: Report) -> int:
    entry_bytes = LogEntry(Revision(1000), Term(1), ReportBatch((report,)))
    return len(messages.encode(entry_bytes))


def http_bytes(request: object, response: object) -> int:
    """Size of a POST request with an encoded message and of its response."""
    call = requests.Request(
        "POST", "http://10.20.30.40:8080/v1/messages", data=messages.encode(request)
    )
    prepared = requests.Session().prepare_request(call)
    headers = sum(len(k) + len(v) + 4 for k, v in prepared.headers.items())
    first_line = len(f"POST {prepared.path_url} HTTP/1.1\r\n\r\n")
    sent = first_line + headers + len(prepared.body or b"")
    return sent + RESPONSE_HEADER_BYTES + len(messages.encode(response))


@singledispatch
def fill_entries(scheme: Scheme) -> object:
    """Table with :data:`MEASURED_ENTRY_COUNT` flow entries of a key and a record."""
    return {
        FlowKey(number.to_bytes(13)): FlowRecord(
            BackendServerId("server"), BucketNumber(number % 256), Seconds(number * 0.5)
        )
        for number in range(MEASURED_ENTRY_COUNT)
    }


@fill_entries.register
def _(scheme: ProjectDecisions) -> object:
    """Flow table of a home, the upper bound: a cached binding is smaller."""
    backend_server = BackendServer(
        BackendServerId("server"),
        0,
        ServiceId("service"),
        FailureDomainId("zone-a"),
        _ENDPOINT,
        BootId("boot"),
        4,
        2000,
    )
    service = Service(
        ServiceId("service"), _ENDPOINT, Protocol.TCP, (FailureDomainId("zone-a"),)
    )
    target = make_target(backend_server, service, True, prepare_nothing)
    table = records.FlowTable()
    for number in range(MEASURED_ENTRY_COUNT):
        now = Seconds(number * 0.5)
        record = records.FlowRecord(
            target, BucketNumber(number % 256), now, now, slot_held=True
        )
        records.insert(table, FlowKey(number.to_bytes(13)), record)
    return table


def bytes_per_entry(scheme: Scheme) -> float:
    """Memory of one flow entry, including its share of the table."""
    tracemalloc.start()
    table = fill_entries(scheme)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del table
    return used / MEASURED_ENTRY_COUNT


def control_rate(measured: RunResult, costs: SharedCosts) -> float:
    """Control bytes per second of a balancer."""
    entries = measured.server_changes * costs.server_entry_bytes
    entries += measured.node_changes * costs.node_entry_bytes
    entries += measured.proposed_bytes
    own_bytes = entries + measured.control_bytes / BALANCERS
    return costs.bytes_per_second + own_bytes / HORIZON


def _row(
    name: str, seed: int, measured: RunResult, costs: SharedCosts, entry_bytes: float
) -> tuple[str, ...]:
    return (
        name,
        str(seed),
        f"{100 * measured.broken / measured.opened:.2f}",
        str(measured.misdirected),
        str(measured.reset),
        str(measured.timed_out),
        str(measured.never_opened),
        f"{measured.mean_imbalance:.2f}",
        f"{100 * measured.forwards / measured.packets:.1f}",
        f"{1000 * measured.queries / measured.packets:.2f}",
        f"{control_rate(measured, costs):.0f}",
        f"{measured.mean_entries:.2f}",
        f"{measured.mean_entries * entry_bytes:.0f}",
    )


def _print_row(cells: Sequence[str]) -> None:
    print("| " + " | ".join(cells) + " |", flush=True)


application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@application.command()
def main(
    seed: Annotated[
        list[int] | None, typer.Option(help="Seed; may be repeated.")
    ] = None,
) -> None:
    """Run each scheme under the same workload and changes, and print a table."""
    costs = shared_costs()
    print(f"shared control traffic: {costs.bytes_per_second:.0f} B/s per node\n")
    _print_row(_COLUMNS)
    _print_row(["---"] * len(_COLUMNS))
    for make_scheme in SCHEMES:
        for number in seed or [1, 2]:
            scheme = make_scheme()
            entry_bytes = bytes_per_entry(scheme)
            measured = Run(scheme, number).run()
            _print_row(_row(scheme.name, number, measured, costs, entry_bytes))


if __name__ == "__main__":
    application()
