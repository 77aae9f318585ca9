"""Openings that wait in the receive buffer of a balancer, with real sockets."""

import time
import unittest
from collections.abc import Mapping

from tests.test_platform_packets import OPENING
from tests.test_tag_balancer import LOOPBACK, StartingBalancerCase
from wasabigw.core.ids import Seconds
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.packet_socket import make_packet_socket
from wasabigw.tasks.tag_messages import TagBalancerStatus, TagStatusRequest

FIRST_RETRANSMISSION = 0.2
"""Time after which a caller sends its opening again, in seconds."""
MAX_HANDLING_TIME = Seconds(5.0)
"""Longest time until the balancer has handled a packet."""


class FirstCopies(StartingBalancerCase):
    """Guards against the reset of a flow by the late first copy of its opening.

    A balancer that starts reads no packet before it has a view. The caller sends the
    opening again meanwhile, and another balancer opens the flow.
    """

    def test_a_first_copy_that_waited_for_the_view_is_not_refused(self) -> None:
        self.caller.sendto(OPENING, (self.endpoint.address, self.endpoint.port))
        time.sleep(FIRST_RETRANSMISSION)
        self.post_view()
        self.assertEqual(self.outcomes(), {"dropped-may-be-open": 1})

    def outcomes(self) -> Mapping[str, int]:
        """Counts of the balancer after it has handled a packet."""
        deadline = time.monotonic() + MAX_HANDLING_TIME
        counts: Mapping[str, int] = {}
        while not counts and time.monotonic() < deadline:
            reply: Mailbox[TagBalancerStatus] = Mailbox("status")
            self.balancer.mailbox.post(TagStatusRequest(reply))
            counts = reply.get(MAX_HANDLING_TIME).unwrap().counts
        return counts


class WaitingTimes(StartingBalancerCase):
    """Guards against a waiting time that begins when the datagram is read."""

    def test_the_time_in_the_receive_buffer_is_told(self) -> None:
        with make_packet_socket() as receiver:
            receiver.bind(LOOPBACK)
            started_at = time.time()
            self.caller.sendto(OPENING, receiver.address)
            sent_at = time.time()
            time.sleep(0.1)
            read_at = time.time()
            received = receiver.receive()
            ended_at = time.time()
        self.assertEqual(received.data, OPENING)
        self.assertGreaterEqual(received.waited, read_at - sent_at)
        self.assertLessEqual(received.waited, ended_at - started_at)


if __name__ == "__main__":
    unittest.main()
