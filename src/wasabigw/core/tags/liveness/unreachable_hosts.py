"""Open flows of backend servers whose hosts were found unreachable."""

from dataclasses import dataclass
from operator import attrgetter

from wasabigw.core.ids import Seconds
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.decisions import RefusalReason, Refuse
from wasabigw.core.tags.flow_table import remove_flow
from wasabigw.core.tags.liveness.host_checks import (
    MAX_LATENESS,
    HostCheck,
    HostChecked,
    HostStatus,
    Reference,
)
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import Flow, FlowState, Server, TagState
from wasabigw.core.view_lease import NEVER

CHECK_INTERVAL = Seconds(1.0)
"""Minimum time between two checks of the same host."""
MAX_RUNNING_CHECKS = 8
"""Maximum number of checks at a time; the next retransmission requests others again.

A balancer that is behind doubts all backend servers at once.
"""
REFERENCE_HOSTS = 2
"""Maximum number of reference hosts of a check, as each attempt costs a connection."""


@dataclass(frozen=True, slots=True)
class _References:
    """Backend servers on other hosts than a doubted one.

    :param on_path: those in its failure domain.
    :param path_answered_at: when a host of that failure domain last answered a caller.
    """

    on_path: list[Server]
    elsewhere: list[Server]
    path_answered_at: Seconds


def request_check(
    server: Server, sent_at: Seconds, state: TagState, now: Seconds
) -> None:
    """Request a check of the host of a doubted backend server.

    There is no check without a host that has answered since, because it could not tell
    a fault of that host from one of the balancer.

    :param sent_at: when the data was sent that has no answer.
    """
    boot = server.registration
    if now - server.breaker.checked_at < CHECK_INTERVAL:
        return
    if boot.tag in state.running_checks:
        return
    if len(state.running_checks) >= MAX_RUNNING_CHECKS:
        return
    references = _references(server, state)
    if references is None:
        return
    server.breaker.checked_at = now
    state.running_checks.add(boot.tag)
    state.host_checks.append(_check_of(server, references, sent_at))


def _check_of(doubted: Server, references: _References, sent_at: Seconds) -> HostCheck:
    boot = doubted.registration
    on_path, elsewhere = references.on_path, references.elsewhere
    is_draining = boot.state is RegistrationState.DRAINING
    same_elsewhere = bool(elsewhere) and _serve_same(elsewhere, doubted)
    same_service = same_elsewhere if elsewhere else _serve_same(on_path, doubted)
    # Packets of flows pass where connections are rejected.
    path_answers = references.path_answered_at > sent_at
    return HostCheck(
        boot.tag,
        boot.endpoint,
        boot.failure_domain,
        tuple(_reference(server) for server in (*on_path, *elsewhere)),
        refusal_counts=same_service and not is_draining,
        domain_refusal_counts=same_elsewhere and not is_draining and not path_answers,
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
    is_draining = server.registration.state is RegistrationState.DRAINING
    if result.is_refused and is_draining:
        # It may have stopped accepting connections before the view told so.
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


def _references(doubted: Server, state: TagState) -> _References | None:
    """Backend servers to compare a doubted one with; ``None`` if none has answered.

    A host in its failure domain and one elsewhere have answered since, or two of one
    kind. Hosts of its failure domain that have not answered are better than none: they
    tell whether the whole failure domain is silent.
    """
    answered = _answered_since(doubted, state)
    if not answered:
        return None
    domain = doubted.registration.failure_domain
    near = [s for s in answered if s.registration.failure_domain == domain]
    far = [s for s in answered if s.registration.failure_domain != domain]
    elsewhere = _latest(far, doubted, REFERENCE_HOSTS)
    on_path = _latest(near or _nearby(doubted, state), doubted, REFERENCE_HOSTS)
    if on_path and elsewhere:
        del on_path[1:], elsewhere[1:]
    answered_at = max((s.breaker.last_response_at for s in near), default=NEVER)
    return _References(on_path, elsewhere, answered_at)


def _answered_since(doubted: Server, state: TagState) -> list[Server]:
    """Backend servers on other hosts that have answered since a doubted one."""
    since = doubted.breaker.last_response_at
    address = doubted.registration.endpoint.address
    return [
        server
        for server in state.servers.values()
        if server.breaker.last_response_at > since
        and server.breaker.failures == 0
        and server.registration.endpoint.address != address
        and _is_in_use(server)
    ]


def _nearby(doubted: Server, state: TagState) -> list[Server]:
    """Backend servers on other hosts of the failure domain of a doubted one.

    Those that do not answer either are left out, if there are others.
    """
    boot = doubted.registration
    nearby = [
        server
        for server in state.servers.values()
        if server.registration.failure_domain == boot.failure_domain
        and server.registration.endpoint.address != boot.endpoint.address
        and _is_in_use(server)
    ]
    return [s for s in nearby if s.breaker.failures == 0] or nearby


def _is_in_use(server: Server) -> bool:
    """Whether a boot may still run: what has left does not answer attempts."""
    boot = server.registration
    return not boot.silent and boot.state is not RegistrationState.ENDED


def _latest(servers: list[Server], doubted: Server, count: int) -> list[Server]:
    """Backend servers on different hosts: of the same service, then latest to answer.

    :param count: maximum number of them.
    """
    service = doubted.registration.service
    found: list[Server] = []
    left = servers
    while left and len(found) < count:
        same = [s for s in left if s.registration.service == service]
        best = max(same or left, key=attrgetter("breaker.last_response_at"))
        found.append(best)
        address = best.registration.endpoint.address
        left = [s for s in left if s.registration.endpoint.address != address]
    return found


def _serve_same(servers: list[Server], doubted: Server) -> bool:
    service = doubted.registration.service
    return all(server.registration.service == service for server in servers)


def _reference(server: Server) -> Reference:
    boot = server.registration
    return Reference(boot.endpoint, boot.failure_domain)
