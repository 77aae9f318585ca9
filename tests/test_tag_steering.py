"""Decisions of a balancer that delivers by tags."""

import unittest
from collections import Counter
from dataclasses import replace

from wasabigw.core.declaration import (
    Declaration,
    DeclaredService,
    Listener,
    ServiceShare,
)
from wasabigw.core.delivery_view import DeliveryView
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import (
    BackendServerId,
    FailureDomainId,
    NodeId,
    RegionId,
    Revision,
    Seconds,
    ServiceId,
    Tag,
)
from wasabigw.core.registration import Registration
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.choice.selection import service_of
from wasabigw.core.tags.decisions import (
    Deliver,
    Drop,
    DropReason,
    Receiver,
    RefusalReason,
    Refuse,
)
from wasabigw.core.tags.flow_table import expire_flows
from wasabigw.core.tags.liveness.health import record_failure
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.steering import decide
from wasabigw.core.tags.updates import apply_declaration, rebuild_pools

SEATS = ServiceId("seats")
DOCUMENTS = ServiceId("documents")
RECIFE, SALVADOR = FailureDomainId("recife"), FailureDomainId("salvador")
FORTALEZA = FailureDomainId("fortaleza")
NORTH, SOUTH = RegionId("north"), RegionId("south")
LISTENER = 0xC6120001
"""198.18.0.1"""


def boot(
    tag: int,
    domain: FailureDomainId = RECIFE,
    state: RegistrationState = RegistrationState.SERVING,
    silent: bool = False,
    cold_for: float = 0.0,
) -> Registration:
    """A boot of a backend server of the service ``seats``."""
    return Registration(
        Tag(tag),
        BackendServerId(f"b-{tag}"),
        SEATS,
        domain,
        Endpoint("10.0.0.1", 8000 + tag),
        1000,
        4,
        state,
        silent,
        Seconds(cold_for),
    )


def opening(port: int = 1, repeat: int = 0, listener_port: int = 443) -> FlowPacket:
    """Opening packet of a caller."""
    flow = FlowId(0x64400007, port, LISTENER, listener_port)
    return FlowPacket(flow, Tag(0), True, False, False, repeat, 100, 0, 0)


def data(
    tag: int,
    port: int = 1,
    closing: bool = False,
    sequence: int = 101,
    acknowledged: int = 555,
) -> FlowPacket:
    """Data packet of an open flow."""
    flow = FlowId(0x64400007, port, LISTENER, 443)
    return FlowPacket(
        flow, Tag(tag), False, closing, False, 0, sequence, acknowledged, 10
    )


class SteeringCase(unittest.TestCase):
    """A balancer in Recife with a fresh view."""

    def setUp(self) -> None:
        self.state = TagState(NodeId("balancer-1"), RECIFE)
        self.prepare()

    def prepare(self) -> None:
        """Give the balancer a fresh view with one listener."""
        self.state.view.revision = Revision(1)
        self.state.fresh_until = Seconds(1000.0)
        shares = (ServiceShare(SEATS, 1),)
        endpoint = Endpoint("198.18.0.1", 443)
        listener = Listener(endpoint, shares, Seconds(3.0))
        apply_declaration(
            Declaration(1, (listener,), (DeclaredService(SEATS),)),
            self.state,
        )

    def register(self, *boots: Registration, now: float = 0.0) -> None:
        self.state.view.boots = {boot.tag: boot for boot in boots}
        rebuild_pools(self.state, Seconds(now))

    def take_out(self, domain: FailureDomainId) -> None:
        self.state.view.out_of_service = (domain,)
        rebuild_pools(self.state, Seconds(0.0))

    def decide(self, packet: FlowPacket, now: float = 0.0) -> object:
        return decide(packet, self.state, Seconds(now))

    def tag_from(self, answering: int, packet: FlowPacket, now: float = 0.0) -> int:
        """Tag of the chosen backend server; only ``answering`` answers the opening."""
        tag = self.tag_of(packet, now)
        if tag == answering:
            self.decide(data(tag, packet.flow.caller_port), now=now + 0.01)
        return tag

    def tag_of(self, packet: FlowPacket, now: float = 0.0) -> int:
        decision = self.decide(packet, now)
        assert isinstance(decision, Deliver), decision
        return decision.server.tag


class OpenFlows(SteeringCase):
    """Guards against delivering packets of an open flow to another backend server."""

    def test_the_tag_alone_selects_the_server_of_an_unknown_flow(self) -> None:
        self.register(boot(1), boot(2))
        for tag in (1, 2):
            self.assertEqual(self.tag_of(data(tag, port=76 + tag)), tag)

    def test_open_flows_stay_on_draining_silent_and_evacuated_servers(self) -> None:
        drained = boot(1, state=RegistrationState.DRAINING)
        self.register(drained, boot(2, silent=True), boot(3, SALVADOR))
        self.take_out(SALVADOR)
        for tag in (1, 2, 3):
            self.assertEqual(self.tag_of(data(tag, port=tag)), tag)

    def test_a_packet_with_an_unknown_tag_is_dropped(self) -> None:
        self.register(boot(1))
        self.assertEqual(self.decide(data(9)), Drop(DropReason.UNKNOWN_TAG))
        self.assertEqual(self.decide(data(0)), Drop(DropReason.NO_TAG))

    def test_open_flows_stay_on_a_boot_that_another_one_replaced(self) -> None:
        # Guards against the reset of flows of a live boot: the other one had crashed
        # and was announced late. Views of earlier versions have such boots as ended.
        for replaced in (
            boot(1, state=RegistrationState.ENDED),
            boot(1, silent=True),
        ):
            self.register(replaced, boot(2))
            self.assertEqual(self.tag_of(data(1)), 1)
            found = {self.tag_of(opening(p)) for p in range(100, 120)}
            self.assertEqual(found, {2})

    def receiver_of(self, packet: FlowPacket) -> Receiver:
        decision = self.decide(packet)
        assert isinstance(decision, Deliver), decision
        return decision.receiver

    def test_whoever_runs_at_the_endpoint_answers_for_a_replaced_boot(self) -> None:
        # Guards against callers of a crashed boot that wait until they give up: the
        # boot that replaced it ignores packets that name another one.
        here = boot(2).endpoint
        for replaced in (
            boot(1, state=RegistrationState.ENDED),
            boot(1, silent=True),
        ):
            self.register(replace(replaced, endpoint=here), boot(2))
            kinds = {"data": data(1), "end": data(1, closing=True)}
            for kind, packet in kinds.items():
                with self.subTest(kind, state=replaced.state):
                    self.assertIs(self.receiver_of(packet), Receiver.ANY)
            self.assertIs(self.receiver_of(data(2, port=2)), Receiver.NAMED)

    def test_only_the_own_boot_answers_where_no_other_one_is_in_use(self) -> None:
        # Guards against packets that a boot of another service takes, and against an
        # opening that reaches two boots.
        here, away = boot(2).endpoint, Endpoint("10.0.0.99", 80)
        self.register(replace(boot(1, silent=True), endpoint=away), boot(2))
        self.assertIs(self.receiver_of(data(1)), Receiver.NAMED)
        silent = boot(2, silent=True)
        self.register(replace(boot(1, silent=True), endpoint=here), silent)
        self.assertIs(self.receiver_of(data(1)), Receiver.NAMED)
        self.register(boot(1))
        self.decide(opening(7))
        self.decide(data(1, 7))
        self.register(replace(boot(1, silent=True), endpoint=here), boot(2))
        self.assertIs(self.receiver_of(opening(7, repeat=1)), Receiver.NAMED)

    def test_nothing_is_decided_before_the_first_view(self) -> None:
        self.register(boot(1))
        self.state.view = DeliveryView()
        for packet in (opening(), data(1)):
            self.assertEqual(self.decide(packet), Drop(DropReason.NO_VIEW))


class NewFlows(SteeringCase):
    """Guards against new flows to backend servers that must not get any."""

    def test_draining_silent_and_out_of_service_servers_get_none(self) -> None:
        drained = boot(1, state=RegistrationState.DRAINING)
        self.register(drained, boot(2, silent=True), boot(3, SALVADOR))
        self.assertEqual({self.tag_of(opening(p)) for p in range(20)}, {3})
        self.take_out(SALVADOR)
        packet = opening(99)
        refused = Refuse(packet, RefusalReason.NO_SERVER)
        self.assertEqual(self.decide(packet), refused)

    def test_a_cold_server_gets_none_while_a_warm_one_is_available(self) -> None:
        self.register(boot(1), boot(2, cold_for=2.0))
        self.assertEqual({self.tag_from(1, opening(p)) for p in range(20)}, {1})
        later = {self.tag_of(opening(p), now=2.5) for p in range(20, 60)}
        self.assertEqual(later, {1, 2})

    def test_new_flows_stay_in_the_failure_domain_and_are_spread(self) -> None:
        self.register(boot(1), boot(2), boot(3, SALVADOR))
        tags = Counter(self.tag_of(opening(p)) for p in range(20))
        self.assertEqual(tags, {1: 10, 2: 10})

    def open_many(self, count: int) -> Counter[int]:
        """Open flows, close none and count them by backend server."""
        return Counter(self.tag_of(opening(p)) for p in range(count))

    def test_a_failure_domain_with_few_slots_sends_excess_flows_elsewhere(self) -> None:
        # Guards against equal parts for unequal failure domains: the single backend
        # server here would get as many flows as the three in Salvador and queue them.
        self.state.regions = {RECIFE: NORTH, SALVADOR: NORTH, FORTALEZA: NORTH}
        self.register(boot(1), *(boot(n, SALVADOR) for n in (2, 3, 4)))
        self.assertEqual(self.open_many(80), {1: 62, 2: 6, 3: 6, 4: 6})

    def test_a_failure_domain_without_slots_uses_those_with_a_surplus(self) -> None:
        self.state.regions = {RECIFE: NORTH, SALVADOR: NORTH, FORTALEZA: NORTH}
        fortaleza = (boot(n, FORTALEZA) for n in (2, 3, 4))
        self.register(boot(1, SALVADOR), *fortaleza)
        self.assertEqual(self.open_many(30), {2: 10, 3: 10, 4: 10})

    def test_a_small_difference_in_slots_moves_no_flows(self) -> None:
        self.state.regions = {RECIFE: NORTH, SALVADOR: NORTH}
        self.register(
            *(boot(n) for n in (1, 2)), *(boot(n, SALVADOR) for n in (3, 4, 5))
        )
        self.assertEqual(self.open_many(20), {1: 10, 2: 10})

    def test_another_region_is_used_only_if_the_own_one_has_none(self) -> None:
        self.state.regions = {RECIFE: NORTH, SALVADOR: SOUTH, FORTALEZA: NORTH}
        salvador = [boot(n, SALVADOR) for n in (2, 3, 4, 5)]
        self.register(boot(1), *salvador)
        self.assertEqual(self.open_many(10), {1: 10})
        self.register(*salvador)
        self.assertEqual(set(self.open_many(10)), {2, 3, 4, 5})

    def test_balancers_with_few_flows_choose_different_backend_servers(self) -> None:
        # Guards against one tie-breaking order for all balancers: after a power loss in
        # all VMs, thirty balancers sent all flows to the first ten backend servers.
        boots = [boot(tag) for tag in range(1, 31)]
        chosen: Counter[int] = Counter()
        for number in range(30):
            self.state = TagState(NodeId(f"balancer-{number}"), RECIFE)
            self.prepare()
            self.register(*boots)
            chosen.update(self.open_many(2))
        self.assertGreater(len(chosen), 20)
        self.assertLess(max(chosen.values()), 9)

    def test_more_slots_take_more_flows(self) -> None:
        self.register(replace(boot(1), slots=12), boot(2))
        self.assertEqual(self.open_many(16), {1: 12, 2: 4})

    def test_an_unknown_listener_is_refused_only_with_a_fresh_view(self) -> None:
        self.register(boot(1))
        packet = opening(listener_port=80)
        refused = Refuse(packet, RefusalReason.NO_LISTENER)
        self.assertEqual(self.decide(packet), refused)
        dropped = Drop(DropReason.UNSURE_OF_LISTENER)
        self.assertEqual(self.decide(packet, now=1001.0), dropped)

    def test_copies_read_at_the_same_moment_reach_one_server(self) -> None:
        # A balancer that was suspended reads the opening and its copies together, and
        # two backend servers would both answer.
        self.register(boot(1), boot(2))
        first = self.tag_of(opening(), now=1.0)
        self.decide(data(first, port=2), now=1.001)
        self.assertEqual(self.tag_of(opening(repeat=1), now=1.002), first)
        self.assertEqual(self.tag_of(opening(repeat=2), now=1.003), first)

    def test_a_retransmitted_opening_of_an_open_flow_keeps_its_server(self) -> None:
        self.register(boot(1), boot(2))
        first = self.tag_of(opening())
        self.decide(data(first), now=0.1)
        self.assertEqual(self.tag_of(opening(repeat=1), now=0.2), first)

    def fail_first(self) -> None:
        """Leave an opening to the first backend server and a copy unanswered."""
        self.register(boot(1), boot(2))
        self.assertEqual(self.tag_of(opening(1)), 1)
        self.assertEqual(self.tag_of(opening(1, repeat=1), now=0.2), 1)
        self.assertEqual(self.tag_from(2, opening(1, repeat=2), now=0.6), 2)

    def test_a_server_that_does_not_answer_gets_no_new_flows(self) -> None:
        self.fail_first()
        tags = {self.tag_of(opening(p), now=0.7) for p in range(10, 20)}
        self.assertEqual(tags, {2})

    def test_if_none_answers_warm_ones_come_before_cold_ones(self) -> None:
        self.register(boot(1, cold_for=60.0), boot(2))
        for tag in (1, 2):
            breaker = self.state.servers[Tag(tag)].breaker
            record_failure(breaker, Seconds(1.0), Seconds(1.0))
        tags = {self.tag_of(opening(port), now=1.1) for port in range(1, 9)}
        self.assertEqual(tags, {2})

    def test_it_gets_a_single_probe_after_the_backoff(self) -> None:
        self.fail_first()
        tags = [self.tag_from(2, opening(p), now=1.3) for p in range(10, 20)]
        self.assertEqual(tags.count(1), 1)
        # The probe fails as well, so the next backoff is longer.
        port = 10 + tags.index(1)
        self.assertEqual(self.tag_from(2, opening(port, repeat=1), now=1.5), 2)
        tags = [self.tag_of(opening(p), now=3.0) for p in range(20, 30)]
        self.assertNotIn(1, tags)

    def acknowledge(self, tag: int, now: float) -> None:
        """Let a caller acknowledge something new from a backend server."""
        self.decide(data(tag, port=50), now=now)
        self.decide(data(tag, port=50, acknowledged=600), now=now)

    def test_a_response_closes_its_breaker(self) -> None:
        self.fail_first()
        self.acknowledge(1, now=0.7)
        tags = {self.tag_of(opening(p), now=0.8) for p in range(20, 40)}
        self.assertEqual(tags, {1, 2})

    def test_a_retransmission_does_not_count_as_a_response(self) -> None:
        self.register(boot(1), boot(2))
        self.decide(data(1, port=50))
        self.decide(data(2, port=51))
        self.assertEqual(self.tag_of(opening(1), now=0.1), 1)
        self.decide(data(1, port=50), now=0.2)
        self.assertEqual(self.tag_from(2, opening(1, repeat=1), now=0.3), 2)
        tags = {self.tag_of(opening(p), now=0.4) for p in range(20, 40)}
        self.assertEqual(tags, {2})

    def test_the_first_packet_of_an_unknown_flow_is_no_response(self) -> None:
        # A balancer that crashed with the backend server leaves such flows behind.
        self.fail_first()
        self.decide(data(1, port=50), now=0.7)
        tags = {self.tag_of(opening(p), now=0.8) for p in range(20, 40)}
        self.assertEqual(tags, {2})

    def test_a_lost_opening_does_not_count_after_a_later_response(self) -> None:
        self.register(boot(1), boot(2))
        self.decide(opening(1))
        self.acknowledge(1, now=0.1)
        self.assertEqual(self.tag_of(opening(1, repeat=1), now=0.2), 1)
        tags = {self.tag_of(opening(p), now=0.3) for p in range(20, 40)}
        self.assertEqual(tags, {1, 2})

    def test_servers_with_an_open_breaker_are_used_if_there_is_no_other(self) -> None:
        self.register(boot(1))
        self.decide(opening(1))
        self.assertEqual(self.tag_of(opening(1, repeat=1), now=0.2), 1)
        self.assertEqual(self.tag_of(opening(2), now=0.3), 1)

    def test_the_service_depends_only_on_the_flow_and_the_weights(self) -> None:
        shares = (ServiceShare(SEATS, 90), ServiceShare(DOCUMENTS, 10))
        listener = Listener(Endpoint("198.18.0.1", 443), shares, Seconds(3.0))
        flows = [opening(port).flow for port in range(2000)]
        chosen = [service_of(listener, flow) for flow in flows]
        self.assertEqual(chosen, [service_of(listener, flow) for flow in flows])
        part = chosen.count(DOCUMENTS) / len(chosen)
        self.assertAlmostEqual(part, 0.1, delta=0.03)


class FlowCount(SteeringCase):
    """Guards against counting flows that have ended."""

    def test_closed_and_idle_flows_are_not_counted(self) -> None:
        self.register(boot(1))
        for port in range(3):
            self.decide(opening(port))
        self.decide(data(1, port=0, closing=True), now=1.0)
        self.decide(data(1, port=1), now=10.0)
        self.assertEqual(self.state.servers[Tag(1)].open_flows, 2)
        expire_flows(self.state, Seconds(16.0))
        self.assertEqual(self.state.servers[Tag(1)].open_flows, 1)


class Declarations(SteeringCase):
    """Guards against replacing a configuration by an older one."""

    def test_an_older_declaration_is_ignored(self) -> None:
        apply_declaration(Declaration(3, (), ()), self.state)
        self.assertEqual(self.state.listeners, {})
        listener = Listener(Endpoint("198.18.0.1", 80), (), Seconds(1.0))
        apply_declaration(Declaration(2, (listener,), ()), self.state)
        self.assertEqual(self.state.listeners, {})


if __name__ == "__main__":
    unittest.main()
