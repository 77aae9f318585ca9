"""An opening without an answer does not decide which backend server owns a flow."""

import unittest

from tests.flow_simulation import (
    SEATS,
    Flow,
    Simulation,
    add_candidate,
    make_simulation,
)
from tests.test_flow_decisions import home_of
from wasabigw.core.buckets import bucket_of
from wasabigw.core.flows import decisions as d
from wasabigw.core.flows import events as e
from wasabigw.core.flows.forwarding import tag_of
from wasabigw.core.flows.routing import handle
from wasabigw.core.flows.sending import initial_forwarding
from wasabigw.core.ids import BackendServerId
from wasabigw.core.states import CandidateReason


def flow_to(sim: Simulation, name: str) -> Flow:
    """A flow in a bucket of the given backend server."""
    current = sim.any_balancer().cluster.buckets[SEATS].current
    while True:
        flow = sim.make_flow(SEATS)
        if current[bucket_of(flow.key)] == name:
            return flow


class UnansweredOpenings(unittest.TestCase):
    """Guards against packets sent to the backend server of an unanswered opening.

    An opening packet is lost after a home has admitted the flow, its retransmission is
    admitted by another home, and a later packet reaches the first home.
    """

    def setUp(self) -> None:
        self.sim = make_simulation(4)
        overflow = add_candidate(SEATS, "b2", CandidateReason.OVERFLOW)
        self.sim.commit(overflow)
        for _ in range(4):
            self.sim.step(1.0)
        self.flow = flow_to(self.sim, "b1")
        self.first = home_of(self.sim, "b1")
        opening = e.FlowOpened(self.flow.key, SEATS, self.sim.time())
        [lost, *_] = handle(opening, self.first.state)
        self.assertIsInstance(lost, d.ForwardToNode)

    def test_another_home_that_knows_the_flow_gets_its_packets(self) -> None:
        sim, key = self.sim, self.flow.key
        second = home_of(sim, "b2")
        index = second.state.routes.targets[BackendServerId("b2")].index
        forwarding = initial_forwarding(bucket_of(key))
        forwarding = forwarding.delivering(tag_of(second.state.node), index).next_hop()
        opening = e.FlowOpened(key, SEATS, sim.time())
        sender = self.first.state.node
        opened = sim.follow(second, e.Forwarded(sender, forwarding, opening))
        self.assertIsInstance(opened, d.SendToBackend)
        sim.carry(e.AnswerOpened(key, BackendServerId("b2"), sim.time()))
        sent = sim.follow(self.first, e.FlowData(key, SEATS, sim.time()))
        assert isinstance(sent, d.SendToBackend)
        self.assertEqual(sent.target.id, "b2")

    def test_without_another_home_the_opening_counts(self) -> None:
        sim, key = self.sim, self.flow.key
        sent = sim.follow(self.first, e.FlowData(key, SEATS, sim.time()))
        assert isinstance(sent, d.SendToBackend)
        self.assertEqual(sent.target.id, "b1")
