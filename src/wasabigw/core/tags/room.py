"""Room of a service: how many more requests its backend servers can take."""

from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.tags.planning import current_plan
from wasabigw.core.tags.plans import Room, ServicePlan
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.weights import typical_service_time

MAX_REQUESTS_PER_SLOT = 10
"""Requests in flight for each slot that count; a single figure can't fill a service."""

__all__ = ["Room", "room_of"]


def room_of(service: ServiceId, state: TagState, now: Seconds) -> Room | None:
    """Room of a service, computed once for each plan.

    :returns: ``None`` without current figures, so that all is admitted, and if no
        backend server is warm and answering or nothing is known of their speed.
    """
    if not state.known_load.is_current(now):
        return None
    plan = current_plan(service, state, now)
    if plan.room is None:
        plan.room = _estimate(plan, state)
    return plan.room


def _estimate(plan: ServicePlan, state: TagState) -> Room | None:
    typical = typical_service_time(plan.speeds)
    if typical is None or typical <= 0 or not plan.loads:
        return None
    slots = in_flight = wait = free_slots = service_rate = 0.0
    for domain, turns in plan.turns.servers.items():
        for tag, share in turns.shares.items():
            own_slots = state.servers[tag].slots
            requests = min(plan.loads[tag].in_flight, own_slots * MAX_REQUESTS_PER_SLOT)
            rate = own_slots * plan.weight(tag) / typical
            slots += own_slots
            in_flight += requests
            free_slots += max(own_slots - requests, 0.0) * plan.weight(tag)
            service_rate += rate
            queue = max(requests + 1 - own_slots, 0.0)
            wait += plan.turns.domains.shares[domain] * share * queue / rate
    return Room(in_flight / slots, Seconds(wait), free_slots, service_rate)
