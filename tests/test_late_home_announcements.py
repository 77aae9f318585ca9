"""Announcements of a crashed boot that reach the home after those of its successor."""

import unittest

from tests.test_backend_home import B1, HomeFixture


class LateAnnouncements(unittest.TestCase):
    """Guards against the end of a live boot by an announcement of an earlier one."""

    def test_the_registered_boot_stays(self) -> None:
        home = HomeFixture()
        home.announce("crashed")
        home.run(3, "live")
        home.announce("crashed")
        self.assertEqual(home.cluster.backend_servers[B1].boot_id, "live")


if __name__ == "__main__":
    unittest.main()
