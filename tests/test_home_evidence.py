"""What a home may conclude from silence and from late announcements."""

import unittest

from tests.test_backend_home import B1, DOCUMENTS, HomeFixture
from wasabigw.core import backend_home, ids
from wasabigw.core.cluster import Endpoint
from wasabigw.core.timing import ANNOUNCE_LEASE

SAME_HOST = Endpoint("10.0.0.1", 80)
OTHER_HOST = Endpoint("10.0.0.2", 80)
TICK = 0.25
ENOUGH = 10 * ANNOUNCE_LEASE
"""Time by which a home must have noticed that a backend server is gone."""


def registered_boot(home: HomeFixture) -> str | None:
    """Boot id of the registered boot of b1."""
    known = home.cluster.backend_servers.get(B1)
    return None if known is None else known.boot_id


class OtherServices(unittest.TestCase):
    """Guards against the end of a live boot by an announcement for another service.

    A copy of what an earlier boot at the endpoint announced may arrive late.
    """

    def test_the_registered_boot_stays(self) -> None:
        for service in (DOCUMENTS, ids.ServiceId("not-declared")):
            with self.subTest(service):
                home = HomeFixture()
                home.run(20, "live")
                index = home.cluster.backend_servers[B1].index
                home.announce("crashed", service=service)
                home.run(1, "live")
                self.assertEqual(home.cluster.backend_servers[B1].index, index)


class CrashLoops(unittest.TestCase):
    """Guards against a lost backend server that is never reported down.

    Its successors crash before their second announcement, so none takes over.
    """

    def test_the_lost_boot_is_removed(self) -> None:
        for endpoint in (SAME_HOST, OTHER_HOST):
            with self.subTest(endpoint):
                home = HomeFixture()
                home.run(20, "lost")
                lost_at = home.now
                while home.now < lost_at + ENOUGH:
                    home.announce(f"boot-{home.now}", endpoint=endpoint)
                    home.run(2, None)
                self.assertNotEqual(registered_boot(home), "lost")


class ViewsStaleNowAndThen(unittest.TestCase):
    """Guards against a home that never notices silence because its polls are slow.

    Its view is stale for a quarter of a second in every two and a half.
    """

    def setUp(self) -> None:
        self.home = HomeFixture()
        self.home.run(20, "lost")

    def run_with_slow_polls(self, boot: str | None) -> None:
        home, started_at = self.home, self.home.now
        ticks = 0
        while home.now < started_at + ENOUGH:
            home.now += TICK
            if ticks % 10 == 0:
                fresh_until = ids.Seconds(home.now + 9 * TICK)
                backend_home.confirm_view(home.state, fresh_until)
            home.handle(backend_home.HomeTick(ids.Seconds(home.now)))
            if boot is not None and ticks % 4 == 0:
                home.announce(boot)
            ticks += 1

    def test_a_lost_server_is_removed(self) -> None:
        self.run_with_slow_polls(None)
        self.assertIsNone(registered_boot(self.home))

    def test_a_restarted_server_gets_in(self) -> None:
        self.run_with_slow_polls("second")
        self.assertEqual(registered_boot(self.home), "second")


if __name__ == "__main__":
    unittest.main()
