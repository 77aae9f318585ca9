"""Room of a service: how many more requests its backend servers can take."""

from collections.abc import Mapping

from wasabigw.core.ids import Seconds, ServiceId, Tag
from wasabigw.core.tags.choice.planning import current_plan
from wasabigw.core.tags.choice.plans import Room, ServicePlan
from wasabigw.core.tags.choice.weights import typical_service_time
from wasabigw.core.tags.state import TagState

MAX_REQUESTS_PER_SLOT = 10
"""Requests in flight for each slot that count at most."""
MAX_TIMES_OTHERS = 2.0
"""Multiple of the mean of the others that counts, besides one request for each slot.

A single figure can't fill a service: one backend server may be slow, or its figures may
be wrong, while the others have room.
"""


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
    # There may be loads without turns, of backend servers that answer again.
    if typical is None or typical <= 0 or not plan.turns.servers:
        return None
    shares = {
        tag: plan.turns.domains.shares[domain] * share
        for domain, turns in plan.turns.servers.items()
        for tag, share in turns.shares.items()
    }
    slots = {tag: float(state.servers[tag].slots) for tag in shares}
    requests = _bounded({tag: plan.loads[tag].in_flight for tag in shares}, slots)
    wait = free_slots = service_rate = 0.0
    for tag, share in shares.items():
        weight = plan.weight(tag)
        rate = slots[tag] * weight / typical
        free_slots += max(slots[tag] - requests[tag], 0.0) * weight
        service_rate += rate
        wait += share * max(requests[tag] + 1 - slots[tag], 0.0) / rate
    utilization = sum(requests.values()) / sum(slots.values())
    return Room(utilization, Seconds(wait), free_slots, service_rate)


def _bounded(
    requests: Mapping[Tag, float], slots: Mapping[Tag, float]
) -> dict[Tag, float]:
    """Requests in flight that count, by those of the other backend servers."""
    kept = {
        tag: min(number, MAX_REQUESTS_PER_SLOT * slots[tag])
        for tag, number in requests.items()
    }
    total, all_slots = sum(kept.values()), sum(slots.values())
    bounded = {}
    for tag, number in kept.items():
        others = all_slots - slots[tag]
        mean = (total - number) / others if others > 0 else MAX_REQUESTS_PER_SLOT
        limit = MAX_TIMES_OTHERS * mean + 1.0
        bounded[tag] = min(number, limit * slots[tag])
    return bounded
