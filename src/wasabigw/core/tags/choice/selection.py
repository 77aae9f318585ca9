"""Selection of a backend server for a new flow."""

from collections import Counter
from collections.abc import Collection, Sequence

import xxhash

from wasabigw.core.declaration import Listener
from wasabigw.core.ids import FailureDomainId, NodeId, Seconds, ServiceId, Tag
from wasabigw.core.tags.choice.balancing import choose_by_load, uses_load_figures
from wasabigw.core.tags.choice.locality import eligible_slots, traffic_shares
from wasabigw.core.tags.decisions import ChoiceReason
from wasabigw.core.tags.liveness.health import Health, health_of
from wasabigw.core.tags.packets import FlowId
from wasabigw.core.tags.state import Server, TagState


def service_of(listener: Listener, flow: FlowId) -> ServiceId:
    """Service of a new flow, chosen by the weights of the listener.

    The choice is a hash of the flow, so that a retransmitted opening goes to the same
    service whichever balancer receives it.
    """
    total = sum(share.weight for share in listener.shares)
    point = xxhash.xxh64_intdigest(repr(flow).encode()) % total
    for share in listener.shares:
        point -= share.weight
        if point < 0:
            return share.service
    raise ValueError("the weights of a listener must not all be 0")


def rank_of(node: NodeId, tag: Tag) -> int:
    """Rank that breaks ties between equally loaded boots.

    It differs between balancers. With the same order at all of them, many balancers
    with few flows each would send these to the same few backend servers.
    """
    return xxhash.xxh32_intdigest(f"{node}/{tag}".encode())


def choose_server_for(
    listener: Listener,
    service: ServiceId,
    state: TagState,
    now: Seconds,
    avoided: Collection[Server] = (),
) -> tuple[Server, ChoiceReason] | None:
    """Choose a backend server by load figures if possible, else by own flows.

    :param avoided: as in :func:`choose_server`.
    """
    if uses_load_figures(listener, state, now):
        chosen = choose_by_load(service, state, now, avoided)
        if chosen is not None:
            return chosen
    return choose_server(service, state, now, avoided)


def choose_server(
    service: ServiceId,
    state: TagState,
    now: Seconds,
    avoided: Collection[Server] = (),
) -> tuple[Server, ChoiceReason] | None:
    """Choose the backend server with the fewest flows relative to its share.

    :param avoided: backend servers of any service that have not answered earlier
        openings of the caller.
    :returns: the backend server and the reason, or ``None`` if there is none.
    """
    pool = state.pools.get(service, ())
    servers = [s for s in pool if s not in avoided]
    answering = [s for s in servers if _is_available(s, now)]
    if servers and not answering:
        # Cold ones come last here too: they may be failing because they are cold.
        warm = [s for s in servers if s.cold_until <= now]
        chosen, _ = _least_used(warm or servers, state)
        return chosen, ChoiceReason.UNANSWERING
    warm = [s for s in answering if s.cold_until <= now]
    if warm:
        return _least_used(warm, state)
    if answering:
        chosen, _ = _least_used(answering, state)
        return chosen, ChoiceReason.COLD
    if pool:
        chosen, _ = _least_used(pool, state)
        return chosen, ChoiceReason.REPEATED
    return None


def _is_available(server: Server, now: Seconds) -> bool:
    return health_of(server.breaker, now) is not Health.SILENT


def _least_used(
    servers: Sequence[Server], state: TagState
) -> tuple[Server, ChoiceReason]:
    home = state.failure_domain
    slots: Counter[FailureDomainId] = Counter()
    for server in servers:
        slots[server.registration.failure_domain] += server.slots
    usable = eligible_slots(home, slots, state.regions)
    shares = traffic_shares(home, usable, state.regions)

    def load(server: Server) -> tuple[float, int]:
        domain = server.registration.failure_domain
        weight = shares[domain] * server.slots / usable[domain]
        return (server.open_flows + 1) / weight, server.rank

    candidates = [s for s in servers if s.registration.failure_domain in shares]
    chosen = min(candidates, key=load)
    if chosen.registration.failure_domain == home:
        return chosen, ChoiceReason.LEAST_USED_HERE
    return chosen, ChoiceReason.LEAST_USED_ELSEWHERE
