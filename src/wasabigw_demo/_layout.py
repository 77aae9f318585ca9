"""Processes of the launcher: names, failure domains, endpoints and files."""

import socket
from dataclasses import dataclass
from pathlib import Path

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import BackendServerId, FailureDomainId, NodeId, ServiceId
from wasabigw.core.states import Protocol
from wasabigw_demo.addresses import free_endpoint

REGION = "demo-region"
FAILURE_DOMAINS = (FailureDomainId("zone-a"), FailureDomainId("zone-b"))
CALLER_ADDRESSES = ("10.1.0.1", "10.1.0.2")
PROBE_ADDRESS = "10.9.0.1"
BACKEND_SERVER_RANGE = "10.2.0.0/24"
SERVICE_RANGE = "198.51.100.0/24"
CONNECTIONS = 2000
SLOTS = 4


@dataclass(frozen=True, slots=True)
class DemoService:
    """A service of the demonstration."""

    id: ServiceId
    protocol: Protocol
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class NodePlace:
    """A voter or balancer process."""

    id: NodeId
    failure_domain: FailureDomainId
    api: Endpoint


@dataclass(frozen=True, slots=True)
class VoterPlace(NodePlace):
    """A control voter."""


@dataclass(frozen=True, slots=True)
class BalancerPlace(NodePlace):
    """A balancer."""

    data: Endpoint


@dataclass(frozen=True, slots=True)
class BackendServerPlace:
    """A backend server stand-in."""

    id: BackendServerId
    service: DemoService
    failure_domain: FailureDomainId
    inner: Endpoint
    geneve: Endpoint
    control: Endpoint


@dataclass(frozen=True, slots=True)
class CallerPlace:
    """A caller stand-in."""

    name: str
    address: str
    geneve: Endpoint


@dataclass(frozen=True, slots=True)
class Layout:
    """Processes and services of the demonstration.

    :param folder: temporary folder for settings, data, records and logs.
    :param probe: endpoint from which invalid packets are sent.
    :param relays: one endpoint for each voter, through which its API is reached;
        empty if it is reached directly.
    :param connections: connections that each backend server announces.
    """

    folder: Path
    services: tuple[DemoService, ...]
    voters: tuple[VoterPlace, ...]
    balancers: tuple[BalancerPlace, ...]
    backend_servers: tuple[BackendServerPlace, ...]
    callers: tuple[CallerPlace, ...]
    fabric: Endpoint
    fabric_control: Endpoint
    probe: Endpoint
    relays: tuple[Endpoint, ...] = ()
    relay_control: Endpoint | None = None
    connections: int = CONNECTIONS

    def record(self, name: str) -> Path:
        """Record file of a stand-in."""
        return self.folder / f"{name}.record.jsonl"

    def log(self, name: str) -> Path:
        """Log file of a process."""
        return self.folder / f"{name}.log"


def make_layout(
    folder: Path, relayed: bool = False, connections: int = CONNECTIONS
) -> Layout:
    """Layout of three voters, three balancers in two domains, and the stand-ins.

    :param relayed: whether the APIs of the voters are reached through relays.
    """
    documents = DemoService(
        ServiceId("documents"), Protocol.TCP, Endpoint("198.51.100.1", 443)
    )
    feed = DemoService(ServiceId("feed"), Protocol.UDP, Endpoint("198.51.100.2", 4433))
    domain_a, domain_b = FAILURE_DOMAINS
    backend_servers = (
        ("doc-1", documents, domain_a),
        ("doc-2", documents, domain_a),
        ("doc-3", documents, domain_b),
        ("feed-1", feed, domain_a),
        ("feed-2", feed, domain_b),
    )
    voter_domains = (domain_a, domain_b, FailureDomainId("zone-c"))
    return Layout(
        folder=folder,
        services=(documents, feed),
        voters=tuple(
            VoterPlace(NodeId(f"control-{number}"), failure_domain, _tcp_endpoint())
            for number, failure_domain in enumerate(voter_domains, 1)
        ),
        balancers=tuple(
            BalancerPlace(
                NodeId(f"balancer-{number}"),
                failure_domain,
                _tcp_endpoint(),
                _udp_endpoint(),
            )
            for number, failure_domain in enumerate((domain_a, domain_a, domain_b), 1)
        ),
        backend_servers=tuple(
            BackendServerPlace(
                BackendServerId(name),
                service,
                failure_domain,
                Endpoint(f"10.2.0.{number}", 8080),
                _udp_endpoint(),
                _tcp_endpoint(),
            )
            for number, (name, service, failure_domain) in enumerate(backend_servers, 1)
        ),
        callers=tuple(
            CallerPlace(f"caller-{number}", address, _udp_endpoint())
            for number, address in enumerate(CALLER_ADDRESSES, 1)
        ),
        fabric=_udp_endpoint(),
        fabric_control=_tcp_endpoint(),
        probe=_udp_endpoint(),
        relays=tuple(_tcp_endpoint() for _ in voter_domains) if relayed else (),
        relay_control=_tcp_endpoint() if relayed else None,
        connections=connections,
    )


def _tcp_endpoint() -> Endpoint:
    return free_endpoint(socket.SOCK_STREAM)


def _udp_endpoint() -> Endpoint:
    return free_endpoint(socket.SOCK_DGRAM)
