"""The two deployments: names, sizes and latencies."""

from dataclasses import dataclass

from wasabigw.core.cluster import Endpoint, FailureDomain, Service
from wasabigw.core.commands import ReplaceConfiguration
from wasabigw.core.ids import FailureDomainId, RegionId, ServiceId
from wasabigw.core.states import FlowLimit, Protocol

BACKEND_SERVERS = (7, 3)
"""Numbers of backend servers of the first and of the second service."""
CONNECTIONS = 2000


@dataclass(frozen=True, slots=True)
class Deployment:
    """Services, failure domains and network of a team.

    :param key: name of the deployment in file names.
    :param first: service with short requests, limited by slots.
    :param second: service limited by connections.
    :param network: first three bytes of the addresses of the services.
    :param slots: slots of each backend server.
    :param domain_latency: one-way latency between failure domains, in seconds.
    :param caller_latency: one-way latency between a failure domain and callers, in
        seconds.
    :param balancers: number of balancers.
    """

    key: str
    team: str
    region: RegionId
    domains: tuple[FailureDomainId, ...]
    first: ServiceId
    second: ServiceId
    network: str
    slots: int
    domain_latency: float
    caller_latency: float
    balancers: int

    def services(self) -> dict[ServiceId, Service]:
        """Both services; the first has the higher priority."""
        limits = {self.first: FlowLimit.SLOTS, self.second: FlowLimit.CONNECTIONS}
        return {
            name: Service(
                name,
                Endpoint(f"{self.network}.{number}", 443),
                Protocol.TCP,
                self.domains,
                limit,
                priority=100 if name == self.first else 0,
            )
            for number, (name, limit) in enumerate(limits.items(), 10)
        }

    def configuration(self) -> ReplaceConfiguration:
        """Initial configuration of the deployment."""
        domains = tuple(FailureDomain(name, self.region) for name in self.domains)
        return ReplaceConfiguration(tuple(self.services().values()), domains)


CAVALCANTI = Deployment(
    "cavalcanti",
    "Cavalcanti Formação Sindical",
    RegionId("north-east-brazil"),
    tuple(FailureDomainId(name) for name in ("recife", "fortaleza", "salvador")),
    ServiceId("seats"),
    ServiceId("documents"),
    "203.0.113",
    slots=4,
    domain_latency=0.001,
    caller_latency=0.003,
    balancers=8,
)
TANREND = Deployment(
    "tanrend",
    "Tanrend Franchise Központ",
    RegionId("central-hungary"),
    tuple(FailureDomainId(name) for name in ("budapest", "vac", "godollo")),
    ServiceId("catalogue"),
    ServiceId("syllabus"),
    "198.51.100",
    slots=3,
    domain_latency=0.0015,
    caller_latency=0.001,
    balancers=6,
)
DEPLOYMENTS = (CAVALCANTI, TANREND)
