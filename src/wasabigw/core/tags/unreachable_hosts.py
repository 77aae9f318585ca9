"""Open flows of backend servers whose hosts were found unreachable."""

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.tags.decisions import RefusalReason, Refuse
from wasabigw.core.tags.flow_table import remove_flow
from wasabigw.core.tags.host_checks import HostCheck, HostChecked, HostStatus
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import Flow, FlowState, Server, TagState

CHECK_INTERVAL = Seconds(1.0)
"""Minimum time between two checks of the same host."""
REFERENCE_HOSTS = 2
"""Maximum number of hosts that are asked at the same time as a doubted one."""


def request_check(server: Server, state: TagState, now: Seconds) -> None:
    """Request a check of the host of a doubted backend server.

    There is no check without a host that has answered since, because it could not tell
    a fault of that host from one of the balancer.
    """
    if now - server.breaker.checked_at < CHECK_INTERVAL:
        return
    references = _references(server, state)
    if not references:
        return
    server.breaker.checked_at = now
    boot = server.registration
    state.host_checks.append(HostCheck(boot.tag, boot.endpoint, references))


def record_check(result: HostChecked, state: TagState, now: Seconds) -> list[Refuse]:
    """Record the result of a check.

    A caller whose flow is reset in time opens a new one for its next request, which
    would otherwise be lost with the flow. So idle flows are refused as well.

    :returns: refusals of the open flows, if the host is unreachable.
    """
    server = state.servers.get(result.tag)
    if server is None or result.status is not HostStatus.UNREACHABLE:
        return []
    breaker = server.breaker
    if breaker.failures == 0 or breaker.last_response_at >= result.started_at:
        return []
    breaker.unreachable_at = now
    return _refuse_open_flows(server, state)


def _refuse_open_flows(server: Server, state: TagState) -> list[Refuse]:
    to_refuse = [
        _packet_to_refuse(flow, known)
        for flow, known in state.flows.items()
        if known.server is server and known.state is FlowState.OPEN
    ]
    for refused in to_refuse:
        remove_flow(refused.flow, state)
    return [Refuse(refused, RefusalReason.SERVER_LOST) for refused in to_refuse]


def _packet_to_refuse(flow: FlowId, known: Flow) -> FlowPacket:
    """Packet of an open flow with the acknowledgement that its reset has to match."""
    tag, acknowledged = known.server.registration.tag, known.acknowledged
    return FlowPacket(flow, tag, False, False, False, 0, 0, acknowledged, 0)


def _references(server: Server, state: TagState) -> tuple[Endpoint, ...]:
    """Endpoints on other hosts that have answered since this one, the latest first."""
    doubted = server.registration.endpoint.address
    since = server.breaker.last_response_at
    answering = [
        other
        for other in state.servers.values()
        if other.breaker.failures == 0 and other.breaker.last_response_at > since
    ]
    answering.sort(key=lambda other: other.breaker.last_response_at, reverse=True)
    by_host: dict[str, Endpoint] = {}
    for other in answering:
        endpoint = other.registration.endpoint
        if endpoint.address != doubted:
            by_host.setdefault(endpoint.address, endpoint)
    return tuple(by_host.values())[:REFERENCE_HOSTS]
