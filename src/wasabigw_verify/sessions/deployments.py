"""The two deployments: names, sizes and latencies."""

from dataclasses import dataclass

from wasabigw.core.cluster import Endpoint, FailureDomain, Service
from wasabigw.core.commands import ReplaceConfiguration
from wasabigw.core.ids import FailureDomainId, RegionId, ServiceId
from wasabigw.core.states import FlowLimit, Protocol

BACKEND_SERVERS = (7, 3)
"""Backend servers of the first and of the second service."""
CONNECTIONS = 2000


@dataclass(frozen=True, slots=True)
class Deployment:
    """A team and what its callers use.

    :param key: name for files.
    :param first: service of short requests, limited by slots; the other one is
        limited by connections.
    :param domain_latency: one-way seconds from one failure domain to another.
    :param caller_latency: one-way seconds from a failure domain to callers.
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
        """Configuration with which the deployment starts."""
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
