"""Log lines about boots that compete for the new flows of an id or an endpoint."""

from wasabigw.core.boot_preferences import Preference, PreferenceChange
from wasabigw.core.endpoint import endpoint_key
from wasabigw.core.ids import Seconds
from wasabigw.telemetry.events_control import ControlEvent
from wasabigw.telemetry.log_events import log

_EVENTS = {
    Preference.TAKEN_OVER: ControlEvent.BOOT_TAKEN_OVER,
    Preference.BACK_IN_USE: ControlEvent.BOOT_BACK_IN_USE,
    Preference.NOT_PREFERRED: ControlEvent.BOOT_NOT_PREFERRED,
}


def log_preference(change: PreferenceChange) -> None:
    """Write which of two boots gets new flows, and what is known of both."""
    boot, other = change.boot, change.other
    log(
        _EVENTS[change.preference],
        server=boot.id,
        started_at=boot.started_at,
        announced_ago=_rounded(change.announced_ago),
        endpoint=endpoint_key(boot.endpoint),
        other=other.id,
        other_started_at=other.started_at,
        other_announced_ago=_rounded(change.other_announced_ago),
        other_tag=other.tag,
    )


def _rounded(duration: Seconds | None) -> float | None:
    return round(duration, 3) if duration is not None else None
