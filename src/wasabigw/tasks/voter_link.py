"""Link to another voter, which sends one consensus request at a time."""

from typing import Any

import requests
from returns.result import Failure, Success

from wasabigw.codec.consensus import decode_envelope, encode_envelope
from wasabigw.core.cluster import Endpoint
from wasabigw.core.consensus.messages import Envelope, SnapshotRequest
from wasabigw.core.ids import NodeId, Seconds
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Stop, Task
from wasabigw.tasks.peer_session import PeerSession
from wasabigw.tasks.traffic import TrafficMailbox, report_traffic
from wasabigw.tasks.voter_calls import LinkAnswer
from wasabigw.telemetry.events_control import ControlEvent
from wasabigw.telemetry.log_events import log

CONNECT_TIMEOUT = Seconds(0.5)
READ_TIMEOUT = Seconds(1.0)
SNAPSHOT_TIMEOUT = Seconds(30.0)
"""Read timeout for a snapshot, which the other voter writes to disk and syncs."""
SESSION_IDLE = Seconds(30.0)
"""An HTTP session is closed after this time without a request."""
MAILBOX_CAPACITY = 64
"""Messages that may wait for a slow link; the voter repeats dropped ones."""
CONSENSUS_PATH = "/v1/consensus"


class VoterLink(Task[Envelope]):
    """Task that owns the HTTP session to one other voter.

    Of several waiting messages of a kind only the newest is sent: it supersedes the
    earlier ones, and the voter repeats requests that are not answered.
    """

    def __init__(
        self,
        peer: NodeId,
        endpoint: Endpoint,
        voter: Mailbox[Any],
        traffic: TrafficMailbox,
    ) -> None:
        name = f"link-{peer}"
        super().__init__(name, Mailbox(name, MAILBOX_CAPACITY))
        self._peer = peer
        self._endpoint = endpoint
        self._voter = voter
        self._traffic = traffic
        self._session = PeerSession()
        self._failing = False

    def run(self) -> None:
        """Send messages until :class:`Stop` arrives."""
        while True:
            outcome = self._mailbox.get(SESSION_IDLE)
            if not isinstance(outcome, Success):
                self.close()
                continue
            waiting = [outcome.unwrap(), *self._mailbox.drain()]
            if any(isinstance(message, Stop) for message in waiting):
                return
            for message in _newest_of_each_kind(waiting):
                self.receive(message)

    def receive(self, message: Envelope) -> None:
        """Send a message and post the response to the voter."""
        try:
            response = self._send(message)
        except requests.RequestException as error:
            self.close()
            self._log_failure(type(error).__name__)
            return
        report_traffic(self._traffic, response, len(response.content))
        if response.status_code != requests.codes.ok:
            self._log_failure(f"status {response.status_code}")
            return
        self._post_answer(response.content)

    def close(self) -> None:
        """Close the HTTP session."""
        self._session.close()

    def _send(self, message: Envelope) -> requests.Response:
        is_snapshot = isinstance(message.body, SnapshotRequest)
        read_timeout = SNAPSHOT_TIMEOUT if is_snapshot else READ_TIMEOUT
        return self._session.post(
            self._endpoint,
            CONSENSUS_PATH,
            encode_envelope(message),
            CONNECT_TIMEOUT,
            read_timeout,
        )

    def _post_answer(self, content: bytes) -> None:
        decoded = decode_envelope(content)
        if isinstance(decoded, Failure):
            log(ControlEvent.LINK_MALFORMED, peer=self._peer, reason=decoded.failure())
            return
        if self._failing:
            self._failing = False
            log(ControlEvent.LINK_RECOVERED, peer=self._peer)
        self._voter.post(LinkAnswer(decoded.unwrap()))

    def _log_failure(self, reason: str) -> None:
        if not self._failing:
            self._failing = True
            log(ControlEvent.LINK_FAILED, peer=self._peer, reason=reason)


def _newest_of_each_kind(waiting: list[Envelope]) -> list[Envelope]:
    """The newest message of each kind, oldest first.

    A voter without a leader sends an admission request and a pre-vote request in the
    same tick; neither supersedes the other.
    """
    newest: dict[type, Envelope] = {}
    for message in waiting:
        kind = type(message.body)
        newest.pop(kind, None)
        newest[kind] = message
    return list(newest.values())


def make_voter_link(
    peer: NodeId,
    endpoint: Endpoint,
    voter: Mailbox[Any],
    traffic: TrafficMailbox = None,
) -> VoterLink:
    """Make the link to another voter.

    :param endpoint: control API of the other voter.
    :param voter: mailbox of the local voter task, which receives the responses.
    :param traffic: mailbox that receives the byte counts of each exchange.
    """
    return VoterLink(peer, endpoint, voter, traffic)
