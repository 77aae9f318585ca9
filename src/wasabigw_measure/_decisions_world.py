"""A simulated deployment that counts the control bytes of its balancers.

The balancers decide as the project does, or as one of the baselines.
"""

import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

import xxhash

from wasabigw.core.cluster import Applied
from wasabigw.core.commands import Change, Report
from wasabigw.core.flows import decisions as d
from wasabigw.core.flows.handover import Handover
from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import (
    BackendServerId,
    FailureDomainId,
    FlowKey,
    NodeId,
    Revision,
    Seconds,
    ServiceId,
)
from wasabigw.core.log_messages import Announcement, LogBatch, LogPoll, ReportRequest
from wasabigw.core.states import BackendServerState, FailureDomainState
from wasabigw.core.timing import LOG_POLL_WAIT
from wasabigw_measure._mapping_buckets import BINDING_FRAME_BYTES
from wasabigw_measure.compare_mapping import http_bytes
from wasabigw_verify import record as r
from wasabigw_verify.harness.balancers import Balancer
from wasabigw_verify.harness.control_clients import ReportSender
from wasabigw_verify.harness.packets import Packet
from wasabigw_verify.harness.simulation import Simulation
from wasabigw_verify.sessions.deployed import DeploymentSimulation
from wasabigw_verify.sessions.deployments import Deployment

PING_BYTES = 2 * 64
"""Size of a PING frame and of its reply, with IP, UDP and Geneve headers."""
_SAMPLE_RESULT = Applied(Revision(1000), Revision(900))
_SERVING_STATES = (BackendServerState.COLD, BackendServerState.READY)


class _MeteredReporter(ReportSender):
    def __init__(self, world: Simulation, balancer: "MeteredBalancer") -> None:
        super().__init__(world, balancer)
        self._metered_balancer = balancer

    def _make_request(self, reports: tuple[Report, ...]) -> ReportRequest:
        request = super()._make_request(reports)
        self._metered_balancer.control_bytes += http_bytes(request, _SAMPLE_RESULT)
        return request


class MeteredBalancer(Balancer):
    """Balancer with the project's decisions that counts its control bytes."""

    control_bytes = 0

    def __init__(
        self, world: Simulation, name: NodeId, domain: FailureDomainId
    ) -> None:
        super().__init__(world, name, domain)
        self.started = self.now
        self.reporter = _MeteredReporter(world, self)

    def apply_batch(self, batch: LogBatch, sent_at: Seconds) -> None:
        """Apply the response to a log poll and count the bytes of both."""
        poll = LogPoll(self.node, self.state.cluster.revision, LOG_POLL_WAIT)
        self.control_bytes += http_bytes(poll, batch)
        super().apply_batch(batch, sent_at)

    def announce(self, announcement: Announcement) -> Any:
        """Process an announcement and count its bytes and those of the response."""
        outcome = super().announce(announcement)
        self.control_bytes += http_bytes(announcement, outcome)
        return outcome

    def _send_binding(self, node: NodeId, decision: d.SendBinding) -> None:
        self.control_bytes += BINDING_FRAME_BYTES
        super()._send_binding(node, decision)

    def _send_ping(self, to: NodeId, sequence: int) -> None:
        self.control_bytes += PING_BYTES
        super()._send_ping(to, sequence)

    def _hand_over(self, node: NodeId, handover: Handover, attempts: int) -> None:
        self.control_bytes += http_bytes(handover, None)
        super()._hand_over(node, handover, attempts)


class BaselineBalancer(MeteredBalancer):
    """Base of the baselines: follows the log, without flow records or limits."""

    def receive(self, packet: Packet) -> None:
        """Send an answer to its caller, and any other packet to a backend server."""
        if not self.alive:
            return
        if packet.is_answer:
            self.simulation.to_caller(self, packet)
            return
        service = self.simulation.service_of(packet.event.flow)
        if service not in self.state.routes.services:
            # The service is unknown until the first view has been applied.
            return
        target = self.choose(packet.event.flow, self._available_targets(service))
        if target is None:
            self.simulation.send_reset(self, packet)
        else:
            self.simulation.to_backend_server(self, target, packet)

    def choose(self, flow: FlowKey, available: list[Target]) -> Target | None:
        """Choose one of the available backend servers for a flow."""
        raise NotImplementedError

    def _available_targets(self, service: ServiceId) -> list[Target]:
        cluster = self.state.cluster
        out = self._domains_out_of_service()
        return [
            self.state.routes.targets[name]
            for name, server in sorted(cluster.backend_servers.items())
            if server.service == service
            and server.state in _SERVING_STATES
            and server.failure_domain not in out
            and name in self.state.routes.targets
        ]

    def _domains_out_of_service(self) -> set[FailureDomainId]:
        domains = self.state.cluster.failure_domains
        return {
            name
            for name, domain in domains.items()
            if domain.state is FailureDomainState.OUT_OF_SERVICE
        }


class HashModuloBalancer(BaselineBalancer):
    """Chooses by the flow hash modulo the number of available backend servers."""

    def choose(self, flow: FlowKey, available: list[Target]) -> Target | None:
        """Choose a backend server by hash."""
        return (
            available[xxhash.xxh64_intdigest(flow) % len(available)]
            if available
            else None
        )


class RoundRobinBalancer(BaselineBalancer):
    """Round robin per flow, with one flow table that all balancers share.

    Access to the shared table costs no control bytes.
    """

    def choose(self, flow: FlowKey, available: list[Target]) -> Target | None:
        """Choose the backend server in the shared table, or the next in turn."""
        world = self.simulation
        assert isinstance(world, MeasuredWorld)
        known = world.shared_table.get(flow)
        if known is None and available:
            service = world.service_of(flow)
            world.next_turn[service] += 1
            known = available[world.next_turn[service] % len(available)].id
            world.shared_table[flow] = known
        target = self.state.routes.targets.get(known) if known else None
        if target is None or target.failure_domain in self._domains_out_of_service():
            return None
        return target


SCHEMES: dict[str, type[MeteredBalancer]] = {
    "project": MeteredBalancer,
    "hash modulo": HashModuloBalancer,
    "round robin, shared table": RoundRobinBalancer,
}


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Load of the backend servers of one service.

    :param max_over_mean: highest number of open flows of a backend server that accepts
        flows, divided by the mean.
    """

    service: ServiceId
    max_over_mean: float


class MeasuredWorld(DeploymentSimulation):
    """Simulated deployment of one scheme.

    :ivar shared_table: backend server of each flow, for :class:`RoundRobinBalancer`.
    :ivar next_turn: counter of the round robin of each service.
    :ivar first_sent: time at which an operator first sent each change.
    :ivar metered: all balancers that were ever started, with their counters.
    """

    def __init__(
        self, deployment: Deployment, scheme: type[MeteredBalancer], seed: int
    ) -> None:
        super().__init__(deployment, seed)
        self.scheme = scheme
        self.shared_table: dict[FlowKey, BackendServerId] = {}
        self.next_turn: Counter[ServiceId] = Counter()
        self.first_sent: dict[Change, float] = {}
        self.samples: list[LoadSample] = []
        self.metered: list[MeteredBalancer] = []
        # A separate generator, so that arrivals do not depend on how many random
        # numbers a scheme draws.
        self._arrivals = random.Random(seed)

    def start_balancer(self, name: NodeId, domain: FailureDomainId) -> None:
        """Start a balancer of the scheme."""
        self.domain_of[name] = domain
        self.add(r.NodeStarted(self.network.now, name, domain))
        balancer = self.scheme(self, name, domain)
        self.balancers[name] = balancer
        self.metered.append(balancer)

    def send_change(
        self,
        change: Change,
        expected: Revision | None = None,
        lost: int = 0,
        done: Any = None,
    ) -> None:
        """Send a change as an operator, and note when it was first sent."""
        self.first_sent[change] = self.network.now
        super().send_change(change, expected, lost, done)

    def generate_traffic(
        self, service: ServiceId, per_second: float, start: float, end: float
    ) -> None:
        """Schedule new flows at times that are the same for all schemes."""
        generator = self._arrivals
        long = service == self.deployment.second
        at = start + generator.expovariate(per_second)
        while at < end:
            count = generator.randrange(1, 8) if long else generator.randrange(2)
            gaps = [generator.uniform(0.2, 3.0 if long else 0.4) for _ in range(count)]
            self.at(at, self._make_starter(service, gaps))
            at += generator.expovariate(per_second)
        self.traffic_ends = max(self.traffic_ends, end)

    def sample_loads(self, start: float, end: float) -> None:
        """Sample the load imbalance once a second."""
        for second in range(int(start), int(end)):
            self.at(second + 0.5, self._sample)

    def _make_starter(self, service: ServiceId, gaps: list[float]) -> Any:
        return lambda: self.callers.start("callers", service, gaps)

    def _sample(self) -> None:
        for service in (self.deployment.first, self.deployment.second):
            loads = [
                len(server.flows)
                for server in self.backend_servers.values()
                if server.service == service
                and server.state is BackendServerState.READY
            ]
            if sum(loads):
                ratio = max(loads) * len(loads) / sum(loads)
                self.samples.append(LoadSample(service, ratio))
