"""Descriptions of the changes that an entry of the replicated log made."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from wasabigw.core.cluster import BackendServer, BucketTable, ClusterState, Node
from wasabigw.core.ids import (
    BackendServerId,
    BucketNumber,
    FailureDomainId,
    NodeId,
    ServiceId,
)
from wasabigw.core.placement import home_of
from wasabigw.core.states import CandidateReason, FailureDomainState

CandidateSet = set[tuple[BucketNumber, BackendServerId, CandidateReason]]


@dataclass(slots=True)
class StateSummary:
    """The parts of the replicated state whose changes are described."""

    domains: dict[FailureDomainId, FailureDomainState] = field(default_factory=dict)
    nodes: dict[NodeId, Node] = field(default_factory=dict)
    servers: dict[BackendServerId, BackendServer] = field(default_factory=dict)
    homes: dict[BackendServerId, NodeId | None] = field(default_factory=dict)
    current: dict[ServiceId, list[BackendServerId | None]] = field(default_factory=dict)
    candidates: dict[ServiceId, CandidateSet] = field(default_factory=dict)


def summarize(state: ClusterState) -> StateSummary:
    """Copy the parts of the state that :func:`differences` compares."""
    servers = state.backend_servers
    return StateSummary(
        {name: domain.state for name, domain in state.failure_domains.items()},
        dict(state.nodes),
        dict(servers),
        {name: home_of(server, state) for name, server in servers.items()},
        {service: list(table.current) for service, table in state.buckets.items()},
        {service: _candidates(table) for service, table in state.buckets.items()},
    )


def _candidates(table: BucketTable) -> CandidateSet:
    return {
        (bucket, candidate.backend_server, candidate.reason)
        for bucket, others in table.others.items()
        for candidate in others
    }


def differences(before: StateSummary, after: StateSummary) -> Iterator[str]:
    """Describe each difference between two states in one line."""
    for domain, state in after.domains.items():
        if before.domains.get(domain, state) is not state:
            yield f"{domain} is {state.value}"
    yield from _nodes(before, after)
    yield from _servers(before, after)
    yield from _homes(before, after)
    for service in after.current:
        yield from _buckets(service, before, after)


def _nodes(before: StateSummary, after: StateSummary) -> Iterator[str]:
    for name, node in after.nodes.items():
        old = before.nodes.get(name)
        if old is None:
            yield f"balancer {name} is registered"
        elif old.incarnation != node.incarnation:
            yield f"balancer {name} is registered with a new incarnation"
        elif old.state is not node.state:
            yield f"balancer {name} is {node.state.value}"
    for name in sorted(before.nodes.keys() - after.nodes.keys()):
        yield f"balancer {name} is removed"


def _servers(before: StateSummary, after: StateSummary) -> Iterator[str]:
    for name, server in after.servers.items():
        old = before.servers.get(name)
        if old is None:
            yield f"{name} is up in {server.failure_domain} at step {server.step} of 8"
            continue
        if old.boot_id != server.boot_id:
            yield f"{name} has restarted, step {server.step} of 8"
        elif old.step != server.step:
            yield f"{name} goes from step {old.step} to {server.step} of 8"
        if old.state is not server.state:
            yield f"{name} is {server.state.value}"
    for name in sorted(before.servers.keys() - after.servers.keys()):
        yield f"{name} is removed"


def _homes(before: StateSummary, after: StateSummary) -> Iterator[str]:
    moved = [
        f"{server} {old} -> {after.homes[server]}"
        for server, old in before.homes.items()
        if server in after.homes and after.homes[server] != old
    ]
    if moved:
        yield f"homes move: {', '.join(moved)}"


def _buckets(
    service: ServiceId, before: StateSummary, after: StateSummary
) -> Iterator[str]:
    new = after.current[service]
    old = before.current.get(service, [None] * len(new))
    balance: Counter[BackendServerId | None] = Counter()
    moves = [(a, b) for a, b in zip(old, new, strict=True) if a != b]
    for source, destination in moves:
        balance[source] -= 1
        balance[destination] += 1
    texts = []
    if moves:
        shares = ", ".join(
            f"{name or 'none'} {count:+d}"
            for name, count in sorted(balance.items(), key=lambda item: str(item[0]))
        )
        texts.append(f"{len(moves)} buckets move ({shares})")
    old_candidates = before.candidates.get(service, set())
    new_candidates = after.candidates[service]
    changes = [
        *_count_reasons("+", new_candidates - old_candidates),
        *_count_reasons("-", old_candidates - new_candidates),
    ]
    if changes:
        texts.append(f"candidates {', '.join(changes)}")
    if texts:
        yield f"{service}: {'; '.join(texts)}"


def _count_reasons(sign: str, candidates: CandidateSet) -> list[str]:
    counts = Counter(reason.value for _, _, reason in candidates)
    return [f"{sign}{count} {name}" for name, count in sorted(counts.items())]
