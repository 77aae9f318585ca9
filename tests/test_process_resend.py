"""Real processes under a fault, in a module of its own to run beside the others."""

import unittest

from tests.process_scenario import assert_scenario_passes


class ProcessResend(unittest.TestCase):
    """Guards against changes that run twice when their answer is lost."""

    def test_change_is_sent_again_after_the_leader_was_killed(self) -> None:
        assert_scenario_passes(self, "resend")
