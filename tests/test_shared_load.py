"""Choice of backend servers by load figures of other balancers."""

import unittest
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random
from unittest import mock

from tests.test_tag_steering import (
    FORTALEZA,
    RECIFE,
    SEATS,
    SteeringCase,
    boot,
    data,
    opening,
)
from wasabigw.core.ids import Incarnation, NodeId, RegionId, Seconds, Tag
from wasabigw.core.load.figures import FIGURES_TTL, ServerFigures, ServiceFigures
from wasabigw.core.load.known import KnownLoad
from wasabigw.core.load.reporting import make_report
from wasabigw.core.requirements import Priority, Requirements
from wasabigw.core.tags.admission.room import room_of
from wasabigw.core.tags.choice.planning import current_plan
from wasabigw.core.tags.choice.turns import make_turns, phases_of, take_turn
from wasabigw.core.tags.choice.weights import MIN_WEIGHT
from wasabigw.core.tags.decisions import ChoiceReason, Deliver
from wasabigw.core.tags.features import Features
from wasabigw.core.tags.liveness.health import record_failure
from wasabigw.core.tags.packets import FlowPacket
from wasabigw.core.tags.state import TagState
from wasabigw.tasks.decision_log import DecisionLog
from wasabigw.tasks.share_metrics import share_families
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.exposition import render

SERVERS = 12
SLOTS = 4
REQUEST_TIME = 0.04
REQUIREMENTS = Requirements(Priority(1), Seconds(0.2))


def figures(
    tag: int, flows: int = 20, speed: float = 1.0, in_flight: int = 1, answers: int = 80
) -> ServerFigures:
    """Figures of a backend server with mostly long flows."""
    time = Seconds(answers * REQUEST_TIME / speed)
    return ServerFigures(Tag(tag), flows, in_flight, 4, answers, time)


class SharedLoadCase(SteeringCase):
    """A balancer that knows the load of the backend servers of a service."""

    def prepare(self) -> None:
        super().prepare()
        [(key, listener)] = self.state.listeners.items()
        self.state.listeners[key] = replace(listener, requirements=REQUIREMENTS)
        self.register(*(boot(tag) for tag in range(1, SERVERS + 1)))
        self.know(*map(figures, range(1, SERVERS + 1)))

    def know(self, *servers: ServerFigures, at: float = 0.0) -> None:
        """Let the balancer receive figures."""
        flows = sum(f.flows for f in servers)
        service = ServiceFigures(SEATS, RECIFE, flows, 0, 0)
        self.state.known_load = KnownLoad(
            Seconds(at), 79, {f.tag: f for f in servers}, {(SEATS, RECIFE): service}
        )

    def know_repeatedly(
        self, make: Callable[[int], ServerFigures], first: int, last: int
    ) -> None:
        """Let the balancer receive figures each second, and use them."""
        for second in range(first, last):
            self.know(*map(make, range(1, SERVERS + 1)), at=second)
            current_plan(SEATS, self.state, Seconds(second))

    port = 60_000
    """Port of the latest flow that :meth:`reason` has opened."""

    def counts(self, flows: int, now: float = 0.5) -> Counter[int]:
        """Open flows and count them by backend server."""
        return Counter(self.tag_of(opening(port), now) for port in range(flows))

    def weights(self) -> list[float]:
        speeds = self.state.plans[SEATS].speeds
        return [speeds[Tag(tag)].weight for tag in range(1, SERVERS + 1)]

    def reason(self, now: float = 0.5) -> ChoiceReason | None:
        """Why a backend server was chosen for a new flow."""
        self.port += 1
        decision = self.decide(opening(self.port), now)
        assert isinstance(decision, Deliver)
        return decision.choice


class OldFigures(SharedLoadCase):
    """Guards against a herd: all balancers send to the one that was least loaded."""

    def test_balancers_with_the_same_figures_choose_different_servers(self) -> None:
        loads = [figures(1, flows=10), *map(figures, range(2, SERVERS + 1))]
        chosen: Counter[int] = Counter()
        for number in range(80):
            self.state = TagState(NodeId(f"balancer-{number}"), RECIFE)
            self.prepare()
            self.know(*loads)
            chosen += self.counts(1, now=2.0)
        fair = 80 / SERVERS
        self.assertGreater(chosen[1], 1.5 * fair)
        self.assertLess(chosen[1], 4 * fair)
        self.assertGreaterEqual(len(chosen), SERVERS - 1)

    def test_shares_approach_the_capacities_as_figures_age(self) -> None:
        self.know(figures(1, flows=10), *map(figures, range(2, SERVERS + 1)))
        shares = []
        for now in (0.1, 1.5, 3.0):
            plan = current_plan(SEATS, self.state, Seconds(now))
            shares.append(plan.turns.servers[RECIFE].shares[Tag(1)])
        self.assertEqual(shares, sorted(shares, reverse=True))

    def test_one_balancer_spreads_equal_shares_without_repetition(self) -> None:
        self.assertEqual(len(self.counts(SERVERS)), SERVERS)


class NoUsableFigures(SharedLoadCase):
    """Guards against decisions by figures that are missing, old, partial or absurd."""

    def test_without_current_figures_own_flows_decide(self) -> None:
        own = ChoiceReason.LEAST_USED_HERE
        self.assertIs(self.reason(), ChoiceReason.LOAD_SHARE_HERE)
        self.assertIs(self.reason(now=FIGURES_TTL), own)
        self.state.known_load = KnownLoad()
        self.assertIs(self.reason(), own)
        self.assertIsNone(room_of(SEATS, self.state, Seconds(0.5)))

    def test_only_listeners_with_requirements_use_figures(self) -> None:
        [(key, listener)] = self.state.listeners.items()
        self.state.listeners[key] = replace(listener, requirements=None)
        self.assertIs(self.reason(), ChoiceReason.LEAST_USED_HERE)

    def test_operators_can_switch_it_off(self) -> None:
        self.state.features = Features(load_sharing=False)
        self.assertIs(self.reason(), ChoiceReason.LEAST_USED_HERE)

    def test_servers_without_figures_count_as_the_mean(self) -> None:
        self.know(*map(figures, range(2, SERVERS + 1)))
        total = self.state.known_load.services[SEATS, RECIFE]
        self.state.known_load.services = {
            (SEATS, RECIFE): total._replace(flows=20 * SERVERS)
        }
        chosen = self.counts(10 * SERVERS)
        self.assertTrue(8 <= chosen[1] <= 12, chosen)

    def test_absurd_figures_of_a_server_leave_the_others_their_shares(self) -> None:
        for absurd in (
            figures(1, flows=10**9, in_flight=10**9),
            figures(1, flows=0, answers=10**9, speed=10**9),
            figures(1, flows=-5, in_flight=0, answers=0),
        ):
            self.setUp()
            self.state.features = Features(admission_control=False)
            self.know(absurd, *map(figures, range(2, SERVERS + 1)))
            chosen = self.counts(20 * SERVERS)
            self.assertLess(chosen[1], 6 * 20)
            self.assertGreater(min(chosen[tag] for tag in range(2, SERVERS + 1)), 9)

    def test_new_flows_without_any_known_flow_follow_the_slots(self) -> None:
        self.know(*(ServerFigures(Tag(t), 0, 0, 0, 0, Seconds(0)) for t in (1, 2)))
        chosen = self.counts(10 * SERVERS)
        self.assertEqual(set(chosen.values()), {10})


class Order(SharedLoadCase):
    """Guards against figures that override health, cold starts or failure domains."""

    def test_silent_and_cold_servers_get_nothing(self) -> None:
        record_failure(self.state.servers[Tag(1)].breaker, Seconds(0.4), Seconds(0.4))
        self.state.servers[Tag(2)].cold_until = Seconds(9.0)
        self.assertEqual(self.counts(40).keys() & {1, 2}, set())

    def test_a_server_that_fails_after_the_shares_were_computed_is_passed_over(
        self,
    ) -> None:
        self.counts(1)
        record_failure(self.state.servers[Tag(1)].breaker, Seconds(0.5), Seconds(0.5))
        self.assertNotIn(1, self.counts(40, now=0.55))

    def test_flows_stay_in_the_own_failure_domain_if_it_has_slots(self) -> None:
        self.use_two_domains(6)
        self.assertLessEqual(self.counts(40).keys(), set(range(1, 7)))

    def test_flows_leave_the_own_failure_domain_once_it_fails(self) -> None:
        self.use_two_domains(6)
        self.reason()
        for tag in range(1, 7):
            breaker = self.state.servers[Tag(tag)].breaker
            record_failure(breaker, Seconds(0.5), Seconds(0.5))
        self.assertIs(self.reason(0.55), ChoiceReason.LOAD_SHARE_ELSEWHERE)
        self.assertLessEqual(self.counts(40, now=0.55).keys(), set(range(7, 13)))

    def use_two_domains(self, own: int) -> None:
        north = RegionId("north")
        self.state.regions = {RECIFE: north, FORTALEZA: north}
        domains = [RECIFE] * own + [FORTALEZA] * (SERVERS - own)
        self.register(*(boot(n + 1, domain) for n, domain in enumerate(domains)))


class PassedOver(unittest.TestCase):
    """Guards against a burst of flows to a backend server that answers again."""

    def test_one_that_was_passed_over_gets_no_missed_turns(self) -> None:
        turns = make_turns({"a": 0.5, "b": 0.5}, {"a": 0.1, "b": 0.2})
        self.assertEqual([take_turn(turns, "b".__eq__) for _ in range(50)], ["b"] * 50)
        taken = Counter(take_turn(turns, lambda _: True) for _ in range(10))
        # One turn at once, then every other one.
        self.assertEqual(taken["a"], 6)

    def test_renewed_shares_keep_the_order(self) -> None:
        turns = make_turns({"a": 0.5, "b": 0.5}, {"a": 0.1, "b": 0.2})
        self.assertEqual(take_turn(turns, lambda _: True), "a")
        renewed = make_turns({"a": 0.5, "b": 0.5}, phases_of(turns))
        self.assertEqual(take_turn(renewed, lambda _: True), "b")


class Weights(SharedLoadCase):
    """Guards against equal shares for backend servers of different speed."""

    def speeds(self, speeds: Sequence[float]) -> Callable[[int], ServerFigures]:
        def make(tag: int) -> ServerFigures:
            speed = speeds[tag % len(speeds)]
            answers = round(80 * speed)
            return figures(tag, round(20 * speed), speed, answers=answers)

        return make

    def test_flows_follow_the_speeds(self) -> None:
        self.know_repeatedly(self.speeds([0.7, 0.7, 1.7]), 0, 4)
        chosen = self.counts(40 * SERVERS, now=3.5)
        slow = sum(n for tag, n in chosen.items() if tag % 3 < 2)
        self.assertAlmostEqual(
            (sum(chosen.values()) - slow) / slow * 2, 2.43, delta=0.4
        )

    def test_slow_servers_get_less_until_they_recover(self) -> None:
        slowed = self.speeds([0.2, 1.0, 1.0])
        self.know_repeatedly(self.speeds([1.0]), 0, 4)
        self.know_repeatedly(slowed, 4, 7)
        self.assertEqual(sum(weight < 0.4 for weight in self.weights()), SERVERS / 3)
        changes = self.state.weight_changes
        self.assertEqual([c.is_slow for c in changes], [True] * (SERVERS // 3))
        changes.clear()
        self.assertEqual(len(self.counts(60 * SERVERS, now=6.5)), SERVERS)
        self.know_repeatedly(self.speeds([1.0]), 7, 10)
        self.assertGreater(min(self.weights()), 0.8)
        self.assertEqual([c.is_slow for c in changes], [False] * (SERVERS // 3))

    def test_a_server_that_answers_nothing_loses_its_weight(self) -> None:
        def make(tag: int) -> ServerFigures:
            return figures(tag) if tag > 1 else figures(1, in_flight=10, answers=0)

        self.know_repeatedly(make, 0, 3)
        self.assertEqual(self.weights()[0], MIN_WEIGHT)
        self.assertEqual(set(self.weights()[1:]), {1.0})

    def test_all_slow_servers_keep_their_weights(self) -> None:
        self.know_repeatedly(self.speeds([1.0]), 0, 4)
        self.know_repeatedly(self.speeds([0.2]), 4, 8)
        self.assertEqual(set(self.weights()), {1.0})

    def test_most_servers_keep_flows_if_most_are_slow(self) -> None:
        self.know_repeatedly(self.speeds([0.2, 0.2, 0.2, 1.0]), 0, 4)
        self.assertGreaterEqual(sum(weight >= 1 for weight in self.weights()), 9)

    def test_a_low_weight_recovers_without_answers(self) -> None:
        self.know_repeatedly(self.speeds([0.2, 1.0, 1.0]), 0, 4)
        for second in range(4, 40):
            self.know(at=second)
            current_plan(SEATS, self.state, Seconds(second))
        self.assertEqual(set(self.weights()), {1.0})

    def test_unnamed_servers_are_judged_by_their_own_answers_together(self) -> None:
        for tag in range(4, SERVERS + 1):
            counts = self.state.servers[Tag(tag)].counts
            counts.answers, counts.answer_time = 1, REQUEST_TIME
        for second in range(4):
            slow = (figures(t, speed=0.2, answers=16) for t in (1, 2, 3))
            self.know(*slow, at=second)
            current_plan(SEATS, self.state, Seconds(second))
        self.assertEqual(self.weights(), [0.2] * 3 + [1.0] * (SERVERS - 3))

    def test_figures_after_hours_without_any_forget_the_weights(self) -> None:
        self.know_repeatedly(self.speeds([0.2, 1.0, 1.0]), 0, 4)
        self.know(*map(figures, range(1, SERVERS)), at=50_000.0)
        current_plan(SEATS, self.state, Seconds(50_000.0))
        self.assertEqual(set(self.weights()), {1.0})

    def test_few_answers_change_no_weight(self) -> None:
        self.know_repeatedly(lambda t: figures(t, speed=t, answers=1), 0, 4)
        self.assertEqual(set(self.weights()), {1.0})

    def test_lines_and_metrics_show_slow_servers_once(self) -> None:
        self.know_repeatedly(self.speeds([1.0]), 0, 4)
        self.know_repeatedly(self.speeds([0.2, 1.0, 1.0, 1.0]), 4, 9)
        with mock.patch("wasabigw.tasks.decision_log.log") as written:
            DecisionLog(self.state).log_weight_changes()
            DecisionLog(self.state).log_weight_changes()
        lines = [call.args[0] for call in written.call_args_list]
        self.assertEqual(lines, [BalancerEvent.SERVER_SLOW] * 3)
        text = render(share_families(self.state, Seconds(8.5))).decode()
        labels = '{service="seats",failure_domain="recife"}'
        self.assertIn(f"wasabigw_servers_slow{labels} 3", text)
        self.assertIn(f"wasabigw_flows_busiest_over_mean{labels} 1", text)
        self.assertNotIn(
            labels, render(share_families(self.state, Seconds(99))).decode()
        )


class FailsAtOnce(SharedLoadCase):
    """Guards against a backend server that gets more flows because it fails at once.

    One of 20 answers with a short error after 2 ms, the others after 40 ms. There are
    100 requests a second on flows of their own, and nine more balancers like this one.
    """

    COUNT = 20
    BALANCERS = 10

    def use(self, seconds: int, flaw: Callable[[int], tuple[float, int]]) -> float:
        """Share of the first backend server in the last half of some time.

        :param flaw: time and size of the answers of a backend server.
        """
        self.register(*(boot(tag) for tag in range(1, self.COUNT + 1)))
        ended: list[tuple[float, FlowPacket]] = []
        chosen: Counter[int] = Counter()
        for number in range(seconds * 100):
            now = number / 100
            if number % 100 == 0:
                self.exchange(now)
            for at, packet in [entry for entry in ended if entry[0] <= now]:
                self.decide(packet, at)
                ended.remove((at, packet))
            sent = opening(number % 60_000)
            sent = sent._replace(flow=sent.flow._replace(caller=number))
            tag = self.tag_of(sent, now)
            chosen[tag] += number >= seconds * 50
            self.decide(data(tag)._replace(flow=sent.flow, length=0), now)
            self.decide(data(tag)._replace(flow=sent.flow), now)
            time, size = flaw(tag)
            end = data(tag, closing=True, sequence=111, acknowledged=555 + size)
            ended.append((now + time, end._replace(flow=sent.flow, length=0)))
        return chosen[1] / sum(chosen.values())

    def exchange(self, now: float) -> None:
        """Let the balancer learn that the others have counted the same."""
        make_report(self.state, Incarnation("a"), Seconds(now), Random(1).sample)
        times = self.BALANCERS - 1
        servers = [
            ServerFigures(
                tag,
                times * server.open_flows,
                times * server.counts.in_flight,
                times * server.counts.previous_openings,
                times * server.counts.previous_answers,
                Seconds(times * server.counts.previous_answer_time),
            )
            for tag, server in self.state.servers.items()
        ]
        self.know(*servers, at=now)

    def test_short_errors_raise_no_weight(self) -> None:
        share = self.use(20, lambda tag: (0.002, 150) if tag == 1 else (0.04, 2000))
        self.assertLessEqual(share, 1.1 / self.COUNT)

    def test_a_fast_one_gets_more_whatever_the_usual_size(self) -> None:
        for size in (150, 2000):
            self.setUp()
            share = self.use(20, lambda tag: (0.02 if tag == 1 else 0.04, size))  # noqa: B023
            self.assertGreater(share, 1.5 / self.COUNT)


class RoomOfService(SharedLoadCase):
    """Guards against admission by a wrong room."""

    def test_room_follows_the_requests_in_flight(self) -> None:
        for in_flight, wait in ((1, 0.0), (SLOTS + 8, 9 * REQUEST_TIME / SLOTS)):
            self.setUp()
            self.know_repeatedly(lambda t: figures(t, in_flight=in_flight), 0, 2)  # noqa: B023
            room = room_of(SEATS, self.state, Seconds(1.5))
            assert room is not None
            self.assertAlmostEqual(room.utilization, in_flight / SLOTS)
            self.assertAlmostEqual(room.wait, wait)
            self.assertAlmostEqual(room.free_slots, max(SLOTS - in_flight, 0) * SERVERS)
            self.assertAlmostEqual(room.service_rate, SERVERS * SLOTS / REQUEST_TIME)

    def test_one_absurd_figure_fills_no_service(self) -> None:
        for count in (2, SERVERS):
            self.setUp()
            self.register(*(boot(tag) for tag in range(1, count + 1)))
            absurd = figures(1, in_flight=10**6)
            self.know_repeatedly(lambda t: absurd if t == 1 else figures(t), 0, 2)  # noqa: B023
            room = room_of(SEATS, self.state, Seconds(1.5))
            assert room is not None
            self.assertLess(room.utilization, 1.0)
            self.assertLess(room.wait, REQUEST_TIME)
            self.assertGreaterEqual(room.free_slots, (count - 1) * (SLOTS - 1))

    def test_queues_at_half_of_the_servers_count(self) -> None:
        self.know_repeatedly(lambda t: figures(t, in_flight=t % 2 * 8 * SLOTS), 0, 2)
        room = room_of(SEATS, self.state, Seconds(1.5))
        assert room is not None
        self.assertGreater(room.utilization, 3.5)


if __name__ == "__main__":
    unittest.main()
