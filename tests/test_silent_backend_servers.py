"""Backend servers that the home doesn't hear, although they may run."""

import unittest

from tests.test_backend_home import B1, HomeFixture
from wasabigw.core import backend_home, ids
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.timing import ANNOUNCE_LEASE, VIEW_LEASE


class PausedHomes(unittest.TestCase):
    """Guards against a home that takes its own absence for silence of its servers.

    It reported all of them down when it woke, and their open flows were refused.
    """

    def wake(self, home: HomeFixture, paused: float) -> None:
        home.now += paused
        backend_home.confirm_view(home.state, ids.Seconds(home.now + VIEW_LEASE))
        home.handle(backend_home.HomeTick(ids.Seconds(home.now)))

    def test_a_home_that_wakes_reports_no_server_down(self) -> None:
        for paused in (2.5, 3.5, 60.0):
            with self.subTest(paused):
                home = HomeFixture()
                home.run(5)
                home.now += 0.9
                self.wake(home, paused)
                self.assertIn(B1, home.cluster.backend_servers)
                home.run(2)
                self.assertIn(B1, home.cluster.backend_servers)

    def test_a_home_that_was_cut_off_reports_no_server_down(self) -> None:
        """It ran, but heard neither backend servers nor control VMs."""
        home = HomeFixture()
        home.run(5)
        backend_home.confirm_view(home.state, ids.Seconds(home.now + VIEW_LEASE))
        home.run(4, None)
        self.wake(home, 0.2)
        self.assertIn(B1, home.cluster.backend_servers)
        home.run(2)
        self.assertIn(B1, home.cluster.backend_servers)

    def test_a_server_has_a_lease_after_a_short_cut(self) -> None:
        """The home counts silence in pieces, and a view is fresh early in a cut.

        The last announcement came almost an interval before the cut.
        """
        for cut in (1.75, 2.0, 2.5):
            with self.subTest(cut):
                home = HomeFixture()
                home.run(5)
                home.now += 0.75
                fresh_until = ids.Seconds(home.now + VIEW_LEASE)
                backend_home.confirm_view(home.state, fresh_until)
                self.tick(home, cut)
                backend_home.confirm_view(home.state, ids.Seconds(1e9))
                self.tick(home, ANNOUNCE_LEASE - 0.25)
                self.assertIn(B1, home.cluster.backend_servers)
                home.announce()
                home.run(5)
                self.assertIn(B1, home.cluster.backend_servers)

    def tick(self, home: HomeFixture, seconds: float) -> None:
        for _ in range(round(seconds / 0.25)):
            home.now += 0.25
            home.handle(backend_home.HomeTick(ids.Seconds(home.now)))

    def test_a_server_that_is_heard_between_pauses_stays(self) -> None:
        """It announces itself once in each time in which the home runs."""
        home = HomeFixture()
        home.run(5)
        for _ in range(30):
            self.wake(home, 1.5)
            self.tick(home, 1.25)
            home.announce()
            self.tick(home, 0.5)
        self.assertIn(B1, home.cluster.backend_servers)

    def test_a_server_that_is_lost_between_pauses_is_removed(self) -> None:
        home = HomeFixture()
        home.run(5)
        for _ in range(30):
            self.wake(home, 1.5)
            backend_home.confirm_view(home.state, ids.Seconds(1e9))
            self.tick(home, 2.0)
        self.assertNotIn(B1, home.cluster.backend_servers)

    def test_servers_that_stay_silent_are_removed_one_lease_later(self) -> None:
        home = HomeFixture()
        home.run(5)
        self.wake(home, 10.0)
        backend_home.confirm_view(home.state, ids.Seconds(home.now + 60.0))
        home.run(int(ANNOUNCE_LEASE), None)
        self.assertNotIn(B1, home.cluster.backend_servers)


class CutPaths(unittest.TestCase):
    """Guards against the end of flows whose server only its home does not hear.

    Answers to callers reach the home through other balancers.
    """

    def answer(self, home: HomeFixture, seconds: float) -> None:
        """Let time pass, in which the server answers and the home hears no more."""
        for _ in range(round(seconds / 0.5)):
            home.now += 0.5
            now = ids.Seconds(home.now)
            backend_home.observe_answer(home.state, B1, now)
            home.handle(backend_home.HomeTick(now))

    def test_a_server_that_answers_callers_stays_registered(self) -> None:
        home = HomeFixture()
        home.run(20)
        before = home.cluster.backend_servers[B1]
        self.answer(home, 60)
        server = home.cluster.backend_servers[B1]
        self.assertEqual((server.index, server.boot_id), (before.index, before.boot_id))
        self.assertEqual(server.step, 1, "its new flows have to go elsewhere")
        self.assertIs(home.admit(), backend_home.AdmissionVerdict.NOT_ANNOUNCED)
        home.run(15)
        self.assertEqual(home.cluster.backend_servers[B1].step, 8)
        self.assertIs(home.admit(), backend_home.AdmissionVerdict.ADMITTED)

    def test_another_boot_elsewhere_does_not_take_over_while_it_answers(self) -> None:
        home = HomeFixture()
        home.run(20)
        for _ in range(20):
            home.announce("crashed", endpoint=Endpoint("10.0.0.2", 80))
            self.answer(home, 1)
        self.assertEqual(home.cluster.backend_servers[B1].boot_id, "x")

    def test_it_is_removed_when_it_no_longer_answers(self) -> None:
        home = HomeFixture()
        home.run(20)
        self.answer(home, 20)
        home.run(4, None)
        self.assertNotIn(B1, home.cluster.backend_servers)

    def test_a_crashed_server_is_removed_as_soon_as_without_answers(self) -> None:
        home = HomeFixture()
        home.run(20)
        self.answer(home, 1)
        home.run(2, None)
        self.assertNotIn(B1, home.cluster.backend_servers)

    def test_a_new_home_that_never_heard_it_keeps_it_too(self) -> None:
        home = HomeFixture()
        home.run(20)
        cluster, now = home.cluster, home.now
        home = HomeFixture()
        home.now = now
        backend_home.confirm_view(home.state, ids.Seconds(1e9))
        home.cluster = cluster
        home.handle(backend_home.HomesChanged(cluster, ids.Seconds(now)))
        self.answer(home, 20)
        self.assertIn(B1, home.cluster.backend_servers)


if __name__ == "__main__":
    unittest.main()
