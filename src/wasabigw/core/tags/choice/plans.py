"""Plan of a service: what is constant between two sets of load figures."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from wasabigw.core.ids import FailureDomainId, Seconds, Tag
from wasabigw.core.tags.choice.estimates import NO_AGES, FlowAges, ServerLoad
from wasabigw.core.tags.choice.turns import Turns
from wasabigw.core.tags.choice.weights import Speed
from wasabigw.core.view_lease import NEVER


@dataclass(frozen=True, slots=True)
class Room:
    """Room of the backend servers to which a balancer sends new flows of a service.

    The figures apply to the time at which other balancers counted, some tenths of a
    second to 4 s ago. In a surge, they show more room than there is, because more
    requests have arrived since.

    :param utilization: requests in flight for each slot; above 1 requests queue. It
        varies as the number of requests in flight does, by its square root.
    :param wait: expected time from an opening to the start of its request, by the
        requests in flight at each backend server; it varies as ``utilization`` does.
    :param free_slots: slots without a request, weighted by speed.
    :param service_rate: requests a second that the backend servers can answer, by the
        times of the last seconds; too low, because these times include some of the time
        in queues.
    """

    utilization: float
    wait: Seconds
    free_slots: float
    service_rate: float


@dataclass(slots=True)
class DomainTurns:
    """Turns of failure domains, and of the backend servers of each of them."""

    domains: Turns[FailureDomainId] = field(default_factory=lambda: Turns({}))
    servers: dict[FailureDomainId, Turns[Tag]] = field(default_factory=dict)


@dataclass(slots=True)
class ServicePlan:
    """Shares of the new flows of a service at this balancer.

    :param pool: backend servers from which it was made.
    :param measured_at: time of the figures from which it was made.
    :param uses: choices and questions for the room since it was made.
    :param is_partial: whether some of ``pool`` could not be used then, or none since.
    :param others: speed of the backend servers that the figures don't name.
    :param speeds: speed of each backend server; ``others`` for most of the unnamed.
    :param loads: expected load of each backend server that gets new flows.
    :param ages: ages of own open flows.
    :param turns: those of failure domains that get new flows.
    :param far: those of other failure domains, for openings that have tried all of
        these; ``None`` if they have not been needed yet.
    :param room: ``None`` if it has not been computed yet.
    """

    pool: Sequence[object] = ()
    measured_at: Seconds = NEVER
    made_at: Seconds = NEVER
    uses: int = 0
    is_partial: bool = False
    others: Speed = field(default_factory=Speed)
    speeds: dict[Tag, Speed] = field(default_factory=dict)
    loads: dict[Tag, ServerLoad] = field(default_factory=dict)
    ages: FlowAges = NO_AGES
    turns: DomainTurns = field(default_factory=DomainTurns)
    far: DomainTurns | None = None
    room: Room | None = None

    def weight(self, tag: Tag) -> float:
        """Speed of a backend server relative to the others; 1 if it is not known."""
        speed = self.speeds.get(tag)
        return speed.weight if speed is not None else 1.0
