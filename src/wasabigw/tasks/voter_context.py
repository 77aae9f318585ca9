"""State of the voter that its parts need to answer a call."""

from dataclasses import dataclass

from wasabigw.core.cluster import ClusterState, Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.log_messages import NotLeader


@dataclass(frozen=True, slots=True)
class VoterContext:
    """Role of a control VM and its copy of the replicated state at one instant.

    :param is_leader: whether it holds the leader lease, so that it may propose
        commands and answer from its copy.
    :param is_current: whether its copy is known to be current, on any voter.
    :param leader: endpoint of the leader, if another control VM is known to lead.
    """

    is_leader: bool
    is_current: bool
    leader: Endpoint | None
    cluster: ClusterState
    now: Seconds

    @property
    def refusal(self) -> NotLeader:
        """Answer to a call that only the leader can serve."""
        return NotLeader(self.leader)
