"""Room of a service: how many more requests its backend servers can take."""

from dataclasses import dataclass

from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.tags.state import TagState


@dataclass(frozen=True, slots=True)
class Room:
    """Room of the backend servers that may get new flows of a service.

    :param utilization: requests in flight for each slot; above 1 requests queue.
    :param wait: expected time from an opening to the start of its request.
    :param free_slots: slots without a request, weighted by speed.
    :param service_rate: requests a second that the backend servers can answer.
    """

    utilization: float
    wait: Seconds
    free_slots: float
    service_rate: float


def room_of(service: ServiceId, state: TagState, now: Seconds) -> Room | None:
    """Room of a service; ``None`` without current figures, so that all is admitted."""
    return None
