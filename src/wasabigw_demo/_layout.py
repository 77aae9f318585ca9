"""What the launcher starts: names, failure domains, endpoints and files."""

import socket
from dataclasses import dataclass
from pathlib import Path

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import BackendServerId, FailureDomainId, NodeId, ServiceId
from wasabigw.core.states import Protocol
from wasabigw_demo.addresses import free_endpoints

REGION = "demo-region"
ZONES = (FailureDomainId("zone-a"), FailureDomainId("zone-b"))
CALLER_ADDRESSES = ("10.1.0.1", "10.1.0.2")
PROBE_ADDRESS = "10.9.0.1"
BACKEND_RANGE = "10.2.0.0/24"
SERVICE_RANGE = "198.51.100.0/24"
CONNECTIONS = 2000
SLOTS = 4
MAX_ENDPOINTS = 32
"""Endpoints of each protocol that the layout may use."""


@dataclass(frozen=True, slots=True)
class DemoService:
    """A service of the demonstration."""

    id: ServiceId
    protocol: Protocol
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class NodePlace:
    """A process of the system."""

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
class BackendPlace:
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
    """All processes of the demonstration.

    :param folder: temporary folder for settings, data, records and logs.
    """

    folder: Path
    services: tuple[DemoService, ...]
    voters: tuple[VoterPlace, ...]
    balancers: tuple[BalancerPlace, ...]
    backends: tuple[BackendPlace, ...]
    callers: tuple[CallerPlace, ...]
    fabric: Endpoint
    fabric_control: Endpoint
    probe: Endpoint

    def record(self, name: str) -> Path:
        """File in which a stand-in keeps its record."""
        return self.folder / f"{name}.record.jsonl"

    def log(self, name: str) -> Path:
        """File with the output of a process."""
        return self.folder / f"{name}.log"


def make_layout(folder: Path) -> Layout:
    """Three voters, three balancers in two failure domains, and the stand-ins."""
    tcp = iter(free_endpoints(socket.SOCK_STREAM, MAX_ENDPOINTS))
    udp = iter(free_endpoints(socket.SOCK_DGRAM, MAX_ENDPOINTS))
    documents = DemoService(
        ServiceId("documents"), Protocol.TCP, Endpoint("198.51.100.1", 443)
    )
    feed = DemoService(ServiceId("feed"), Protocol.UDP, Endpoint("198.51.100.2", 4433))
    zone_a, zone_b = ZONES
    backends = (
        ("doc-1", documents, zone_a),
        ("doc-2", documents, zone_a),
        ("doc-3", documents, zone_b),
        ("feed-1", feed, zone_a),
        ("feed-2", feed, zone_b),
    )
    voter_zones = (zone_a, zone_b, FailureDomainId("zone-c"))
    return Layout(
        folder=folder,
        services=(documents, feed),
        voters=tuple(
            VoterPlace(NodeId(f"control-{number}"), zone, next(tcp))
            for number, zone in enumerate(voter_zones, 1)
        ),
        balancers=tuple(
            BalancerPlace(NodeId(f"balancer-{number}"), zone, next(tcp), next(udp))
            for number, zone in enumerate((zone_a, zone_a, zone_b), 1)
        ),
        backends=tuple(
            BackendPlace(
                BackendServerId(name),
                service,
                zone,
                Endpoint(f"10.2.0.{number}", 8080),
                next(udp),
                next(tcp),
            )
            for number, (name, service, zone) in enumerate(backends, 1)
        ),
        callers=tuple(
            CallerPlace(f"caller-{number}", address, next(udp))
            for number, address in enumerate(CALLER_ADDRESSES, 1)
        ),
        fabric=next(udp),
        fabric_control=next(tcp),
        probe=next(udp),
    )
