"""Which relays are asked for their load sums, and when."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from wasabigw.core.delivery_view import Source
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, Seconds
from wasabigw.core.load.figures import REPORT_INTERVAL

MAX_PEERS = 15
"""Most relays that a relay asks."""
LARGE_VIEW = 1000
"""Backend servers from which relays ask each other less often, to save processor."""
FIRST_BACKOFF = Seconds(1.0)
MAX_BACKOFF = Seconds(8.0)


@dataclass(frozen=True, slots=True)
class _Failure:
    """Failed polls of a peer since its last response.

    :param retry_at: when it may be polled again.
    """

    backoff: Seconds
    retry_at: Seconds


@dataclass(slots=True)
class PeerState:
    """Peers that have answered, and those that have failed since."""

    answering: set[Endpoint] = field(default_factory=set)
    failed: dict[Endpoint, _Failure] = field(default_factory=dict)


def choose_peers(
    sources: Iterable[Source], own: FailureDomainId, own_address: str, port: int
) -> tuple[Endpoint, ...]:
    """Relays on the other control VMs, those of the own failure domain first."""
    others = [source for source in sources if source.api.address != own_address]
    others.sort(key=lambda source: source.failure_domain != own)
    return tuple(Endpoint(s.api.address, port) for s in others[:MAX_PEERS])


def exchange_interval(backend_servers: int) -> Seconds:
    """Time between two rounds in which a relay asks others.

    :param backend_servers: number of those in the view.
    """
    is_large = backend_servers >= LARGE_VIEW
    return REPORT_INTERVAL if is_large else Seconds(0.5 * REPORT_INTERVAL)


def peers_to_poll(
    state: PeerState, peers: Iterable[Endpoint], now: Seconds
) -> list[Endpoint]:
    """Peers to poll in this round.

    One that has failed may take its whole time limit again, so at most one of these is
    polled in a round, after the others.
    """
    known = list(peers)
    sound = [peer for peer in known if peer not in state.failed]
    due = [p for p in known if p in state.failed and state.failed[p].retry_at <= now]
    due.sort(key=lambda peer: state.failed[peer].retry_at)
    return sound + due[:1]


def record_answer(state: PeerState, peer: Endpoint) -> bool:
    """Record that a peer has answered; ``True`` if it did not do so before."""
    state.failed.pop(peer, None)
    is_new = peer not in state.answering
    state.answering.add(peer)
    return is_new


def record_failure(state: PeerState, peer: Endpoint, now: Seconds) -> bool:
    """Record that a peer has failed; ``True`` if this is the first time in a row."""
    known = state.failed.get(peer)
    backoff = FIRST_BACKOFF if known is None else Seconds(2 * known.backoff)
    backoff = min(backoff, MAX_BACKOFF)
    state.failed[peer] = _Failure(backoff, Seconds(now + backoff))
    state.answering.discard(peer)
    return known is None


def forget_other_peers(state: PeerState, peers: Iterable[Endpoint]) -> None:
    """Forget peers that are no longer in the view."""
    known = set(peers)
    state.answering &= known
    state.failed = {p: f for p, f in state.failed.items() if p in known}
