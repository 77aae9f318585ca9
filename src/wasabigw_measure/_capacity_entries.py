"""Cost of a log entry by kind: bytes, and processor time at a voter and a balancer."""

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
"""Entries of each kind at each size; the median counts."""


@dataclass(frozen=True, slots=True)
class EntryCost:
    """Cost of one log entry of a kind at one size.

    :param size: bytes in a log poll.
    :param voter: seconds of processor time of ``apply`` at a voter.
    :param balancer: seconds of processor time of a packet task.
    """

    size: float
    voter: float
    balancer: float


@dataclass(frozen=True, slots=True)
class SizeCosts:
    """What was measured at one size.

    :param entries: by kind.
    :param load: seconds of a balancer to take over a snapshot.
    :param tick: seconds of one upkeep tick of a balancer.
    :param ping: seconds to choose and send the pings of one second.
    :param copy: seconds to copy the state for a snapshot of a voter.
    :param membership: seconds of one membership tick of the leader.
    :param membership_after_entry: the same after the state has changed.
    """

    target: Target
    entries: dict[str, EntryCost]
    load: float
    tick: float
    ping: float
    copy: float
    membership: float
    membership_after_entry: float


def kinds(target: Target) -> dict[str, Callable[[int, ClusterState], Command]]:
    """A command of each kind, for the n-th backend server, node or service."""
    return {
        "change of a service": _update_service(target),
        "backend server up (new boot)": lambda n, _: _batch(server_up(n, target)),
        "backend server step": _step,
        "backend server down": _down,
        "candidates released": _released,
        "node up (new incarnation)": lambda n, _: _batch(NodeUp(node(n, target))),
    }


def measure_size(target: Target) -> SizeCosts:
    """Costs at one size, by the real code of voter and balancer."""
    state = make_cluster(target)
    with make_follower(node(0, target)) as follower:
        load = follower.load(copy_state(state))
        entries = {
            kind: _measure_kind(make, state, follower)
            for kind, make in kinds(target).items()
        }
        tick = statistics.median(
            follower.tick(MAINTENANCE_TICK) for _ in range(REPEATS)
        )
        ping = statistics.median(follower.tick(PING_TICK) for _ in range(REPEATS))
    leader = MembershipState()
    changed = _cpu(lambda: _membership(leader, state))
    unchanged = statistics.median(
        _cpu(lambda: _membership(leader, state)) for _ in range(REPEATS)
    )
    copying = statistics.median(_cpu(lambda: copy_state(state)) for _ in range(REPEATS))
    return SizeCosts(target, entries, load, tick, ping, copying, unchanged, changed)


def entry_bytes(commands: Sequence[Command]) -> int:
    """Bytes that entries add to the answer of a log poll."""
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
        voter.append(_cpu(lambda c=command, r=revision: apply(c, r, state)))  # type: ignore[misc]
        balancer.append(follower.apply([command]))
    return EntryCost(
        statistics.median(sizes), statistics.median(voter), statistics.median(balancer)
    )


def _cpu(action: Callable[[], object]) -> float:
    before = time.thread_time()
    action()
    return time.thread_time() - before


def _membership(leader: MembershipState, state: ClusterState) -> None:
    handle_membership(MembershipTick(Seconds(time.monotonic()), state), leader)


def _batch(report: BackendServerUp | NodeUp) -> ReportBatch:
    return ReportBatch((report,))


def _update_service(target: Target) -> Callable[[int, ClusterState], Command]:
    def make(number: int, state: ClusterState) -> Command:
        changed = service(number % target.services, target, state.revision)
        request = RequestId(boot_id() * 2)
        return ChangeRequest(
            request, state.configuration_revision, UpdateService(changed)
        )

    return make


def _step(number: int, state: ClusterState) -> Command:
    known = state.backend_servers[server_id(number)]
    return ReportBatch((BackendServerStep(known.id, known.boot_id, 4),))


def _down(number: int, state: ClusterState) -> Command:
    known = state.backend_servers[server_id(number)]
    return ReportBatch((BackendServerDown(known.id, known.boot_id),))


def _released(number: int, state: ClusterState) -> Command:
    """Release of a former candidate that the earlier kinds have left."""
    for name, table in state.buckets.items():
        for found in table.others.values():
            former = found[0].backend_server
            buckets = tuple(
                BucketNumber(b)
                for b, others in table.others.items()
                if any(c.backend_server == former for c in others)
            )
            release = CandidatesReleased(name, former, buckets, state.revision)
            return ReportBatch((release,))
    raise ValueError("no bucket has a former candidate; measure the steps first")
