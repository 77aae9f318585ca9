"""Which backend server gets a new flow."""

from collections.abc import Sequence

import xxhash

from wasabigw.core.declaration import Listener
from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId
from wasabigw.core.tags.packets import FlowId
from wasabigw.core.tags.state import Server, TagState


def service_of(listener: Listener, flow: FlowId) -> ServiceId:
    """Service that takes a new flow, by the weights of the listener.

    It follows from the flow, so that a repeated opening goes to the same service
    whichever balancer carries it.
    """
    total = sum(share.weight for share in listener.shares)
    point = xxhash.xxh64_intdigest(repr(flow).encode()) % total
    for share in listener.shares:
        point -= share.weight
        if point < 0:
            return share.service
    raise ValueError("the weights of a listener must not all be 0")


def choose_server(
    service: ServiceId, state: TagState, now: Seconds, avoided: Server | None = None
) -> Server | None:
    """Backend server with the fewest flows, preferably in the own failure domain.

    :param avoided: did not answer an earlier copy of the opening packet.
    """
    servers = [s for s in state.pools.get(service, ()) if s is not avoided]
    answering = [s for s in servers if s.avoid_until <= now] or servers
    warm = [s for s in answering if s.cold_until <= now]
    if warm:
        return _least_used(warm, state.failure_domain)
    if answering:
        return _least_used(answering, state.failure_domain)
    return avoided


def _least_used(servers: Sequence[Server], home: FailureDomainId) -> Server:
    local = [s for s in servers if s.registration.failure_domain == home]
    return min(local or servers, key=lambda s: (s.open_flows, s.registration.tag))
