"""Disks of control VMs that are full for some seconds each, one after another."""

import json
import random
import shutil
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

from returns.result import Success

from tests.disk_cluster import DiskCluster, FullDisks
from tests.test_platform_formats import FRONTEND
from wasabigw.core.cluster import Applied
from wasabigw.core.ids import Incarnation, NodeId, Revision, Seconds
from wasabigw.core.timing import IN_FORCE_BOUND
from wasabigw.tasks.storage import Identity, create_data_directory
from wasabigw.tasks.storage_errors import StorageProblem
from wasabigw.tasks.voter_calls import ViewCall, reply_mailbox
from wasabigw.telemetry.events_control import ControlEvent
from wasabigw_platform.control import open_data_directory, voter_id
from wasabigw_platform.settings import PlatformSettings, parse_settings

CHANGE_INTERVAL = 0.4


class FullDisksInTurn(unittest.TestCase):
    """Guards against a cluster that refuses changes long after disks have room again.

    A voter with a full disk takes no part, and another control VM may be admitted in
    its place, whose disk is full next.
    """

    def cluster(self, names: int, target_voters: int, seed: int) -> DiskCluster:
        cluster = DiskCluster(names, target_voters, seed)
        self.addCleanup(cluster.close)
        cluster.run(5.0)
        self.assertIsNotNone(cluster.leader())
        return cluster

    def fill(self, cluster: DiskCluster, name: NodeId, seconds: float) -> None:
        """Let a disk be full while changes are declared."""
        cluster.disks.full = {cluster.directory(name)}
        self.declare_for(cluster, seconds)
        cluster.disks.full = set()

    def declare_for(self, cluster: DiskCluster, seconds: float) -> None:
        for _ in range(round(seconds / CHANGE_INTERVAL)):
            cluster.declare()
            cluster.run(CHANGE_INTERVAL)

    def check_accepts_changes(self, cluster: DiskCluster) -> None:
        cluster.run(IN_FORCE_BOUND)
        replies = cluster.declare()
        cluster.run(1.0)
        outcomes = [answer for reply in replies for answer in reply.drain()]
        applied = [answer for answer in outcomes if isinstance(answer, Applied)]
        status = {name: cluster.status(name) for name in cluster.voters}
        self.assertTrue(applied, (outcomes, status))

    def check_all_have_caught_up(self, cluster: DiskCluster) -> None:
        cluster.run(IN_FORCE_BOUND)
        versions = {cluster.status(n).declared_version for n in cluster.voters}
        self.assertEqual(versions, {cluster.version})

    def play(self, names: int, target_voters: int, seed: int) -> None:
        cluster = self.cluster(names, target_voters, seed)
        order = list(cluster.voters)
        cluster.random.shuffle(order)
        for name in order:
            leader = cluster.leader()
            victim = leader if leader and cluster.random.random() < 0.3 else name
            self.fill(cluster, victim, cluster.random.uniform(0.4, 6.0))
            cluster.run(cluster.random.choice((0.0, 0.5, 4.0)))
        self.check_accepts_changes(cluster)
        self.check_all_have_caught_up(cluster)

    def test_three_voters(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                self.play(3, 3, seed)

    def test_three_voters_and_a_standby(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                self.play(4, 3, seed)

    def test_five_voters_and_three_standbys(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                self.play(8, 5, seed)

    def test_a_voter_takes_no_part_until_its_disk_can_be_written(self) -> None:
        for names in (3, 4):
            with self.subTest(names=names):
                cluster = self.cluster(names, 3, seed=1)
                victim = next(n for n in cluster.voters if n != cluster.leader())
                cluster.disks.full = {cluster.directory(victim)}
                with mock.patch("wasabigw.tasks.voter_task.log") as written:
                    self.declare_for(cluster, 8.0)
                events = [call.args[0] for call in written.call_args_list]
                self.assertEqual(events.count(ControlEvent.VOTER_STOPPED), 1)
                self.assertIs(victim in cluster.members(), names == 3)

    def test_a_voter_that_takes_no_part_gives_no_view_as_current(self) -> None:
        # It had received entries that it could not write, and its view lacks them.
        cluster = self.cluster(3, 3, seed=1)
        leader = cluster.leader()
        name = next(n for n in cluster.voters if n != leader)
        cluster.disks.full = {cluster.directory(name)}
        cluster.declare()
        cluster.run(0.1)
        reply = reply_mailbox("view")
        cluster.voters[name].receive(ViewCall(Revision(0), Seconds(0.0), reply))
        (update,) = reply.drain()
        self.assertEqual(update.fresh_for, 0.0)

    def test_a_disk_that_is_full_during_a_snapshot(self) -> None:
        cluster = self.cluster(3, 3, seed=1)
        for _ in range(520):
            cluster.declare()
            cluster.run(0.05)
        for name in cluster.voters:
            self.fill(cluster, name, 2.0)
        self.check_accepts_changes(cluster)
        self.check_all_have_caught_up(cluster)


class StartOnAFullDisk(unittest.TestCase):
    """Guards against a voter that ends at its start and is missing afterwards."""

    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        changed = {"data-directory": str(self.folder / "control")}
        text = json.dumps(FRONTEND | changed).encode()
        self.settings: PlatformSettings = parse_settings(text).unwrap()
        self.disks = FullDisks(random.Random(1))
        self.disks.full = {self.folder / "control"}

    def open(self, sleep: Callable[[float], None]) -> Any:
        node = voter_id(self.settings.api)
        with self.disks.installed():
            opened = open_data_directory(self.settings, node, sleep)
        if isinstance(opened, Success):
            self.addCleanup(opened.unwrap().close)
        return opened

    def test_a_voter_waits_for_room(self) -> None:
        pauses: list[float] = []

        def sleep(seconds: float) -> None:
            pauses.append(seconds)
            if len(pauses) == 3:
                self.disks.full.clear()

        self.assertIsInstance(self.open(sleep), Success)
        self.assertEqual(len(pauses), 3)

    def test_a_voter_ends_if_there_is_never_room(self) -> None:
        outcome = self.open(lambda _: None)
        self.assertIs(outcome.failure().problem, StorageProblem.INPUT_OUTPUT)

    def test_a_directory_of_another_voter_is_reported_at_once(self) -> None:
        self.disks.full.clear()
        create_data_directory(
            self.folder / "control", Identity(NodeId("other"), Incarnation("1")), None
        ).unwrap()
        outcome = self.open(lambda _: self.fail("waited"))
        self.assertIs(outcome.failure().problem, StorageProblem.WRONG_NODE)


if __name__ == "__main__":
    unittest.main()
