"""Open flows of a backend server whose host can't be reached."""

import unittest
from dataclasses import replace

from tests.test_live_servers import from_caller, request
from tests.test_tag_steering import (
    DOCUMENTS,
    FORTALEZA,
    RECIFE,
    SALVADOR,
    SteeringCase,
    boot,
    data,
    opening,
)
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, Seconds, Tag
from wasabigw.core.registration import Registration
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.decisions import Deliver, RefusalReason, Refuse
from wasabigw.core.tags.liveness.host_checks import (
    ATTEMPTS,
    CHECK_DURATION,
    FIRST_UNUSED_ROUND,
    MAX_LATENESS,
    REFERENCE_ATTEMPTS,
    UNUSED_PORT,
    Attempt,
    CheckAttempts,
    HostCheck,
    HostChecked,
    HostStatus,
    Reference,
    attempts_by_group,
    status_of,
)
from wasabigw.core.tags.liveness.unreachable_hosts import (
    CHECK_INTERVAL,
    MAX_RUNNING_CHECKS,
    REFERENCE_HOSTS,
    record_check,
)

PENDING = [Attempt.PENDING] * ATTEMPTS
ACCEPTED = [Attempt.ACCEPTED] * ATTEMPTS
REFUSED = [Attempt.REFUSED] * ATTEMPTS


def on_host(number: int, domain: FailureDomainId = RECIFE) -> Registration:
    """A boot whose tag is also the number of its host."""
    return replace(boot(number, domain), endpoint=Endpoint(f"10.0.0.{number}", 8000))


def hosts_of(check: HostCheck) -> list[int]:
    """Numbers of the reference hosts of a check."""
    addresses = [reference.endpoint.address for reference in check.references]
    return [int(address.rpartition(".")[2]) for address in addresses]


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
        result = HostChecked(Tag(1), status, started_at, Seconds(now))
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
        started_at, ended_at = Seconds(1.2), Seconds(1.6)
        result = HostChecked(Tag(1), HostStatus.UNREACHABLE, started_at, ended_at)
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

    def test_a_result_that_has_waited_is_discarded(self) -> None:
        # The process was paused after the check, and the host is back.
        self.send(1, now=1.2)
        started_at, ended_at = Seconds(1.2), Seconds(1.6)
        result = HostChecked(Tag(1), HostStatus.UNREACHABLE, started_at, ended_at)
        self.assertEqual(record_check(result, self.state, Seconds(9.0)), [])
        self.assertEqual(self.send(2, now=9.1), "delivered")

    def test_a_server_that_drains_since_the_check_may_refuse_connections(self) -> None:
        # Guards against a reset of its flows: it closed its listening socket first.
        self.send(1, now=1.2)
        draining = replace(on_host(1), state=RegistrationState.DRAINING)
        self.register(draining, *(on_host(number) for number in (2, 3)))
        started_at, ended_at = Seconds(1.2), Seconds(1.32)
        result = HostChecked(
            Tag(1), HostStatus.UNREACHABLE, started_at, ended_at, is_refused=True
        )
        self.assertEqual(record_check(result, self.state, ended_at), [])
        self.assertEqual(self.send(2, now=1.4), "delivered")
        silent = replace(result, is_refused=False)
        self.assertEqual(len(record_check(silent, self.state, ended_at)), 5)

    def test_a_check_that_took_long_counts_if_its_result_is_new(self) -> None:
        # On a balancer that is busy each attempt may be made late.
        self.send(1, now=1.2)
        started_at, ended_at = Seconds(1.2), Seconds(1.95)
        result = HostChecked(Tag(1), HostStatus.UNREACHABLE, started_at, ended_at)
        self.assertEqual(len(record_check(result, self.state, Seconds(2.0))), 5)

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
        references = tuple(Reference(endpoint, RECIFE) for endpoint in endpoints)
        [check] = self.take_checks()
        expected = HostCheck(
            Tag(1),
            Endpoint("10.0.0.1", 8000),
            RECIFE,
            references,
            refusal_counts=True,
            domain_refusal_counts=False,
        )
        self.assertEqual(check, expected)

    def test_backend_servers_of_the_same_service_are_the_first_references(self) -> None:
        others = [replace(on_host(n), service=DOCUMENTS) for n in (4, 5)]
        self.register(*(on_host(number) for number in (1, 2, 3)), *others)
        self.answer(2, now=1.1)
        self.answer(4, now=1.15)
        self.answer(5, now=1.16)
        self.send(1, now=1.2)
        [check] = self.take_checks()
        self.assertEqual(hosts_of(check), [2, 5])
        # One of another service may accept connections where this one does not.
        self.assertFalse(check.refusal_counts)

    def test_a_draining_backend_server_may_refuse_connections(self) -> None:
        draining = replace(on_host(1), state=RegistrationState.DRAINING)
        self.register(draining, *(on_host(number) for number in (2, 3)))
        self.answer(2, now=1.15)
        self.send(1, now=1.2)
        [check] = self.take_checks()
        self.assertFalse(check.refusal_counts)

    def test_openings_without_an_answer_request_no_check(self) -> None:
        # Guards against connections that cost a backend server something and decide
        # nothing: only open flows are reset.
        self.decide(opening(50), now=1.0)
        self.answer(2, now=1.15)
        self.decide(opening(50, repeat=1), now=1.2)
        self.decide(opening(51), now=1.4)
        self.assertEqual(self.take_checks(), [])

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
        self.finish_check(now=1.6, status=HostStatus.UNKNOWN)
        self.send(1, now=1.2 + CHECK_INTERVAL + 0.01)
        self.assertEqual(len(self.take_checks()), 1)

    def test_no_second_check_while_one_is_running(self) -> None:
        self.answer(2, now=1.15)
        self.send(1, now=1.2)
        self.send(1, now=1.2 + CHECK_INTERVAL + 0.01)
        self.assertEqual(len(self.take_checks()), 1)

    def test_the_number_of_checks_at_a_time_is_limited(self) -> None:
        # A balancer that is behind doubts all of its backend servers.
        count = MAX_RUNNING_CHECKS + 5
        self.register(*(on_host(number) for number in range(1, count + 2)))
        for tag in range(2, count + 1):
            self.answer(tag, now=1.01)
        self.answer(count + 1, now=1.15)
        for tag in range(1, count + 1):
            for now in (1.1, 1.4):
                packet = request(1000 + tag, tag=tag)
                self.decide(packet, now)
        self.assertEqual(len(self.take_checks()), MAX_RUNNING_CHECKS)


class ReferencesOfAPath(LostServerCase):
    """Guards against a lossy path that is taken for a lost host (issue 36).

    The balancer and two sound hosts are in one failure domain; the doubted host and
    two others are in a second one, a sixth is in a third.
    """

    BOOTS = (
        *(on_host(number, SALVADOR) for number in (1, 4, 5)),
        *(on_host(number) for number in (2, 3)),
        on_host(6, FORTALEZA),
    )

    def setUp(self) -> None:
        super().setUp()
        self.register(*self.BOOTS)
        self.open_flows()

    def check(self, *answers: tuple[int, float], now: float = 1.2) -> HostCheck:
        """Check that is requested after some hosts have answered."""
        for tag, answered_at in answers:
            self.answer(tag, answered_at)
        self.send(1, now)
        [check] = self.take_checks()
        return check

    def test_one_reference_lies_in_the_failure_domain_of_the_host(self) -> None:
        check = self.check((4, 1.05), (2, 1.1), (3, 1.15))
        self.assertEqual(hosts_of(check), [4, 3])
        self.assertTrue(check.is_on_path(check.references[0]))
        self.assertFalse(check.is_on_path(check.references[1]))

    def test_a_lossy_path_is_not_taken_for_a_lost_host(self) -> None:
        # Seen on a day: no attempt to the host answered, all to the own failure domain.
        check = self.check((4, 1.05), (2, 1.1), (3, 1.15))
        lossy = [Attempt.PENDING, Attempt.ACCEPTED] * (REFERENCE_ATTEMPTS // 2)
        near, far = check.references
        references = [(near, attempt) for attempt in lossy]
        references += [(far, attempt) for attempt in ACCEPTED[:REFERENCE_ATTEMPTS]]
        made = attempts_by_group(check, PENDING, references)
        self.assertIs(status_of(check, made, Seconds(0.0)), HostStatus.UNKNOWN)

    def test_a_host_of_its_failure_domain_is_asked_even_if_none_answered(self) -> None:
        # Tells a lossy path from a failure domain that is gone.
        check = self.check((2, 1.1), (3, 1.15))
        near, far = hosts_of(check)
        self.assertIn(near, (4, 5))
        self.assertEqual(far, 3)

    def test_a_host_that_is_doubted_itself_is_the_last_choice(self) -> None:
        self.state.servers[Tag(4)].breaker.failures = 1
        self.assertEqual(hosts_of(self.check((2, 1.1))), [5, 2])

    def test_a_boot_that_is_silent_or_has_ended_is_no_reference(self) -> None:
        silent = replace(self.BOOTS[1], silent=True)
        ended = replace(self.BOOTS[2], state=RegistrationState.ENDED)
        self.register(self.BOOTS[0], silent, ended, *self.BOOTS[3:])
        self.assertEqual(hosts_of(self.check((2, 1.1), (3, 1.15))), [3, 2])

    def test_the_number_of_references_does_not_grow_with_the_domains(self) -> None:
        check = self.check(*((tag, 1.0 + tag / 100) for tag in (2, 3, 4, 5, 6)))
        self.assertEqual(hosts_of(check), [5, 6])
        self.assertEqual(len(check.references), REFERENCE_HOSTS)

    def test_a_reference_is_tried_in_every_second_round(self) -> None:
        check = self.check((4, 1.05), (3, 1.15))
        rounds = [check.references_in_round(number) for number in range(ATTEMPTS)]
        self.assertEqual(rounds, [check.references, ()] * REFERENCE_ATTEMPTS)
        unused = [check.unused_in_round(number) for number in range(ATTEMPTS)]
        at_host = (Endpoint("10.0.0.1", UNUSED_PORT),)
        first = FIRST_UNUSED_ROUND // 2
        self.assertEqual(unused, [(), ()] * first + [(), at_host] * first)

    def test_a_refusing_failure_domain_that_answers_callers_proves_nothing(
        self,
    ) -> None:
        # Connections to it may be rejected while packets of flows pass.
        check = self.check((2, 1.15), (4, 1.16))
        self.assertTrue(check.refusal_counts)
        self.assertFalse(check.domain_refusal_counts)

    def test_a_refusing_failure_domain_counts_if_it_answers_no_caller(self) -> None:
        check = self.check((2, 1.15))
        self.assertTrue(check.domain_refusal_counts)

    def test_refusals_do_not_count_beside_another_service_elsewhere(self) -> None:
        other = replace(self.BOOTS[3], service=DOCUMENTS)
        self.register(*(b for b in self.BOOTS if b.tag not in (2, 3)), other)
        check = self.check((4, 1.05), (2, 1.1))
        self.assertFalse(check.refusal_counts)
        self.assertFalse(check.domain_refusal_counts)


class Results(unittest.TestCase):
    """Guards against a host that counts as unreachable although the balancer fails."""

    ON_PATH = Reference(Endpoint("10.0.0.2", 8000), RECIFE)

    def status(
        self,
        attempts: list[Attempt],
        references: list[Attempt],
        lateness: float = 0.0,
        refusal_counts: bool = True,
        elsewhere: tuple[Attempt, ...] = (),
        domain_refusal_counts: bool = True,
        unused: tuple[Attempt, ...] = (),
    ) -> HostStatus:
        check = HostCheck(
            Tag(1),
            Endpoint("10.0.0.1", 8000),
            RECIFE,
            (self.ON_PATH,),
            refusal_counts,
            domain_refusal_counts,
        )
        made = CheckAttempts(attempts, references, elsewhere, unused)
        return status_of(check, made, Seconds(lateness))

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

    def test_a_refusal_proves_nothing_if_the_check_says_so(self) -> None:
        status = self.status(REFUSED, ACCEPTED, refusal_counts=False)
        self.assertIs(status, HostStatus.UNKNOWN)

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
        status = self.status(PENDING, attempts, elsewhere=tuple(ACCEPTED))
        self.assertIs(status, HostStatus.UNKNOWN)

    def test_a_silent_failure_domain_beside_one_that_always_responds(self) -> None:
        for on_path in (PENDING, []):
            for elsewhere in (ACCEPTED, REFUSED):
                status = self.status(PENDING, on_path, elsewhere=tuple(elsewhere))
                self.assertIs(status, HostStatus.UNREACHABLE)

    def test_a_lossy_path_proves_nothing(self) -> None:
        for count in range(1, ATTEMPTS):
            on_path = ACCEPTED[:count] + PENDING[count:]
            status = self.status(PENDING, on_path, elsewhere=tuple(ACCEPTED))
            self.assertIs(status, HostStatus.UNKNOWN)

    def test_a_silent_failure_domain_alone_proves_nothing(self) -> None:
        # The link of the balancer may be cut.
        for on_path in (PENDING, []):
            for elsewhere in ([], PENDING, [*ACCEPTED, Attempt.PENDING]):
                status = self.status(PENDING, on_path, elsewhere=tuple(elsewhere))
                self.assertIs(status, HostStatus.UNKNOWN)

    def test_a_reference_elsewhere_without_a_response_proves_nothing(self) -> None:
        elsewhere = (*ACCEPTED, Attempt.PENDING)
        status = self.status(PENDING, ACCEPTED, elsewhere=elsewhere)
        self.assertIs(status, HostStatus.UNKNOWN)

    def test_a_refusing_failure_domain_counts_only_if_the_check_says_so(self) -> None:
        for counts, expected in (
            (True, HostStatus.UNREACHABLE),
            (False, HostStatus.UNKNOWN),
        ):
            status = self.status(
                REFUSED,
                REFUSED,
                elsewhere=tuple(ACCEPTED),
                domain_refusal_counts=counts,
            )
            self.assertIs(status, expected)

    def test_a_host_that_responds_at_an_unused_port_is_up(self) -> None:
        # Its queue of new connections is full, and packets of its flows arrive.
        for response in (Attempt.ACCEPTED, Attempt.REFUSED):
            unused = (*PENDING[1:], response)
            status = self.status(PENDING, ACCEPTED, unused=unused)
            self.assertIs(status, HostStatus.UNKNOWN)
        status = self.status(PENDING, ACCEPTED, unused=tuple(PENDING))
        self.assertIs(status, HostStatus.UNREACHABLE)

    def test_a_host_that_refuses_at_each_port_is_unreachable(self) -> None:
        status = self.status(REFUSED, ACCEPTED, unused=tuple(REFUSED))
        self.assertIs(status, HostStatus.UNREACHABLE)

    def test_silence_of_a_sound_host_is_improbable_at_the_worst_loss(self) -> None:
        # Links lose up to 30 % of the packets in each direction. With 6 attempts, 1.8 %
        # of the checks found a sound host silent.
        answered = 0.7 * 0.7
        self.assertLess((1 - answered) ** ATTEMPTS, 0.001)

    def test_the_result_is_known_before_the_second_retransmission(self) -> None:
        # Callers retransmit 0.2 and 0.6 s after the data; the first requests the check.
        self.assertLessEqual(CHECK_DURATION, 0.4)

    def test_a_late_result_proves_nothing(self) -> None:
        # The balancer may have been paused, and responses may wait for it.
        late = MAX_LATENESS + 0.01
        self.assertIs(self.status(PENDING, ACCEPTED, late), HostStatus.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
