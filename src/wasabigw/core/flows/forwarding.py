"""What a balancer tells the next one about a packet that it forwards."""

from dataclasses import dataclass, replace
from functools import lru_cache

import xxhash

from wasabigw.core.ids import NodeId

NO_CANDIDATE = 0xFFFFFFFF
"""Stands in place of a candidate for the balancer that wants the binding."""


@dataclass(frozen=True, slots=True)
class QueriedBalancer:
    """A balancer that carried a packet and does not know its flow.

    :param node_tag: see :func:`tag_of`.
    :param incomplete: whether it may lack records of the candidate's flows.
    :param candidate: index of the backend server it was queried for.
    """

    node_tag: int
    incomplete: bool
    candidate: int


@dataclass(frozen=True, slots=True)
class Forwarding:
    """How a packet came here.

    :param hops: balancers that have carried it before.
    :param resolve: the first balancer wants to learn the backend server.
    :param sample: sent through the home only to refresh its record.
    :param deliver: the candidate of the last entry of ``queried`` was chosen.
    :param copy: the home has recorded the flow there; the receiver is its backup,
        keeps a copy of the record and sends the packet.
    """

    hops: int
    bucket: int
    resolve: bool = False
    sample: bool = False
    deliver: bool = False
    copy: bool = False
    queried: tuple[QueriedBalancer, ...] = ()

    def origin(self) -> int | None:
        """Tag of the balancer that wants the binding."""
        if self.queried and self.queried[0].candidate == NO_CANDIDATE:
            return self.queried[0].node_tag
        return None

    def chosen(self) -> int | None:
        """Index of the candidate that was chosen, if one was."""
        if not self.deliver or not self.queried:
            return None
        return self.queried[-1].candidate

    def was_queried(self, node_tag: int, candidate: int) -> bool:
        """Whether a balancer was queried for a candidate."""
        return any(
            a.node_tag == node_tag and a.candidate == candidate for a in self.queried
        )

    def lacks_records(self, candidate: int) -> bool:
        """Whether each home that was queried for a candidate is incomplete."""
        answers = [a.incomplete for a in self.queried if a.candidate == candidate]
        return bool(answers) and all(answers)

    def with_queried(self, answers: tuple[QueriedBalancer, ...]) -> "Forwarding":
        """With further homes that do not know the flow."""
        new = tuple(a for a in answers if not self.was_queried(a.node_tag, a.candidate))
        if not new:
            return self
        return replace(self, queried=self.queried + new)

    def next_hop(self) -> "Forwarding":
        """As the next balancer receives it."""
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
        """With a chosen candidate."""
        chosen = QueriedBalancer(node_tag, False, candidate)
        kept = self.queried[:1] if self.origin() is not None else ()
        return replace(self, deliver=True, queried=(*kept, chosen))


@lru_cache(maxsize=4096)
def tag_of(node: NodeId) -> int:
    """Two-byte tag of a balancer in a FORWARD option."""
    return xxhash.xxh64_intdigest(node.encode()) & 0xFFFF
