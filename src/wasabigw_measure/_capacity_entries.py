"""Cost of log entries by kind: size, and processor time at a voter and a balancer."""

import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from wasabigw.codec import messages
from wasabigw.core.apply import apply
from wasabigw.core.cluster import ClusterState
from wasabigw.core.commands import (
    BackendServerDown,
    BackendServerStep,
    BackendServerUp,
    CandidatesReleased,
    ChangeRequest,
    Command,
    NodeUp,
    ReportBatch,
    UpdateService,
)
from wasabigw.core.copying import copy_state
from wasabigw.core.ids import BucketNumber, RequestId, Revision, Seconds, Term
from wasabigw.core.log_messages import LogBatch, LogEntry
from wasabigw.core.membership import MembershipState, MembershipTick
from wasabigw.core.membership import handle as handle_membership
from wasabigw.tasks.packet_task import MAINTENANCE_TICK, PING_TICK
from wasabigw_measure._capacity_cluster import (
    boot_id,
    make_cluster,
    node,
    server_id,
    server_up,
    service,
)
from wasabigw_measure._capacity_follower import Follower, make_follower
from wasabigw_measure._capacity_model import Target

REPEATS = 5
"""Number of measured entries of each kind at each size; the median is used."""


@dataclass(frozen=True, slots=True)
class EntryCost:
    """Cost of one log entry of a kind at one cluster size.

    :param size: bytes in the response to a log poll.
    :param voter: seconds of processor time of ``apply`` at a voter.
    :param balancer: seconds of processor time of a packet task.
    """

    size: float
    voter: float
    balancer: float


@dataclass(frozen=True, slots=True)
class SizeCosts:
    """Processor times in seconds at one cluster size.

    :param entries: cost of an entry, by kind.
    :param load: installing a snapshot at a balancer.
    :param tick: one maintenance tick of a balancer.
    :param ping: one ping tick of a balancer.
    :param copy: copying the state for a snapshot of a voter.
    :param membership: one membership tick of the leader while the state is unchanged.
    :param membership_after_entry: one membership tick after the state has changed.
    """

    target: Target
    entries: dict[str, EntryCost]
    load: float
    tick: float
    ping: float
    copy: float
    membership: float
    membership_after_entry: float


def commands_by_kind(
    target: Target,
) -> dict[str, Callable[[int, ClusterState], Command]]:
    """Factories of commands by kind, for the n-th backend server, node or service."""
    return {
        "change of a service": _update_service(target),
        "backend server up (new boot)": lambda n, _: _make_batch(server_up(n, target)),
        "backend server step": _make_step,
        "backend server down": _make_down,
        "candidates released": _make_release,
        "node up (new incarnation)": lambda n, _: _make_batch(NodeUp(node(n, target))),
    }


def measure_size(target: Target) -> SizeCosts:
    """Measure the costs at one cluster size."""
    state = make_cluster(target)
    with make_follower(node(0, target)) as follower:
        load = follower.load(copy_state(state))
        entries = {
            kind: _measure_kind(make, state, follower)
            for kind, make in commands_by_kind(target).items()
        }
        tick = statistics.median(
            follower.tick(MAINTENANCE_TICK) for _ in range(REPEATS)
        )
        ping = statistics.median(follower.tick(PING_TICK) for _ in range(REPEATS))
    leader = MembershipState()
    changed = _cpu_time(lambda: _tick_membership(leader, state))
    unchanged = statistics.median(
        _cpu_time(lambda: _tick_membership(leader, state)) for _ in range(REPEATS)
    )
    copy_time = statistics.median(
        _cpu_time(lambda: copy_state(state)) for _ in range(REPEATS)
    )
    return SizeCosts(target, entries, load, tick, ping, copy_time, unchanged, changed)


def entry_bytes(commands: Sequence[Command]) -> int:
    """Bytes that entries add to the response to a log poll."""
    entries = tuple(LogEntry(Revision(100_000), Term(10), c) for c in commands)
    batch = LogBatch(Term(10), Revision(100_000), Seconds(1.4))
    filled = LogBatch(Term(10), Revision(100_000), Seconds(1.4), entries)
    return len(messages.encode(filled)) - len(messages.encode(batch))


def _measure_kind(
    make: Callable[[int, ClusterState], Command],
    state: ClusterState,
    follower: Follower,
) -> EntryCost:
    sizes, voter, balancer = [], [], []
    for number in range(1, REPEATS + 1):
        command = make(number, state)
        sizes.append(entry_bytes([command]))
        revision = Revision(state.revision + 1)
        voter.append(_cpu_time(lambda c=command, r=revision: apply(c, r, state)))  # type: ignore[misc]
        balancer.append(follower.apply([command]))
    return EntryCost(
        statistics.median(sizes), statistics.median(voter), statistics.median(balancer)
    )


def _cpu_time(action: Callable[[], object]) -> float:
    before = time.thread_time()
    action()
    return time.thread_time() - before


def _tick_membership(leader: MembershipState, state: ClusterState) -> None:
    handle_membership(MembershipTick(Seconds(time.monotonic()), state), leader)


def _make_batch(report: BackendServerUp | NodeUp) -> ReportBatch:
    return ReportBatch((report,))


def _update_service(target: Target) -> Callable[[int, ClusterState], Command]:
    def make(number: int, state: ClusterState) -> Command:
        changed = service(number % target.services, target, state.revision)
        request = RequestId(boot_id() * 2)
        return ChangeRequest(
            request, state.configuration_revision, UpdateService(changed)
        )

    return make


def _make_step(number: int, state: ClusterState) -> Command:
    known = state.backend_servers[server_id(number)]
    return ReportBatch((BackendServerStep(known.id, known.boot_id, 4),))


def _make_down(number: int, state: ClusterState) -> Command:
    known = state.backend_servers[server_id(number)]
    return ReportBatch((BackendServerDown(known.id, known.boot_id),))


def _make_release(number: int, state: ClusterState) -> Command:
    """Release a former candidate, which the steps measured before have left."""
    for name, table in state.buckets.items():
        for candidates in table.others.values():
            former = candidates[0].backend_server
            buckets = tuple(
                BucketNumber(b)
                for b, others in table.others.items()
                if any(c.backend_server == former for c in others)
            )
            release = CandidatesReleased(name, former, buckets, state.revision)
            return ReportBatch((release,))
    raise ValueError(
        "no bucket has a former candidate; measure backend server steps first"
    )
