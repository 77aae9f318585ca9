"""Report of a balancer that reads its packets late."""

import time
import unittest
from unittest import mock

from tests.test_tag_balancer import SlowLinkCase
from wasabigw.core.ids import Seconds
from wasabigw.core.tags.decisions import PacketDecision
from wasabigw.core.tags.packets import FlowPacket
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.steering import decide
from wasabigw.runtime.timer import Tick, monotonic
from wasabigw.tasks import condition_log, tag_packet_task
from wasabigw.tasks.condition_log import LONG_QUEUE_TIME
from wasabigw.tasks.tag_packet_task import MAINTENANCE_TICK
from wasabigw.telemetry.events_balancer import BalancerEvent

WAIT = 5.0
"""Longest wait for a log line, in seconds."""


class ReceiveBacklog(SlowLinkCase):
    """Guards against a balancer that is behind without a trace in its log.

    The time that packets wait in its receive buffer looks like silence of the backend
    servers: callers send their packets again.
    """

    def setUp(self) -> None:
        self.events: list[object] = []
        patch = mock.patch.object(condition_log, "log", self._record)
        patch.start()
        self.addCleanup(patch.stop)
        super().setUp()

    def _record(self, event: object, **_fields: object) -> None:
        self.events.append(event)

    def _tick_until_logged(self, event: BalancerEvent) -> None:
        deadline = time.monotonic() + WAIT
        while event not in self.events and time.monotonic() < deadline:
            self.balancer.mailbox.post(Tick(MAINTENANCE_TICK, monotonic()))
            time.sleep(0.02)
        self.assertIn(event, self.events)

    def test_a_backlog_and_its_end_are_logged(self) -> None:
        # Each packet of the window takes longer than the time that is logged.
        slow = Seconds(LONG_QUEUE_TIME * 1.5)

        def decide_slowly(
            packet: FlowPacket, state: TagState, now: Seconds, waited: Seconds
        ) -> PacketDecision:
            time.sleep(slow)
            return decide(packet, state, now, waited)

        with (
            mock.patch.object(tag_packet_task, "decide", decide_slowly),
            mock.patch.object(tag_packet_task, "PACKETS_PER_WAKE_UP", 1),
        ):
            self.send_window()
            self._tick_until_logged(BalancerEvent.RECEIVE_BACKLOG)
        self._tick_until_logged(BalancerEvent.RECEIVE_CURRENT)

    def test_a_buffer_that_was_emptied_exactly_is_no_backlog(self) -> None:
        # The last read before the limit of a wake-up does not show that none is left.
        with mock.patch.object(tag_packet_task, "PACKETS_PER_WAKE_UP", 1):
            self.send_window()
            time.sleep(LONG_QUEUE_TIME * 1.5)
            self.events.clear()
            self.balancer.mailbox.post(Tick(MAINTENANCE_TICK, monotonic()))
            time.sleep(0.1)
        self.assertNotIn(BalancerEvent.RECEIVE_BACKLOG, self.events)


if __name__ == "__main__":
    unittest.main()
