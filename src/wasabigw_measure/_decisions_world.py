"""A deployment whose balancers are the project's or a plain baseline, metered."""

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
from wasabigw_measure.compare_mapping import _http_bytes
from wasabigw_verify import record as r
from wasabigw_verify.harness.balancers import Balancer
from wasabigw_verify.harness.control_clients import ReportSender
from wasabigw_verify.harness.packets import Packet
from wasabigw_verify.harness.simulation import Simulation
from wasabigw_verify.sessions.deployed import DeploymentSimulation
from wasabigw_verify.sessions.deployments import Deployment

PING_BYTES = 2 * 64
"""A PING frame and its reply with IP, UDP and Geneve headers."""
_DONE = Applied(Revision(1000), Revision(900))
_SERVES = (BackendServerState.COLD, BackendServerState.READY)


class _MeteredReporter(ReportSender):
    def __init__(self, world: Simulation, balancer: "MeteredBalancer") -> None:
        super().__init__(world, balancer)
        self._metered = balancer

    def _make_request(self, reports: tuple[Report, ...]) -> ReportRequest:
        request = super()._make_request(reports)
        self._metered.control_bytes += _http_bytes(request, _DONE)
        return request


class MeteredBalancer(Balancer):
    """The project's decisions; counts the bytes of control traffic."""

    control_bytes = 0

    def __init__(
        self, world: Simulation, name: NodeId, domain: FailureDomainId
    ) -> None:
        super().__init__(world, name, domain)
        self.started = self.now
        self.reporter = _MeteredReporter(world, self)

    def apply_batch(self, batch: LogBatch, sent_at: Seconds) -> None:
        """Apply the answer to a log poll."""
        poll = LogPoll(self.node, self.state.cluster.revision, LOG_POLL_WAIT)
        self.control_bytes += _http_bytes(poll, batch)
        super().apply_batch(batch, sent_at)

    def announce(self, announcement: Announcement) -> Any:
        """Answer to a backend server."""
        outcome = super().announce(announcement)
        self.control_bytes += _http_bytes(announcement, outcome)
        return outcome

    def _send_binding(self, node: NodeId, sent: d.SendBinding) -> None:
        self.control_bytes += BINDING_FRAME_BYTES
        super()._send_binding(node, sent)

    def _send_ping(self, to: NodeId, sequence: int) -> None:
        self.control_bytes += PING_BYTES
        super()._send_ping(to, sequence)

    def _hand_over(self, node: NodeId, handover: Handover, attempts: int) -> None:
        self.control_bytes += _http_bytes(handover, None)
        super()._hand_over(node, handover, attempts)


class PlainBalancer(MeteredBalancer):
    """Follows the same log, without flow records of homes and without limits."""

    def receive(self, packet: Packet) -> None:
        """Send an answer to its caller and another packet to a backend server."""
        if not self.alive:
            return
        if packet.is_answer:
            self.simulation.to_caller(self, packet)
            return
        service = self.simulation.service_of(packet.event.flow)
        if service not in self.state.routes.services:
            # Nothing is known before the first view.
            return
        target = self.choose(packet.event.flow, self._live(service))
        if target is None:
            self.simulation.send_reset(self, packet)
        else:
            self.simulation.to_backend_server(self, target, packet)

    def choose(self, flow: FlowKey, live: list[Target]) -> Target | None:
        """Backend server of a flow."""
        raise NotImplementedError

    def _live(self, service: ServiceId) -> list[Target]:
        cluster = self.state.cluster
        out = self._out()
        return [
            self.state.routes.targets[name]
            for name, server in sorted(cluster.backend_servers.items())
            if server.service == service
            and server.state in _SERVES
            and server.failure_domain not in out
            and name in self.state.routes.targets
        ]

    def _out(self) -> set[FailureDomainId]:
        domains = self.state.cluster.failure_domains
        return {
            name
            for name, domain in domains.items()
            if domain.state is FailureDomainState.OUT_OF_SERVICE
        }


class HashModulo(PlainBalancer):
    """Hash modulo the live backend servers."""

    def choose(self, flow: FlowKey, live: list[Target]) -> Target | None:
        """Backend server of a flow."""
        return live[xxhash.xxh64_intdigest(flow) % len(live)] if live else None


class RoundRobin(PlainBalancer):
    """Round robin per flow with one table that all balancers share at no cost."""

    def choose(self, flow: FlowKey, live: list[Target]) -> Target | None:
        """Backend server of a flow."""
        world = self.simulation
        assert isinstance(world, MeasuredWorld)
        known = world.shared.get(flow)
        if known is None and live:
            service = world.service_of(flow)
            world.turns[service] += 1
            known = live[world.turns[service] % len(live)].id
            world.shared[flow] = known
        target = self.state.routes.targets.get(known) if known else None
        if target is None or target.failure_domain in self._out():
            return None
        return target


SCHEMES: dict[str, type[MeteredBalancer]] = {
    "project": MeteredBalancer,
    "hash modulo": HashModulo,
    "round robin, shared table": RoundRobin,
}


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Load of the backend servers of one service.

    :param max_over_mean: of the open flows of those that accept flows.
    """

    service: ServiceId
    max_over_mean: float


class MeasuredWorld(DeploymentSimulation):
    """A run of one scheme.

    :ivar shared: backend server of each flow for :class:`RoundRobin`.
    :ivar sent: when an operator first sent a change.
    """

    def __init__(
        self, deployment: Deployment, scheme: type[MeteredBalancer], seed: int
    ) -> None:
        super().__init__(deployment, seed)
        self.scheme = scheme
        self.shared: dict[FlowKey, BackendServerId] = {}
        self.turns: Counter[ServiceId] = Counter()
        self.sent: dict[Change, float] = {}
        self.samples: list[LoadSample] = []
        self.metered: list[MeteredBalancer] = []
        # Callers don't depend on how many numbers a scheme draws.
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
        """An operator sends a change."""
        self.sent[change] = self.network.now
        super().send_change(change, expected, lost, done)

    def generate_traffic(
        self, service: ServiceId, per_second: float, start: float, end: float
    ) -> None:
        """Open flows at times that are the same for all schemes."""
        draw = self._arrivals
        long = service == self.deployment.second
        at = start + draw.expovariate(per_second)
        while at < end:
            count = draw.randrange(1, 8) if long else draw.randrange(2)
            gaps = [draw.uniform(0.2, 3.0 if long else 0.4) for _ in range(count)]
            self.at(at, self._starter(service, gaps))
            at += draw.expovariate(per_second)
        self.traffic_ends = max(self.traffic_ends, end)

    def sample_loads(self, start: float, end: float) -> None:
        """Note the imbalance once a second."""
        for second in range(int(start), int(end)):
            self.at(second + 0.5, self._sample)

    def _starter(self, service: ServiceId, gaps: list[float]) -> Any:
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
