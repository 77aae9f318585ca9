"""What the check of a host and the waiting time of a packet may rely on."""

import socket
import time
import unittest
from dataclasses import replace
from typing import Any, ClassVar
from unittest import mock

from tests.test_host_checker import WAIT, HostCheckerCase, check_of
from tests.test_late_openings import FIRST_RETRANSMISSION
from tests.test_live_servers import request
from tests.test_lost_servers import (
    ACCEPTED,
    PENDING,
    LostServerCase,
    hosts_of,
    on_host,
)
from tests.test_platform_packets import OPENING
from tests.test_tag_steering import RECIFE, SALVADOR, opening
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds, Tag
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.decisions import Drop, DropReason
from wasabigw.core.tags.liveness.host_checks import (
    ATTEMPT_INTERVAL,
    Attempt,
    CheckAttempts,
    HostCheck,
    HostStatus,
    Reference,
    status_of,
)
from wasabigw.core.tags.steering import decide
from wasabigw.runtime.mailbox import Mailbox, SelectableMailbox
from wasabigw.runtime.task import Stop
from wasabigw.tasks.host_checker import HostChecker
from wasabigw.tasks.packet_socket import NANOSECONDS, make_packet_socket


class UnusedPorts(unittest.TestCase):
    """Guards against a sound host with a full queue whose firewall rejects port 1.

    The ICMP error with which it does so ends the attempt, but is a response.
    """

    def test_an_attempt_that_ends_with_an_error_is_no_silence(self) -> None:
        check = HostCheck(
            Tag(1),
            Endpoint("10.0.0.1", 8000),
            RECIFE,
            (Reference(Endpoint("10.0.0.2", 8000), RECIFE),),
            refusal_counts=True,
            domain_refusal_counts=True,
        )
        made = CheckAttempts(PENDING, ACCEPTED, (), [Attempt.FAILED] * 3)
        status = status_of(check, made, Seconds(0.0))
        self.assertIs(status, HostStatus.UNKNOWN)


class Refusals(HostCheckerCase):
    """Guards against a drain that a result does not respect.

    The balancer looks up the drain at the end of a check if the host refused.
    """

    def test_a_result_tells_whether_the_host_refused(self) -> None:
        for host, is_refused in ((self.closed(), True), (self.silent(), False)):
            self.checker.mailbox.post(check_of(host, (self.listen(),)))
            result = self.results.get(WAIT).unwrap()
            self.assertIs(result.status, HostStatus.UNREACHABLE)
            self.assertIs(result.is_refused, is_refused)


class FormerReferences(LostServerCase):
    """Guards against references that have ended since they answered.

    Their silence makes the result of a check of a lost host unknown, and callers wait.
    """

    def test_a_boot_that_is_silent_or_has_ended_is_no_reference(self) -> None:
        boots = (
            *(on_host(number, SALVADOR) for number in (1, 4, 5)),
            *(on_host(number) for number in (2, 3)),
        )
        self.register(*boots)
        self.open_flows()
        for tag, answered_at in ((5, 1.05), (2, 1.06), (4, 1.1), (3, 1.15)):
            self.answer(tag, answered_at)
        gone = (
            replace(boots[1], silent=True),
            replace(boots[4], silent=True, state=RegistrationState.ENDED),
        )
        self.register(boots[0], gone[0], boots[2], boots[3], gone[1])
        self.decide(request(1), 1.2)
        [check] = self.take_checks()
        self.assertEqual(hosts_of(check), [5, 2])


class TimeOfDay(LostServerCase):
    """Guards against a waiting time of zero because the time of day was set back.

    The opening is refused then, although the flow may be open.
    """

    def test_a_first_copy_that_waited_is_not_refused(self) -> None:
        caller = self.enterContext(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        receiver = self.enterContext(make_packet_socket())
        receiver.bind(Endpoint("127.0.0.1", 0))
        caller.sendto(OPENING, receiver.address)
        time.sleep(FIRST_RETRANSMISSION)
        set_back = time.time_ns() - 2 * NANOSECONDS
        with mock.patch("time.time_ns", return_value=set_back):
            waited = receiver.receive().waited
        unknown = opening(listener_port=8443)
        decision = decide(unknown, self.state, Seconds(1.0), waited)
        self.assertEqual(decision, Drop(DropReason.MAY_BE_OPEN))


class StubConnection:
    """A connection attempt whose response is given."""

    made: ClassVar[list["StubConnection"]] = []

    def __init__(self, target: Endpoint, _selector: object) -> None:
        self.target = target
        self.attempt = Attempt.PENDING
        self.made.append(self)

    def close(self) -> None:
        """Give up the attempt."""


class SuspendedChecks(unittest.TestCase):
    """Guards against a result that rests on refusals from before a suspension.

    The host may accept connections again, and the attempt that was made since has had
    no time for a response.
    """

    HOST, REFERENCE = Endpoint("10.0.0.1", 8000), Endpoint("10.0.0.2", 8000)

    def setUp(self) -> None:
        StubConnection.made.clear()
        module = "wasabigw.tasks.host_checker"
        self.enterContext(mock.patch(f"{module}._Connection", StubConnection))
        self.clock = self.enterContext(mock.patch(f"{module}.monotonic"))
        self.clock.return_value = 0.0

    ROUNDS = 7
    """Rounds before the suspension, which are not all of a check."""

    def test_refusals_from_before_it_do_not_end_the_check(self) -> None:
        results: Mailbox[Any] = Mailbox("results")
        mailbox: SelectableMailbox[HostCheck | Stop] = SelectableMailbox("host checks")
        self.enterContext(mailbox)
        checker = HostChecker(mailbox, results)
        checker.receive(check_of(self.HOST, (self.REFERENCE,)))
        for _ in range(self.ROUNDS):
            checker._handle_due()
            self.clock.return_value += ATTEMPT_INTERVAL
        # The round trip takes longer than a round, so the last responses come late.
        for connection in StubConnection.made:
            is_host = connection.target == self.HOST
            connection.attempt = Attempt.REFUSED if is_host else Attempt.ACCEPTED
        self.clock.return_value += 3.0
        for _ in range(2):
            checker._handle_due()
            self.clock.return_value += 0.001
        statuses = [result.status for result in results.drain()]
        self.assertNotIn(HostStatus.UNREACHABLE, statuses)


if __name__ == "__main__":
    unittest.main()
