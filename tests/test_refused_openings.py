"""Openings that a backend server refuses, which only its caller sees."""

import unittest
from typing import Any
from unittest import mock

from tests.test_tag_steering import (
    DOCUMENTS,
    FORTALEZA,
    LISTENER,
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
from wasabigw.core.ids import RegionId, Seconds, Tag
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.decisions import Refuse, RefuseReason
from wasabigw.core.tags.health import FailureSignal
from wasabigw.core.tags.openings import OPENING_TIMEOUT
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.updates import apply_declaration
from wasabigw.tasks.decision_log import DecisionLog
from wasabigw.tasks.tag_metrics import families_of
from wasabigw.telemetry.events_flow import FlowEvent
from wasabigw.telemetry.exposition import render

FIRST_CALLER, SECOND_CALLER = 0x64400007, 0x64400008


def opening(caller: int, port: int, repeat: int = 0) -> FlowPacket:
    """Opening packet of one of the callers."""
    flow = FlowId(caller, port, LISTENER, 443)
    return FlowPacket(flow, Tag(0), True, False, False, repeat, 100, 0, 0)


class RefusedOpenings(SteeringCase):
    """Guards against new flows for a backend server whose host refuses them.

    The process has crashed and its host resets what arrives. The reset goes to the
    caller, which tries again at once, and the lease ends seconds later.
    """

    def setUp(self) -> None:
        super().setUp()
        self.register(boot(1), boot(2), boot(3))

    def answer(self, tag: int, port: int, now: float) -> None:
        """Let the first caller accept the answer to an opening."""
        self.decide(data(tag, port), now)

    def test_a_caller_that_tries_again_gets_another_one_each_time(self) -> None:
        tries = [self.tag_of(opening(FIRST_CALLER, n), now=n * 0.01) for n in range(3)]
        self.assertEqual(sorted(tries), [1, 2, 3])

    def test_the_last_try_is_made_even_if_all_were_tried(self) -> None:
        for port in range(3):
            self.decide(opening(FIRST_CALLER, port))
        self.assertIn(self.tag_of(opening(FIRST_CALLER, 4)), {1, 2, 3})

    def test_other_callers_avoid_it_once_the_answer_is_overdue(self) -> None:
        refusing = self.tag_of(opening(FIRST_CALLER, 1))
        later = OPENING_TIMEOUT + 0.01
        tags = [self.tag_of(opening(SECOND_CALLER, p), now=later) for p in range(9)]
        self.assertNotIn(refusing, tags)

    def test_an_answered_opening_leaves_it_in_use(self) -> None:
        tag = self.tag_of(opening(FIRST_CALLER, 1))
        self.answer(tag, 1, now=0.01)
        later = OPENING_TIMEOUT + 0.01
        tags = {self.tag_of(opening(SECOND_CALLER, p), now=later) for p in range(9)}
        self.assertEqual(tags, {1, 2, 3})

    def test_an_overdue_opening_does_not_count_if_there_was_life_since(self) -> None:
        ports = {self.tag_of(opening(FIRST_CALLER, p)): p for p in range(3)}
        for tag, port in ports.items():
            self.answer(tag, port, now=0.01)
        tag = self.tag_of(opening(SECOND_CALLER, 1), now=0.02)
        self.decide(data(tag, ports[tag], acknowledged=600), now=0.05)
        later = OPENING_TIMEOUT + 0.03
        tags = {self.tag_of(opening(SECOND_CALLER, p), now=later) for p in range(3, 9)}
        self.assertEqual(tags, {1, 2, 3})

    def test_a_probe_that_is_refused_makes_the_next_pause_longer(self) -> None:
        refusing = self.tag_of(opening(FIRST_CALLER, 1))
        for now in (0.2, 1.3, 1.5, 2.9):
            # At 1.3 s the pause is over and one new flow is a probe.
            ports = range(int(now * 100), int(now * 100) + 9)
            tags = [self.tag_of(opening(SECOND_CALLER + p, p), now) for p in ports]
            self.assertEqual(tags.count(refusing), 1 if now == 1.3 else 0, now)
            for tag, port in zip(tags, ports, strict=True):
                if tag != refusing:
                    packet = data(tag, port)
                    flow = packet.flow._replace(caller=SECOND_CALLER + port)
                    self.decide(packet._replace(flow=flow), now + 0.01)

    def test_a_whole_failure_domain_that_refuses_is_left(self) -> None:
        north = RegionId("north")
        domains = {self.state.failure_domain: north, FORTALEZA: north}
        self.state = TagState(self.state.node, self.state.failure_domain, domains)
        self.prepare()
        self.register(boot(1), boot(2), boot(3, FORTALEZA), boot(4, FORTALEZA))
        for port in range(2):
            self.decide(opening(FIRST_CALLER, port))
        tag = self.tag_of(opening(FIRST_CALLER, 3), now=0.01)
        self.assertIn(tag, {3, 4})
        self.answer(tag, 3, now=0.02)
        later = OPENING_TIMEOUT + 0.01
        tags = {self.tag_of(opening(SECOND_CALLER, p), now=later) for p in range(9)}
        self.assertEqual(tags, {3, 4})


class OtherServices(SteeringCase):
    """Guards against flows for a backend server of another service.

    A caller had an unanswered opening at one service when it opened a flow to another
    one without usable backend servers; the flow went to the first service.
    """

    def setUp(self) -> None:
        super().setUp()
        seats = Listener(
            Endpoint("198.18.0.1", 443), (ServiceShare(SEATS, 1),), Seconds(3.0)
        )
        documents = Listener(
            Endpoint("198.18.0.1", 80), (ServiceShare(DOCUMENTS, 1),), Seconds(3.0)
        )
        services = (DeclaredService(SEATS), DeclaredService(DOCUMENTS))
        apply_declaration(Declaration(2, (seats, documents), services), self.state)

    def open_documents(self, now: float) -> object:
        flow = FlowId(FIRST_CALLER, 9, LISTENER, 80)
        packet = FlowPacket(flow, Tag(0), True, False, False, 0, 100, 0, 0)
        return self.decide(packet, now)

    def test_an_opening_stays_with_its_service(self) -> None:
        self.register(boot(1))
        self.decide(opening(FIRST_CALLER, 1))
        decision = self.open_documents(now=0.05)
        assert isinstance(decision, Refuse), decision
        self.assertIs(decision.reason, RefuseReason.NO_SERVER)

    def test_one_that_drains_gets_no_repeated_opening(self) -> None:
        self.register(boot(1))
        self.decide(opening(FIRST_CALLER, 1))
        self.register(boot(1, state=RegistrationState.DRAINING))
        decision = self.decide(opening(FIRST_CALLER, 1, repeat=1), now=0.2)
        assert isinstance(decision, Refuse), decision
        self.assertIs(decision.reason, RefuseReason.NO_SERVER)


class HealthLines(SteeringCase):
    """Guards against backend servers that get no flows for a reason that no log has."""

    def lines(self, now: float) -> list[tuple[FlowEvent, dict[str, Any]]]:
        """What the log says of breakers since the last time."""
        with mock.patch("wasabigw.tasks.decision_log.log") as written:
            DecisionLog(self.state).note_health(Seconds(now))
        return [(call.args[0], dict(call.kwargs)) for call in written.call_args_list]

    def test_a_line_says_why_a_breaker_opens_and_when_it_closes(self) -> None:
        self.register(boot(1), boot(2))
        refusing = self.tag_of(opening(FIRST_CALLER, 1))
        self.decide(opening(SECOND_CALLER, 2), now=0.15)
        [(event, fields)] = self.lines(0.15)
        self.assertIs(event, FlowEvent.SERVER_DOUBTED)
        self.assertEqual(fields["server"], f"b-{refusing}")
        self.assertEqual(fields["reason"], FailureSignal.OPENING_OVERDUE.value)
        self.assertEqual((fields["failures"], fields["pause"]), (1, 1.0))
        self.assertIsNone(fields["silent_for"])
        self.decide(data(refusing, 1), now=0.4)
        [(event, fields)] = self.lines(0.4)
        self.assertIs(event, FlowEvent.SERVER_ANSWERS)
        self.assertEqual(fields["server"], f"b-{refusing}")
        self.assertEqual(self.lines(0.5), [])

    def test_repeated_openings_and_data_have_reasons_of_their_own(self) -> None:
        self.register(boot(1), boot(2))
        tag = self.tag_of(opening(FIRST_CALLER, 1))
        self.decide(opening(FIRST_CALLER, 1, repeat=1), now=0.2)
        [(_, fields)] = self.lines(0.2)
        self.assertEqual(fields["reason"], FailureSignal.OPENING_RETRANSMITTED.value)
        other = 3 - tag
        for now in (1.0, 1.2):
            self.decide(data(other, 9), now)
        [(_, fields)] = self.lines(1.2)
        self.assertEqual(fields["reason"], FailureSignal.DATA_RETRANSMITTED.value)

    def test_the_metrics_count_those_that_are_doubted(self) -> None:
        self.register(boot(1), boot(2))
        self.tag_of(opening(FIRST_CALLER, 1))
        self.decide(opening(FIRST_CALLER, 1, repeat=1), now=0.2)
        text = render(families_of(self.state, {}, {}, 0, 0, Seconds(0.3))).decode()
        expected = 'wasabigw_servers_doubted{service="seats",failure_domain="recife"} 1'
        self.assertIn(expected, text)


class FrozenBalancers(SteeringCase):
    """Guards against openings that seem refused because the balancer stood still."""

    def test_an_answer_that_waited_in_the_socket_is_read_first(self) -> None:
        self.register(boot(1), boot(2))
        tag = self.tag_of(opening(FIRST_CALLER, 1))
        self.decide(data(tag, 1), now=3.0)
        tags = {self.tag_of(opening(SECOND_CALLER, p), now=3.0) for p in range(9)}
        self.assertEqual(tags, {1, 2})
        self.assertEqual(self.state.servers[Tag(tag)].breaker.opened_at < Seconds(0), 1)


if __name__ == "__main__":
    unittest.main()
