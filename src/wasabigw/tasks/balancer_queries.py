"""Queries of the state of a balancer and of the path of a flow."""

from wasabigw.core.buckets import bucket_of
from wasabigw.core.flows.cache import lookup
from wasabigw.core.flows.homes import home
from wasabigw.core.flows.keys import address_number, flow_key, number_of
from wasabigw.core.flows.routes import bucket_route
from wasabigw.core.flows.state import BalancerState
from wasabigw.core.flows.transfer import is_drained
from wasabigw.core.ids import Seconds
from wasabigw.core.reachability import is_reachable
from wasabigw.core.view_lease import is_fresh
from wasabigw.tasks.messages import (
    BalancerStatus,
    FlowCandidate,
    FlowPath,
    FlowRequest,
    FlowUnknown,
    PacketCounts,
)


def status_of(
    state: BalancerState, packets: PacketCounts, now: Seconds
) -> BalancerStatus:
    """Summarize the state of a balancer."""
    names = state.cluster.backend_servers
    domains = state.cluster.failure_domains
    return BalancerStatus(
        state.node,
        state.cluster.revision,
        is_fresh(state.view, now),
        is_drained(state),
        len(state.records.records),
        len(state.cache.entries),
        sum(home(state.homes, name) == state.node for name in names),
        tuple(sorted(state.out_locally)),
        tuple(d for d in domains if not is_reachable(state.reachability, d)),
        packets,
    )


def flow_path(
    state: BalancerState, request: FlowRequest, now: Seconds
) -> FlowPath | FlowUnknown:
    """Find the candidates of a flow and what this balancer has recorded for it."""
    protocol, caller, service = request.protocol, request.caller, request.service
    route = state.routes.by_endpoint.get(number_of(service, protocol))
    if route is None:
        return FlowUnknown(
            f"no {protocol.name} service at {service.address}:{service.port} in "
            f"revision {state.cluster.revision}; check the address and the protocol"
        )
    flow = flow_key(
        protocol.value,
        address_number(caller.address),
        caller.port,
        address_number(service.address),
        service.port,
    )
    bucket = bucket_of(flow)
    found = bucket_route(state.routes, route, bucket)
    candidates = []
    if found.current is not None:
        owner = home(state.homes, found.current.id)
        candidates.append(FlowCandidate(found.current.id, None, owner))
    for other in found.others:
        owner = home(state.homes, other.backend_server)
        candidates.append(FlowCandidate(other.backend_server, other.reason, owner))
    record = state.records.records.get(flow)
    cached = lookup(state.cache, flow, now)
    return FlowPath(
        route.id,
        bucket,
        tuple(candidates),
        None if record is None else record.target.id,
        None if cached is None else cached.id,
    )
