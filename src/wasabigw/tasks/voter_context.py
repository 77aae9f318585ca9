"""What a control VM is at the moment, for the parts of its voter task."""

from dataclasses import dataclass

from wasabigw.core.cluster import ClusterState, Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.log_messages import NotLeader


@dataclass(frozen=True, slots=True)
class VoterContext:
    """Role of a control VM and its copy of the replicated state.

    :param is_leader: whether it may propose and answer as current.
    :param is_current: whether its copy is known to be current.
    :param leader: where the leader is, if another control VM leads.
    """

    is_leader: bool
    is_current: bool
    leader: Endpoint | None
    cluster: ClusterState
    now: Seconds

    @property
    def refusal(self) -> NotLeader:
        """Answer to those who need the leader."""
        return NotLeader(self.leader)
