"""What control VMs show of a confirmed configuration while processes fail."""

import random
import unittest
from typing import Any
from unittest import mock

from tests.faulty_cluster import FaultyCluster
from wasabigw.core.cluster import Applied
from wasabigw.core.ids import NodeId
from wasabigw.core.timing import LEADER_LEASE, VIEW_LEASE
from wasabigw.runtime.mailbox import Mailbox

APPLY_BOUND = 3.0
"""Seconds after a confirmation within which a version has to be in force."""
STEP = 0.2
FAULT_TIME = 60.0
FAULT_PROBABILITY = 0.06
"""Probability of a change in each step, so that some faults outlast all leases."""
RECOVERY_TIME = 8.0
SEEDS = range(6)


class Operator:
    """Declares configurations at all control VMs and keeps the confirmed ones."""

    def __init__(self, cluster: FaultyCluster) -> None:
        self._cluster = cluster
        self._pending: list[tuple[int, list[Mailbox[Any]]]] = []
        self.confirmed: list[tuple[float, int]] = []

    def declare(self) -> None:
        """Send the next version to every running control VM."""
        replies = self._cluster.declare()
        self._pending.append((self._cluster.version, replies))

    def collect(self) -> None:
        """Record what was confirmed since the last call."""
        for version, replies in self._pending:
            answers = [answer for reply in replies for answer in reply.drain()]
            if any(isinstance(answer, Applied) for answer in answers):
                self.confirmed.append((self._cluster.now, version))

    def due(self, bound: float) -> int:
        """Highest version that was confirmed more than ``bound`` seconds ago."""
        latest = self._cluster.now - bound
        return max((v for at, v in self.confirmed if at < latest), default=0)


class Disruption:
    """Draws one fault at a time for some control VMs.

    :param draw: source of randomness, so that a seed repeats a run.
    """

    def __init__(self, cluster: FaultyCluster, draw: random.Random) -> None:
        self._cluster = cluster
        self._draw = draw

    def change(self) -> None:
        """End a fault or begin one."""
        cluster, draw = self._cluster, self._draw
        some = draw.sample(list(cluster.voters), len(cluster.voters))
        leader = cluster.leader()
        if leader is not None and draw.random() < 0.5:
            some.insert(0, leader)
        some = some[: draw.randint(1, 2)]
        kind = draw.choice(["heal", "wake", "freeze", "cut", "restart", "restart all"])
        if kind == "heal":
            cluster.cut.clear()
        elif kind == "wake":
            self.wake_all()
        elif kind == "freeze":
            cluster.frozen.update(some)
        elif kind == "cut":
            cluster.cut = set(some)
        elif kind == "restart":
            cluster.restart(some[0])
        else:
            self.restart_all()

    def wake_all(self) -> None:
        for name in sorted(self._cluster.frozen):
            self._cluster.wake(name)

    def restart_all(self) -> None:
        for name in list(self._cluster.voters):
            self._cluster.restart(name)

    def end(self) -> None:
        """Let all control VMs run and reach each other."""
        self.wake_all()
        self._cluster.cut.clear()


class ConfirmedReads(unittest.TestCase):
    """Guards against a confirmed configuration that comes back older.

    A leader that was frozen, cut off or restarted answers a read, or gives its view as
    current, without the entries that another leader has committed meanwhile.
    """

    def check(self, cluster: FaultyCluster, operator: Operator, name: NodeId) -> None:
        read = cluster.read(name)
        if read is not None:
            due = operator.due(LEADER_LEASE)
            self.assertGreaterEqual(read, due, f"{name} at {cluster.now:.2f}")
        view = cluster.view(name)
        if view.fresh_for > 0:
            document = view.document
            version = document.version if document is not None else 0
            due = operator.due(VIEW_LEASE)
            self.assertGreaterEqual(version, due, f"{name} at {cluster.now:.2f}")

    def check_all(self, cluster: FaultyCluster, operator: Operator) -> None:
        operator.collect()
        for name in cluster.voters:
            if name not in cluster.frozen:
                self.check(cluster, operator, name)

    def play(self, names: int, seed: int) -> tuple[FaultyCluster, Operator]:
        cluster = FaultyCluster(names, seed)
        self.addCleanup(cluster.close)
        # Processes end, but no power is lost, so nothing depends on a sync.
        self.enterContext(mock.patch("os.fsync"))
        cluster.run(5.0)
        operator, draw = Operator(cluster), random.Random(seed)
        disruption = Disruption(cluster, draw)
        for _ in range(round(FAULT_TIME / STEP)):
            if draw.random() < FAULT_PROBABILITY:
                disruption.change()
                # A read may come before the first tick after a freeze.
                self.check_all(cluster, operator)
            if draw.random() < 0.5:
                operator.declare()
            cluster.run(STEP)
            self.check_all(cluster, operator)
        disruption.end()
        cluster.run(RECOVERY_TIME)
        return cluster, operator

    def test_nothing_older_is_shown_as_current(self) -> None:
        confirmed = 0
        for names in (3, 5):
            for seed in SEEDS:
                with self.subTest(names=names, seed=seed):
                    cluster, operator = self.play(names, seed)
                    confirmed += len(operator.confirmed)
                    self.check_recovered(cluster, operator)
        self.assertGreater(confirmed, 100)

    def check_recovered(self, cluster: FaultyCluster, operator: Operator) -> None:
        """A new change is confirmed, and all control VMs show it in time."""
        operator.declare()
        cluster.run(1.0)
        operator.collect()
        self.assertEqual(operator.confirmed[-1][1], cluster.version)
        cluster.run(APPLY_BOUND - 1.0)
        views = {name: cluster.view(name) for name in cluster.voters}
        for name, view in views.items():
            self.assertGreater(view.fresh_for, 0.0, name)
            assert view.document is not None
            self.assertEqual(view.document.version, cluster.version, name)


if __name__ == "__main__":
    unittest.main()
