"""Task that asks other relays for the sums of the load reports that they received.

The balancers of a failure domain are spread over its relays, so that each relay
receives only a part of the reports. Sums are asked for directly and never passed on,
so that no report counts twice.
"""

from typing import Any
from urllib.parse import quote

from returns.result import Result, Success

from wasabigw.codec.load import decode_sums, encode_arrived
from wasabigw.core.endpoint import Endpoint, endpoint_key
from wasabigw.core.ids import FailureDomainId, Seconds
from wasabigw.core.load.figures import REPORT_INTERVAL, LoadSums
from wasabigw.core.load.peers import (
    PeerState,
    forget_other_peers,
    peers_to_poll,
    record_answer,
    record_failure,
)
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Task
from wasabigw.runtime.timer import monotonic
from wasabigw.tasks.light_http import LightClient
from wasabigw.tasks.load_messages import PeerAnswered, PollPeers
from wasabigw.tasks.view_names import LOAD_PATH
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log

CONNECT_TIMEOUT = Seconds(0.3)
READ_TIMEOUT = Seconds(0.4)
RESPONSE_TIMEOUT = Seconds(1.0)
"""Maximum duration of a poll whose response arrives slowly."""
MAX_ROUND_DELAY = Seconds(0.5 * REPORT_INTERVAL)
"""Age from which a request for a round is skipped, as the next one follows soon."""
ROUND_TIMEOUT = Seconds(1.0)
"""Time after which a round ends, so that the task can be stopped meanwhile."""
MAX_WAITING_ROUNDS = 4


class LoadExchange(Task[PollPeers]):
    """Polls the relays that it is told to, one after the other.

    :param receiver: receives :class:`PeerAnswered`.
    """

    def __init__(self, failure_domain: FailureDomainId, receiver: Mailbox[Any]) -> None:
        mailbox: Mailbox[Any] = Mailbox("load-exchange", capacity=MAX_WAITING_ROUNDS)
        super().__init__("load-exchange", mailbox)
        self._target = f"{LOAD_PATH}?failure_domain={quote(failure_domain, safe='')}"
        self._receiver = receiver
        self._state = PeerState()
        self._clients: dict[Endpoint, LightClient] = {}

    def close(self) -> None:
        """Close the connections to all relays."""
        for client in self._clients.values():
            client.close()

    def receive(self, message: PollPeers) -> None:
        """Poll the relays once."""
        if monotonic() - message.at >= MAX_ROUND_DELAY:
            return
        self._close_others(message.peers)
        target = self._target
        if message.arrived:
            target += f"&arrived={encode_arrived(message.arrived)}"
        for peer in peers_to_poll(self._state, message.peers, message.at):
            if monotonic() - message.at >= ROUND_TIMEOUT:
                # Those that have failed are in backoff, so the others come next time.
                return
            self._poll(peer, target)

    def _close_others(self, peers: tuple[Endpoint, ...]) -> None:
        forget_other_peers(self._state, peers)
        for peer in [peer for peer in self._clients if peer not in peers]:
            self._clients.pop(peer).close()

    def _poll(self, peer: Endpoint, target: str) -> None:
        client = self._clients.setdefault(peer, LightClient())
        before = client.traffic
        sums: Result[LoadSums, str] = client.get(
            peer,
            target,
            CONNECT_TIMEOUT,
            READ_TIMEOUT,
            RESPONSE_TIMEOUT,
        ).bind(decode_sums)
        now = monotonic()
        name = endpoint_key(peer)
        if isinstance(sums, Success):
            found = sums.unwrap()
            size = client.traffic - before
            self._receiver.post(PeerAnswered(peer, found, now, size))
            if record_answer(self._state, peer):
                log(BalancerEvent.LOAD_PEER_FOUND, peer=name, balancers=found.balancers)
        elif record_failure(self._state, peer, now):
            log(BalancerEvent.LOAD_PEER_LOST, peer=name, reason=sums.failure())


def make_load_exchange(
    failure_domain: FailureDomainId, receiver: Mailbox[Any]
) -> LoadExchange:
    """Create the task that asks other relays.

    :param failure_domain: failure domain of this relay.
    :param receiver: mailbox of the relay task.
    """
    return LoadExchange(failure_domain, receiver)
