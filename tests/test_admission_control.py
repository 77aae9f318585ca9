"""Openings of services that are short of room, decided without a network."""

import math
import unittest
from collections import Counter
from dataclasses import replace
from unittest import mock

from tests.test_tag_steering import (
    LISTENER,
    NORTH,
    RECIFE,
    SALVADOR,
    SEATS,
    SOUTH,
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
from wasabigw.core.ids import NodeId, Revision, Seconds, Tag
from wasabigw.core.load.figures import ServerFigures, ServiceFigures
from wasabigw.core.load.known import KnownLoad
from wasabigw.core.rates import RecentSum, TokenBucket, refill, take_token
from wasabigw.core.requirements import Priority, Requirements
from wasabigw.core.tags.admission import shortage
from wasabigw.core.tags.admission.admission_control import (
    MAX_HOLD_TIME,
    expire_openings,
    hold_opening,
    make_held_opening,
    release_openings,
    time_to_release_held,
    update_services,
)
from wasabigw.core.tags.admission.admission_state import (
    AdmissionCount,
    AnswerCounts,
    ServiceAdmission,
    ShortageCause,
)
from wasabigw.core.tags.admission.capacity_share import capacity_of
from wasabigw.core.tags.admission.held_openings import MAX_HELD
from wasabigw.core.tags.admission.rejections import rejected_share
from wasabigw.core.tags.admission.room import room_of
from wasabigw.core.tags.choice.plans import Room
from wasabigw.core.tags.decisions import (
    ChoiceReason,
    Deliver,
    Drop,
    DropReason,
    Hold,
    RefusalReason,
    Refuse,
)
from wasabigw.core.tags.features import Features
from wasabigw.core.tags.opening_steering import decide_released
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.steering import decide
from wasabigw.core.tags.updates import apply_declaration, rebuild_pools
from wasabigw.tasks.admission_log import log_shortage_changes
from wasabigw.tasks.tag_metrics import families_of
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.exposition import render

URGENT, OTHER = 443, 80
"""Ports of the listeners with priority 0 and 1."""
OPEN_FLOW = 0
"""Stands for requests on an open flow, which pass no listener."""
REJECTED = 0.2
"""Share of rejected requests."""
CAPACITY = 40.0
"""Requests a second that backend servers answer."""


def full(capacity: float = CAPACITY, wait: float = 0.5) -> Room:
    """Room of a service whose backend servers reject requests."""
    rate = capacity / (1.0 - REJECTED)
    return Room(utilization=5.0, wait=Seconds(wait), free_slots=0.0, service_rate=rate)


FULL = full()
WITH_ROOM = Room(0.5, Seconds(0.0), 4.0, 40.0)
OBJECTIVE = Seconds(0.6)
TIMEOUT = Seconds(3.0)


def listener(port: int, priority: int | None) -> Listener:
    """A listener of the only service."""
    needs = None if priority is None else Requirements(Priority(priority), OBJECTIVE)
    shares = (ServiceShare(SEATS, 1),)
    return Listener(Endpoint("198.18.0.1", port), shares, TIMEOUT, needs)


def opening(port: int, number: int, caller: int = 7, repeat: int = 0) -> FlowPacket:
    """Opening of a caller at the listener of a port."""
    flow = FlowId(caller, number, LISTENER, port)
    return FlowPacket(flow, Tag(0), True, False, False, repeat, 100, 0, 0)


class AdmissionCase(unittest.TestCase):
    """A balancer before two busy backend servers, with room as the test sets it."""

    def setUp(self) -> None:
        self.room: Room | None = FULL
        self.rejected: float | None = REJECTED
        for name, function in (
            ("room_of", self.room_of),
            ("rejected_share", self.rejected_share),
        ):
            patched = mock.patch.object(shortage, name, function)
            patched.start()
            self.addCleanup(patched.stop)
        self.state = TagState(NodeId("balancer-1"), RECIFE)
        self.state.view.revision = Revision(1)
        self.state.fresh_until = Seconds(1000.0)
        self.state.view.boots = {Tag(tag): boot(tag) for tag in (1, 2)}
        rebuild_pools(self.state, Seconds(0.0))
        self.set_in_flight(1, 2)
        self.numbers = iter(range(1, 65536))
        self.served = TokenBucket(rate=math.inf)
        self.sent = self.acknowledged = 0
        self.declare(1, listener(URGENT, 0), listener(OTHER, 1))

    def room_of(self, *_: object) -> Room | None:
        """Room of the service at this moment."""
        return self.room

    def rejected_share(self, answers: AnswerCounts, now: Seconds) -> float:
        """Share of rejected requests: as set, or by the answers if ``None`` is set."""
        if self.rejected is not None:
            return self.rejected if self.room is not WITH_ROOM else 0.0
        return rejected_share(answers, now)

    def set_in_flight(self, *tags: int) -> None:
        """Let figures name backend servers with requests in flight."""
        figures = (ServerFigures(Tag(t), 9, 9, 9, 9, Seconds(1.0)) for t in tags)
        self.state.known_load.servers = {f.tag: f for f in figures}

    def declare(self, version: int, *listeners: Listener) -> None:
        services = (DeclaredService(SEATS),)
        apply_declaration(Declaration(version, listeners, services), self.state)

    def open(
        self,
        port: int,
        now: float,
        caller: int = 7,
        packet: FlowPacket | None = None,
        size: int | None = None,
    ) -> object:
        """Decide on an opening, which is held or answered by that decision."""
        if packet is None:
            packet = opening(port, next(self.numbers), caller)
        decision = decide(packet, self.state, Seconds(now))
        if isinstance(decision, Hold):
            hold_opening(decision.opening, self.state)
        elif isinstance(decision, Deliver):
            self.answer(packet, decision, now, size)
        return decision

    def answer(
        self,
        packet: FlowPacket,
        opened: Deliver,
        now: float,
        size: int | None = None,
    ) -> None:
        """Let a caller acknowledge the answer to its opening and to a request."""
        if size is None:
            size = self.answer_size(now)
        sent = data(opened.server.tag)._replace(flow=packet.flow)
        acknowledged = sent._replace(acknowledged=555 + size, length=0)
        decide(sent, self.state, Seconds(now))
        decide(acknowledged, self.state, Seconds(now + 0.15))

    def answer_size(self, now: float) -> int:
        """Bytes of the next answer; few if more come than backend servers answer."""
        refill(self.served, self.served.rate, Seconds(now))
        return 2000 if take_token(self.served) else 120

    def send_on_open_flow(self, now: float) -> None:
        """Send a request, which acknowledges the answer to the one before."""
        self.sent += 10
        self.acknowledged += self.answer_size(now)
        sent = data(1, 9, sequence=self.sent, acknowledged=self.acknowledged)
        decide(sent, self.state, Seconds(now))

    def release(self, now: float) -> list[FlowId]:
        """Release what is due; returns the flows that were delivered."""
        expire_openings(self.state, Seconds(now))
        released = release_openings(self.state, Seconds(now))
        for held in released:
            decision = decide_released(held, self.state, Seconds(now))
            assert isinstance(decision, Deliver), decision
            self.answer(held.packet, decision, now)
        return [held.packet.flow for held in released]

    def demand(
        self, rates: dict[int, float], start: float, seconds: float
    ) -> Counter[tuple[int, str]]:
        """Openings at given rates of ports; returns outcomes by port.

        A held opening counts by what became of it.
        """
        found: Counter[tuple[int, str]] = Counter()
        due = dict.fromkeys(rates, start)
        for step in range(round(seconds * 200)):
            now = start + step / 200
            found.update((f.listener_port, "Deliver") for f in self.release(now))
            for port, rate in rates.items():
                while due[port] <= now:
                    due[port] += 1.0 / rate
                    if port == OPEN_FLOW:
                        self.send_on_open_flow(now)
                        continue
                    caller = next(self.numbers)
                    found[port, type(self.open(port, now, caller)).__name__] += 1
        return found

    def count(self, event: AdmissionCount) -> int:
        counts = self.state.admission.counts
        return sum(n for key, n in counts.items() if key.event is event)


class WithoutShortage(AdmissionCase):
    """Guards against limits where nobody asked for them or nothing is known."""

    def assert_all_admitted(self) -> None:
        found = self.demand({URGENT: 50, OTHER: 200}, 0.0, 1.0)
        self.assertEqual({outcome for _, outcome in found}, {"Deliver"})

    def test_no_figures(self) -> None:
        self.room = None
        self.assert_all_admitted()

    def test_a_balancer_that_has_just_started(self) -> None:
        # Also one behind a cut: its figures have expired.
        self.state.known_load = KnownLoad()
        with mock.patch("wasabigw.core.tags.admission.shortage.room_of", room_of):
            self.assert_all_admitted()

    def test_no_requirements(self) -> None:
        self.declare(2, listener(URGENT, None), listener(OTHER, None))
        self.assert_all_admitted()
        self.assertEqual(self.state.admission.services, {})

    def test_switched_off(self) -> None:
        self.state.features = Features(admission_control=False)
        self.assert_all_admitted()

    def test_queues_that_callers_can_bear(self) -> None:
        self.room = full(wait=OBJECTIVE / 5)
        self.assert_all_admitted()

    def test_requests_that_wait_for_links(self) -> None:
        # They count as in flight, so that idle backend servers seem to be full.
        self.rejected = 0.0
        self.assert_all_admitted()

    def test_an_idle_server(self) -> None:
        # Guards against refusals by old figures while a backend server has no request.
        self.set_in_flight(1)
        self.assert_all_admitted()


class Shortages(AdmissionCase):
    """Guards against a state that changes with each set of figures."""

    def changes(self) -> list[ShortageCause]:
        found = [change.cause for change in self.state.admission.changes]
        self.state.admission.changes.clear()
        return found

    def look(self, room: Room | None, now: float) -> list[ShortageCause]:
        self.room = room
        update_services(self.state, Seconds(now))
        return self.changes()

    def test_a_service_becomes_short_once_and_has_room_after_a_while(self) -> None:
        self.open(URGENT, 0.0)
        self.assertEqual(self.changes(), [ShortageCause.QUEUES])
        self.assertEqual(self.look(FULL, 1.0), [])
        # Between the two limits nothing changes.
        self.assertEqual(self.look(full(wait=0.1), 2.0), [])
        self.assertEqual(self.look(WITH_ROOM, 3.0), [])
        self.assertEqual(self.look(FULL, 3.5), [])
        self.assertEqual(self.look(WITH_ROOM, 4.0), [])
        self.assertEqual(self.look(WITH_ROOM, 5.1), [ShortageCause.ROOM])

    def test_one_slow_server_is_no_shortage(self) -> None:
        self.open(URGENT, 0.0)
        self.changes()
        slow, self.rejected = replace(WITH_ROOM, wait=Seconds(0.5)), 0.1
        self.assertEqual(self.look(slow, 1.0), [])
        self.assertEqual(self.look(slow, 2.1), [ShortageCause.ROOM])

    def test_many_rejections_show_before_queues_do(self) -> None:
        # Guards against a second in which callers run out of tries: figures are old.
        self.room, self.rejected = Room(0.5, Seconds(0.0), 4.0, 50.0), 0.3
        self.open(URGENT, 0.0)
        self.assertEqual(self.changes(), [ShortageCause.REJECTIONS])
        self.assertEqual(self.look(self.room, 2.0), [])
        self.rejected = 0.0
        self.assertEqual(self.look(self.room, 3.0), [])
        self.assertEqual(self.look(self.room, 4.1), [ShortageCause.ROOM])

    def test_limits_that_work_do_not_end_themselves(self) -> None:
        # The demand doesn't fit, but for a while no request is rejected.
        self.demand({URGENT: 10, OTHER: 90}, 0.0, 1.0)
        self.changes()
        self.rejected = 0.0
        for start in (1.0, 2.0, 3.0):
            self.demand({URGENT: 10, OTHER: 90}, start, 1.0)
            self.assertEqual(self.changes(), [])
        self.demand({URGENT: 10, OTHER: 20}, 4.0, 3.0)
        self.assertEqual(self.changes(), [ShortageCause.ROOM])

    def test_lost_figures_end_it_at_once(self) -> None:
        self.open(URGENT, 0.0)
        self.changes()
        self.assertEqual(self.look(None, 0.2), [ShortageCause.NO_FIGURES])

    def serve(self, start: float, *sizes: int) -> None:
        """Let callers acknowledge answers of given sizes after 0.15 s for a while."""
        for step in range(30):
            now = start + step * 0.05
            self.open(URGENT, now, size=sizes[step % len(sizes)])

    def test_short_answers_that_are_usual_are_no_rejections(self) -> None:
        self.rejected, self.room = None, WITH_ROOM
        self.serve(0.0, 120, 2000)
        self.room = full(wait=0.1)
        self.serve(2.0, 120, 2000)
        self.assertEqual(self.changes(), [])

    def test_rejections_count_as_delay(self) -> None:
        """Queues are bounded, so that rejections show a surge that queues don't."""
        self.rejected, self.room = None, WITH_ROOM
        self.serve(0.0, 120, 2000, 2000, 2000)
        self.assertEqual(self.changes(), [])
        # Rejections before figures show the surge don't become usual.
        self.serve(2.0, 120, 120, 2000)
        self.room = full(wait=0.1)
        self.open(URGENT, 3.6)
        self.assertEqual(self.changes(), [ShortageCause.REJECTIONS])


class Priorities(AdmissionCase):
    """Guards against urgent callers that lose as many requests as the others.

    The load: demand of 1.6 times the capacity and more, of which a fifth is urgent.
    """

    def setUp(self) -> None:
        super().setUp()
        self.rejected, self.room = None, WITH_ROOM
        self.demand({URGENT: 5, OTHER: 5}, 0.0, 3.0)
        self.served, self.room = TokenBucket(rate=CAPACITY), FULL

    def admitted(self, rates: dict[int, float]) -> dict[int, float]:
        """Openings a second that are admitted after a while."""
        self.demand(rates, 3.0, 4.0)
        found = self.demand(rates, 7.0, 5.0)
        return {port: found[port, "Deliver"] / 5.0 for port in rates}

    def test_urgent_demand_that_fits_is_admitted_whole(self) -> None:
        admitted = self.admitted({URGENT: 13, OTHER: 50})
        self.assertAlmostEqual(admitted[URGENT], 13, delta=0.5)
        # Few are rejected, so that those who try again are served.
        self.assertLess(admitted[URGENT] + admitted[OTHER], 1.35 * CAPACITY)
        self.assertGreater(admitted[URGENT] + admitted[OTHER], CAPACITY)

    def test_the_least_urgent_keep_their_share(self) -> None:
        admitted = self.admitted({URGENT: 46, OTHER: 50})
        self.assertGreater(admitted[URGENT], 43)
        self.assertAlmostEqual(admitted[OTHER], 0.1 * CAPACITY, delta=2.0)

    def test_urgent_demand_that_does_not_fit_is_limited_as_well(self) -> None:
        admitted = self.admitted({URGENT: 120})
        self.assertAlmostEqual(admitted[URGENT], 1.25 * CAPACITY, delta=8.0)

    def test_requests_on_open_flows_take_their_part(self) -> None:
        # Guards against further tries that displace requests which nobody can hold.
        admitted = self.admitted({OPEN_FLOW: 47, URGENT: 13, OTHER: 40})
        self.assertAlmostEqual(admitted[URGENT], 13, delta=0.5)
        self.assertLess(admitted[OTHER], 15)

    def test_new_priorities_count_from_the_next_opening(self) -> None:
        # Guards against a configuration that changes under load and is not followed.
        self.demand({URGENT: 13, OTHER: 50}, 3.0, 2.0)
        held = set(self.state.admission.held.flows)
        self.declare(2, listener(URGENT, 1), listener(OTHER, 0))
        self.assertEqual(set(self.state.admission.held.flows), held)
        admitted = self.admitted({OTHER: 30, URGENT: 50})
        self.assertGreater(admitted[OTHER], 29)
        self.assertLess(admitted[URGENT], 25)


class CapacityShares(AdmissionCase):
    """Guards against balancers that each admit what all of them may."""

    def capacity(self, rate: float, service_rate: float) -> float:
        """Capacity of the balancer, to which callers send at a rate."""
        control = ServiceAdmission(SEATS)
        control.arrivals[Priority(0)] = RecentSum(rate, Seconds(1.0))
        return capacity_of(control, service_rate, self.state, Seconds(1.0))

    def test_other_balancers_have_their_share(self) -> None:
        known = self.state.known_load
        known.balancers = 3
        self.state.regions = dict.fromkeys((RECIFE, SALVADOR), NORTH)
        here = ServiceFigures(SEATS, RECIFE, 0, 0, arrivals=300)
        elsewhere = ServiceFigures(SEATS, SALVADOR, 0, 0, arrivals=900)
        known.services = {(SEATS, f.failure_domain): f for f in (here, elsewhere)}
        self.assertAlmostEqual(self.capacity(50.0, 160.0), 40.0, delta=1.0)

    def test_a_failure_domain_with_few_servers_sends_to_others(self) -> None:
        known = self.state.known_load
        known.balancers = 1
        self.state.regions = dict.fromkeys((RECIFE, SALVADOR), NORTH)
        boots = [boot(1), *(boot(tag, SALVADOR) for tag in (2, 3, 4, 5))]
        self.state.view.boots = {b.tag: b for b in boots}
        rebuild_pools(self.state, Seconds(0.0))
        elsewhere = ServiceFigures(SEATS, SALVADOR, 0, 0, arrivals=100)
        known.services = {(SEATS, SALVADOR): elsewhere}
        self.assertAlmostEqual(self.capacity(50.0, 80.0), 40.0, delta=1.0)


class SpareServers(AdmissionCase):
    """Guards against full backend servers that get flows while others have room.

    The load: waves of demand that pass through the failure domains in turn.
    """

    def setUp(self) -> None:
        super().setUp()
        self.state.regions = dict.fromkeys((RECIFE, SALVADOR), NORTH)
        boots = (boot(1), boot(2), boot(3, SALVADOR), boot(4, SALVADOR))
        self.state.view.boots = {b.tag: b for b in boots}
        rebuild_pools(self.state, Seconds(0.0))
        self.set_in_flight(1, 2, 3)
        # Figures of other balancers, which share the room.
        self.state.known_load.balancers = 1

    def tags(self, seconds: float, rate: float) -> Counter[int]:
        found: Counter[int] = Counter()
        for step in range(round(seconds * rate)):
            decision = self.open(URGENT, step / rate, caller=step)
            assert isinstance(decision, Deliver), decision
            found[decision.server.tag] += 1
            is_idle = decision.choice is ChoiceReason.FREE_SLOTS
            self.assertEqual(is_idle, decision.server.tag in (3, 4))
        return found

    def test_they_get_what_they_can_answer(self) -> None:
        found = self.tags(4.0, 20.0)
        # Two of the four backend servers answer 40 requests a second.
        self.assertAlmostEqual(found[4] / 4.0, 20.0 * 0.9, delta=4.0)
        self.assertEqual(found[3], 0)

    def test_other_regions_get_nothing_while_the_own_one_answers(self) -> None:
        self.state.regions = {RECIFE: NORTH, SALVADOR: SOUTH}
        opened = (self.open(URGENT, step / 20, caller=step) for step in range(80))
        delivered = [d.server.tag for d in opened if isinstance(d, Deliver)]
        self.assertLessEqual(set(delivered), {1, 2})
        self.assertGreater(len(delivered), 40)

    def test_the_share_of_other_balancers_is_left(self) -> None:
        elsewhere = ServiceFigures(SEATS, SALVADOR, 9, 9, arrivals=360)
        self.state.known_load.services = {(SEATS, SALVADOR): elsewhere}
        found = self.tags(4.0, 20.0)
        self.assertAlmostEqual(found[4] / 4.0, 20.0 * 0.1, delta=1.5)

    def test_a_mean_below_one_shows_that_some_are_idle(self) -> None:
        self.set_in_flight(1, 2)
        elsewhere = ServiceFigures(SEATS, SALVADOR, 1, 1, arrivals=0)
        self.state.known_load.services = {(SEATS, SALVADOR): elsewhere}
        found = self.tags(1.0, 20.0)
        self.assertGreater(found[3], 0)
        self.assertGreater(found[4], 0)

    def test_free_slots_beside_busy_ones_are_used(self) -> None:
        figures = ServerFigures(Tag(4), 3, 3, 9, 9, Seconds(1.0))
        named = self.state.known_load.servers
        self.state.known_load.servers = {**named, Tag(4): figures}
        self.rejected = 0.16
        found = self.tags(4.0, 20.0)
        # One of eight slots, of which the own failure domain answers 40 a second.
        self.assertAlmostEqual(found[4] / 4.0, 40.0 / 8, delta=1.5)
        self.assertEqual(found[3], 0)

    def test_urgent_openings_get_them_first(self) -> None:
        found: Counter[tuple[int, bool]] = Counter()
        for step in range(180):
            for port, caller in ((OTHER, step), (URGENT, 1000 + step)):
                decision = self.open(port, step / 30, caller)
                assert isinstance(decision, Deliver), decision
                if step >= 60:
                    # The demand of urgent callers is known by then.
                    found[port, decision.server.tag == 4] += 1
        self.assertGreater(found[URGENT, True], 5 * found[OTHER, True])

    def test_openings_stay_in_place_while_the_service_is_not_short(self) -> None:
        self.room = WITH_ROOM
        found = self.tags(1.0, 20.0)
        self.assertEqual(set(found), {1, 2})


class Holding(AdmissionCase):
    """Guards against held openings that are lost, sent twice or kept for too long."""

    def hold(self, count: int, caller: int = 7, now: float = 0.0) -> list[FlowId]:
        """Open less urgent flows until so many are held; returns these."""
        held: list[FlowId] = []
        while len(held) < count:
            decision = self.open(OTHER, now, caller)
            assert isinstance(decision, Deliver | Hold), decision
            if isinstance(decision, Hold):
                held.append(decision.opening.packet.flow)
        return held

    def setUp(self) -> None:
        super().setUp()
        self.room = full(100.0)
        self.open(URGENT, 0.0)

    def test_it_is_released_before_its_caller_sends_a_copy(self) -> None:
        [flow] = self.hold(1)
        self.assertEqual(self.state.servers[Tag(1)].open_flows, 1)
        wait = time_to_release_held(self.state, Seconds(0.0))
        assert wait is not None
        self.assertLessEqual(wait, MAX_HOLD_TIME)
        self.assertEqual(self.release(wait + 0.001), [flow])
        self.assertIsNone(time_to_release_held(self.state, Seconds(wait)))

    def test_copies_of_it_count_once(self) -> None:
        [flow] = self.hold(1)
        copy = opening(OTHER, flow.caller_port, repeat=1)
        self.assertEqual(
            self.open(OTHER, 0.01, packet=copy), Drop(DropReason.HELD_ALREADY)
        )
        self.assertEqual(self.count(AdmissionCount.HELD), 1)
        self.assertEqual(self.release(0.1), [flow])

    def test_a_caller_that_gives_up_is_not_sent_to_a_server(self) -> None:
        [flow] = self.hold(1)
        reset = data(0)._replace(flow=flow, is_reset=True)
        decide(reset, self.state, Seconds(0.01))
        self.assertEqual(self.release(0.1), [])

    def test_it_is_dropped_at_its_deadline(self) -> None:
        # Also guards against a balancer that was suspended and opens old flows.
        self.hold(1)
        expired = expire_openings(self.state, Seconds(MAX_HOLD_TIME + 0.001))
        self.assertEqual(len(expired), 1)
        self.assertEqual(self.release(1.0), [])

    def test_urgent_ones_leave_first(self) -> None:
        for number, (port, priority) in enumerate(((OTHER, 1), (URGENT, 0))):
            packet = opening(port, 900 + number)
            held = make_held_opening(
                packet, listener(port, priority), SEATS, Seconds(0.0), Seconds(0.0)
            )
            hold_opening(held, self.state)
        self.state.admission.is_draining = True
        ports = [flow.listener_port for flow in self.release(0.001)]
        self.assertEqual(ports, [URGENT, OTHER])

    def test_callers_take_turns(self) -> None:
        # Guards against one address that takes the room of the others.
        crowd = self.hold(3, caller=1)
        [single] = self.hold(1, caller=2)
        released = [*self.release(0.025), *self.release(0.045)]
        self.assertEqual(released[:2], [crowd[0], single])

    def test_a_full_table_drops_those_of_the_largest_caller(self) -> None:
        self.room = full(1e5)
        self.state.admission.services.clear()
        self.demand({URGENT: 10}, 0.0, 0.1)
        for caller, count in ((1, MAX_HELD - 1), (2, 1), (3, 1)):
            for _ in range(count):
                packet = opening(OTHER, next(self.numbers), caller)
                held = make_held_opening(
                    packet, listener(OTHER, 1), SEATS, Seconds(0.0), Seconds(0.0)
                )
                dropped = hold_opening(held, self.state)
        assert dropped is not None
        self.assertEqual(dropped.packet.flow.caller, 1)
        self.assertEqual(len(self.state.admission.held.flows), MAX_HELD)

    def test_all_leave_when_the_balancer_drains(self) -> None:
        held = self.hold(3)
        before = self.count(AdmissionCount.RELEASED)
        self.state.admission.is_draining = True
        self.assertEqual(self.release(0.001), held)
        self.assertEqual(self.count(AdmissionCount.RELEASED) - before, 3)
        self.assertIsInstance(self.open(OTHER, 0.01), Deliver)

    def test_all_leave_when_figures_are_lost(self) -> None:
        held = self.hold(3)
        self.room = None
        self.state.admission.services[SEATS].updated_at = Seconds(-1.0)
        self.assertEqual(self.release(0.001), held)

    def test_all_leave_when_a_server_is_idle(self) -> None:
        held = self.hold(3)
        self.set_in_flight(2)
        self.state.admission.services[SEATS].updated_at = Seconds(-1.0)
        self.assertEqual(self.release(0.001), held)

    def test_a_listener_that_is_removed_gets_a_refusal(self) -> None:
        self.hold(1)
        self.declare(2, listener(URGENT, 0))
        [held] = release_openings(self.state, Seconds(0.1))
        decision = decide_released(held, self.state, Seconds(0.1))
        assert isinstance(decision, Refuse), decision
        self.assertIs(decision.reason, RefusalReason.NO_LISTENER)


class Rejections(AdmissionCase):
    """Guards against callers that lose all tries at once, or wait for nothing."""

    def rejections(self, start: float) -> list[object]:
        """Decisions on less urgent openings that are neither sent nor held."""
        decisions = [self.open(OTHER, start, caller) for caller in range(100)]
        return [d for d in decisions if not isinstance(d, Deliver | Hold)]

    def test_a_short_shortage_leaves_the_chance_of_a_copy(self) -> None:
        decisions = self.rejections(0.0)
        self.assertEqual(set(decisions), {Drop(DropReason.NO_ROOM)})
        self.assertEqual(self.count(AdmissionCount.UNANSWERED), len(decisions))

    def test_a_long_shortage_refuses_at_once(self) -> None:
        self.open(URGENT, 0.0)
        for decision in self.rejections(OBJECTIVE):
            assert isinstance(decision, Refuse), decision
            self.assertIs(decision.reason, RefusalReason.NO_ROOM)

    def test_what_may_be_open_is_never_refused(self) -> None:
        self.open(URGENT, 0.0)
        self.rejections(2.0)
        copy = opening(OTHER, 9, caller=200, repeat=1)
        self.assertEqual(self.open(OTHER, 2.0, packet=copy), Drop(DropReason.NO_ROOM))
        waited = decide(opening(OTHER, 10, 201), self.state, Seconds(2.0), Seconds(0.2))
        self.assertEqual(waited, Drop(DropReason.NO_ROOM))
        self.state.fresh_until = Seconds(1.0)
        self.assertEqual(self.open(OTHER, 2.0, 202), Drop(DropReason.NO_ROOM))

    def test_copies_of_delivered_openings_are_not_limited(self) -> None:
        self.open(URGENT, 0.0)
        first = opening(OTHER, 9, caller=200)
        self.room = WITH_ROOM
        self.state.admission.services.clear()
        assert isinstance(decide(first, self.state, Seconds(0.0)), Deliver)
        self.room = FULL
        self.rejections(0.2)
        copy = opening(OTHER, 9, caller=200, repeat=1)
        self.assertIsInstance(self.open(OTHER, 0.2, packet=copy), Deliver)

    def test_after_an_outage_fresh_openings_come_before_late_copies(self) -> None:
        self.room = full(60.0)
        self.rejections(0.0)
        late = [opening(OTHER, 500 + n, caller=500 + n, repeat=2) for n in range(3)]
        for packet in late:
            self.open(OTHER, 1.0, packet=packet)
        fresh = opening(OTHER, 600, caller=600)
        self.assertIsInstance(self.open(OTHER, 1.0, packet=fresh), Hold)
        released = self.release(1.04)
        self.assertEqual(released[:1], [fresh.flow])


class FurtherTries(AdmissionCase):
    """Guards against a shortage that goes on because rejected callers try again."""

    def reject(self, caller: int, now: float) -> None:
        """Let a caller get an answer that is as short as a rejection."""
        room, self.room = self.room, WITH_ROOM
        decision = self.open(OTHER, now, caller, size=120)
        self.room = room
        assert isinstance(decision, Deliver), decision

    def test_they_have_a_budget_while_the_service_is_short(self) -> None:
        self.room = WITH_ROOM
        for caller in range(50):
            self.reject(caller, 0.0)
        self.room = FULL
        self.open(URGENT, 0.16)
        for caller in range(50):
            self.open(OTHER, 0.16, caller)
        tries = self.count(AdmissionCount.FURTHER_TRY)
        self.assertEqual(tries, 50)
        self.assertEqual(self.count(AdmissionCount.NO_RETRY_BUDGET), tries - 5)

    def test_first_tries_and_later_openings_are_not_limited_by_it(self) -> None:
        self.room = WITH_ROOM
        for caller in range(50):
            self.reject(caller, 0.0)
        self.room = FULL
        for caller in range(50, 60):
            self.open(OTHER, 0.16, caller)
        for caller in range(10):
            self.open(OTHER, 0.3, caller)
        self.assertEqual(self.count(AdmissionCount.FURTHER_TRY), 0)

    def test_urgent_ones_that_fit_need_no_budget(self) -> None:
        self.declare(2, listener(OTHER, 0), listener(URGENT, 1))
        self.room = WITH_ROOM
        for caller in range(20):
            self.reject(caller, 0.0)
        self.room = full(400.0)
        decisions = [self.open(OTHER, 0.16, caller) for caller in range(20)]
        self.assertTrue(all(isinstance(d, Deliver) for d in decisions))


class Operators(AdmissionCase):
    """Guards against limits that operators can't see or explain."""

    def test_a_line_tells_why_a_service_is_short(self) -> None:
        self.open(URGENT, 0.0)
        with mock.patch("wasabigw.tasks.admission_log.log") as written:
            log_shortage_changes(self.state)
            self.room = None
            update_services(self.state, Seconds(2.0))
            log_shortage_changes(self.state)
            log_shortage_changes(self.state)
        (short, fields), (ended, _) = (
            (c.args[0], c.kwargs) for c in written.mock_calls
        )
        self.assertIs(short, BalancerEvent.SERVICE_SHORT)
        self.assertIs(ended, BalancerEvent.SERVICE_HAS_ROOM)
        self.assertEqual(fields["cause"], ShortageCause.QUEUES.value)
        self.assertEqual((fields["delay"], fields["tolerable"]), (0.5, 0.15))

    def test_metrics_tell_what_became_of_openings(self) -> None:
        self.open(URGENT, 0.0)
        for caller in range(100):
            self.open(OTHER, 2.0, caller)
        families = families_of(self.state, {}, {}, 0, 0, Seconds(2.0))
        text = render(families).decode()
        self.assertIn('wasabigw_service_short{service="seats"} 1', text)
        refused = self.count(AdmissionCount.REFUSED)
        labels = 'service="seats",priority="1",event="refused"'
        self.assertIn(f"wasabigw_admission_total{{{labels}}} {refused}", text)
        held = len(self.state.admission.held.flows)
        self.assertIn(f'wasabigw_openings_held{{service="seats"}} {held}', text)


if __name__ == "__main__":
    unittest.main()
