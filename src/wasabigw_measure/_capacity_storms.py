"""Storms: bursts of log entries that many VMs cause at the same time.

They follow the loss of a rack or failure domain, and the start and end of a partition
between regions.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from wasabigw.codec.messages import encode
from wasabigw.core.cluster import BackendServer, ClusterState
from wasabigw.core.commands import (
    BackendServerDown,
    BackendServerUp,
    CandidatesAdded,
    ChangeRequest,
    Command,
    NodeDown,
    NodeSuspected,
    NodeUp,
    Report,
    ReportBatch,
    TakeFailureDomainOut,
)
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
"""Share of the VMs of a failure domain in one rack or behind one switch."""
BATCH_ENTRIES = 256
"""Number of entries in one response to a log poll."""


@dataclass(frozen=True, slots=True)
class Storm:
    """Cost of the log entries of one storm.

    :param name: description of the event.
    :param reports: number of reports in the entries.
    :param size: bytes sent to each balancer, before compression.
    :param compressed: bytes sent to each balancer, after compression.
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
    """Measure all storms, each on its own copy of the state of a cluster of a size."""
    state = make_cluster(target)
    domain_losses = _loss_reports(state, target, 1.0)
    rack_losses = _loss_reports(state, target, RACK_SHARE)
    take_out = ChangeRequest(
        RequestId(boot_id() * 2),
        state.configuration_revision,
        TakeFailureDomainOut(domain(0, target)),
    )
    diversion_reports = _diverted_reports(state, target)
    return [
        _measure_storm(
            "failure domain lost, as one batch",
            [ReportBatch(tuple(domain_losses))],
            state,
            target,
        ),
        _measure_storm(
            "failure domain lost, one entry for each home",
            _batches_by_home(domain_losses, target),
            state,
            target,
        ),
        _measure_storm(
            "failure domain taken out by an operator", [take_out], state, target
        ),
        _measure_storm(
            "rack or switch lost, as one batch",
            [ReportBatch(tuple(rack_losses))],
            state,
            target,
        ),
        _measure_storm(
            "regions meet again: diverted flows reported",
            _batches_by_home(diversion_reports, target),
            state,
            target,
        ),
        *_region_storms(state, target),
    ]


def _region_storms(state: ClusterState, target: Target) -> list[Storm]:
    """Measure a partition that cuts off a region for longer than 30 s, and its end.

    The leader removes nodes that stay suspected for ``SUSPICION_TIMEOUT``, 30 s.
    """
    region = domains_of_first_region(state)
    nodes = [n for n in state.nodes.values() if n.failure_domain in region]
    servers = [b for b in state.backend_servers.values() if b.failure_domain in region]
    suspected = ReportBatch(tuple(NodeSuspected(n.id, n.incarnation) for n in nodes))
    removed = ReportBatch(tuple(NodeDown(n.id, n.incarnation) for n in nodes))
    removal_reports: list[Report] = [
        BackendServerDown(b.id, b.boot_id) for b in servers
    ]
    removal_commands: list[Command] = [
        suspected,
        removed,
        *_batches_by_home(removal_reports, target),
    ]
    registration_reports: list[Report] = [_registration_report(b) for b in servers]
    return_commands: list[Command] = [
        ReportBatch(tuple(NodeUp(n) for n in nodes)),
        *_batches_by_home(registration_reports, target),
    ]
    state_after_removal = copy_state(state)
    apply_at_voter(removal_commands, state_after_removal)
    return [
        _measure_storm(
            "region cut off: its VMs are removed", removal_commands, state, target
        ),
        _measure_storm(
            "regions meet again: its VMs register",
            return_commands,
            state_after_removal,
            target,
        ),
    ]


def domains_of_first_region(state: ClusterState) -> frozenset[FailureDomainId]:
    """Failure domains in the region of the first failure domain."""
    domains = list(state.failure_domains.values())
    return frozenset(d.id for d in domains if d.region == domains[0].region)


def _registration_report(server: BackendServer) -> BackendServerUp:
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


def _loss_reports(state: ClusterState, target: Target, share: float) -> list[Report]:
    lost = domain(0, target)
    servers = [b for b in state.backend_servers.values() if b.failure_domain == lost]
    nodes = [n for n in state.nodes.values() if n.failure_domain == lost]
    removal_reports: list[Report] = [
        NodeDown(n.id, n.incarnation) for n in nodes[: _share_of(len(nodes), share)]
    ]
    lost_servers = servers[: _share_of(len(servers), share)]
    return removal_reports + [BackendServerDown(b.id, b.boot_id) for b in lost_servers]


def _share_of(count: int, share: float) -> int:
    return max(1, round(count * share))


def _batches_by_home(reports: Sequence[Report], target: Target) -> list[ReportBatch]:
    """Group reports into batches: one of the leader, and one per reporting home."""
    leader: list[Report] = [r for r in reports if isinstance(r, NodeDown)]
    others: list[Report] = [r for r in reports if not isinstance(r, NodeDown)]
    size = max(1, round(target.servers_per_node))
    parts = [leader]
    parts += [others[at : at + size] for at in range(0, len(others), size)]
    return [ReportBatch(tuple(batch)) for batch in parts if batch]


def _diverted_reports(state: ClusterState, target: Target) -> list[Report]:
    """Reports of diverted flows after a partition between one region and the others.

    On each side, flows of the buckets whose backend server is on the other side went
    to another backend server, which becomes an additional candidate of the bucket.
    """
    reports: list[Report] = []
    for name, table in state.buckets.items():
        members = sorted({b for b in table.current if b is not None})
        if len(members) < 2:
            continue
        for index, member in enumerate(members):
            receiver = members[(index + 1) % len(members)]
            buckets = tuple(
                BucketNumber(b) for b, c in enumerate(table.current) if c == member
            )
            reports.append(
                CandidatesAdded(name, receiver, buckets, CandidateReason.DIVERTED)
            )
    return reports


def _measure_storm(
    name: str, commands: Sequence[Command], state: ClusterState, target: Target
) -> Storm:
    first = state.revision + 1
    entries = tuple(
        LogEntry(Revision(first + n), Term(1), c) for n, c in enumerate(commands)
    )
    size = compressed = 0
    for at in range(0, len(entries), BATCH_ENTRIES):
        batch = entries[at : at + BATCH_ENTRIES]
        data = encode(LogBatch(Term(1), batch[-1].revision, Seconds(1.4), batch))
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
