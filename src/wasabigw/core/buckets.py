"""Bucket tables: which backend server takes the new flows of a bucket.

As in Beamer (Olteanu et al., NSDI 2018), a flow never changes its bucket, and a
bucket keeps the backend servers that may still hold older flows. Scores are
rendezvous hashes (Thaler and Ravishankar, 1998).
"""

from collections.abc import Container, Mapping, Sequence

import xxhash

from wasabigw.core.cluster import BucketTable, Candidate
from wasabigw.core.ids import BackendServerId, BucketNumber, FlowKey, Revision
from wasabigw.core.states import CandidateReason
from wasabigw.core.timing import BUCKETS_PER_SERVICE


def bucket_of(key: FlowKey) -> BucketNumber:
    """Bucket of a flow, the same in every process."""
    return BucketNumber(xxhash.xxh64_intdigest(key) % BUCKETS_PER_SERVICE)


def score(bucket: BucketNumber, name: str) -> int:
    """Rendezvous score of a name for a bucket."""
    return xxhash.xxh64_intdigest(name.encode(), seed=bucket)


def quotas(weights: Mapping[BackendServerId, float]) -> dict[BackendServerId, int]:
    """Number of buckets of each backend server, by the largest remainder method.

    :param weights: relative share of each backend server; zero or less means none.
    """
    positive = {name: weight for name, weight in weights.items() if weight > 0}
    total = sum(positive.values())
    if not positive:
        return {}
    exact = {name: BUCKETS_PER_SERVICE * w / total for name, w in positive.items()}
    result = {name: int(share) for name, share in exact.items()}
    missing = BUCKETS_PER_SERVICE - sum(result.values())
    by_remainder = sorted(exact, key=lambda name: (result[name] - exact[name], name))
    for name in by_remainder[:missing]:
        result[name] += 1
    return result


def assign_buckets(
    previous: Sequence[BackendServerId | None],
    weights: Mapping[BackendServerId, float],
) -> list[BackendServerId | None]:
    """Assignment that meets the quotas and moves as few buckets as possible.

    :param previous: present backend server of each bucket, ``None`` if it has none.
    :param weights: relative share of each backend server.
    :returns: new backend server of each bucket, all ``None`` without any positive
        weight.
    """
    remaining = quotas(weights)
    result: list[BackendServerId | None] = [None] * BUCKETS_PER_SERVICE
    for bucket in _by_descending_score(previous):
        owner = previous[bucket]
        if owner is not None and remaining.get(owner, 0) > 0:
            result[bucket] = owner
            remaining[owner] -= 1
    receivers = sorted(name for name, free in remaining.items() if free > 0)
    for index, owner in enumerate(result):
        if owner is not None or not receivers:
            continue
        best = _best_receiver(receivers, BucketNumber(index))
        result[index] = best
        remaining[best] -= 1
        if remaining[best] == 0:
            receivers.remove(best)
    return result


def _best_receiver(
    names: Sequence[BackendServerId], bucket: BucketNumber
) -> BackendServerId:
    return max(names, key=lambda name: score(bucket, name))


def _by_descending_score(
    previous: Sequence[BackendServerId | None],
) -> list[BucketNumber]:
    """Buckets by the score of their backend server, highest first."""
    numbers = [BucketNumber(bucket) for bucket in range(len(previous))]
    return sorted(numbers, key=lambda bucket: -score(bucket, previous[bucket] or ""))


def empty_table() -> BucketTable:
    """A table without any backend server."""
    return BucketTable(current=[None] * BUCKETS_PER_SERVICE)


def move_buckets(
    table: BucketTable,
    assignment: Sequence[BackendServerId | None],
    revision: Revision,
    alive: Container[BackendServerId],
) -> int:
    """Install an assignment and keep each former backend server as a candidate.

    :param alive: registered backend servers that may still hold flows.
    :returns: number of buckets that moved.
    """
    moved = 0
    for index, backend_server in enumerate(assignment):
        former = table.current[index]
        if former == backend_server:
            continue
        bucket = BucketNumber(index)
        excluded = (former, backend_server)
        others = [
            candidate
            for candidate in table.others.get(bucket, [])
            if candidate.backend_server not in excluded
        ]
        if former is not None:
            others.insert(0, Candidate(former, _reason(former, alive), revision))
        _set_others(table, bucket, others)
        table.current[index] = backend_server
        table.version += 1
        moved += 1
    return moved


def add_candidate(
    table: BucketTable, bucket: BucketNumber, candidate: Candidate
) -> None:
    """Add a backend server that may hold flows of a bucket, unless it is listed."""
    others = table.others.get(bucket, [])
    if any(c.backend_server == candidate.backend_server for c in others):
        return
    _set_others(table, bucket, [candidate, *others])


def release_candidates(
    table: BucketTable,
    backend_server: BackendServerId,
    buckets: Sequence[BucketNumber],
    up_to: Revision,
) -> None:
    """Remove a candidate that was added no later than a revision."""
    for bucket in buckets:
        kept = [
            candidate
            for candidate in table.others.get(bucket, [])
            if candidate.backend_server != backend_server or candidate.revision > up_to
        ]
        _set_others(table, bucket, kept)


def mark_departed(
    table: BucketTable, backend_server: BackendServerId, revision: Revision
) -> None:
    """Mark a candidate as departed in all buckets; its flows have ended."""
    departed = Candidate(backend_server, CandidateReason.DEPARTED, revision)
    for bucket, others in table.others.items():
        if not any(c.backend_server == backend_server for c in others):
            continue
        table.others[bucket] = [
            departed if candidate.backend_server == backend_server else candidate
            for candidate in others
        ]
        table.version += 1


def _reason(
    former: BackendServerId, alive: Container[BackendServerId]
) -> CandidateReason:
    if former in alive:
        return CandidateReason.FORMER
    return CandidateReason.DEPARTED


def _set_others(
    table: BucketTable, bucket: BucketNumber, others: list[Candidate]
) -> None:
    table.version += 1
    if others:
        table.others[bucket] = others
    else:
        table.others.pop(bucket, None)
