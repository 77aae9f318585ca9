"""A settled move takes effect without a further delay.

Guards against new flows at a draining backend server whose home applied the drain late
and then waited for another ``SETTLE_TIME``.
"""

import unittest

from tests.flow_simulation import SEATS, drain_backend, make_simulation
from tests.test_flow_decisions import home_of, unused_key
from wasabigw.core.commit_times import CommitTimes, record_commit, settled_revision
from wasabigw.core.flows import decisions as d
from wasabigw.core.flows import events as e
from wasabigw.core.flows.routing import handle
from wasabigw.core.ids import Revision, Seconds
from wasabigw.core.timing import SETTLE_TIME


class SettledMoves(unittest.TestCase):
    """A drain, as decided by the home of the backend server that gets the bucket."""

    def decision(self, settled: bool) -> d.ForwardToNode:
        sim = make_simulation(31)
        sim.max_lag = 0.0
        drained = home_of(sim, "b1").state
        key = unused_key(sim, "b1")
        for balancer in sim.balancers.values():
            cluster = balancer.cluster
            drain_backend("b1")(cluster, Revision(cluster.revision + 1))
            applied = e.LogApplied(cluster, sim.time(), settled=settled)
            handle(applied, balancer.state)
        opening = e.FlowOpened(key, SEATS, sim.time())
        [forward] = handle(opening, drained)
        assert isinstance(forward, d.ForwardToNode)
        forwarded = e.Forwarded(drained.node, forward.forwarding, opening)
        [decided] = handle(forwarded, sim.balancers[forward.node].state)
        assert isinstance(decided, d.ForwardToNode)
        return decided

    def test_settled_move_takes_effect_at_once(self) -> None:
        decided = self.decision(settled=True)
        self.assertTrue(decided.forwarding.copy)

    def test_new_move_waits(self) -> None:
        decided = self.decision(settled=False)
        self.assertTrue(decided.forwarding.deliver)
        self.assertFalse(decided.forwarding.copy)


class SettledRevisions(unittest.TestCase):
    """Revisions that the leader reports as settled."""

    def test_revision_is_settled_after_the_settle_time(self) -> None:
        times = CommitTimes()
        record_commit(times, Revision(1), Seconds(10.0))
        record_commit(times, Revision(2), Seconds(11.0))
        self.assertEqual(settled_revision(times, Seconds(10.0)), 0)
        self.assertEqual(settled_revision(times, Seconds(10.0 + SETTLE_TIME)), 1)
        self.assertEqual(settled_revision(times, Seconds(11.0 + SETTLE_TIME)), 2)
