"""Cost of polls, reports, announcements, storage and snapshots, by the real tasks."""

import gzip
import shutil
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from wasabigw.codec.log_poll import poll_to_query
from wasabigw.codec.messages import decode, encode
from wasabigw.core.apply import apply
from wasabigw.core.cluster import ClusterState, Endpoint
from wasabigw.core.commands import BackendServerStep, Command, ReportBatch
from wasabigw.core.flows.handover import Handover
from wasabigw.core.ids import (
    Incarnation,
    NodeId,
    RequestId,
    Revision,
    Seconds,
    Term,
)
from wasabigw.core.log_messages import (
    Announcement,
    ChangeOutcome,
    LogBatch,
    LogEntry,
    LogPoll,
    NotLeader,
    ReportRequest,
)
from wasabigw.runtime.timer import TimerService
from wasabigw.tasks.control_client import ControlCall, ControlClient
from wasabigw.tasks.control_plane import make_control_plane
from wasabigw.tasks.http_balancer import BalancerApiSettings, make_balancer_server
from wasabigw.tasks.http_server import MIN_COMPRESSED_BYTES, compressed
from wasabigw.tasks.storage import bootstrap, open_storage
from wasabigw.tasks.voter_settings import VoterSettings
from wasabigw_measure._capacity_cluster import (
    boot_id,
    make_cluster,
    node,
    server_id,
    server_up,
)
from wasabigw_measure._capacity_follower import LOOPBACK, make_follower
from wasabigw_measure._capacity_model import Target
from wasabigw_measure._capacity_wire import (
    Exchange,
    announcement_call,
    measure_exchange,
)

SMALL = Target(nodes=9, backend_servers=9, services=2)
VOTER = NodeId("voter-1")
LEADER_WAIT = Seconds(10.0)
APPENDS = 30
BATCH = 64
"""Entries of the larger append."""


@dataclass(frozen=True, slots=True)
class SyncedAppend:
    """Wall-clock seconds of an append with its syncs, median."""

    one: float
    batch: float
    batch_entries: int


@dataclass(frozen=True, slots=True)
class SnapshotCost:
    """A snapshot of one size as it travels in a log poll.

    :param size: bytes of JSON.
    :param compressed: bytes as they are sent.
    :param encode: seconds; so are the three others.
    :param decode_peak: bytes of memory while it is decoded, with the result.
    """

    services: int
    size: int
    compressed: int
    encode: float
    decode: float
    compress: float
    decompress: float
    decode_peak: int


def measure_poll(count: int) -> Exchange:
    """A log poll without news, at the leader of a single voter."""
    with _leader() as endpoint:
        poll = LogPoll(node(0, SMALL), Revision(0), Seconds(0.0))
        _wait_for_leader(endpoint, poll)
        with ControlClient((endpoint,)) as client:
            committed = client.call(_poll_call(poll)).unwrap().committed
        current = LogPoll(poll.node, Revision(committed), Seconds(0.0))
        return measure_exchange(endpoint, lambda: _poll_call(current), count)


def measure_report(count: int) -> Exchange:
    """A report of one ramp step, with its commit and sync by a single voter."""
    with _leader() as endpoint:
        owner = node(0, SMALL)
        _wait_for_leader(endpoint, LogPoll(owner, Revision(0), Seconds(0.0)))
        up = server_up(0, SMALL)

        def call() -> ControlCall:
            report = BackendServerStep(up.id, up.boot_id, 4)
            request = ReportRequest(
                RequestId(boot_id() * 2), owner.id, owner.incarnation, (report,)
            )
            return ControlCall(
                "POST",
                "/v1/reports",
                ChangeOutcome,
                body=encode(request),
                wait=Seconds(5.0),
            )

        return measure_exchange(endpoint, call, count)


def measure_announcement(count: int) -> Exchange:
    """A renewal of an announcement lease at the home, by the real HTTP server."""
    state = make_cluster(SMALL)
    known = state.backend_servers[server_id(0)]
    announcement = Announcement(
        known.id,
        known.service,
        known.failure_domain,
        known.endpoint,
        known.boot_id,
        known.state,
        known.slots,
        known.connections,
    )
    with make_follower(node(0, SMALL)) as follower:
        follower.load(state)
        settings = BalancerApiSettings(LOOPBACK, "token")
        server = make_balancer_server(follower.task.mailbox, settings, Handover)
        with server:
            return measure_exchange(
                server.endpoint, lambda: announcement_call(announcement), count
            )


def measure_append() -> SyncedAppend:
    """Append and sync of entries in a temporary directory."""
    folder = Path(tempfile.mkdtemp())
    try:
        bootstrap(folder / "data", VOTER, Incarnation("1"), first=True).unwrap()
        with open_storage(folder / "data", VOTER).unwrap() as storage:
            one: list[float] = []
            batch: list[float] = []
            revision = 2
            for _ in range(APPENDS):
                for size, times in ((1, one), (BATCH, batch)):
                    entries = _entries(revision, size)
                    times.append(_wall(lambda e=entries: storage.append(e).unwrap()))  # type: ignore[misc]
                    revision += size
    finally:
        shutil.rmtree(folder)
    return SyncedAppend(statistics.median(one), statistics.median(batch), BATCH)


def measure_snapshot(target: Target) -> SnapshotCost:
    """Encoding of a whole state as the answer of a log poll."""
    state = make_cluster(target)
    batch = LogBatch(Term(1), state.revision, Seconds(1.4), (), state)
    data = b""

    def to_text() -> None:
        nonlocal data
        data = encode(batch, LogBatch | NotLeader)

    encoding = _wall(to_text)
    decoding = _wall(lambda: decode(data, LogBatch | NotLeader).unwrap())
    packed = b""

    def pack() -> None:
        nonlocal packed
        packed = compressed(data)

    compressing = _wall(pack)
    decompressing = _wall(lambda: gzip.decompress(packed))
    return SnapshotCost(
        target.services,
        len(data),
        len(packed),
        encoding,
        decoding,
        compressing,
        decompressing,
        _decode_peak(data),
    )


def _decode_peak(data: bytes) -> int:
    tracemalloc.start()
    try:
        kept = decode(data, LogBatch | NotLeader).unwrap()
        _, peak = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return peak


def sent_bytes(body: bytes) -> int:
    """Bytes of a body as the HTTP server sends it."""
    return len(body) if len(body) < MIN_COMPRESSED_BYTES else len(compressed(body))


def apply_at_voter(commands: list[Command], state: ClusterState) -> float:
    """Processor time of ``apply`` for some commands in order."""
    before = time.thread_time()
    for command in commands:
        apply(command, Revision(state.revision + 1), state)
    return time.thread_time() - before


@contextmanager
def _leader() -> Iterator[Endpoint]:
    """Control plane of a single voter with a temporary data directory."""
    folder = Path(tempfile.mkdtemp())
    try:
        bootstrap(folder / "data", VOTER, Incarnation("1"), first=True).unwrap()
        storage = open_storage(folder / "data", VOTER).unwrap()
        settings = VoterSettings(VOTER, {VOTER: LOOPBACK})
        with TimerService() as timer:
            plane = make_control_plane(
                settings, "token", storage, apply, timer, LOOPBACK
            )
            with plane:
                yield plane.server.endpoint
    finally:
        shutil.rmtree(folder)


def _wait_for_leader(endpoint: Endpoint, poll: LogPoll) -> None:
    """Poll until the voter leads and has registered the balancer."""
    deadline = time.monotonic() + LEADER_WAIT
    with ControlClient((endpoint,)) as client:
        while time.monotonic() < deadline:
            answer = client.call(_poll_call(poll))
            batch = answer.value_or(None)
            if isinstance(batch, LogBatch) and batch.committed > 2:
                return
            time.sleep(0.1)
    raise RuntimeError("the single voter did not become leader in time")


def _poll_call(poll: LogPoll) -> ControlCall:
    return ControlCall(
        "GET",
        "/v1/log",
        LogBatch | NotLeader,
        query=poll_to_query(poll),
        wait=poll.wait,
    )


def _entries(first: int, count: int) -> list[LogEntry]:
    return [
        LogEntry(
            Revision(first + number),
            Term(1),
            ReportBatch((server_up(number, SMALL),)),
        )
        for number in range(count)
    ]


def _wall(action: Callable[[], object]) -> float:
    before = time.perf_counter()
    action()
    return time.perf_counter() - before
