"""Announcements of a crashed boot that reach the home after those of its successor."""

import unittest

from tests.test_backend_home import B1, HomeFixture
from wasabigw.core import commands
from wasabigw.core.admission import AdmissionVerdict
from wasabigw.core.backend_home import HomeTick
from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.log_messages import AnnouncementAccepted, AnnouncementRefused
from wasabigw.core.states import BackendServerState
from wasabigw.core.timing import ANNOUNCE_INTERVAL, ANNOUNCE_LEASE

ELSEWHERE = Endpoint("10.0.0.2", 80)


def registered_boot(home: HomeFixture) -> str:
    """Boot id of the registered boot of b1."""
    return home.cluster.backend_servers[B1].boot_id


class LateAnnouncements(unittest.TestCase):
    """Guards against the end of a live boot by an announcement of an earlier one."""

    def test_the_registered_boot_stays(self) -> None:
        home = HomeFixture()
        home.announce("crashed")
        home.run(3, "live")
        home.announce("crashed")
        self.assertEqual(registered_boot(home), "live")

    def test_the_sender_gets_the_time_of_a_retry(self) -> None:
        home = HomeFixture()
        home.run(3, "live")
        reply = home.announce("crashed")
        self.assertIsInstance(reply, AnnouncementRefused)
        self.assertEqual(reply.retry_after, ANNOUNCE_INTERVAL)

    def test_it_stays_when_copies_arrive_together_after_a_silence(self) -> None:
        home = HomeFixture()
        home.run(3, "live")
        home.dropped = True
        home.run(4, None)
        home.dropped = False
        for endpoint in (Endpoint("10.0.0.1", 80), ELSEWHERE):
            for _ in range(3):
                home.announce("crashed", endpoint=endpoint)
        home.announce("live")
        self.assertEqual(registered_boot(home), "live")

    def test_it_stays_when_another_home_follows(self) -> None:
        """The new home has not heard it yet, and hears the crashed boot first."""
        home = HomeFixture()
        home.run(3, "live")
        [report] = [
            commands.NodeDown(name, node.incarnation)
            for name, node in home.cluster.nodes.items()
        ]
        nodes = dict(home.cluster.nodes)
        home.apply(commands.ReportBatch((report,)))
        home.apply(commands.ReportBatch((commands.NodeUp(*nodes.values()),)))
        home.announce("crashed")
        self.assertEqual(registered_boot(home), "live")
        home.run(3, "live")
        self.assertEqual(registered_boot(home), "live")

    def test_new_flows_wait_only_until_the_live_boot_announces_itself(self) -> None:
        home = HomeFixture()
        home.run(20, "live")
        home.announce("crashed")
        self.assertIs(home.admit(), AdmissionVerdict.ADMITTED)
        home.now += 0.1
        home.announce("crashed")
        self.assertIs(home.admit(), AdmissionVerdict.TAKEOVER_WAIT)
        home.run(1, "live")
        self.assertIs(home.admit(), AdmissionVerdict.ADMITTED)
        self.assertEqual(home.step(), 8)


class Restarts(unittest.TestCase):
    """Guards against a restarted backend server that stays out of use."""

    def seconds_until_registered(self, home: HomeFixture, **changes: object) -> float:
        last_heard = home.now
        while registered_boot(home) != "second" and home.now < last_heard + 20:
            home.run(1, "second", **changes)
        return home.now - last_heard

    def test_a_restart_is_registered_one_lease_after_the_earlier_boot(self) -> None:
        for changes in ({}, {"endpoint": ELSEWHERE}):
            with self.subTest(changes):
                home = HomeFixture()
                home.run(20, "first")
                index = home.cluster.backend_servers[B1].index
                waited = self.seconds_until_registered(home, **changes)
                self.assertLessEqual(waited, ANNOUNCE_LEASE + ANNOUNCE_INTERVAL)
                self.assertEqual(home.cluster.backend_servers[B1].index, index)
                self.assertEqual(home.step(), 1)
                self.assertEqual(home.admitted(), 1)

    def test_a_restart_that_takes_most_of_a_lease_is_registered(self) -> None:
        """The earlier boot is reported down before its second announcement."""
        home = HomeFixture()
        home.run(20, "first")
        home.run(2, None)
        home.now += 0.5
        home.announce("second")
        home.now += 0.5
        home.handle(HomeTick(Seconds(home.now)))
        self.assertEqual(home.cluster.backend_servers, {})
        home.now += 0.5
        home.announce("second")
        self.assertEqual(registered_boot(home), "second")
        self.assertEqual(home.step(), 1)

    def test_a_boot_that_crashes_after_two_announcements_delays_it_by_a_lease(
        self,
    ) -> None:
        """Later boots that crash sooner don't keep the earlier boot registered."""
        home = HomeFixture()
        home.run(20, "first")
        home.run(2, "second")
        for boot in ("third", "fourth", "fifth"):
            home.run(1, boot)
        self.assertEqual(home.cluster.backend_servers, {})

    def test_it_is_registered_at_once_after_the_earlier_boot_left(self) -> None:
        home = HomeFixture()
        home.run(20, "first")
        home.announce("first", state=BackendServerState.LEAVING)
        reply = home.announce("second")
        self.assertIsInstance(reply, AnnouncementAccepted)
        self.assertEqual(registered_boot(home), "second")
        self.assertEqual(home.step(), 1)

    def test_the_earlier_boot_is_removed_if_the_next_one_falls_silent(self) -> None:
        home = HomeFixture()
        home.run(20, "first")
        home.run(1, "second")
        home.run(6, None)
        self.assertEqual(home.cluster.backend_servers, {})


if __name__ == "__main__":
    unittest.main()
