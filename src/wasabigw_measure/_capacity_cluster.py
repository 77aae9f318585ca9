"""Clusters of any size, built by applying log commands."""

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
_generator = random.Random(1)


def boot_id() -> BootId:
    """Random boot id of the length that backend servers use."""
    return BootId(_generator.randbytes(BOOT_ID_BYTES).hex())


def address(base: int, number: int) -> str:
    """IPv4 address ``base``.x.y.z, with the number in its last three bytes."""
    return f"{base}.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"


def domain(number: int, target: Target) -> FailureDomainId:
    """Id of the failure domain of a VM."""
    return FailureDomainId(f"domain-{number % target.failure_domains}")


def service_id(number: int) -> ServiceId:
    """Id of a service."""
    return ServiceId(f"service-{number:04}")


def server_id(number: int) -> BackendServerId:
    """Id of a backend server."""
    return BackendServerId(f"server-{number:05}")


def node_id(number: int) -> NodeId:
    """Id of a balancer."""
    return NodeId(f"balancer-{number:04}")


def service(number: int, target: Target, priority: int = 0) -> Service:
    """Service with a number, served in all failure domains."""
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
    ip_address = address(12, number)
    incarnation = Incarnation(boot_id())
    return Node(
        node_id(number),
        domain(number, target),
        Endpoint(ip_address, 6081),
        Endpoint(ip_address, 8080),
        incarnation,
    )


def configuration(target: Target) -> ReplaceConfiguration:
    """Configuration of all services and failure domains."""
    domains = tuple(
        FailureDomain(domain(n, target), RegionId(f"region-{n % target.regions}"))
        for n in range(target.failure_domains)
    )
    return ReplaceConfiguration(
        tuple(service(n, target) for n in range(target.services)), domains
    )


def initial_commands(target: Target) -> Sequence[Command]:
    """Commands that build a cluster of a size from an empty state."""
    first = ChangeRequest(RequestId("founding"), Revision(0), configuration(target))
    nodes = tuple(NodeUp(node(n, target)) for n in range(target.nodes))
    servers = tuple(server_up(n, target) for n in range(target.backend_servers))
    return first, ReportBatch(nodes), ReportBatch(servers)


def make_cluster(target: Target) -> ClusterState:
    """Replicated state of a cluster of a size, without former candidates."""
    state = ClusterState()
    for revision, command in enumerate(initial_commands(target), 1):
        apply(command, Revision(revision), state)
    return state
