"""Storms: loss of a rack or failure domain, a cut between regions and its healing."""

from collections.abc import Sequence
from dataclasses import dataclass

from wasabigw.codec.messages import encode
from wasabigw.core.cluster import BackendServer, ClusterState
from wasabigw.core.commands import (
    BackendServerDown,
    BackendServerUp,
    CandidatesAdded,
    Command,
    NodeDown,
    NodeSuspected,
    NodeUp,
    Report,
    ReportBatch,
    TakeFailureDomainOut,
)
from wasabigw.core.commands import ChangeRequest as Change
from wasabigw.core.copying import copy_state
from wasabigw.core.ids import (
    BucketNumber,
    FailureDomainId,
    RequestId,
    Revision,
    Seconds,
    Term,
)
from wasabigw.core.log_messages import LogBatch, LogEntry
from wasabigw.core.states import CandidateReason
from wasabigw_measure._capacity_cluster import (
    boot_id,
    domain,
    make_cluster,
    node,
)
from wasabigw_measure._capacity_control import apply_at_voter, sent_bytes
from wasabigw_measure._capacity_follower import make_follower
from wasabigw_measure._capacity_model import Target

RACK_SHARE = 1 / 20
"""Share of the VMs of a failure domain that one rack or switch carries."""
BATCH_ENTRIES = 256
"""Entries that one answer to a log poll carries."""


@dataclass(frozen=True, slots=True)
class Storm:
    """Entries that many VMs cause together.

    :param name: what happened.
    :param reports: reports in the entries.
    :param size: bytes for each balancer before compression.
    :param compressed: bytes for each balancer as they are sent.
    :param voter: seconds of processor time at a voter.
    :param balancer: seconds of processor time at a balancer.
    """

    name: str
    entries: int
    reports: int
    size: int
    compressed: int
    voter: float
    balancer: float


def measure_storms(target: Target) -> list[Storm]:
    """All storms on a cluster of a size, each on a fresh copy of the state."""
    state = make_cluster(target)
    whole = _losses(state, target, 1.0)
    rack = _losses(state, target, RACK_SHARE)
    out = Change(
        RequestId(boot_id() * 2),
        state.configuration_revision,
        TakeFailureDomainOut(domain(0, target)),
    )
    diverted = _diverted(state, target)
    return [
        _storm(
            "failure domain lost, as one batch",
            [ReportBatch(tuple(whole))],
            state,
            target,
        ),
        _storm(
            "failure domain lost, one entry for each home",
            _by_home(whole, target),
            state,
            target,
        ),
        _storm("failure domain taken out by an operator", [out], state, target),
        _storm(
            "rack or switch lost, as one batch",
            [ReportBatch(tuple(rack))],
            state,
            target,
        ),
        _storm(
            "regions meet again: diverted flows reported",
            _by_home(diverted, target),
            state,
            target,
        ),
        *_region_storms(state, target),
    ]


def _region_storms(state: ClusterState, target: Target) -> list[Storm]:
    """A region that is cut off for longer than the guard of 30 s, and its return."""
    region = domain_region(state)
    nodes = [n for n in state.nodes.values() if n.failure_domain in region]
    servers = [b for b in state.backend_servers.values() if b.failure_domain in region]
    suspected = ReportBatch(tuple(NodeSuspected(n.id, n.incarnation) for n in nodes))
    removed = ReportBatch(tuple(NodeDown(n.id, n.incarnation) for n in nodes))
    downs: list[Report] = [BackendServerDown(b.id, b.boot_id) for b in servers]
    cut: list[Command] = [suspected, removed, *_by_home(downs, target)]
    ups: list[Report] = [_up_again(b) for b in servers]
    back: list[Command] = [
        ReportBatch(tuple(NodeUp(n) for n in nodes)),
        *_by_home(ups, target),
    ]
    after = copy_state(state)
    apply_at_voter(cut, after)
    return [
        _storm("region cut off: its VMs are removed", cut, state, target),
        _storm("regions meet again: its VMs register", back, after, target),
    ]


def domain_region(state: ClusterState) -> frozenset[FailureDomainId]:
    """Failure domains of the region of the first one."""
    domains = list(state.failure_domains.values())
    return frozenset(d.id for d in domains if d.region == domains[0].region)


def _up_again(server: BackendServer) -> BackendServerUp:
    return BackendServerUp(
        server.id,
        server.service,
        server.failure_domain,
        server.endpoint,
        server.boot_id,
        server.slots,
        server.connections,
        server.state,
        server.step,
    )


def _losses(state: ClusterState, target: Target, share: float) -> list[Report]:
    lost = domain(0, target)
    servers = [b for b in state.backend_servers.values() if b.failure_domain == lost]
    nodes = [n for n in state.nodes.values() if n.failure_domain == lost]
    downs: list[Report] = [
        NodeDown(n.id, n.incarnation) for n in nodes[: _part(len(nodes), share)]
    ]
    kept = servers[: _part(len(servers), share)]
    return downs + [BackendServerDown(b.id, b.boot_id) for b in kept]


def _part(count: int, share: float) -> int:
    return max(1, round(count * share))


def _by_home(reports: Sequence[Report], target: Target) -> list[ReportBatch]:
    """Reports as the homes of the other balancers send them, each with its own."""
    leader: list[Report] = [r for r in reports if isinstance(r, NodeDown)]
    others: list[Report] = [r for r in reports if not isinstance(r, NodeDown)]
    size = max(1, round(target.servers_per_node))
    parts = [leader]
    parts += [others[at : at + size] for at in range(0, len(others), size)]
    return [ReportBatch(tuple(part)) for part in parts if part]


def _diverted(state: ClusterState, target: Target) -> list[Report]:
    """Candidates after a cut of one region from the others.

    On each side the buckets whose backend server is on the other side have taken
    flows at another one: each bucket gets one candidate more.
    """
    reports: list[Report] = []
    for name, table in state.buckets.items():
        members = sorted({b for b in table.current if b is not None})
        if len(members) < 2:
            continue
        for place, member in enumerate(members):
            taker = members[(place + 1) % len(members)]
            buckets = tuple(
                BucketNumber(b) for b, c in enumerate(table.current) if c == member
            )
            reports.append(
                CandidatesAdded(name, taker, buckets, CandidateReason.DIVERTED)
            )
    return reports


def _storm(
    name: str, commands: Sequence[Command], state: ClusterState, target: Target
) -> Storm:
    first = state.revision + 1
    entries = tuple(
        LogEntry(Revision(first + n), Term(1), c) for n, c in enumerate(commands)
    )
    size = compressed = 0
    for at in range(0, len(entries), BATCH_ENTRIES):
        part = entries[at : at + BATCH_ENTRIES]
        data = encode(LogBatch(Term(1), part[-1].revision, Seconds(1.4), part))
        size += len(data)
        compressed += sent_bytes(data)
    voter = apply_at_voter(list(commands), copy_state(state))
    with make_follower(node(1, target)) as follower:
        follower.load(copy_state(state))
        balancer = sum(
            follower.apply(commands[at : at + BATCH_ENTRIES])
            for at in range(0, len(commands), BATCH_ENTRIES)
        )
    reports = sum(len(c.reports) if isinstance(c, ReportBatch) else 1 for c in commands)
    return Storm(name, len(commands), reports, size, compressed, voter, balancer)
