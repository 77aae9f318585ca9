"""What the flow decisions need from the admission of flows at a home."""

from enum import Enum
from typing import Protocol

from wasabigw.core.ids import BackendServerId, Seconds, ServiceId


class AdmissionVerdict(Enum):
    """Whether a new flow may open at a backend server."""

    ADMITTED = "admitted"
    AT_LIMIT = "at-limit"
    RATE_LIMITED = "rate-limited"
    NOT_ANNOUNCED = "not-announced"
    TAKEOVER_WAIT = "takeover-wait"


class OpeningResult(Enum):
    """How a backend server responded to the opening of a flow."""

    ANSWERED = "answered"
    REFUSED = "refused"
    TIMED_OUT = "timed-out"


class AdmissionPort(Protocol):
    """Limits and announcement leases of the backend servers homed here."""

    def admit(self, backend_server: BackendServerId, now: Seconds) -> AdmissionVerdict:
        """Admit a flow and count it as open, or say why not."""

    def release(self, backend_server: BackendServerId, now: Seconds) -> None:
        """A flow that was admitted has ended."""

    def may_send(
        self, backend_server: BackendServerId, service: ServiceId, now: Seconds
    ) -> bool:
        """Whether the backend server holds an announcement lease for the service."""

    def observe(
        self,
        backend_server: BackendServerId,
        result: OpeningResult,
        latency: Seconds,
        now: Seconds,
    ) -> None:
        """How the opening of a flow went."""

    def count_open(
        self, backend_server: BackendServerId, open_flows: int, now: Seconds
    ) -> None:
        """Take over a count of open flows from the previous home."""
