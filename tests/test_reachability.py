"""Detection of partitions between failure domains by pings, and diverted flows."""

import unittest
from itertools import pairwise

from tests.flow_simulation import DOMAINS, SEATS, Flow, Simulation, make_simulation
from wasabigw.core.buckets import bucket_of
from wasabigw.core.cluster import Endpoint, Node
from wasabigw.core.flows import decisions as d
from wasabigw.core.ids import FailureDomainId, Incarnation, NodeId, Seconds
from wasabigw.core.reachability import (
    PingAnswered,
    PingDue,
    Reachability,
    handle,
    is_reachable,
    unreachable,
)

OTHER = FailureDomainId("fortaleza")
ENDPOINT = Endpoint("127.0.0.1", 1)


class Pings(unittest.TestCase):
    """Guards against flows diverted because of one lost packet or one dead balancer."""

    def setUp(self) -> None:
        self.state = Reachability(DOMAINS[0])
        self.nodes = tuple(
            Node(NodeId(name), OTHER, ENDPOINT, ENDPOINT, Incarnation(name))
            for name in ("a", "b", "c")
        )

    def test_three_lost_pings_to_different_balancers(self) -> None:
        asked = []
        for second in range(4):
            self.assertTrue(is_reachable(self.state, OTHER))
            due = PingDue(self.nodes, 0.0, Seconds(second))
            asked += [ping.node for ping in handle(due, self.state)]
        self.assertFalse(is_reachable(self.state, OTHER))
        for first, second_node in pairwise(asked):
            self.assertNotEqual(first, second_node)

    def test_an_answer_restores_reachability_and_a_repeated_one_is_ignored(
        self,
    ) -> None:
        sequences = []
        for second in range(4):
            due = PingDue(self.nodes, 0.5, Seconds(second))
            sequences += [ping.sequence for ping in handle(due, self.state)]
        for _ in range(2):
            handle(PingAnswered(sequences[-1], Seconds(4)), self.state)
        self.assertTrue(is_reachable(self.state, OTHER))
        self.assertEqual(self.state.healed_at, {OTHER: 4})

    def test_a_failure_domain_without_balancers_is_dropped(self) -> None:
        for second in range(5):
            handle(PingDue(self.nodes, 0.5, Seconds(second)), self.state)
        handle(PingDue((), 0.5, Seconds(9)), self.state)
        self.assertEqual(unreachable(self.state), frozenset())


class Diversion(unittest.TestCase):
    """Guards against flows that break when a partition heals."""

    def setUp(self) -> None:
        self.flows: list[Flow] = []

    def run_seconds(self, sim: Simulation, seconds: int) -> None:
        for _ in range(seconds):
            sim.step(1.0)
            for flow in self.flows:
                sim.send(flow)

    def open_diverted(self, sim: Simulation, inside: bool) -> None:
        """Open flows whose buckets belong to the other side of a partition."""
        cut = DOMAINS[1]
        servers = sim.any_balancer().cluster.backend_servers
        current = sim.any_balancer().cluster.buckets[SEATS].current
        while len(self.flows) < 40:
            flow = sim.make_flow(SEATS)
            usual = current[bucket_of(flow.key)]
            assert usual is not None
            if (servers[usual].failure_domain == cut) == inside:
                continue
            self.assertTrue(sim.open(flow), sim.drops)
            assert flow.at is not None
            self.assertEqual(servers[flow.at].failure_domain == cut, inside)
            self.flows.append(flow)

    def test_diverted_flows_stay_at_their_backend_server_after_the_partition(
        self,
    ) -> None:
        for inside in (False, True):
            with self.subTest(callers_inside=inside):
                self.flows = []
                sim = make_simulation(1)
                sim.partition(DOMAINS[1])
                sim.callers_inside = inside
                self.run_seconds(sim, 6)
                self.open_diverted(sim, inside)
                self.run_seconds(sim, 10)
                sim.heal()
                self.run_seconds(sim, 60)
                self.assertEqual(sim.faults[:3], [])
                for flow in self.flows:
                    self.assertIsInstance(sim.send(flow), d.SendToBackend)
