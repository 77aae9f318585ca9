"""Open flows of live backend servers, in the model of callers and backend servers."""

import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from unittest import mock

from hypothesis import HealthCheck, Phase, given, settings

from wasabigw.core.commands import BootAnnounced
from wasabigw.core.ids import Seconds, Tag
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags import steering
from wasabigw.core.tags.decisions import (
    Deliver,
    PacketDecision,
    RefusalReason,
    Refuse,
)
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import TagState
from wasabigw_verify.evidence_model import (
    balancers,
    cases,
    opening_cases,
    reference_cases,
    troubles,
)
from wasabigw_verify.evidence_model.callers import TagTaken
from wasabigw_verify.evidence_model.judge import Contact, Fault, Finding, Judge
from wasabigw_verify.evidence_model.large_worlds import large_scenarios
from wasabigw_verify.evidence_model.registry import Registrations
from wasabigw_verify.evidence_model.runs import run
from wasabigw_verify.evidence_model.scenario import Scenario, with_tags
from wasabigw_verify.evidence_model.strategies import scenarios

Decide = Callable[[FlowPacket, TagState, Seconds, Seconds], PacketDecision]
any_scenario = settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    database=None,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
"""Without shrinking, which ``python -m wasabigw_verify.evidence_model`` does."""


def findings(scenario: Scenario, *faults: Fault) -> list[Finding]:
    """Findings of these faults in a scenario; of all faults, if none is given."""
    found = run(scenario).findings
    return [f for f in found if not faults or f.fault in faults]


class AnyScenario(unittest.TestCase):
    """Guards against a live backend server whose flows are reset or go elsewhere."""

    @any_scenario
    @given(scenarios)
    def test_no_live_server_counts_as_lost(self, scenario: Scenario) -> None:
        self.assertEqual(findings(scenario, Fault.LOST), [])

    @any_scenario
    @given(scenarios)
    def test_no_packet_of_an_open_flow_is_refused(self, scenario: Scenario) -> None:
        self.assertEqual(findings(scenario, Fault.REFUSED), [])

    @any_scenario
    @given(scenarios)
    def test_no_open_flow_is_sent_elsewhere(self, scenario: Scenario) -> None:
        found = findings(scenario, Fault.STEERED, Fault.FOREIGN_RESET)
        self.assertEqual(found, [])

    @settings(any_scenario, max_examples=40)
    @given(large_scenarios)
    def test_larger_worlds(self, scenario: Scenario) -> None:
        self.assertEqual(findings(scenario), [])

    @any_scenario
    @given(scenarios)
    def test_a_late_answer_moves_no_flow(self, drawn: Scenario) -> None:
        # Guards against two servers that answer copies of one opening (review/11).
        scenario = with_tags(drawn, TagTaken.LATEST)
        found = findings(scenario, Fault.STEERED, Fault.FOREIGN_RESET)
        self.assertEqual(found, [])

    @any_scenario
    @given(scenarios)
    def test_no_planned_stop_loses_packets(self, scenario: Scenario) -> None:
        self.assertEqual(findings(scenario, Fault.DROPPED_AT_STOP), [])


class Regressions(unittest.TestCase):
    """Guards against a balancer that takes delays or losses for a lost server."""

    def test_requests_that_wait_for_a_slot(self) -> None:
        self.assertEqual(findings(cases.REQUESTS_WAIT_FOR_SLOTS), [])

    def test_packets_dropped_because_the_link_is_full(self) -> None:
        self.assertEqual(findings(cases.LINK_IS_FULL), [])

    def test_packets_that_wait_before_the_decision(self) -> None:
        self.assertEqual(findings(cases.PACKETS_WAIT_BEFORE_DECISION), [])

    def test_packets_lost_in_the_receive_buffer(self) -> None:
        self.assertEqual(findings(cases.RECEIVE_BUFFER_OVERFLOWS), [])

    def test_packets_that_can_not_be_sent(self) -> None:
        self.assertEqual(findings(cases.SENDING_FAILS), [])

    def test_suspended_balancer(self) -> None:
        self.assertEqual(findings(cases.BALANCER_IS_SUSPENDED), [])

    def test_live_boot_that_is_registered_as_ended(self) -> None:
        with live_boots_end_as_they_drain():
            self.assertEqual(findings(cases.DRAIN), [])

    def test_restart_under_the_same_id(self) -> None:
        self.assertEqual(findings(cases.RESTART_BETWEEN_VIEWS), [])

    def test_planned_stop_while_packets_wait_for_the_link(self) -> None:
        self.assertEqual(findings(cases.PLANNED_STOP), [])


class DelayedCopies(unittest.TestCase):
    """Guards against a refusal of a first copy that other copies have overtaken."""

    def test_first_copy_that_is_delayed_on_its_way(self) -> None:
        self.assertEqual(findings(opening_cases.DELAYED_FIRST_COPY), [])


class DrainingServers(unittest.TestCase):
    """Guards against a check that ends by refusals before the drain is known."""

    def test_a_server_that_stops_accepting_as_it_drains(self) -> None:
        self.assertEqual(findings(reference_cases.DRAINS_BEFORE_VIEW), [])


def lost_by_inference() -> Decide:
    """Decide as before, but refuse each packet of data that is seen again."""
    seen: set[tuple[FlowId, int]] = set()

    def decide(
        packet: FlowPacket, state: TagState, now: Seconds, waited: Seconds
    ) -> PacketDecision:
        key = packet.flow, packet.sequence
        if packet.length and key in seen:
            return Refuse(packet, RefusalReason.SERVER_LOST)
        if packet.length:
            seen.add(key)
        return steering.decide(packet, state, now, waited)

    return decide


def steered_as_new(
    packet: FlowPacket, state: TagState, now: Seconds, waited: Seconds
) -> PacketDecision:
    """Decide as before, but choose a server for packets of flows that are not known."""
    if not packet.is_opening and packet.flow not in state.flows:
        others = [s for tag, s in state.servers.items() if tag != packet.tag]
        return Deliver(packet, others[0].registration)
    return steering.decide(packet, state, now, waited)


def refused_as_new(
    packet: FlowPacket, state: TagState, now: Seconds, waited: Seconds
) -> PacketDecision:
    """Decide as before, but refuse copies of openings."""
    if packet.is_opening and packet.repeat:
        return Refuse(packet, RefusalReason.NO_SERVER)
    return steering.decide(packet, state, now, waited)


def refused_as_ended(
    packet: FlowPacket, state: TagState, now: Seconds, waited: Seconds
) -> PacketDecision:
    """Decide as before, but refuse packets for boots that are registered as ended."""
    server = state.servers.get(packet.tag)
    if server and server.registration.state is RegistrationState.ENDED:
        return Refuse(packet, RefusalReason.NO_SERVER)
    return steering.decide(packet, state, now, waited)


@contextmanager
def live_boots_end_as_they_drain() -> Iterator[None]:
    """Register boots as ended that live and drain."""
    announce = Registrations.announce

    def announce_and_end(registrations: Registrations, report: BootAnnounced) -> None:
        announce(registrations, report)
        if report.draining:
            registrations.end(report)

    with mock.patch.object(Registrations, "announce", announce_and_end):
        yield


class PlantedFaults(unittest.TestCase):
    """Guards against a judge that does not see a fault."""

    def planted(self, decide: Decide, scenario: Scenario) -> set[Fault]:
        """Faults that are found while balancers decide otherwise."""
        with mock.patch.object(balancers, "decide", decide):
            return {finding.fault for finding in run(scenario).findings}

    def test_lost_by_inference(self) -> None:
        found = self.planted(lost_by_inference(), cases.LOSSES)
        self.assertEqual(found, {Fault.LOST})

    def test_ended_by_registration(self) -> None:
        with live_boots_end_as_they_drain():
            found = self.planted(refused_as_ended, cases.DRAIN)
        self.assertEqual(found, {Fault.REFUSED})

    def test_steered_as_new(self) -> None:
        found = self.planted(steered_as_new, cases.MOVED_FLOWS)
        self.assertEqual(found, {Fault.FOREIGN_RESET})

    def test_steered_as_new_while_no_reset_arrives(self) -> None:
        found = self.planted(steered_as_new, cases.MOVED_FLOWS_WITHOUT_RESETS)
        self.assertEqual(found, {Fault.STEERED})

    def test_refused_as_new(self) -> None:
        found = self.planted(refused_as_new, cases.LATE_ANSWERS)
        self.assertIn(Fault.REFUSED, found)

    def test_packets_dropped_at_a_planned_stop(self) -> None:
        stop = mock.patch.object(
            balancers.BalancerNode, "stop", balancers.BalancerNode.exit
        )
        with stop, mock.patch.object(troubles, "LEAVE_BEFORE_STOP", 0.0):
            found = {finding.fault for finding in run(cases.PLANNED_STOP).findings}
        self.assertEqual(found, {Fault.DROPPED_AT_STOP})


class SteeringSpan(unittest.TestCase):
    """Guards against a judge that counts copies at another server beside own packets.

    Rule FLOW is broken by three packets elsewhere and none at the own server for 2 s.
    """

    def judge_of(self, own: tuple[float, ...], elsewhere: tuple[float, ...]) -> Judge:
        """Judge of a flow whose packets reached servers at some times."""
        judge = Judge(lambda boot, now: Contact.IN_TOUCH, 3.0)
        flow = FlowId(1, 2, 3, 4)
        judge.flow_opened(flow, 0, 1, 0.0)
        arrivals = sorted([(at, 1) for at in own] + [(at, 2) for at in elsewhere])
        for at, boot in arrivals:
            packet = FlowPacket(flow, Tag(boot), False, False, False, 0, 1, 1, 600)
            judge.packet_reached(packet, boot, at)
        judge.end(5.0)
        return judge

    def test_copies_elsewhere_between_own_packets(self) -> None:
        judge = self.judge_of((1.0, 2.0, 3.0, 4.0), (2.1, 2.1, 2.1))
        self.assertEqual(judge.findings, [])

    def test_copies_elsewhere_and_no_own_packet(self) -> None:
        judge = self.judge_of((1.0, 3.1), (2.1, 2.3, 2.5))
        self.assertEqual([f.fault for f in judge.findings], [Fault.STEERED])


class Runs(unittest.TestCase):
    """Guards against a model in which nothing happens, or not the same each time."""

    def test_a_calm_run_serves_all_flows(self) -> None:
        outcome = run(cases.CALM)
        self.assertEqual((outcome.served, outcome.failed), (8, 0))
        self.assertEqual(outcome.findings, ())

    @settings(any_scenario, max_examples=10)
    @given(scenarios)
    def test_a_run_can_be_repeated(self, scenario: Scenario) -> None:
        self.assertEqual(run(scenario).trace, run(scenario).trace)


class DeadServers(unittest.TestCase):
    """Guards against callers that spend their budget waiting for a server that is gone.

    Their requests wait for an answer, so that retransmissions show the loss. Before
    issue 33, a flow was reset at the second retransmission of its data at the latest.
    """

    def test_lost_host(self) -> None:
        self.check_reasons(cases.HOST_IS_LOST)

    def test_host_that_refuses_connections(self) -> None:
        self.check_reasons(cases.SERVER_DIES)

    def check_reasons(self, scenario: Scenario) -> None:
        freed = run(scenario).freed
        self.assertGreater(len(freed), 0)
        reasons = {caller.reason for caller in freed}
        self.assertEqual(reasons, {"reset by balancer-0, server-lost"})


if __name__ == "__main__":
    unittest.main()
