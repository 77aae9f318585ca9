"""Costs of polls, reports, announcements, storage and snapshots in the real tasks."""

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
    make_announcement_call,
    measure_exchange,
    until_answered,
)

SMALL_TARGET = Target(nodes=9, backend_servers=9, services=2)
VOTER = NodeId("voter-1")
LEADER_WAIT = Seconds(10.0)
APPENDS = 30
BATCH_SIZE = 64
"""Number of entries of the larger append."""


@dataclass(frozen=True, slots=True)
class SyncedAppend:
    """Median wall-clock seconds of an append, including its syncs.

    :param one: for a single entry.
    :param batch: for ``batch_entries`` entries.
    """

    one: float
    batch: float
    batch_entries: int


@dataclass(frozen=True, slots=True)
class SnapshotCost:
    """Cost of a snapshot of one size in the response to a log poll.

    :param size: bytes of JSON.
    :param compressed: bytes on the wire.
    :param encode: wall-clock seconds of encoding; the three others likewise.
    :param decode_peak: peak memory of decoding in bytes, including the result.
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
    """Cost of a log poll without new entries, at the only voter."""
    with _run_single_voter() as endpoint:
        poll = LogPoll(node(0, SMALL_TARGET), Revision(0), Seconds(0.0))
        _wait_for_leader(endpoint, poll)
        with ControlClient((endpoint,)) as client:
            batch = until_answered(lambda: client.call(_poll_call(poll)))
        current = LogPoll(poll.node, Revision(batch.committed), Seconds(0.0))
        return measure_exchange(endpoint, lambda: _poll_call(current), count)


def measure_report(count: int) -> Exchange:
    """Cost of a report of one ramp step, with commit and sync at the only voter."""
    with _run_single_voter() as endpoint:
        owner = node(0, SMALL_TARGET)
        _wait_for_leader(endpoint, LogPoll(owner, Revision(0), Seconds(0.0)))
        up = server_up(0, SMALL_TARGET)

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
    """Cost of the renewal of an announcement lease at the HTTP server of the home."""
    state = make_cluster(SMALL_TARGET)
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
    with make_follower(node(0, SMALL_TARGET)) as follower:
        follower.load(state)
        settings = BalancerApiSettings(LOOPBACK, "token")
        server = make_balancer_server(follower.task.mailbox, settings, Handover)
        with server:
            return measure_exchange(
                server.endpoint, lambda: make_announcement_call(announcement), count
            )


def measure_append() -> SyncedAppend:
    """Time of appends with sync in a temporary directory."""
    folder = Path(tempfile.mkdtemp())
    try:
        bootstrap(folder / "data", VOTER, Incarnation("1"), first=True).unwrap()
        with open_storage(folder / "data", VOTER).unwrap() as storage:
            single_times: list[float] = []
            batch_times: list[float] = []
            revision = 2
            for _ in range(APPENDS):
                for size, times in ((1, single_times), (BATCH_SIZE, batch_times)):
                    entries = _make_entries(revision, size)
                    times.append(_elapsed(lambda e=entries: storage.append(e).unwrap()))  # type: ignore[misc]
                    revision += size
    finally:
        shutil.rmtree(folder)
    return SyncedAppend(
        statistics.median(single_times), statistics.median(batch_times), BATCH_SIZE
    )


def measure_snapshot(target: Target) -> SnapshotCost:
    """Cost of the whole state as the response to a log poll."""
    state = make_cluster(target)
    batch = LogBatch(Term(1), state.revision, Seconds(1.4), (), state)
    encoded = b""

    def encode_batch() -> None:
        nonlocal encoded
        encoded = encode(batch, LogBatch | NotLeader)

    encode_time = _elapsed(encode_batch)
    decode_time = _elapsed(lambda: decode(encoded, LogBatch | NotLeader).unwrap())
    compressed_data = b""

    def compress_data() -> None:
        nonlocal compressed_data
        compressed_data = compressed(encoded)

    compress_time = _elapsed(compress_data)
    decompress_time = _elapsed(lambda: gzip.decompress(compressed_data))
    return SnapshotCost(
        target.services,
        len(encoded),
        len(compressed_data),
        encode_time,
        decode_time,
        compress_time,
        decompress_time,
        _decode_peak(encoded),
    )


def _decode_peak(encoded: bytes) -> int:
    tracemalloc.start()
    try:
        result = decode(encoded, LogBatch | NotLeader).unwrap()
        _, peak = tracemalloc.get_traced_memory()
        del result
    finally:
        tracemalloc.stop()
    return peak


def sent_bytes(body: bytes) -> int:
    """Size of a body as the HTTP server sends it, compressed if it is large."""
    return len(body) if len(body) < MIN_COMPRESSED_BYTES else len(compressed(body))


def apply_at_voter(commands: list[Command], state: ClusterState) -> float:
    """Apply commands in order and return the processor time in seconds."""
    before = time.thread_time()
    for command in commands:
        apply(command, Revision(state.revision + 1), state)
    return time.thread_time() - before


@contextmanager
def _run_single_voter() -> Iterator[Endpoint]:
    """Run a control plane with a single voter and a temporary data directory."""
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
            result = client.call(_poll_call(poll))
            batch = result.value_or(None)
            if isinstance(batch, LogBatch) and batch.committed > 2:
                return
            time.sleep(0.1)
    raise RuntimeError("timed out waiting for the single voter to become leader")


def _poll_call(poll: LogPoll) -> ControlCall:
    return ControlCall(
        "GET",
        "/v1/log",
        LogBatch | NotLeader,
        query=poll_to_query(poll),
        wait=poll.wait,
    )


def _make_entries(first: int, count: int) -> list[LogEntry]:
    return [
        LogEntry(
            Revision(first + number),
            Term(1),
            ReportBatch((server_up(number, SMALL_TARGET),)),
        )
        for number in range(count)
    ]


def _elapsed(action: Callable[[], object]) -> float:
    before = time.perf_counter()
    action()
    return time.perf_counter() - before
