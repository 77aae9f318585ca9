"""Connection attempts of the host checker, with real sockets on loopback."""

import errno
import socket
import unittest
from typing import Any
from unittest import mock

from returns.result import Success

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, Seconds, Tag
from wasabigw.core.tags.liveness.host_checks import (
    HostCheck,
    HostChecked,
    HostStatus,
    Reference,
)
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.host_checker import make_host_checker

WAIT = Seconds(5.0)
"""Longest wait for a result."""
RECIFE, SALVADOR = FailureDomainId("recife"), FailureDomainId("salvador")
QUEUED_CONNECTIONS = 4
"""More than a socket with the shortest queue of new connections accepts."""


def check_of(
    endpoint: Endpoint,
    on_path: tuple[Endpoint, ...],
    elsewhere: tuple[Endpoint, ...] = (),
) -> HostCheck:
    """Check of a host, with references in its failure domain and elsewhere."""
    references = (
        *(Reference(to, RECIFE) for to in on_path),
        *(Reference(to, SALVADOR) for to in elsewhere),
    )
    return HostCheck(
        Tag(7),
        endpoint,
        RECIFE,
        references,
        refusal_counts=True,
        domain_refusal_counts=True,
    )


class HostCheckerCase(unittest.TestCase):
    """A running host checker, and endpoints that behave like hosts."""

    def setUp(self) -> None:
        self.results: Mailbox[Any] = Mailbox("results")
        self.checker = make_host_checker(self.results)
        self.enterContext(self.checker)
        # Loopback answers at each port, and a host that is gone at none.
        self.use_unused_port(self.silent())

    def use_unused_port(self, endpoint: Endpoint) -> None:
        """Let checks take the port of an endpoint as the unused port of all hosts."""
        path = "wasabigw.core.tags.liveness.host_checks.UNUSED_PORT"
        self.enterContext(mock.patch(path, endpoint.port))

    def listen(self, backlog: int = 16) -> Endpoint:
        """Endpoint at which connections are accepted."""
        server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.addCleanup(server.close)
        server.bind(("127.0.0.1", 0))
        server.listen(backlog)
        return Endpoint(*server.getsockname())

    def closed(self) -> Endpoint:
        """Endpoint of a host that is up, at which nothing listens."""
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as server:
            server.bind(("127.0.0.1", 0))
            return Endpoint(*server.getsockname())

    def silent(self) -> Endpoint:
        """Endpoint that drops attempts: its queue of new connections is full."""
        endpoint = self.listen(backlog=0)
        for _ in range(QUEUED_CONNECTIONS):
            client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self.addCleanup(client.close)
            client.setblocking(False)
            client.connect_ex((endpoint.address, endpoint.port))
        return endpoint

    def check(
        self,
        endpoint: Endpoint,
        *on_path: Endpoint,
        elsewhere: tuple[Endpoint, ...] = (),
    ) -> HostStatus:
        self.checker.mailbox.post(check_of(endpoint, on_path, elsewhere))
        return self.take_status()

    def take_status(self) -> HostStatus:
        """Wait for the result of a check."""
        outcome = self.results.get(WAIT)
        assert isinstance(outcome, Success), "no result"
        result = outcome.unwrap()
        assert isinstance(result, HostChecked)
        self.assertEqual(result.tag, 7)
        return result.status


class Statuses(HostCheckerCase):
    """Guards against resets of flows whose host is up, or whose balancer is cut off."""

    def test_a_host_that_accepts_is_reachable(self) -> None:
        status = self.check(self.listen(), self.listen())
        self.assertIs(status, HostStatus.REACHABLE)

    def test_a_host_that_refuses_beside_one_that_accepts(self) -> None:
        status = self.check(self.closed(), self.listen())
        self.assertIs(status, HostStatus.UNREACHABLE)

    def test_a_host_that_refuses_as_the_others_do(self) -> None:
        status = self.check(self.closed(), self.listen(), self.closed())
        self.assertIs(status, HostStatus.UNKNOWN)

    def test_a_host_without_any_answer_is_unreachable(self) -> None:
        status = self.check(self.silent(), self.listen(), self.closed())
        self.assertIs(status, HostStatus.UNREACHABLE)

    def test_nothing_is_known_if_a_reference_is_silent_too(self) -> None:
        status = self.check(self.silent(), self.listen(), self.silent())
        self.assertIs(status, HostStatus.UNKNOWN)

    def test_a_silent_failure_domain_beside_one_that_answers(self) -> None:
        status = self.check(self.silent(), self.silent(), elsewhere=(self.listen(),))
        self.assertIs(status, HostStatus.UNREACHABLE)

    def test_the_log_tells_which_references_lie_on_the_path(self) -> None:
        # Guards against a line from which nobody can tell whether the path was sound.
        host, near, far = self.silent(), self.listen(), self.closed()
        with mock.patch("wasabigw.tasks.host_checker.log") as log:
            self.check(host, near, elsewhere=(far,))
        fields = log.call_args.kwargs
        self.assertEqual(fields["failure_domain"], RECIFE)
        self.assertEqual(fields["reference_domains"], "recife, salvador")
        self.assertEqual(fields["attempts"], "12 no response")
        self.assertEqual(fields["on_path_attempts"], "6 accepted")
        self.assertEqual(fields["elsewhere_attempts"], "6 refused")
        self.assertEqual(fields["reference_attempts"], "6 accepted, 6 refused")
        self.assertEqual(fields["unused_port_attempts"], "3 no response")

    def test_an_address_that_cannot_be_used_is_unknown(self) -> None:
        status = self.check(Endpoint("255.255.255.255", 80), self.listen())
        self.assertIs(status, HostStatus.UNKNOWN)

    def test_a_port_out_of_range_is_unknown(self) -> None:
        status = self.check(Endpoint("127.0.0.1", 70_000), self.listen())
        self.assertIs(status, HostStatus.UNKNOWN)

    def test_checks_go_on_after_one_without_free_descriptors(self) -> None:
        # An error of socket() must not end the thread of all later checks.
        host, reference = self.listen(), self.listen()
        exhausted = OSError(errno.EMFILE, "too many open files")
        with mock.patch("socket.socket", side_effect=exhausted):
            self.assertIs(self.check(host, reference), HostStatus.UNKNOWN)
        self.assertIs(self.check(host, reference), HostStatus.REACHABLE)


class FullQueues(HostCheckerCase):
    """Guards against a sound host whose queue of new connections is full.

    Packets of open flows still reach it, and connections of checks fill the queue.
    """

    BACKLOG = 5
    CHECKERS = 12

    def setUp(self) -> None:
        super().setUp()
        self.use_unused_port(self.closed())
        # On a busy machine, results are late and would be unknown for that reason.
        module = "wasabigw.core.tags.liveness.host_checks"
        self.enterContext(mock.patch(f"{module}.MAX_LATENESS", Seconds(60.0)))

    def test_balancers_that_check_a_host_at_once_do_not_find_it_lost(self) -> None:
        busy = self.listen(self.BACKLOG)
        check = check_of(busy, (self.listen(backlog=128),))
        checkers = [make_host_checker(self.results) for _ in range(self.CHECKERS)]
        for checker in checkers:
            self.enterContext(checker)
        for checker in checkers:
            checker.mailbox.post(check)
        statuses = [self.take_status() for _ in checkers]
        self.assertNotIn(HostStatus.UNREACHABLE, statuses)
        self.assertIn(HostStatus.UNKNOWN, statuses)

    def test_a_host_without_a_backend_server_is_still_unreachable(self) -> None:
        status = self.check(self.closed(), self.listen())
        self.assertIs(status, HostStatus.UNREACHABLE)


if __name__ == "__main__":
    unittest.main()
