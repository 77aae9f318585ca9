"""Completeness of a backup whose home opened flows under a stale view."""

import unittest

from tests.flow_simulation import SEATS, add_candidate, make_simulation, remove_node
from tests.test_flow_decisions import home_of
from tests.test_unanswered_openings import flow_to
from wasabigw.core.buckets import bucket_of
from wasabigw.core.flows import decisions as d
from wasabigw.core.flows import events as e
from wasabigw.core.flows.forwarding import tag_of
from wasabigw.core.flows.sending import initial_forwarding
from wasabigw.core.ids import BackendServerId
from wasabigw.core.states import CandidateReason


class BackupAfterStaleView(unittest.TestCase):
    """Guards against a flow that continues at another backend server after a crash.

    A home with a stale view opens flows without a copy at its backup. If the home
    crashes after the views are fresh again, the backup must not count its records as
    complete.
    """

    def test_the_flow_stays_where_it_was_opened(self) -> None:
        sim = make_simulation(4)
        sim.commit(add_candidate(SEATS, "b2", CandidateReason.OVERFLOW))
        for _ in range(4):
            sim.step(1.0)
        for balancer in sim.balancers.values():
            balancer.cut_off = True
        for _ in range(3):
            sim.step(1.0)
        flow = flow_to(sim, "b1")
        owner = home_of(sim, "b2")
        index = owner.state.routes.targets[BackendServerId("b2")].index
        forwarding = initial_forwarding(bucket_of(flow.key))
        forwarding = forwarding.delivering(tag_of(owner.state.node), index).next_hop()
        opening = e.FlowOpened(flow.key, SEATS, sim.time())
        sender = home_of(sim, "b1").state.node
        opened = sim.follow(owner, e.Forwarded(sender, forwarding, opening))
        self.assertIsInstance(opened, d.SendToBackend)
        flow.at = BackendServerId("b2")
        sim.carry(e.AnswerOpened(flow.key, flow.at, sim.time()))
        sim.max_lag = 0.0
        for balancer in sim.balancers.values():
            balancer.cut_off = False
        sim.step(1.0)
        del sim.balancers[owner.state.node]
        sim.commit(remove_node(owner.state.node))
        for _ in range(4):
            sim.step(1.0)
        for _ in range(10):
            sim.send(flow)
        self.assertEqual(sim.faults, [])
        self.assertGreater(flow.delivered, 0)
