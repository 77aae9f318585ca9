"""Brings a balancer's view up to date with its copy of the replicated state."""

from wasabigw.core.cluster import Registration, Registry
from wasabigw.core.declaration import Declaration
from wasabigw.core.ids import Seconds, ServiceId, Tag
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.state import Server, TagState, listeners_of
from wasabigw.core.transition import in_service


def declare(declaration: Declaration, state: TagState) -> None:
    """Put a declaration into force; one that is not newer changes nothing."""
    current = state.declared_version
    if current is not None and declaration.version <= current:
        return
    state.declared_version = declaration.version
    state.listeners = listeners_of(declaration)
    state.idle_timeout = declaration.idle_timeout


def learn(state: TagState, now: Seconds) -> None:
    """Take over what the copy of the replicated state has changed."""
    registry = state.cluster.registry
    state.servers = _servers(registry, state, now)
    pools: dict[ServiceId, list[Server]] = {}
    for server in state.servers.values():
        if _takes_new_flows(server.registration, state):
            pools.setdefault(server.registration.service, []).append(server)
    state.pools = pools


def _servers(registry: Registry, state: TagState, now: Seconds) -> dict[Tag, Server]:
    servers: dict[Tag, Server] = {}
    for boot in (*registry.ended, *registry.current.values()):
        server = state.servers.get(boot.tag)
        if server is None:
            server = Server(boot, Seconds(now + boot.cold_for))
        elif server.registration != boot:
            server.registration = boot
            server.cold_until = Seconds(now + boot.cold_for)
        servers[boot.tag] = server
    return servers


def _takes_new_flows(boot: Registration, state: TagState) -> bool:
    if boot.state is not RegistrationState.SERVING or boot.silent:
        return False
    return in_service(boot.failure_domain, state.cluster)
