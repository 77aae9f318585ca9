"""One fault scenario with real processes, in its own module to run in parallel."""

import unittest

from tests.process_scenario import assert_scenario_passes


class ProcessResend(unittest.TestCase):
    """Guards against changes that take effect twice when their response is lost."""

    def test_change_is_sent_again_after_the_leader_was_killed(self) -> None:
        assert_scenario_passes(self, "resend")
