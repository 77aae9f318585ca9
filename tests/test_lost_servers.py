"""Open flows of a backend server whose host can't be reached."""

import unittest
from dataclasses import replace

from tests.test_live_servers import from_caller, request
from tests.test_tag_steering import SteeringCase, boot, data, opening
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds, Tag
from wasabigw.core.registration import Registration
from wasabigw.core.tags.decisions import Deliver, RefusalReason, Refuse
from wasabigw.core.tags.host_checks import (
    ATTEMPTS,
    CHECK_DURATION,
    MAX_LATENESS,
    Attempt,
    HostCheck,
    HostChecked,
    HostStatus,
    status_of,
)
from wasabigw.core.tags.unreachable_hosts import CHECK_INTERVAL, record_check

PENDING = [Attempt.PENDING] * ATTEMPTS
ACCEPTED = [Attempt.ACCEPTED] * ATTEMPTS
REFUSED = [Attempt.REFUSED] * ATTEMPTS


def on_host(number: int) -> Registration:
    """A boot whose tag is also the number of its host."""
    return replace(boot(number), endpoint=Endpoint(f"10.0.0.{number}", 8000))


class LostServerCase(SteeringCase):
    """Three backend servers on three hosts."""

    by_caller = staticmethod(from_caller)

    def setUp(self) -> None:
        super().setUp()
        self.register(*(on_host(number) for number in (1, 2, 3)))

    def open_flows(self) -> None:
        """Open flows of five callers to the first, four of which send a request."""
        for caller in range(1, 6):
            self.respond(caller, tag=1, now=1.0)
        self.respond(6, tag=2, now=1.0)
        for caller in (1, 2, 3, 4):
            self.send(caller, now=1.0)

    def respond(self, caller: int, tag: int, now: float) -> None:
        """Show a response of a backend server: a caller opens a flow to it."""
        packet = opening(caller)
        self.decide(from_caller(packet), now=now - 0.05)
        flow = from_caller(packet).flow
        known = self.state.flows[flow]
        known.server.open_flows -= 1
        known.server = self.state.servers[Tag(tag)]
        known.server.open_flows += 1
        self.decide(from_caller(data(tag, port=caller))._replace(length=0), now=now)

    def answer(self, tag: int, now: float) -> None:
        """Show a response of a backend server to a caller that has not been seen."""
        self.respond(int(now * 1000) * 10 + tag, tag, now)

    def send(self, caller: int, now: float) -> str:
        """Send or retransmit the request of a caller; returns the decision."""
        decision = self.decide(request(caller), now)
        if isinstance(decision, Refuse):
            self.assertIs(decision.reason, RefusalReason.SERVER_LOST)
            return "refused"
        assert isinstance(decision, Deliver)
        return "delivered"

    def take_checks(self) -> list[HostCheck]:
        """Remove and return the requested checks."""
        checks = list(self.state.host_checks)
        self.state.host_checks.clear()
        return checks

    def finish_check(
        self, now: float, status: HostStatus = HostStatus.UNREACHABLE
    ) -> list[int]:
        """End a check of the first host; returns the ports of the refused flows."""
        started_at = Seconds(now - CHECK_DURATION)
        result = HostChecked(Tag(1), status, started_at)
        refused = record_check(result, self.state, Seconds(now))
        for refusal in refused:
            self.assertIs(refusal.reason, RefusalReason.SERVER_LOST)
            self.assertEqual(refusal.packet.tag, 1)
        return sorted(refusal.packet.flow.caller_port for refusal in refused)


class LostServers(LostServerCase):
    """Guards against callers that wait for a backend server whose host is gone.

    Without a reset they retransmit after 0.2 and 0.6 s, and time out seconds later.
    """

    def doubt(self) -> None:
        """Let callers retransmit while another host answers."""
        self.open_flows()
        self.answer(2, now=1.15)
        for caller in (1, 2, 3, 4):
            self.assertEqual(self.send(caller, now=1.2), "delivered")

    def test_a_flow_is_refused_at_the_second_retransmission(self) -> None:
        self.doubt()
        self.finish_check(now=1.59)
        self.assertEqual(self.send(1, now=1.6), "refused")

    def test_all_open_flows_are_refused_once_the_host_is_unreachable(self) -> None:
        # Otherwise the next requests of idle flows would be lost, and for good those
        # that must not be repeated.
        self.doubt()
        self.assertEqual(self.finish_check(now=1.6), [1, 2, 3, 4, 5])
        self.assertEqual(self.state.servers[Tag(1)].open_flows, 0)
        self.assertEqual(self.finish_check(now=1.6), [])

    def test_the_reset_matches_the_last_acknowledgement(self) -> None:
        self.doubt()
        result = HostChecked(Tag(1), HostStatus.UNREACHABLE, Seconds(1.2))
        found = record_check(result, self.state, Seconds(1.6))
        acknowledged = {r.packet.flow.caller: r.packet.acknowledged for r in found}
        self.assertEqual(acknowledged, {1: 600, 2: 600, 3: 600, 4: 600, 5: 555})

    def test_flows_that_come_from_another_balancer_are_refused_as_well(self) -> None:
        self.doubt()
        self.finish_check(now=1.6)
        self.assertEqual(self.send(7, now=1.7), "refused")

    def test_flows_are_delivered_again_some_time_after_the_check(self) -> None:
        # The host may be reachable again with its flows intact.
        self.doubt()
        self.finish_check(now=1.6)
        self.assertEqual(self.send(7, now=3.2), "delivered")

    def test_new_flows_avoid_it_from_the_first_retransmission_on(self) -> None:
        self.open_flows()
        self.send(1, now=1.2)
        tags = {self.tag_of(opening(p), now=1.3) for p in range(20, 30)}
        self.assertEqual(tags, {2, 3})


class LiveServers(LostServerCase):
    """Guards against the reset of flows of a host that is up (issue 33)."""

    def setUp(self) -> None:
        super().setUp()
        self.open_flows()

    def test_no_flow_is_refused_unless_the_host_is_unreachable(self) -> None:
        self.answer(2, now=1.15)
        sent = [self.send(1, now=now) for now in (1.2, 1.6, 2.4, 4.0)]
        self.assertEqual(sent, ["delivered"] * 4)
        for status in (HostStatus.REACHABLE, HostStatus.UNKNOWN):
            self.assertEqual(self.finish_check(now=4.0, status=status), [])
        self.assertEqual(self.send(1, now=4.1), "delivered")

    def test_a_response_during_the_check_keeps_all_flows(self) -> None:
        self.send(1, now=1.2)
        self.answer(1, now=1.4)
        self.assertEqual(self.finish_check(now=1.6), [])
        self.assertEqual(self.send(2, now=1.7), "delivered")

    def test_a_response_after_the_check_keeps_the_flows_that_are_left(self) -> None:
        self.send(1, now=1.2)
        self.finish_check(now=1.6)
        self.answer(1, now=1.7)
        self.assertEqual(self.send(7, now=1.8), "delivered")

    def test_retransmissions_that_arrive_at_once_do_not_count(self) -> None:
        # A balancer that was frozen reads all that its callers sent in the meantime.
        self.answer(2, now=1.0)
        for now in (1.01, 1.01, 1.02):
            self.send(1, now=now)
        self.assertEqual(self.take_checks(), [])
        self.assertEqual(self.finish_check(now=1.4), [])

    def test_acknowledgements_alone_are_never_refused(self) -> None:
        self.send(1, now=1.2)
        self.finish_check(now=1.6)
        packet = data(1, acknowledged=600, sequence=111)._replace(length=0)
        for now in (1.7, 1.8):
            self.assertIsInstance(self.decide(packet, now), Deliver)


class Requests(LostServerCase):
    """Guards against checks that prove nothing, and against too many of them."""

    def setUp(self) -> None:
        super().setUp()
        self.open_flows()

    def test_a_retransmission_requests_a_check_beside_hosts_that_answer(self) -> None:
        self.answer(3, now=1.1)
        self.answer(2, now=1.15)
        self.send(1, now=1.2)
        endpoints = (Endpoint("10.0.0.2", 8000), Endpoint("10.0.0.3", 8000))
        [check] = self.take_checks()
        self.assertEqual(
            check, HostCheck(Tag(1), Endpoint("10.0.0.1", 8000), endpoints)
        )

    def test_no_check_without_a_host_that_has_answered_since(self) -> None:
        # Packets of all callers may be late or lost at the balancer itself.
        self.send(1, now=1.2)
        self.assertEqual(self.take_checks(), [])

    def test_other_backend_servers_of_the_same_host_are_no_reference(self) -> None:
        same = replace(on_host(4), endpoint=Endpoint("10.0.0.1", 8001))
        self.register(*(on_host(number) for number in (1, 2, 3)), same)
        self.answer(4, now=1.15)
        self.send(1, now=1.2)
        self.assertEqual(self.take_checks(), [])

    def test_a_host_is_checked_once_in_an_interval(self) -> None:
        self.answer(2, now=1.15)
        for now in (1.2, 1.3, 1.6, 1.2 + CHECK_INTERVAL - 0.01):
            self.send(1, now=now)
        self.assertEqual(len(self.take_checks()), 1)
        self.send(1, now=1.2 + CHECK_INTERVAL + 0.01)
        self.assertEqual(len(self.take_checks()), 1)


class Results(unittest.TestCase):
    """Guards against a host that counts as unreachable although the balancer fails."""

    def status(
        self,
        attempts: list[Attempt],
        references: list[Attempt],
        lateness: float = 0.0,
    ) -> HostStatus:
        return status_of(attempts, references, Seconds(lateness))

    def test_a_silent_host_beside_one_that_always_responds(self) -> None:
        for references in (ACCEPTED, REFUSED):
            self.assertIs(self.status(PENDING, references), HostStatus.UNREACHABLE)

    def test_a_host_that_refuses_beside_one_that_always_accepts(self) -> None:
        # Its backend server has ended, or something on the way rejects connections.
        self.assertIs(self.status(REFUSED, ACCEPTED), HostStatus.UNREACHABLE)

    def test_a_refusal_proves_nothing_if_references_refuse_as_well(self) -> None:
        # Backend servers of this deployment may not accept connections.
        references = [*ACCEPTED, Attempt.REFUSED]
        self.assertIs(self.status(REFUSED, references), HostStatus.UNKNOWN)

    def test_one_accepted_attempt_is_enough(self) -> None:
        attempts = [Attempt.PENDING, Attempt.REFUSED, Attempt.ACCEPTED]
        self.assertIs(self.status(attempts, ACCEPTED), HostStatus.REACHABLE)
        late = self.status(attempts, PENDING, lateness=9.0)
        self.assertIs(late, HostStatus.REACHABLE)

    def test_references_that_lack_a_response_prove_nothing(self) -> None:
        references = [*ACCEPTED, Attempt.PENDING]
        for attempts in (PENDING, REFUSED):
            self.assertIs(self.status(attempts, references), HostStatus.UNKNOWN)

    def test_attempts_that_could_not_be_made_prove_nothing(self) -> None:
        attempts = [*PENDING[1:], Attempt.FAILED]
        self.assertIs(self.status(attempts, ACCEPTED), HostStatus.UNKNOWN)

    def test_a_late_result_proves_nothing(self) -> None:
        # The balancer may have been paused, and responses may wait for it.
        late = MAX_LATENESS + 0.01
        self.assertIs(self.status(PENDING, ACCEPTED, late), HostStatus.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
