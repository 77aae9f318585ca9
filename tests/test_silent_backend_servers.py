"""Backend servers that the home doesn't hear, although they may run."""

import unittest

from tests.test_backend_home import B1, HomeFixture
from wasabigw.core import backend_home, ids
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

    def test_servers_that_stay_silent_are_removed_one_lease_later(self) -> None:
        home = HomeFixture()
        home.run(5)
        self.wake(home, 10.0)
        backend_home.confirm_view(home.state, ids.Seconds(home.now + 60.0))
        home.run(int(ANNOUNCE_LEASE), None)
        self.assertNotIn(B1, home.cluster.backend_servers)


if __name__ == "__main__":
    unittest.main()
