"""Room of a service: how many more requests its backend servers can take."""

from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.tags.balancing import current_plan
from wasabigw.core.tags.plans import Room
from wasabigw.core.tags.state import TagState

__all__ = ["Room", "room_of"]


def room_of(service: ServiceId, state: TagState, now: Seconds) -> Room | None:
    """Room of a service, computed once for each set of figures.

    :returns: ``None`` without current figures, so that all is admitted, and if no
        backend server is warm and answering.
    """
    if not state.known_load.is_current(now):
        return None
    return current_plan(service, state, now).room
