"""Backend servers in the form that the packet path uses."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wasabigw.core.cluster import BackendServer, Service
from wasabigw.core.flows.keys import address_number
from wasabigw.core.ids import BackendServerId, BootId, FailureDomainId, ServiceId


@dataclass(slots=True, eq=False)
class Target:
    """A registered backend server.

    :param usable: false once the backend server is removed or restarts, or its
        failure domain is taken out of service; cached bindings are invalid then.
    :param serving: whether it may get new flows; false while it drains.
    :param to_backend: data that the front end prepared for packets to it.
    :param to_caller: data that the front end prepared for packets from it.
    """

    id: BackendServerId
    index: int
    service: ServiceId
    service_address: int
    service_port: int
    failure_domain: FailureDomainId
    address: int
    port: int
    protocol: int
    boot_id: BootId
    usable: bool
    serving: bool = True
    to_backend: Any = None
    to_caller: Any = None


Prepare = Callable[[Target], tuple[Any, Any]]
"""Computes ``to_backend`` and ``to_caller`` of a target."""


def prepare_nothing(_: Target) -> tuple[Any, Any]:
    """Prepare no data, for front ends that need none."""
    return None, None


def make_target(
    backend_server: BackendServer, service: Service, usable: bool, prepare: Prepare
) -> Target:
    """Create the target of a registered backend server."""
    target = Target(
        backend_server.id,
        backend_server.index,
        service.id,
        address_number(service.endpoint.address),
        service.endpoint.port,
        backend_server.failure_domain,
        address_number(backend_server.endpoint.address),
        backend_server.endpoint.port,
        service.protocol.value,
        backend_server.boot_id,
        usable,
    )
    target.to_backend, target.to_caller = prepare(target)
    return target


def is_current(
    target: Target, backend_server: BackendServer, service: Service, usable: bool
) -> bool:
    """Whether a target still matches the replicated state."""
    return (
        target.usable == usable
        and target.boot_id == backend_server.boot_id
        and target.index == backend_server.index
        and target.service == service.id
        and target.port == backend_server.endpoint.port
        and target.address == address_number(backend_server.endpoint.address)
        and target.service_port == service.endpoint.port
        and target.service_address == address_number(service.endpoint.address)
        and target.failure_domain == backend_server.failure_domain
        and target.protocol == service.protocol.value
    )
