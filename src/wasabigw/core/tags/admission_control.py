"""Admission of openings by what the backend servers can serve in time."""

from enum import Enum

from wasabigw.core.declaration import Listener
from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.tags.packets import FlowPacket
from wasabigw.core.tags.state import TagState


class AdmissionOutcome(Enum):
    """What becomes of an opening."""

    ADMIT = "admit"
    HOLD = "hold"
    REFUSE = "refuse"


def admit(
    packet: FlowPacket,
    listener: Listener,
    service: ServiceId,
    state: TagState,
    now: Seconds,
) -> AdmissionOutcome:
    """Decide whether an opening is sent to a backend server now."""
    return AdmissionOutcome.ADMIT
