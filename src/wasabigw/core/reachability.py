"""Which other failure domains answer pings."""

from dataclasses import dataclass, field

from wasabigw.core.ids import FailureDomainId, NodeId, Seconds

PING_TIMEOUT = Seconds(1.0)
"""A ping that is unanswered for this long is lost."""
LOST_PINGS = 3
"""Lost pings in a row that make a failure domain unreachable."""


@dataclass(slots=True)
class Reachability:
    """Pings between the failure domain of this balancer and the others.

    :param lost: lost pings in a row, by failure domain.
    :param outstanding: sequence number -> failure domain and time of sending.
    :param last_asked: balancer that was pinged last, by failure domain.
    """

    failure_domain: FailureDomainId
    sequence: int = 0
    lost: dict[FailureDomainId, int] = field(default_factory=dict)
    outstanding: dict[int, tuple[FailureDomainId, Seconds]] = field(
        default_factory=dict
    )
    last_asked: dict[FailureDomainId, NodeId] = field(default_factory=dict)


def is_reachable(state: Reachability, failure_domain: FailureDomainId) -> bool:
    """Whether a failure domain has answered one of the last pings."""
    return state.lost.get(failure_domain, 0) < LOST_PINGS
