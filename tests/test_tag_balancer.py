"""Tasks of a balancer that delivers by tags, with real sockets on loopback."""

import socket
import threading
import time
import unittest
from contextlib import ExitStack

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
from wasabigw.runtime.timer import monotonic
from wasabigw.tasks.light_http import LightRequest
from wasabigw.tasks.tag_balancer import (
    TagBalancer,
    TagBalancerSettings,
    make_tag_balancer,
)
from wasabigw.tasks.tag_messages import TagBalancerStatus
from wasabigw.tasks.tag_packet_task import TagPacketSettings
from wasabigw.tasks.view_follower import ViewReceived
from wasabigw_platform.packets import PlatformPackets

LOOPBACK = Endpoint("127.0.0.1", 0)
DOMAIN = FailureDomainId("recife")
ACK = 32
WINDOW = 16
DATA_BYTES = 1200
LINK_MEGABITS = 0.2
"""Capacity at which a window takes most of a second."""


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
            TagBalancerSettings(packets, sources, lambda api: api, Seconds(5.0))
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

    def send_window(self) -> None:
        """Send a window of data of an open flow at once."""
        target = (self.endpoint.address, self.endpoint.port)
        for number in range(WINDOW):
            data = bytearray(packet(ACK, 7, 500, bytes(DATA_BYTES)))
            data[24:28] = (1000 + number * DATA_BYTES).to_bytes(4, "big")
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
        # The first packets may leave at once; the rest takes its time on the link.
        at_least = (WINDOW - 4) * DATA_BYTES * 8 / (LINK_MEGABITS * 1e6)
        self.assertGreaterEqual(times[-1] - times[0], at_least)


class PlannedStop(SlowLinkCase):
    """Guards against packets that are cut off by a planned stop under load."""

    def test_packets_that_wait_are_sent_before_the_balancer_stops(self) -> None:
        received: list[float] = []
        receiver = threading.Thread(target=lambda: received.extend(self._receive_all()))
        receiver.start()
        self.balancer.drain()
        self.running.close()
        receiver.join()
        self.assertEqual(len(received), 3 * WINDOW)

    def _receive_all(self) -> list[float]:
        times = []
        for _ in range(3):
            self.send_window()
            times += self.receive_window()
        return times


if __name__ == "__main__":
    unittest.main()
