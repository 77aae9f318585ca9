"""Task that forwards announcements and departures of boots to the leader."""

from dataclasses import dataclass

import requests
from returns.result import Success

from wasabigw.codec.messages import encode
from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.log_messages import RegistrationBatch
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Stop, Task
from wasabigw.tasks.peer_session import PeerSession
from wasabigw.tasks.traffic import TrafficMailbox, report_exchange
from wasabigw.telemetry.events_control import ControlEvent
from wasabigw.telemetry.log_events import log

REGISTRATIONS_PATH = "/v1/registrations"
CONNECT_TIMEOUT = Seconds(0.3)
READ_TIMEOUT = Seconds(0.5)
SESSION_IDLE = Seconds(30.0)
CAPACITY = 256
"""Maximum number of queued batches; the content of lost ones is forwarded again."""


@dataclass(frozen=True, slots=True)
class ForwardRegistrations:
    """Send a batch to the leader."""

    leader: Endpoint
    batch: RegistrationBatch


class RegistrationSender(Task[ForwardRegistrations]):
    """Task that owns the HTTP session to the leader; a lost batch is not retried."""

    def __init__(self, traffic: TrafficMailbox) -> None:
        super().__init__(
            "registration-sender", Mailbox("registration-sender", CAPACITY)
        )
        self._traffic = traffic
        self._session = PeerSession()
        self._leader: Endpoint | None = None
        self._failing = False

    def run(self) -> None:
        """Send batches until :class:`Stop` arrives."""
        while True:
            outcome = self._mailbox.get(SESSION_IDLE)
            if not isinstance(outcome, Success):
                self.close()
                continue
            message = outcome.unwrap()
            if isinstance(message, Stop):
                return
            self.receive(message)

    def receive(self, message: ForwardRegistrations) -> None:
        """Send one batch."""
        if message.leader != self._leader:
            self.close()
            self._leader = message.leader
        try:
            response = self._session.post(
                message.leader,
                REGISTRATIONS_PATH,
                encode(message.batch),
                CONNECT_TIMEOUT,
                READ_TIMEOUT,
            )
        except requests.RequestException as error:
            self.close()
            self._log_first_failure(type(error).__name__)
            return
        report_exchange(self._traffic, response, len(response.content))
        if not response.ok:
            self._log_first_failure(f"status {response.status_code}")
        else:
            self._failing = False

    def close(self) -> None:
        """Close the HTTP session."""
        self._session.close()

    def _log_first_failure(self, reason: str) -> None:
        if not self._failing:
            self._failing = True
            assert self._leader is not None
            log(
                ControlEvent.REGISTRATIONS_NOT_SENT,
                address=self._leader.address,
                port=self._leader.port,
                reason=reason,
            )


def make_registration_sender(traffic: TrafficMailbox = None) -> RegistrationSender:
    """Create the task that forwards registrations to the current leader.

    :param traffic: receives the byte counts of each request and response.
    """
    return RegistrationSender(traffic)
