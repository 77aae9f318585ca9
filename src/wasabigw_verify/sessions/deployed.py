"""Simulation of a deployment with its processes, traffic and operators."""

from collections import Counter
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

from wasabigw.core.cluster import Applied, ClusterState, Refusal
from wasabigw.core.commands import Change
from wasabigw.core.ids import NodeId, Revision, ServiceId
from wasabigw.tasks import voter_task
from wasabigw_verify.harness.callers import Session
from wasabigw_verify.harness.environment import BalancerProcess
from wasabigw_verify.harness.operators import Operator
from wasabigw_verify.harness.packets import Packet
from wasabigw_verify.harness.simulation import VOTERS, Simulation
from wasabigw_verify.harness.steps import Step, StepParticipants
from wasabigw_verify.sessions.deployments import (
    BACKEND_SERVERS,
    CONNECTIONS,
    Deployment,
)

LOCAL_LATENCY = 0.0003
JITTER = 0.2
"""Maximum deviation of a one-way latency, as a share of its mean."""
SNAPSHOT_INTERVAL = 64
Outcome = Applied | Refusal


def _ignore_step(step: Step, participants: StepParticipants) -> None:
    """Do nothing, since sessions inject no faults at steps."""


class DeploymentSimulation(Simulation):
    """Simulation of one deployment.

    :ivar refusals: number of refused openings of each service.
    :ivar on_applied: called with each revision that a process applied.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        super().__init__(seed, _ignore_step, deployment.services(), deployment.domains)
        self.deployment = deployment
        self.refusals: Counter[ServiceId] = Counter()
        self.on_applied: Callable[[NodeId, Revision, ClusterState], None] | None = None
        self.sessions: list[Session] = []
        self.traffic_ends = 0.0
        self.network.latency = self._latency

    def start_processes(self) -> None:
        """Start all processes and send the first configuration."""
        deployment = self.deployment
        domains = deployment.domains
        for node in VOTERS:
            self.start_voter(node)
        for number in range(deployment.balancers):
            domain = domains[number % len(domains)]
            self.start_balancer(NodeId(f"{domain}-lb-{number // 3 + 1}"), domain)
        Operator(self, deployment.configuration())
        services = (deployment.first, deployment.second)
        for service, count in zip(services, BACKEND_SERVERS, strict=True):
            for number in range(count):
                domain = domains[number % len(domains)]
                name = f"{service}-{number + 1}"
                server = self.add_backend_server(
                    name, service, domain, deployment.slots
                )
                if service == deployment.second:
                    server.capacity = CONNECTIONS

    def generate_traffic(
        self, service: ServiceId, per_second: float, start: float, end: float
    ) -> None:
        """Open flows to a service between two times.

        :param per_second: mean rate; the times between openings are exponentially
            distributed.
        """
        rng = self.network.random

        def open_flow() -> None:
            if self.network.now >= end:
                return
            long_flows = service == self.deployment.second
            count = rng.randrange(1, 8) if long_flows else rng.randrange(2)
            pauses = [
                rng.uniform(0.2, 3.0 if long_flows else 0.4) for _ in range(count)
            ]
            self.sessions.append(self.callers.start("callers", service, pauses))
            self.network.call_later(rng.expovariate(per_second), open_flow)

        self.network.call_later(start - self.network.now, open_flow)
        self.traffic_ends = max(self.traffic_ends, end)

    def at(self, time: float, action: Callable[[], Any]) -> None:
        """Run an action at a simulated time."""
        self.network.call_later(time - self.network.now, action)

    def send_change(
        self,
        change: Change,
        expected: Revision | None = None,
        lost: int = 0,
        done: Callable[[Outcome], None] | None = None,
    ) -> None:
        """Let an operator send a change."""
        Operator(self, change, expected, lost, done)

    def configuration_revision(self) -> Revision:
        """Highest configuration revision that a running voter has applied."""
        states = [v.task._cluster for v in self.voters.values()]
        return max(state.configuration_revision for state in states)

    def record_applied(
        self, node: NodeId, revision: Revision, state: ClusterState
    ) -> None:
        """Record what a node has applied."""
        super().record_applied(node, revision, state)
        if self.on_applied is not None:
            self.on_applied(node, revision, state)

    def send_reset(self, via: BalancerProcess, packet: Packet) -> None:
        """Send a reset to the sender of a packet."""
        if packet.opens:
            self.refusals[self.service_of(packet.event.flow)] += 1
        super().send_reset(via, packet)

    def _latency(self, source: str, destination: str) -> float:
        source_domain = self.domain_of.get(source)
        destination_domain = self.domain_of.get(destination)
        mean = self.deployment.domain_latency
        if source_domain is None or destination_domain is None:
            mean = self.deployment.caller_latency
        elif source_domain == destination_domain:
            mean = LOCAL_LATENCY
        return mean * self.network.random.uniform(1 - JITTER, 1 + JITTER)


def frequent_snapshots() -> AbstractContextManager[Any]:
    """Patch the snapshot interval, so that voters take snapshots within a session."""
    return mock.patch.object(voter_task, "SNAPSHOT_INTERVAL", SNAPSHOT_INTERVAL)
