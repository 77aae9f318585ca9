"""Load figures, choice and admission in unusual deployments and failures."""

import random
import unittest
from collections.abc import Sequence
from copy import deepcopy
from dataclasses import replace
from unittest import mock

from tests.test_admission_control import (
    FULL,
    OTHER,
    URGENT,
    WITH_ROOM,
    AdmissionCase,
    full,
    listener,
)
from tests.test_domain_suspicion import HOME, DomainCase
from tests.test_load_sums import FILLED, SumsCase, figures, report
from tests.test_refused_openings import opening
from tests.test_shared_load import SERVERS, SharedLoadCase
from tests.test_shared_load import figures as figures_of_flows
from tests.test_tag_steering import DOCUMENTS, RECIFE, SALVADOR, SEATS, boot, data
from wasabigw.core.declaration import Declaration, DeclaredService
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Revision, Seconds, Tag
from wasabigw.core.load.figures import ServiceFigures
from wasabigw.core.rates import add_recent
from wasabigw.core.tags.admission import shortage
from wasabigw.core.tags.admission.admission_control import update_services
from wasabigw.core.tags.admission.admission_state import AdmissionCount, AnswerCounts
from wasabigw.core.tags.admission.capacity_share import capacity_of
from wasabigw.core.tags.admission.fair_queue import (
    Datagram,
    FairQueue,
    Waiting,
    move,
    pop_next,
    push,
)
from wasabigw.core.tags.admission.rejections import learn_usual_share, rejected_share
from wasabigw.core.tags.admission.room import room_of
from wasabigw.core.tags.admission.shortage import MIN_REJECTED_SHARE
from wasabigw.core.tags.choice.planning import current_plan
from wasabigw.core.tags.decisions import Deliver
from wasabigw.core.tags.liveness.health import record_failure
from wasabigw.core.tags.liveness.suspicion import Suspicion, begin
from wasabigw.core.tags.packets import FlowPacket
from wasabigw.core.tags.route_preview import preview_opening
from wasabigw.core.tags.state import Flow, RequestSize, TagState
from wasabigw.core.tags.updates import apply_declaration, rebuild_pools

OTHER_ENDPOINT = Endpoint("198.18.0.9", 80)


class ShortAnswers(AdmissionCase):
    """Guards against limits at a service whose answers are all as short as rejections.

    The load: 50 requests a second, which backend servers answer at half of their
    capacity.
    """

    def test_no_rejection_is_seen_where_all_answers_are_short(self) -> None:
        self.rejected, self.room = None, WITH_ROOM
        for step in range(200):
            self.open(URGENT, step * 0.02, size=200)
        update_services(self.state, Seconds(4.0))
        self.assertEqual(self.state.admission.changes, [])

    def test_the_next_request_of_an_address_is_no_further_try(self) -> None:
        # Guards against a retry budget for callers that were answered.
        draw = random.Random(1)
        self.rejected, self.room = None, WITH_ROOM
        for step in range(200):
            self.open(URGENT, step * 0.02, size=draw.choice((200, 2000)))
        self.rejected, self.room = 0.2, FULL
        # Shorter than the time after which openings are refused.
        for step in range(40):
            self.open(URGENT, 4.0 + step * 0.0125, size=draw.choice((200, 2000)))
        self.assertEqual(self.count(AdmissionCount.FURTHER_TRY), 0)


class MixedAnswers(unittest.TestCase):
    """Guards against chance in the sizes of answers that is taken for rejections.

    The load: 40 answers a second, of which half are as short as a rejection.
    """

    def setUp(self) -> None:
        self.answers = AnswerCounts()
        self.random = random.Random(1)
        self.now = Seconds(0.0)
        self.rejected(20.0, 0.5)

    def rejected(self, seconds: float, short_share: float) -> list[float]:
        """Rejected shares in the last part of a time with random sizes of answers."""
        found = []
        for step in range(round(seconds * 40)):
            self.now = Seconds(self.now + 1 / 40)
            add_recent(self.answers.all, self.now)
            if self.random.random() < short_share:
                add_recent(self.answers.short, self.now)
            if step % 4 == 0 and short_share == 0.5:
                learn_usual_share(self.answers, Seconds(0.1), self.now)
            found.append(rejected_share(self.answers, self.now))
        return found

    def test_chance_is_no_rejection(self) -> None:
        found = self.rejected(300.0, 0.5)
        false = sum(share >= MIN_REJECTED_SHARE for share in found)
        self.assertLess(false / len(found), 0.1)

    def test_a_surge_of_rejections_shows_within_two_seconds(self) -> None:
        found = self.rejected(2.0, 0.85)
        self.assertGreater(found[-1], MIN_REJECTED_SHARE)


class FlowsInParallel(DomainCase):
    """Guards against flows of one busy address that leave a sound failure domain.

    The load: 100 openings a second of one address, such as a gateway of callers, each
    answered after 0.02 s.
    """

    def test_they_stay_in_the_own_failure_domain(self) -> None:
        draw = random.Random(1)
        unanswered: list[tuple[float, int, FlowPacket]] = []
        now, away = 0.0, 0
        for port in range(1, 1001):
            now += draw.expovariate(100.0)
            while unanswered and unanswered[0][0] <= now:
                at, tag, sent = unanswered.pop(0)
                self.answer(tag, sent, at)
            sent = opening(1, port)
            tag = self.tag_of(sent, now)
            away += tag not in HOME
            unanswered.append((now + 0.02, tag, sent))
        self.assertLess(away, 30)


class AllServersSilent(SharedLoadCase):
    """Guards against a division by zero while backend servers come back at once."""

    def test_room_is_unknown_until_the_plan_knows_them(self) -> None:
        current_plan(SEATS, self.state, Seconds(0.1))
        for server in self.state.servers.values():
            record_failure(server.breaker, Seconds(0.2), Seconds(0.2))
        self.state.known_load.measured_at = Seconds(0.5)
        for _ in range(4):
            current_plan(SEATS, self.state, Seconds(1.15))
        self.tag_of(opening(1, 1), now=1.22)
        self.assertIsNone(room_of(SEATS, self.state, Seconds(1.24)))


class ChangingView(SumsCase):
    """Guards against a relay that ranks all backend servers for each view.

    The load: 12,000 backend servers, of which one starts or ends each 0.05 s.
    """

    def test_backend_servers_are_ranked_about_once_a_second(self) -> None:
        self.view = self.view_of(12_000)
        self.record(*(report(f"b-{n}", figures(n, 3)) for n in range(1, 4)))
        ranked_at = set()
        for step in range(30):
            self.view.revision = Revision(step)
            self.in_flight(at=FILLED + step * 0.05)
            ranked_at.add(self.table.ranking.ranked_at)
        self.assertEqual(len(ranked_at), 2)


class ChangesOfOtherServices(SharedLoadCase):
    """Guards against shares that are computed for each change of any other service.

    The load: many services, of which one gets a new boot at each change of the view.
    """

    def test_shares_of_a_service_that_has_not_changed_are_kept(self) -> None:
        plan = current_plan(SEATS, self.state, Seconds(0.1))
        boots = self.state.view.boots.values()
        self.register(*boots, replace(boot(99), service=DOCUMENTS))
        current_plan(SEATS, self.state, Seconds(0.2))
        self.assertEqual(plan.made_at, Seconds(0.1))
        self.register(*boots, boot(98))
        current_plan(SEATS, self.state, Seconds(0.3))
        self.assertEqual(plan.made_at, Seconds(0.3))


class RecoveryOfMostServers(SharedLoadCase):
    """Guards against one backend server that gets all flows after others are back.

    The load: 100 openings a second; 11 of 12 backend servers are silent for a second.
    """

    def test_flows_return_within_a_few_tenths_of_a_second(self) -> None:
        self.know_repeatedly(figures_of_flows, 0, 3)
        for server in list(self.state.servers.values())[1:]:
            record_failure(server.breaker, Seconds(2.1), Seconds(2.1))
        first = 0
        for number in range(150):
            now = 2.2 + number * 0.01
            if number == 60:
                self.know(*map(figures_of_flows, range(1, SERVERS + 1)), at=2.3)
            tag = self.tag_of(opening(1, number), now)
            answer = data(tag, number)._replace(length=0, flow=opening(1, number).flow)
            self.decide(answer, now + 0.004)
            first += tag == 1 and now > 3.3
        self.assertLess(first, 10)


class LateUploads(unittest.TestCase):
    """Guards against an upload that waits for all late ones that come after it.

    The load: late uploads that always have packets waiting, as each second a new one
    comes.
    """

    def waiting(self, port: int) -> Waiting:
        packet = data(1, port, sequence=self.sequence)
        self.sequence += 1
        datagram = Datagram(bytes(10), ("10.0.0.1", 1))
        return Waiting(packet, datagram, 1000, Seconds(0.0))

    def test_one_that_becomes_late_keeps_its_place(self) -> None:
        self.sequence = 1
        bulk, late = FairQueue(), FairQueue(in_order=True)
        push(late, self.waiting(1))
        push(bulk, self.waiting(2))
        move(next(iter(bulk.sparse.values())), bulk, late)
        ports = []
        for port in range(3, 6):
            push(late, self.waiting(port))
            ports.append(pop_next(late).packet.flow.caller_port)
        self.assertEqual(ports, [1, 2, 3])


class RemovedListeners(SharedLoadCase):
    """Guards against memory that grows with each listener that was ever declared.

    The load: operators replace the only listener again and again.
    """

    def test_their_request_sizes_are_forgotten(self) -> None:
        [(address, port)] = self.state.listeners
        self.state.request_sizes[address, port] = RequestSize(900.0, 5)
        known = self.state.listeners[address, port]
        replaced = replace(known, endpoint=OTHER_ENDPOINT)
        services = (DeclaredService(SEATS),)
        apply_declaration(Declaration(2, (replaced,), services), self.state)
        # A late answer on a flow of the removed listener.
        sent = data(1, 7)
        self.decide(sent, 0.1)
        self.decide(sent._replace(length=0, acknowledged=999), 0.2)
        self.assertEqual(self.state.request_sizes, {})


class CrashInASurge(AdmissionCase):
    """Guards against limits that end because crashed backend servers seem idle.

    The load: a failure domain crashes while the demand is five times what the other one
    can answer; a crashed backend server has no requests in flight.
    """

    def test_suspected_backend_servers_are_not_idle(self) -> None:
        self.state.view.boots = {Tag(1): boot(1), Tag(2): boot(2, SALVADOR)}
        rebuild_pools(self.state, Seconds(0.0))
        self.set_in_flight(1)
        suspicion = Suspicion()
        begin(suspicion, (Tag(2),), Seconds(0.0))
        self.state.suspicions[SEATS, SALVADOR] = suspicion
        found = self.demand({URGENT: 200}, 0.0, 1.0)
        self.assertLess(found[URGENT, "Deliver"], 80)


class ListenersWithoutRequirements(AdmissionCase):
    """Guards against a share that leaves out openings without requirements.

    The load: four balancers with 50 openings a second each, of which 20 are at a
    listener without requirements, while the service answers 160 a second.
    """

    def test_a_balancer_has_its_whole_share(self) -> None:
        plain = 8080
        self.declare(2, listener(URGENT, 0), listener(OTHER, 1), listener(plain, None))
        known = self.state.known_load
        known.balancers = 3
        here = ServiceFigures(SEATS, RECIFE, 0, 0, arrivals=300)
        known.services = {(SEATS, RECIFE): here}
        self.room = full(160.0)
        rates = {URGENT: 10.0, OTHER: 20.0, plain: 20.0}
        found = self.demand(rates, 0.0, 4.0)
        self.assertEqual(found[plain, "Deliver"], 80)
        control = self.state.admission.services[SEATS]
        capacity = capacity_of(control, 160.0, self.state, Seconds(4.0))
        self.assertAlmostEqual(capacity, 160.0 / 4, delta=4.0)


class IdleServerThatCrashes(AdmissionCase):
    """Guards against openings to a backend server that seems idle and is silent."""

    def test_full_ones_that_answer_come_first(self) -> None:
        self.set_in_flight(1)
        self.open(URGENT, 0.0)
        update_services(self.state, Seconds(0.4))
        record_failure(self.state.servers[Tag(2)].breaker, Seconds(0.41), Seconds(0.45))
        opened = self.open(URGENT, 0.46)
        assert isinstance(opened, Deliver)
        self.assertEqual(opened.server.tag, 1)


class PreviewOfAFullLink(SharedLoadCase):
    """Guards against a preview that copies all packets that wait for the link.

    The load: a second of packets of 100 Mbit/s, and 50,000 flows that send requests.
    """

    def test_packets_and_flows_of_others_are_not_copied(self) -> None:
        [listener] = self.state.listeners.values()
        server, start = self.state.servers[Tag(1)], Seconds(0.0)
        sender = Flow(server, start, start, 1)
        self.state.sending = {opening(2, 1).flow: sender}
        copied: list[TagState] = []
        shared: list[object] = []

        def copy_state(state: TagState, objects: Sequence[object]) -> TagState:
            copied.append(state)
            shared.extend(objects)
            return deepcopy(state, {id(value): value for value in objects})

        flow = opening(1, 1).flow
        preview_opening(flow, listener, self.state, Seconds(0.5), copy_state)
        self.assertTrue(any(value is self.state.egress for value in shared))
        self.assertEqual(copied[0].sending, {})


class ManyListeners(AdmissionCase):
    """Guards against work for each listener of a short service at each opening.

    The load: thousands of listeners of one service, all of them in use.
    """

    def test_listeners_are_looked_at_once_in_a_tenth_of_a_second(self) -> None:
        self.open(OTHER, 0.0)
        with mock.patch.object(shortage, "_used", wraps=shortage._used) as used:
            for step in range(90):
                self.open(OTHER, 0.001 * (step + 1))
        used.assert_not_called()
