"""Clusters of any size, made by the commands of the real log."""

import random
from collections.abc import Sequence

from wasabigw.core.apply import apply
from wasabigw.core.cluster import ClusterState, Endpoint, FailureDomain, Node, Service
from wasabigw.core.commands import (
    BackendServerUp,
    ChangeRequest,
    Command,
    NodeUp,
    ReplaceConfiguration,
    ReportBatch,
)
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    FailureDomainId,
    Incarnation,
    NodeId,
    RegionId,
    RequestId,
    Revision,
    ServiceId,
)
from wasabigw.core.states import BackendServerState, Protocol
from wasabigw_measure._capacity_model import Target

BOOT_ID_BYTES = 16
_draws = random.Random(1)


def boot_id() -> BootId:
    """Random boot id of the usual length."""
    return BootId(_draws.randbytes(BOOT_ID_BYTES).hex())


def address(base: int, number: int) -> str:
    """IPv4 address ``base``.x.y.z of a number."""
    return f"{base}.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"


def domain(number: int, target: Target) -> FailureDomainId:
    """Failure domain of the VM with a number."""
    return FailureDomainId(f"domain-{number % target.failure_domains}")


def service_id(number: int) -> ServiceId:
    """Service with a number."""
    return ServiceId(f"service-{number:04}")


def server_id(number: int) -> BackendServerId:
    """Backend server with a number."""
    return BackendServerId(f"server-{number:05}")


def node_id(number: int) -> NodeId:
    """Balancer with a number."""
    return NodeId(f"balancer-{number:04}")


def service(number: int, target: Target, priority: int = 0) -> Service:
    """Service that all failure domains serve."""
    domains = tuple(domain(n, target) for n in range(target.failure_domains))
    endpoint = Endpoint(address(10, number), 443)
    return Service(
        service_id(number), endpoint, Protocol.TCP, domains, priority=priority
    )


def server_up(number: int, target: Target) -> BackendServerUp:
    """Registration of a backend server after a new boot."""
    return BackendServerUp(
        server_id(number),
        service_id(number % target.services),
        domain(number, target),
        Endpoint(address(11, number), 8080),
        boot_id(),
        4,
        2_000,
        BackendServerState.READY,
        8,
    )


def node(number: int, target: Target) -> Node:
    """Registration of a balancer after a new start."""
    where = address(12, number)
    incarnation = Incarnation(boot_id())
    return Node(
        node_id(number),
        domain(number, target),
        Endpoint(where, 6081),
        Endpoint(where, 8080),
        incarnation,
    )


def configuration(target: Target) -> ReplaceConfiguration:
    """All services and failure domains."""
    domains = tuple(
        FailureDomain(domain(n, target), RegionId(f"region-{n % target.regions}"))
        for n in range(target.failure_domains)
    )
    return ReplaceConfiguration(
        tuple(service(n, target) for n in range(target.services)), domains
    )


def founding_commands(target: Target) -> Sequence[Command]:
    """Commands that fill an empty state up to a size."""
    first = ChangeRequest(RequestId("founding"), Revision(0), configuration(target))
    nodes = tuple(NodeUp(node(n, target)) for n in range(target.nodes))
    servers = tuple(server_up(n, target) for n in range(target.backend_servers))
    return first, ReportBatch(nodes), ReportBatch(servers)


def make_cluster(target: Target) -> ClusterState:
    """Replicated state of a size, without any former candidates."""
    state = ClusterState()
    for revision, command in enumerate(founding_commands(target), 1):
        apply(command, Revision(revision), state)
    return state
