"""Crash of all backend servers of a failure domain, whose hosts reset openings."""

import heapq
import random
import unittest
from itertools import count
from typing import NamedTuple

from tests.test_refused_openings import opening
from tests.test_tag_steering import (
    FORTALEZA,
    RECIFE,
    SALVADOR,
    SEATS,
    SteeringCase,
    boot,
    data,
)
from wasabigw.core.declaration import (
    Declaration,
    DeclaredService,
    Listener,
    ServiceShare,
)
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import NodeId, RegionId, Seconds, Tag
from wasabigw.core.requirements import Priority, Requirements
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.admission.fair_queue import Datagram
from wasabigw.core.tags.features import Features
from wasabigw.core.tags.link.egress import make_egress_queue, release, submit
from wasabigw.core.tags.liveness.domain_suspicion import LOCAL_OPENING_TIMEOUT
from wasabigw.core.tags.liveness.suspicion import PROBE_INTERVAL
from wasabigw.core.tags.openings import record_opening
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.updates import apply_declaration
from wasabigw.tasks.tag_metrics import families_of
from wasabigw.telemetry.exposition import render

DOMAINS = (RECIFE, SALVADOR, FORTALEZA)
PER_DOMAIN = 20
HOME = frozenset(range(1, PER_DOMAIN + 1))
"""Tags of the backend servers in the failure domain of the balancer."""
BALANCERS = 8
REQUEST_INTERVAL = 0.01
TRIES = 3
ANSWER_TIME = 0.005
RESET_TIME = 0.003
CRASH, RESTART, END = 1.0, 3.0, 5.0


def listener_on(port: int, requirements: Requirements | None) -> Listener:
    """A listener of the service ``seats``."""
    endpoint = Endpoint("198.18.0.1", port)
    shares = (ServiceShare(SEATS, 1),)
    return Listener(endpoint, shares, Seconds(10.0), requirements)


class DomainCase(SteeringCase):
    """Balancers of a failure domain, with backend servers in three of one region."""

    with_requirements = True

    def make_state(self, number: int = 1) -> TagState:
        regions = dict.fromkeys(DOMAINS, RegionId("north"))
        self.state = TagState(NodeId(f"balancer-{number}"), RECIFE, regions)
        self.prepare()
        requirements = Requirements(Priority(1), Seconds(0.25))
        listener = listener_on(443, requirements if self.with_requirements else None)
        declaration = Declaration(2, (listener,), (DeclaredService(SEATS),))
        apply_declaration(declaration, self.state)
        tags = range(len(DOMAINS) * PER_DOMAIN)
        self.register(*(boot(t + 1, DOMAINS[t // PER_DOMAIN]) for t in tags))
        return self.state

    def setUp(self) -> None:
        super().setUp()
        self.make_state()

    def answer(self, tag: int, sent: FlowPacket, now: float, acked: int = 1) -> None:
        """Let a caller acknowledge something new from a backend server."""
        packet = data(tag, acknowledged=acked)._replace(length=0, flow=sent.flow)
        self.decide(packet, now)

    def fail_openings(self, now: float, callers: int = 3) -> None:
        """Send openings of several callers that nobody answers."""
        for caller in range(callers):
            self.tag_of(opening(caller + 1, 1), now)

    def domain_of(self, tag: int) -> object:
        return self.state.servers[Tag(tag)].registration.failure_domain

    def open_domain(self, caller: int, now: float) -> object:
        return self.domain_of(self.tag_of(opening(caller, 9), now))


class Suspicions(DomainCase):
    """Guards against new flows to a failure domain that is known to have failed."""

    def test_unanswered_openings_of_several_callers_move_new_flows(self) -> None:
        self.fail_openings(0.0)
        after = LOCAL_OPENING_TIMEOUT + 0.01
        domains = {self.open_domain(100 + n, after) for n in range(8)}
        self.assertEqual(domains, {SALVADOR, FORTALEZA})

    def test_metrics_name_the_failure_domain(self) -> None:
        self.fail_openings(0.0)
        self.open_domain(100, LOCAL_OPENING_TIMEOUT)
        text = render(families_of(self.state, {}, {}, 0, 0, Seconds(0.1))).decode()
        self.assertIn(
            'wasabigw_failure_domains_suspected{service="seats",'
            'failure_domain="recife"} 1',
            text,
        )

    def test_any_answer_since_ends_it(self) -> None:
        self.fail_openings(0.0)
        self.open_domain(100, 0.06)
        self.answer(1, opening(100, 1), 0.07, acked=5)
        self.answer(1, opening(100, 1), 0.08, acked=6)
        self.assertEqual(self.open_domain(101, 0.09), RECIFE)

    def test_a_probe_a_second_and_its_answer_heals(self) -> None:
        self.fail_openings(0.0)
        self.open_domain(100, 0.06)
        due = 0.06 + PROBE_INTERVAL
        probe = opening(101, 9)
        tag = self.tag_of(probe, due)
        self.assertIn(tag, HOME)
        self.assertNotEqual(self.open_domain(102, due + 0.001), RECIFE)
        self.answer(tag, probe, due + 0.005)
        self.assertEqual(self.open_domain(103, due + 0.006), RECIFE)

    def test_new_boots_are_not_suspected(self) -> None:
        self.fail_openings(0.0)
        self.open_domain(100, 0.06)
        others = [boot(t, DOMAINS[(t - 1) // PER_DOMAIN]) for t in range(5, 13)]
        self.register(*others, *(boot(t) for t in range(20, 24)))
        self.assertEqual(self.open_domain(101, 0.1), RECIFE)


class NoSuspicion(DomainCase):
    """Guards against a failure domain that loses its flows without having failed."""

    def test_a_caller_that_tries_all_is_no_evidence(self) -> None:
        for port in range(8):
            self.tag_of(opening(1, port), port * 0.002)
        self.assertEqual(self.open_domain(100, 0.08), RECIFE)

    def test_flows_that_are_opened_in_parallel_are_no_evidence(self) -> None:
        tags = {self.tag_of(opening(1, port), 0.0) for port in range(4)}
        self.assertLessEqual(tags, HOME)
        self.assertEqual(len(tags), 4)
        self.assertEqual(self.open_domain(100, 0.01), RECIFE)

    def test_a_refused_request_is_an_answer(self) -> None:
        # A full backend server accepts the flow and refuses the request on it.
        for caller in range(4):
            sent = opening(caller + 1, 1)
            self.answer(self.tag_of(sent, 0.0), sent, 0.005)
        self.assertEqual(self.open_domain(100, 0.2), RECIFE)

    def test_openings_that_wait_for_the_own_link_are_no_evidence(self) -> None:
        self.state.egress = make_egress_queue(0.1)
        for caller in range(4):
            sent = opening(caller + 1, 1)
            self.tag_of(sent, 0.0)
            datagram = Datagram(bytes(1000), ("10.0.0.1", 1))
            submit(self.state.egress, sent, datagram, Seconds(0.0))
        self.state.pending_openings.pop(opening(1, 1).flow)
        self.assertEqual(self.open_domain(100, 0.06), RECIFE)

    def test_openings_are_no_evidence_while_the_own_link_is_busy(self) -> None:
        # The next packets of callers wait on their way to the balancer.
        self.use_link(-0.1, 0.0)
        self.fail_openings(0.0)
        self.use_link(0.0, 0.08)
        self.assertEqual(self.open_domain(100, 0.08), RECIFE)

    def test_a_failure_is_found_while_the_own_link_is_busy(self) -> None:
        self.use_link(-0.2, 0.0)
        for now in (0.0, 0.4, 0.8):
            self.fail_openings(now)
            self.use_link(now, now + 0.4)
        self.assertNotEqual(self.open_domain(100, 1.2), RECIFE)

    def test_a_failure_is_found_when_the_own_link_was_idle(self) -> None:
        self.use_link(-0.1, 0.0)
        self.fail_openings(0.0)
        self.assertNotEqual(self.open_domain(100, 0.06), RECIFE)

    def test_failure_domains_that_seem_to_fail_together_are_not_suspected(self) -> None:
        for pause in (0.0, 0.05):
            with self.subTest(pause=pause):
                self.make_state()
                for tag, at in ((1, 0.0), (2, 0.0), (21, pause), (22, pause)):
                    server = self.state.servers[Tag(tag)]
                    flow = opening(1000 + tag, 1).flow
                    record_opening(flow, server, self.state, Seconds(at))
                after = LOCAL_OPENING_TIMEOUT + 0.001
                self.open_domain(100, after)
                self.assertEqual(self.open_domain(101, after + pause), RECIFE)

    def use_link(self, start: float, end: float) -> None:
        """Send packets of other flows, as fast as the link of 2 Mbit/s brings them."""
        if self.state.egress.rate is None:
            self.state.egress = make_egress_queue(2.0)
        datagram = Datagram(bytes(1200), ("10.0.0.2", 1))
        while start < end:
            for _ in release(self.state.egress, Seconds(start)):
                pass
            submit(self.state.egress, data(99), datagram, Seconds(start))
            start += 0.005

    def test_an_opening_always_gets_a_backend_server(self) -> None:
        self.register(*(boot(t) for t in HOME))
        self.fail_openings(0.0)
        self.assertEqual(self.open_domain(100, 0.06), RECIFE)

    def test_open_flows_stay(self) -> None:
        self.fail_openings(0.0)
        self.open_domain(100, 0.06)
        self.assertEqual(self.tag_of(data(1), 0.07), 1)

    def test_draining_boots_do_not_matter(self) -> None:
        self.fail_openings(0.0)
        gone = [boot(t, state=RegistrationState.DRAINING) for t in HOME]
        self.register(*gone, boot(5, SALVADOR))
        self.assertEqual(self.open_domain(100, 0.06), SALVADOR)

    def test_without_requirements_or_with_the_part_off_nothing_changes(self) -> None:
        for self.with_requirements, sharing in ((False, True), (True, False)):
            self.make_state()
            self.state.features = Features(load_sharing=sharing)
            self.fail_openings(0.0)
            self.assertEqual(self.open_domain(100, 0.06), RECIFE)


class OwnTries(DomainCase):
    """Guards against a caller that spends all its tries on one failure domain."""

    def test_the_second_try_avoids_a_silent_failure_domain(self) -> None:
        self.assertIn(self.tag_of(opening(1, 1), 0.0), HOME)
        self.assertNotIn(self.tag_of(opening(1, 2), 0.004), HOME)

    def test_it_stays_if_others_have_answered_there_since(self) -> None:
        sent = opening(7, 1)
        tag = self.tag_of(sent, 0.0)
        self.tag_of(opening(1, 1), 0.001)
        self.answer(tag, sent, 0.003)
        self.assertIn(self.tag_of(opening(1, 2), 0.004), HOME)


class _Try(NamedTuple):
    """An opening or an answer that arrives at a balancer."""

    at: float
    order: int
    balancer: int
    packet: FlowPacket
    tries: int


class CrashOfAFailureDomain(DomainCase):
    """Guards against callers whose three tries all meet crashed backend servers.

    The network sends each try to any balancer of the failure domain, because it has a
    port of its own. 100 requests a second; all backend servers of the failure domain
    are down for 2 s and reset what reaches them.
    """

    def run_day(self, sharing: bool) -> tuple[list[float], list[float]]:
        """Times of failed requests, and of those served at home after the restart."""
        draw = random.Random(7)
        states = [self.make_state(n) for n in range(BALANCERS)]
        for state in states:
            state.features = Features(load_sharing=sharing)
        order = count()
        events: list[_Try] = []

        def send(at: float, caller: int, tries: int) -> None:
            packet = opening(caller, tries)
            balancer = draw.randrange(BALANCERS)
            heapq.heappush(events, _Try(at, next(order), balancer, packet, tries))

        for number in range(int(END / REQUEST_INTERVAL)):
            send(number * REQUEST_INTERVAL, number + 1, 1)
        failed, home = [], []
        while events:
            at, _, balancer, packet, tries = heapq.heappop(events)
            self.state = states[balancer]
            tag = self.tag_of(packet, at)
            if not packet.is_opening:
                continue
            if tag in HOME and CRASH <= at < RESTART:
                if tries == TRIES:
                    failed.append(at)
                else:
                    send(at + RESET_TIME, packet.flow.caller, tries + 1)
                continue
            if tag in HOME and at >= RESTART:
                home.append(at)
            flow = FlowId(*packet.flow)
            reply = data(tag)._replace(flow=flow, length=0)
            answered = at + ANSWER_TIME
            heapq.heappush(events, _Try(answered, next(order), balancer, reply, 0))
        return failed, home

    def test_few_requests_fail_and_flows_return_within_a_second(self) -> None:
        before, _ = self.run_day(sharing=False)
        failed, home = self.run_day(sharing=True)
        self.assertLess(len(failed) * 10, len(before))
        later = [at for at in failed if at > CRASH + 0.5]
        self.assertLessEqual(len(later), 2)
        back = [at for at in home if at >= RESTART + PROBE_INTERVAL + 0.2]
        expected = (END - RESTART - PROBE_INTERVAL - 0.2) / REQUEST_INTERVAL
        self.assertGreater(len(back), 0.9 * expected)


if __name__ == "__main__":
    unittest.main()
