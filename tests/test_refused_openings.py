"""Openings that a host refuses with a reset, which the balancer does not see."""

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
from wasabigw.core.tags.decisions import (
    Drop,
    DropReason,
    RefusalReason,
    Refuse,
)
from wasabigw.core.tags.liveness.health import FailureSignal
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
    """Opening packet of a caller."""
    flow = FlowId(caller, port, LISTENER, 443)
    return FlowPacket(flow, Tag(0), True, False, False, repeat, 100, 0, 0)


class RefusedOpenings(SteeringCase):
    """Guards against new flows to a backend server whose process has crashed.

    Its host replies with a reset, which goes to the caller only. The caller retries at
    once, but the lease of the backend server ends seconds later.
    """

    def setUp(self) -> None:
        super().setUp()
        self.register(boot(1), boot(2), boot(3))

    def answer(self, tag: int, port: int, now: float) -> None:
        """Let the first caller acknowledge the answer to an opening."""
        self.decide(data(tag, port), now)

    def test_each_retry_of_a_caller_goes_to_another_backend_server(self) -> None:
        tries = [self.tag_of(opening(FIRST_CALLER, n), now=n * 0.01) for n in range(3)]
        self.assertEqual(sorted(tries), [1, 2, 3])

    def test_a_retry_is_delivered_even_if_all_servers_were_tried(self) -> None:
        for port in range(3):
            self.decide(opening(FIRST_CALLER, port))
        self.assertIn(self.tag_of(opening(FIRST_CALLER, 4)), {1, 2, 3})

    def test_other_callers_avoid_it_once_the_answer_is_overdue(self) -> None:
        refusing = self.tag_of(opening(FIRST_CALLER, 1))
        later = OPENING_TIMEOUT + 0.01
        tags = [self.tag_of(opening(SECOND_CALLER, p), now=later) for p in range(9)]
        self.assertNotIn(refusing, tags)

    def test_an_only_server_may_be_silent_for_any_time(self) -> None:
        # After 1,024 failures in a row the backoff exceeded the range of a float, and
        # the exception ended the packet task.
        self.register(boot(1))
        for number in range(1100):
            packet = opening(SECOND_CALLER, number)
            self.assertEqual(self.tag_of(packet, now=number * 0.2), 1)

    def test_a_server_that_answered_an_opening_stays_in_use(self) -> None:
        tag = self.tag_of(opening(FIRST_CALLER, 1))
        self.answer(tag, 1, now=0.01)
        later = OPENING_TIMEOUT + 0.01
        tags = {self.tag_of(opening(SECOND_CALLER, p), now=later) for p in range(9)}
        self.assertEqual(tags, {1, 2, 3})

    def test_an_overdue_opening_does_not_count_after_a_later_response(self) -> None:
        ports = {self.tag_of(opening(FIRST_CALLER, p)): p for p in range(3)}
        for tag, port in ports.items():
            self.answer(tag, port, now=0.01)
        tag = self.tag_of(opening(SECOND_CALLER, 1), now=0.02)
        self.decide(data(tag, ports[tag], acknowledged=600), now=0.05)
        later = OPENING_TIMEOUT + 0.03
        tags = {self.tag_of(opening(SECOND_CALLER, p), now=later) for p in range(3, 9)}
        self.assertEqual(tags, {1, 2, 3})

    def test_a_refused_probe_makes_the_next_backoff_longer(self) -> None:
        refusing = self.tag_of(opening(FIRST_CALLER, 1))
        for now in (0.2, 1.3, 1.5, 2.9):
            # At 1.3 s the backoff is over and one new flow is a probe.
            ports = range(int(now * 100), int(now * 100) + 9)
            tags = [self.tag_of(opening(SECOND_CALLER + p, p), now) for p in ports]
            self.assertEqual(tags.count(refusing), 1 if now == 1.3 else 0, now)
            for tag, port in zip(tags, ports, strict=True):
                if tag != refusing:
                    packet = data(tag, port)
                    flow = packet.flow._replace(caller=SECOND_CALLER + port)
                    self.decide(packet._replace(flow=flow), now + 0.01)

    def test_a_failure_domain_where_all_servers_refuse_gets_no_flows(self) -> None:
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
    """Guards against delivering a flow to a backend server of another service.

    It happened if the caller had an unanswered opening at that service and its own
    service had no backend server that accepts new flows.
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
        self.assertIs(decision.reason, RefusalReason.NO_SERVER)

    def test_a_draining_server_gets_no_retransmitted_opening(self) -> None:
        self.register(boot(1))
        self.decide(opening(FIRST_CALLER, 1))
        self.register(boot(1, state=RegistrationState.DRAINING))
        decision = self.decide(opening(FIRST_CALLER, 1, repeat=1), now=0.2)
        # No reset either: the first copy may have opened the flow.
        self.assertEqual(decision, Drop(DropReason.MAY_BE_OPEN))


class HealthLines(SteeringCase):
    """Guards against backend servers that get no flows without a logged reason."""

    def lines(self, now: float) -> list[tuple[FlowEvent, dict[str, Any]]]:
        """Log events on circuit breakers since the last call."""
        with mock.patch("wasabigw.tasks.decision_log.log") as written:
            DecisionLog(self.state).log_health_changes(Seconds(now))
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

    def test_retransmitted_openings_and_data_have_different_reasons(self) -> None:
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

    def test_the_metrics_count_servers_with_an_open_breaker(self) -> None:
        self.register(boot(1), boot(2))
        self.tag_of(opening(FIRST_CALLER, 1))
        self.decide(opening(FIRST_CALLER, 1, repeat=1), now=0.2)
        text = render(families_of(self.state, {}, {}, 0, 0, Seconds(0.3))).decode()
        expected = 'wasabigw_servers_doubted{service="seats",failure_domain="recife"} 1'
        self.assertIn(expected, text)


class FrozenBalancers(SteeringCase):
    """Guards against openings that count as overdue because the balancer was frozen."""

    def test_an_answer_queued_in_the_socket_buffer_is_handled_first(self) -> None:
        self.register(boot(1), boot(2))
        tag = self.tag_of(opening(FIRST_CALLER, 1))
        self.decide(data(tag, 1), now=3.0)
        tags = {self.tag_of(opening(SECOND_CALLER, p), now=3.0) for p in range(9)}
        self.assertEqual(tags, {1, 2})
        self.assertEqual(self.state.servers[Tag(tag)].breaker.opened_at < Seconds(0), 1)


if __name__ == "__main__":
    unittest.main()
