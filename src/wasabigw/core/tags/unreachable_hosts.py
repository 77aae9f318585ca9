"""Open flows of backend servers whose hosts were found unreachable."""

from heapq import nlargest

from wasabigw.core.ids import Seconds
from wasabigw.core.registration import Registration
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.decisions import RefusalReason, Refuse
from wasabigw.core.tags.flow_table import remove_flow
from wasabigw.core.tags.host_checks import (
    MAX_LATENESS,
    HostCheck,
    HostChecked,
    HostStatus,
)
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import Flow, FlowState, Server, TagState

CHECK_INTERVAL = Seconds(1.0)
"""Minimum time between two checks of the same host."""
MAX_RUNNING_CHECKS = 8
"""Maximum number of checks at a time; the next retransmission requests others again.

A balancer that is behind doubts all backend servers at once.
"""
REFERENCE_HOSTS = 2
"""Maximum number of hosts that are asked at the same time as a doubted one."""


def request_check(server: Server, state: TagState, now: Seconds) -> None:
    """Request a check of the host of a doubted backend server.

    There is no check without a host that has answered since, because it could not tell
    a fault of that host from one of the balancer.
    """
    boot = server.registration
    if now - server.breaker.checked_at < CHECK_INTERVAL:
        return
    if boot.tag in state.running_checks:
        return
    if len(state.running_checks) >= MAX_RUNNING_CHECKS:
        return
    references = _references(server, state)
    if not references:
        return
    server.breaker.checked_at = now
    state.running_checks.add(boot.tag)
    same_service = all(r.service == boot.service for r in references)
    is_draining = boot.state is RegistrationState.DRAINING
    state.host_checks.append(
        HostCheck(
            boot.tag,
            boot.endpoint,
            tuple(reference.endpoint for reference in references),
            refusal_counts=same_service and not is_draining,
        )
    )


def record_check(result: HostChecked, state: TagState, now: Seconds) -> list[Refuse]:
    """Record the result of a check.

    A caller whose flow is reset in time opens a new one for its next request, which
    would otherwise be lost with the flow. So idle flows are refused as well.

    :returns: refusals of the open flows, if the host is unreachable.
    """
    state.running_checks.discard(result.tag)
    server = state.servers.get(result.tag)
    if server is None or result.status is not HostStatus.UNREACHABLE:
        return []
    breaker = server.breaker
    if breaker.failures == 0 or breaker.last_response_at >= result.started_at:
        return []
    if now - result.ended_at > MAX_LATENESS:
        # The balancer is behind or was paused, and the host may be back by now.
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


def _references(server: Server, state: TagState) -> list[Registration]:
    """Boots on other hosts that have answered since this one.

    Those of its own service come first, then those that answered last.
    """
    doubted = server.registration

    def rank(other: Server) -> tuple[bool, Seconds]:
        same_service = other.registration.service == doubted.service
        return same_service, other.breaker.last_response_at

    by_host: dict[str, Server] = {}
    for other in state.servers.values():
        breaker, address = other.breaker, other.registration.endpoint.address
        has_answered = breaker.last_response_at > server.breaker.last_response_at
        if breaker.failures > 0 or not has_answered:
            continue
        known = by_host.setdefault(address, other)
        if rank(other) > rank(known):
            by_host[address] = other
    by_host.pop(doubted.endpoint.address, None)
    best = nlargest(REFERENCE_HOSTS, by_host.values(), key=rank)
    return [reference.registration for reference in best]
