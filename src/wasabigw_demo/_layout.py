"""What the launcher starts: names, failure domains, endpoints and files."""

import socket
from dataclasses import dataclass
from pathlib import Path

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import BackendServerId, FailureDomainId, NodeId, ServiceId
from wasabigw.core.states import Protocol
from wasabigw_demo.addresses import free_endpoint

REGION = "demo-region"
ZONES = (FailureDomainId("zone-a"), FailureDomainId("zone-b"))
CALLER_ADDRESSES = ("10.1.0.1", "10.1.0.2")
PROBE_ADDRESS = "10.9.0.1"
BACKEND_RANGE = "10.2.0.0/24"
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
    :param relays: one for each voter, through which its API is reached; empty if
        it is reached directly.
    :param connections: that each backend server announces.
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
    relays: tuple[Endpoint, ...] = ()
    relay_control: Endpoint | None = None
    connections: int = CONNECTIONS

    def record(self, name: str) -> Path:
        """File in which a stand-in keeps its record."""
        return self.folder / f"{name}.record.jsonl"

    def log(self, name: str) -> Path:
        """File with the output of a process."""
        return self.folder / f"{name}.log"


def make_layout(
    folder: Path, relayed: bool = False, connections: int = CONNECTIONS
) -> Layout:
    """Three voters, three balancers in two failure domains, and the stand-ins.

    :param relayed: whether the APIs of the voters are reached through relays.
    """
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
            VoterPlace(NodeId(f"control-{number}"), zone, _tcp())
            for number, zone in enumerate(voter_zones, 1)
        ),
        balancers=tuple(
            BalancerPlace(NodeId(f"balancer-{number}"), zone, _tcp(), _udp())
            for number, zone in enumerate((zone_a, zone_a, zone_b), 1)
        ),
        backends=tuple(
            BackendPlace(
                BackendServerId(name),
                service,
                zone,
                Endpoint(f"10.2.0.{number}", 8080),
                _udp(),
                _tcp(),
            )
            for number, (name, service, zone) in enumerate(backends, 1)
        ),
        callers=tuple(
            CallerPlace(f"caller-{number}", address, _udp())
            for number, address in enumerate(CALLER_ADDRESSES, 1)
        ),
        fabric=_udp(),
        fabric_control=_tcp(),
        probe=_udp(),
        relays=tuple(_tcp() for _ in voter_zones) if relayed else (),
        relay_control=_tcp() if relayed else None,
        connections=connections,
    )


def _tcp() -> Endpoint:
    return free_endpoint(socket.SOCK_STREAM)


def _udp() -> Endpoint:
    return free_endpoint(socket.SOCK_DGRAM)
