"""Ports of the soak's backend servers respond to checks of their hosts as meant."""

import selectors
import socket
import unittest

from wasabigw_demo.addresses import free_endpoint
from wasabigw_soak.server_port import ServerPort

ADDRESS = "127.0.0.1"


class ServerPorts(unittest.TestCase):
    """Guards against crashed backend servers whose hosts seem to be up."""

    def setUp(self) -> None:
        self.selector = selectors.DefaultSelector()
        self.addCleanup(self.selector.close)
        endpoint = free_endpoint(socket.SOCK_STREAM, ADDRESS)
        self.address = (ADDRESS, endpoint.port)
        self.port = ServerPort(self.address, self.selector)
        self.addCleanup(self.port.close)

    def connect(self) -> str:
        """Outcome of a connection attempt."""
        try:
            socket.create_connection(self.address, timeout=0.3).close()
        except TimeoutError:
            return "no response"
        except ConnectionRefusedError:
            return "refused"
        for key, events in self.selector.select(0.3):
            key.data(events)
        return "accepted"

    def test_a_running_boot_accepts_many_connections(self) -> None:
        self.port.open()
        self.assertEqual({self.connect() for _ in range(200)}, {"accepted"})

    def test_a_silent_crash_gives_no_response_until_the_next_start(self) -> None:
        self.port.open()
        self.port.fall_silent()
        self.assertEqual([self.connect() for _ in range(3)], ["no response"] * 3)
        self.port.open()
        self.assertEqual(self.connect(), "accepted")

    def test_a_closed_port_refuses(self) -> None:
        self.port.open()
        self.port.close()
        self.assertEqual(self.connect(), "refused")


if __name__ == "__main__":
    unittest.main()
