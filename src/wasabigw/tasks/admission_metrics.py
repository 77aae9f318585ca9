"""Metrics of the admission control of a balancer."""

from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.tags.admission.held_openings import held_by_service
from wasabigw.core.tags.admission.room import room_of
from wasabigw.core.tags.choice.plans import Room
from wasabigw.core.tags.state import TagState
from wasabigw.telemetry.exposition import Family, MetricKind, Sample


def admission_families(state: TagState, now: Seconds) -> list[Family]:
    """Collect the metrics of services whose openings may be limited."""
    services = state.admission.services
    held = held_by_service(state.admission.held)
    return [
        *_room_families(state, now),
        _by_service(
            "wasabigw_service_delay_seconds",
            "Expected time from an opening to the start of its request",
            {service: control.delay for service, control in services.items()},
        ),
        _by_service(
            "wasabigw_service_short",
            "Whether less urgent openings are limited",
            {s: float(c.short_since is not None) for s, c in services.items()},
        ),
        _by_service(
            "wasabigw_openings_held",
            "Openings that wait for room",
            {service: float(held.get(service, 0)) for service in services},
        ),
        Family(
            "wasabigw_admission_total",
            MetricKind.COUNTER,
            "Openings by what admission control did with them",
            tuple(
                Sample(
                    count,
                    {
                        "service": key.service,
                        "priority": str(key.priority),
                        "event": key.event.value,
                    },
                )
                for key, count in sorted(
                    state.admission.counts.items(),
                    key=lambda item: (*item[0][:2], item[0].event.value),
                )
            ),
        ),
    ]


def _room_families(state: TagState, now: Seconds) -> list[Family]:
    rooms: dict[ServiceId, Room] = {}
    for service in state.admission.services:
        room = room_of(service, state, now)
        if room is not None:
            rooms[service] = room
    return [
        _by_service(
            "wasabigw_service_utilization",
            "Requests in flight for each slot of the backend servers",
            {service: room.utilization for service, room in rooms.items()},
        ),
        _by_service(
            "wasabigw_service_free_slots",
            "Slots of backend servers without a request",
            {service: room.free_slots for service, room in rooms.items()},
        ),
        _by_service(
            "wasabigw_service_rate",
            "Requests a second that the backend servers can answer",
            {service: room.service_rate for service, room in rooms.items()},
        ),
    ]


def _by_service(name: str, text: str, values: dict[ServiceId, float]) -> Family:
    samples = (Sample(value, {"service": s}) for s, value in sorted(values.items()))
    return Family(name, MetricKind.GAUGE, text, tuple(samples))
