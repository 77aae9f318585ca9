"""Metadata that a balancer sends along with a packet that it forwards."""

from dataclasses import dataclass, replace
from functools import lru_cache

import xxhash

from wasabigw.core.ids import NodeId

NO_CANDIDATE = 0xFFFFFFFF
"""Candidate index in the entry of the balancer that requests the binding."""


@dataclass(frozen=True, slots=True)
class QueriedBalancer:
    """A balancer that has no record of the flow of a packet, for one candidate.

    :param node_tag: see :func:`tag_of`.
    :param incomplete: it may lack records of flows of the candidate.
    :param candidate: index of the backend server.
    """

    node_tag: int
    incomplete: bool
    candidate: int


@dataclass(frozen=True, slots=True)
class Forwarding:
    """Path of a packet so far, and what the next balancer has to do with it.

    :param hops: number of balancers that have forwarded the packet.
    :param resolve: the first balancer requests a binding of the flow.
    :param sample: passes the home only to refresh its record.
    :param deliver: the candidate of the last entry of ``queried`` was chosen.
    :param copy: the home has recorded the flow at the chosen candidate; the receiver
        is its backup, stores a copy of the record and sends the packet.
    :param queried: balancers that have no record of the flow. The first entry may
        name the balancer that requests the binding, see :data:`NO_CANDIDATE`.
    """

    hops: int
    bucket: int
    resolve: bool = False
    sample: bool = False
    deliver: bool = False
    copy: bool = False
    queried: tuple[QueriedBalancer, ...] = ()

    def origin(self) -> int | None:
        """Tag of the balancer that requests the binding, if one does."""
        if self.queried and self.queried[0].candidate == NO_CANDIDATE:
            return self.queried[0].node_tag
        return None

    def chosen(self) -> int | None:
        """Index of the chosen candidate, if one was chosen."""
        if not self.deliver or not self.queried:
            return None
        return self.queried[-1].candidate

    def was_queried(self, node_tag: int, candidate: int) -> bool:
        """Whether a balancer has reported that it has no record for a candidate."""
        return any(
            entry.node_tag == node_tag and entry.candidate == candidate
            for entry in self.queried
        )

    def lacks_records(self, candidate: int) -> bool:
        """Whether all balancers queried for a candidate may lack records of it."""
        entries = [
            entry.incomplete for entry in self.queried if entry.candidate == candidate
        ]
        return bool(entries) and all(entries)

    def with_queried(self, entries: tuple[QueriedBalancer, ...]) -> "Forwarding":
        """Copy with further balancers that have no record of the flow."""
        new = tuple(
            entry
            for entry in entries
            if not self.was_queried(entry.node_tag, entry.candidate)
        )
        if not new:
            return self
        return replace(self, queried=self.queried + new)

    def next_hop(self) -> "Forwarding":
        """Copy for the next balancer, with one hop more."""
        return Forwarding(
            self.hops + 1,
            self.bucket,
            self.resolve,
            self.sample,
            self.deliver,
            self.copy,
            self.queried,
        )

    def delivering(self, node_tag: int, candidate: int) -> "Forwarding":
        """Copy with a chosen candidate in place of the queried balancers."""
        chosen = QueriedBalancer(node_tag, False, candidate)
        kept = self.queried[:1] if self.origin() is not None else ()
        return replace(self, deliver=True, queried=(*kept, chosen))


@lru_cache(maxsize=4096)
def tag_of(node: NodeId) -> int:
    """Two-byte hash that stands for a balancer in a FORWARD option."""
    return xxhash.xxh64_intdigest(node.encode()) & 0xFFFF
