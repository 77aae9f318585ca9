"""Application of view updates and declarations to the state of a balancer."""

from collections.abc import Set

from wasabigw.core.declaration import Declaration
from wasabigw.core.delivery_view import ViewUpdate, apply_update
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds, ServiceId, Tag
from wasabigw.core.registration import Registration
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.choice.selection import rank_of
from wasabigw.core.tags.decisions import Receiver
from wasabigw.core.tags.state import Server, TagState, listeners_of


def apply_view_update(
    update: ViewUpdate, sent_at: Seconds, state: TagState, now: Seconds
) -> bool:
    """Apply a view update and extend the freshness of the view.

    :param sent_at: when the poll was sent that the update answers.
    :returns: whether the view has changed.
    """
    has_changed = apply_update(state.view, update)
    if has_changed:
        rebuild_pools(state, now)
    if update.revision >= state.view.revision:
        fresh_until = Seconds(sent_at + update.fresh_for)
        state.fresh_until = max(state.fresh_until, fresh_until)
        if update.fresh_for > 0:
            state.confirmed_at = max(state.confirmed_at, sent_at)
    return has_changed


def apply_declaration(declaration: Declaration, state: TagState) -> None:
    """Put a declaration into force, unless the current one is as new or newer."""
    current = state.declared_version
    if current is not None and declaration.version <= current:
        return
    state.declared_version = declaration.version
    state.listeners = listeners_of(declaration)
    state.idle_timeout = declaration.idle_timeout
    for key in state.request_sizes.keys() - state.listeners.keys():
        del state.request_sizes[key]
    priorities = (
        listener.requirements.priority
        for listener in declaration.listeners
        if listener.requirements is not None
    )
    state.highest_priority = min(priorities, default=None)


def rebuild_pools(state: TagState, now: Seconds) -> None:
    """Rebuild the backend servers and the pools for new flows from the view."""
    state.servers = _servers(state, now)
    pools: dict[ServiceId, list[Server]] = {}
    in_use = {b.endpoint for b in state.view.boots.values() if _is_in_use(b)}
    for server in state.servers.values():
        server.receiver = _receiver(server.registration, in_use)
        if _accepts_new_flows(server.registration, state):
            pools.setdefault(server.registration.service, []).append(server)
    for service, pool in pools.items():
        # Lists are equal if they hold the same objects; plans remain those of the list.
        if state.pools.get(service) == pool:
            pools[service] = state.pools[service]
    state.pools = pools
    for service in state.plans.keys() - pools.keys():
        del state.plans[service]


def _servers(state: TagState, now: Seconds) -> dict[Tag, Server]:
    servers: dict[Tag, Server] = {}
    for boot in state.view.boots.values():
        server = state.servers.get(boot.tag)
        if server is None:
            rank = rank_of(state.node, boot.tag)
            server = Server(boot, Seconds(now + boot.cold_for), rank)
        elif server.registration != boot:
            server.registration = boot
            server.cold_until = Seconds(now + boot.cold_for)
        servers[boot.tag] = server
    return servers


def _receiver(boot: Registration, in_use: Set[Endpoint]) -> Receiver:
    """Which backend server takes packets of open flows of a boot.

    If another boot is in use at the endpoint, only the one that runs there knows which
    of them has ended. One that replaced the other ignores packets that name the other,
    whose callers would wait until they give up, but resets unknown flows.
    """
    is_superseded = not _is_in_use(boot) and boot.endpoint in in_use
    return Receiver.ANY if is_superseded else Receiver.NAMED


def _is_in_use(boot: Registration) -> bool:
    return not boot.silent and boot.state is not RegistrationState.ENDED


def _accepts_new_flows(boot: Registration, state: TagState) -> bool:
    if boot.state is not RegistrationState.SERVING or boot.silent:
        return False
    return boot.failure_domain not in state.view.out_of_service
