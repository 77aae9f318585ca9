"""Task that sends flow records of a draining balancer to the new homes."""

import requests
from returns.result import Failure, Result, Success

from wasabigw.codec.messages import encode
from wasabigw.core.ids import Seconds
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Task
from wasabigw.tasks.messages import HandoverOut
from wasabigw.telemetry.events_http import HttpEvent
from wasabigw.telemetry.log_events import log

CONNECT_TIMEOUT = Seconds(0.5)
READ_TIMEOUT = Seconds(3.0)
ATTEMPTS = 3
"""Tries for one part; what is lost is found by elimination (docs/design.md, 4.3)."""


class HandoverSender(Task[HandoverOut]):
    """Sends parts one after the other, each over a new connection after a failure."""

    def __init__(self) -> None:
        super().__init__("handover", Mailbox("handover", capacity=4096))
        self._session: requests.Session | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._session is not None:
            self._session.close()
            self._session = None

    def receive(self, message: HandoverOut) -> None:
        """Send one part; give it up after a few attempts."""
        outcome: Result[None, str] = Failure("not tried")
        for _ in range(ATTEMPTS):
            outcome = self._send(message)
            if isinstance(outcome, Success):
                return
            self.close()
        log(
            HttpEvent.HANDOVER_FAILED,
            backend_server=message.handover.backend_server,
            address=message.to.address,
            port=message.to.port,
            reason=outcome.failure(),
        )

    def _send(self, message: HandoverOut) -> Result[None, str]:
        if self._session is None:
            self._session = requests.Session()
            self._session.trust_env = False
        url = f"http://{message.to.address}:{message.to.port}/v1/handover"
        try:
            response = self._session.post(
                url,
                data=encode(message.handover),
                headers={"Content-Type": "application/json"},
                timeout=(CONNECT_TIMEOUT, READ_TIMEOUT),
                allow_redirects=False,
            )
        except requests.RequestException as error:
            return Failure(type(error).__name__)
        if response.status_code != requests.codes.ok:
            return Failure(f"status {response.status_code}")
        return Success(None)


def make_handover_sender() -> HandoverSender:
    """Task that sends the records of a balancer that drains."""
    return HandoverSender()
