"""Interface of the flow decisions to the admission of flows at a home."""

from dataclasses import dataclass
from typing import Protocol

from wasabigw.core import backend_home
from wasabigw.core.admission import AdmissionVerdict
from wasabigw.core.backend_home import HomeState
from wasabigw.core.cold_start import OpeningResult, OpeningSignal
from wasabigw.core.home_events import FlowsCounted
from wasabigw.core.ids import BackendServerId, Seconds, ServiceId


class AdmissionPort(Protocol):
    """Limits and announcement leases of the backend servers homed here."""

    def admit(self, backend_server: BackendServerId, now: Seconds) -> AdmissionVerdict:
        """Admit a flow and count it as open, or return why it is not admitted."""

    def release(self, backend_server: BackendServerId, now: Seconds) -> None:
        """Stop counting an admitted flow that has ended."""

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
        """Report the result of an opening."""

    def observe_answer(self, backend_server: BackendServerId, now: Seconds) -> None:
        """Report that a backend server answered a caller."""

    def count_open(
        self, backend_server: BackendServerId, open_flows: int, overflow_flows: int
    ) -> None:
        """Set the counts of open flows and of flows passed to OVERFLOW candidates."""


@dataclass(frozen=True, slots=True)
class HomeAdmission:
    """Admission by :mod:`wasabigw.core.backend_home`."""

    state: HomeState

    def admit(self, backend_server: BackendServerId, now: Seconds) -> AdmissionVerdict:
        """Admit a flow and count it as open, or return why it is not admitted."""
        return backend_home.admit(self.state, backend_server, now)

    def release(self, backend_server: BackendServerId, now: Seconds) -> None:
        """Stop counting an admitted flow that has ended."""
        backend_home.release(self.state, backend_server, now)

    def may_send(
        self, backend_server: BackendServerId, service: ServiceId, now: Seconds
    ) -> bool:
        """Whether the backend server holds an announcement lease for the service."""
        return backend_home.may_send(self.state, backend_server, service, now)

    def observe(
        self,
        backend_server: BackendServerId,
        result: OpeningResult,
        latency: Seconds,
        now: Seconds,
    ) -> None:
        """Report the result of an opening."""
        signal = OpeningSignal(result, latency)
        backend_home.observe(self.state, backend_server, signal, now)

    def observe_answer(self, backend_server: BackendServerId, now: Seconds) -> None:
        """Report that a backend server answered a caller."""
        backend_home.observe_answer(self.state, backend_server, now)

    def count_open(
        self, backend_server: BackendServerId, open_flows: int, overflow_flows: int
    ) -> None:
        """Set the counts of open flows and of flows passed to OVERFLOW candidates."""
        counted = FlowsCounted(backend_server, open_flows, overflow_flows)
        backend_home.handle(counted, self.state)
