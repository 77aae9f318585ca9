"""Tasks of a balancer that delivers by tags, with real sockets on loopback."""

import socket
import threading
import time
import unittest
from contextlib import ExitStack, suppress
from dataclasses import replace
from unittest import mock

from returns.result import Failure, Result

from tests.test_platform_packets import packet
from wasabigw.core.declaration import Declaration
from wasabigw.core.delivery_view import DeliveryView, update_since
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import (
    NO_REVISION,
    BackendServerId,
    FailureDomainId,
    NodeId,
    RegionId,
    Revision,
    Seconds,
    ServiceId,
    Tag,
)
from wasabigw.core.registration import DeclaredDocument, Registration
from wasabigw.core.sources import SourceState
from wasabigw.core.tags.link import egress
from wasabigw.runtime.mailbox import Mailbox, MailboxFull
from wasabigw.runtime.timer import monotonic
from wasabigw.tasks.light_http import LightRequest
from wasabigw.tasks.tag_balancer import (
    DRAIN_IDLE_TIME,
    TagBalancer,
    TagBalancerSettings,
    make_tag_balancer,
)
from wasabigw.tasks.tag_messages import (
    BeginTagDrain,
    TagBalancerStatus,
    TagStatusRequest,
)
from wasabigw.tasks.tag_packet_task import TagPacketSettings
from wasabigw.tasks.view_follower import ViewReceived
from wasabigw_platform.packets import PlatformPackets

LOOPBACK = Endpoint("127.0.0.1", 0)
DOMAIN = FailureDomainId("recife")
LONG = Seconds(5.0)
ACK = 32
WINDOW = 16
WINDOWS = 3
DATA_BYTES = 1200
LINK_MEGABITS = 0.2
"""Capacity at which a window takes most of a second."""
DRAIN_TIMEOUT = Seconds(30.0)
"""Time after which a stop gives up; on a busy machine, packets leave more slowly."""
LEAST_WINDOW_TIME = (WINDOW - 4) * DATA_BYTES * 8 / (LINK_MEGABITS * 1e6)
"""Seconds for a window; its first packets may leave at once."""


def _reject_document(document: DeclaredDocument) -> Result[Declaration, str]:
    return Failure(f"no document is expected, got {document.version}")


def _ignore_request(_: LightRequest, __: TagBalancerStatus) -> None:
    """Ignore a status request; this test sends none."""


def _free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class StartingBalancerCase(unittest.TestCase):
    """A balancer that has no view yet, with a slow link before one backend server."""

    def setUp(self) -> None:
        self.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.server.close)
        self.server.bind(("127.0.0.1", 0))
        self.server.settimeout(2.0)
        self.endpoint = Endpoint("127.0.0.1", _free_port())
        self.caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.caller.close)
        self.balancer = self._make_balancer()
        self.running = ExitStack()
        self.addCleanup(self.running.close)
        self.running.enter_context(self.balancer)

    def post_view(self) -> None:
        """Give the balancer its first view."""
        view = DeliveryView(Revision(1), {Tag(7): self._registration()})
        update = update_since(view, NO_REVISION, Seconds(60.0))
        self.balancer.mailbox.post(ViewReceived(update, LOOPBACK, monotonic()))

    def _make_balancer(self) -> TagBalancer:
        packets = TagPacketSettings(
            NodeId("balancer-1"),
            DOMAIN,
            {DOMAIN: RegionId("nordeste")},
            self.endpoint,
            PlatformPackets(8172),
            _reject_document,
            LOOPBACK,
            _ignore_request,
            None,
            LINK_MEGABITS,
        )
        sources = SourceState(DOMAIN, (Endpoint("127.0.0.1", 1),))
        return make_tag_balancer(
            TagBalancerSettings(packets, sources, lambda api: api, DRAIN_TIMEOUT)
        )

    def _registration(self) -> Registration:
        address, port = self.server.getsockname()
        return Registration(
            Tag(7),
            BackendServerId("i-7f"),
            ServiceId("photos"),
            DOMAIN,
            Endpoint(address, port),
            1000,
            4,
        )

    def send_window(self, number: int = 0) -> None:
        """Send a window of data of an open flow at once; windows count from 0."""
        target = (self.endpoint.address, self.endpoint.port)
        for position in range(number * WINDOW, (number + 1) * WINDOW):
            data = bytearray(packet(ACK, 7, 500, bytes(DATA_BYTES)))
            data[24:28] = (1000 + position * DATA_BYTES).to_bytes(4, "big")
            self.caller.sendto(bytes(data), target)

    def receive_window(self) -> list[float]:
        """Times at which the backend server receives the packets of a window."""
        times = []
        for _ in range(WINDOW):
            try:
                self.server.recv(2048)
            except TimeoutError:
                break
            times.append(time.monotonic())
        return times


class SlowLinkCase(StartingBalancerCase):
    """The same balancer with a view."""

    def setUp(self) -> None:
        super().setUp()
        self.post_view()


class Pacing(SlowLinkCase):
    """Guards against a task that sends faster than its link, or loses what waits."""

    def test_a_window_arrives_whole_at_the_rate_of_the_link(self) -> None:
        self.send_window()
        times = self.receive_window()
        self.assertGreaterEqual(times[-1] - times[0], LEAST_WINDOW_TIME)


class LateReply(Mailbox[TagBalancerStatus]):
    """Mailbox at which the packet task is delayed until it may go on."""

    def __init__(self) -> None:
        super().__init__("late reply")
        self.reached = threading.Event()
        self.may_continue = threading.Event()

    def post(self, message: TagBalancerStatus) -> Result[None, MailboxFull]:
        """Queue a message once the task may go on."""
        self.reached.set()
        self.may_continue.wait(LONG)
        return super().post(message)


class PlannedStop(SlowLinkCase):
    """Guards against packets that are cut off by a planned stop under load."""

    def test_packets_that_were_not_read_yet_do_not_count_as_silence(self) -> None:
        # A task that got no processor for a while found itself idle by the packets
        # that it had read, and stopped with others in its receive buffer.
        self.send_window()
        self.assertEqual(len(self.receive_window()), WINDOW)
        late, reply = LateReply(), Mailbox[TagBalancerStatus]("status")
        self.addCleanup(late.may_continue.set)
        self.balancer.mailbox.post(TagStatusRequest(late))
        self.assertTrue(late.reached.wait(LONG))
        time.sleep(DRAIN_IDLE_TIME)
        # The request comes before the packets, so that the task handles it first.
        self.balancer.mailbox.post(TagStatusRequest(reply))
        self.send_window()
        late.may_continue.set()
        status = reply.get(LONG).unwrap()
        self.assertLess(status.idle_for, DRAIN_IDLE_TIME)

    def test_packets_that_wait_do_not_count_as_silence(self) -> None:
        # Callers send nothing before they get the answers to packets that waited for
        # the link. A balancer counted that time as idle, and stopped when they did.
        started = time.monotonic()
        self.send_window()
        self.assertEqual(len(self.receive_window()), WINDOW)
        reply: Mailbox[TagBalancerStatus] = Mailbox("status")
        self.balancer.mailbox.post(TagStatusRequest(reply))
        idle_for = reply.get(LONG).unwrap().idle_for
        passed = time.monotonic() - started
        self.assertLessEqual(idle_for, passed - LEAST_WINDOW_TIME)

    def test_packets_that_wait_are_sent_before_the_balancer_stops(self) -> None:
        # What waits takes longer than a stop without packets.
        with mock.patch.object(
            egress, "MAX_QUEUE_TIME", WINDOWS * LEAST_WINDOW_TIME * 2
        ):
            for number in range(WINDOWS):
                self.send_window(number)
            self.balancer.drain()
            self.running.close()
        self.server.setblocking(False)
        received = 0
        with suppress(BlockingIOError):
            while self.server.recv(2048):
                received += 1
        self.assertEqual(received, WINDOWS * WINDOW)

    def test_a_stop_waits_while_packets_come(self) -> None:
        reply: Mailbox[TagBalancerStatus] = Mailbox("status")
        self.balancer.mailbox.post(TagStatusRequest(reply))
        status = reply.get(LONG).unwrap()
        busy = replace(status, idle_for=Seconds(DRAIN_IDLE_TIME * 0.9))
        waiting = replace(status, idle_for=DRAIN_IDLE_TIME, waiting_bytes=1)
        idle = replace(status, idle_for=DRAIN_IDLE_TIME, waiting_bytes=0)
        statuses = [idle, busy, waiting, busy, idle, idle]
        with mock.patch.object(self.balancer, "_status", side_effect=statuses) as asked:
            self.balancer.drain()
        self.assertEqual(asked.call_count, len(statuses) - 1)

    def test_a_balancer_that_drains_delivers_what_still_comes(self) -> None:
        self.balancer.mailbox.post(BeginTagDrain())
        for number in range(WINDOWS):
            self.send_window(number)
            self.assertEqual(len(self.receive_window()), WINDOW)


if __name__ == "__main__":
    unittest.main()
