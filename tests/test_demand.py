"""Demand that differs between failure domains and moves from one to the next."""

import random
import unittest
import unittest.mock
from collections import Counter

from tests.test_domain_suspicion import DomainCase
from tests.test_refused_openings import opening
from tests.test_tag_steering import FORTALEZA, RECIFE, SALVADOR, SEATS
from wasabigw.core.ids import FailureDomainId, Seconds
from wasabigw.core.load.figures import FIGURES_TTL, ServiceFigures
from wasabigw.core.load.known import KnownLoad
from wasabigw.core.tags.choice.crossing import (
    STAY_UTILIZATION,
    WAIT_UTILIZATION,
    DomainLoad,
    crossing_shares,
    damped_shares,
    demand_shares,
)
from wasabigw.core.tags.choice.locality import Shares
from wasabigw.core.tags.features import Features
from wasabigw.tasks.load_log import LoadLog
from wasabigw.tasks.tag_metrics import families_of
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.exposition import render

DOMAINS = (RECIFE, SALVADOR, FORTALEZA)
SLOTS = 40
HOME_ONLY = {RECIFE: 1.0}


def loads_of(*figures: tuple[float, float]) -> dict[FailureDomainId, DomainLoad]:
    """Load of each failure domain: requests in flight and arrivals."""
    return {
        name: DomainLoad(SLOTS, *pair)
        for name, pair in zip(DOMAINS, figures, strict=True)
    }


class BusyFailureDomain(unittest.TestCase):
    """Guards against callers that wait in one failure domain while others idle.

    Demand at five times the usual passed through the failure domains, and every flow
    stayed in its own.
    """

    def test_the_excess_goes_where_there_is_room(self) -> None:
        loads = loads_of((150, 2100), (80, 1250), (15, 260))
        shares = crossing_shares(RECIFE, loads, is_crossing=False)
        self.assertEqual(set(shares), {RECIFE, FORTALEZA})
        self.assertAlmostEqual(shares[RECIFE] * 2100, 3610 / 3, delta=10)

    def test_all_send_together_what_fits(self) -> None:
        loads = loads_of((150, 2000), (80, 1500), (15, 100))
        moved = {
            name: load.arrivals * crossing_shares(name, loads, True).get(FORTALEZA, 0.0)
            for name, load in loads.items()
        }
        self.assertAlmostEqual(sum(moved.values()), 1200, delta=1)

    def test_one_that_is_slow_gets_none(self) -> None:
        loads = loads_of((100, 900), (20, 500), (190, 100))
        shares = crossing_shares(RECIFE, loads, is_crossing=False)
        self.assertNotIn(FORTALEZA, shares)

    def test_shares_by_slots_count_if_they_keep_less_at_home(self) -> None:
        by_slots = {RECIFE: 0.2, SALVADOR: 0.8}
        loads = loads_of((10, 100), (10, 100), (10, 100))
        shares = demand_shares(RECIFE, by_slots, {}, loads, Seconds(1.0))
        self.assertEqual(shares, by_slots)


class EnoughRoomAtHome(unittest.TestCase):
    """Guards against traffic between failure domains from which no caller gains."""

    def assert_stays(
        self, *figures: tuple[float, float], crosses: bool = False
    ) -> None:
        shares = crossing_shares(RECIFE, loads_of(*figures), crosses)
        self.assertEqual(shares, HOME_ONLY)

    def test_below_the_utilization_at_which_callers_wait(self) -> None:
        below = WAIT_UTILIZATION * SLOTS - 1
        self.assert_stays((below, 3000), (1, 100), (1, 100))

    def test_if_all_are_as_busy(self) -> None:
        self.assert_stays((90, 1000), (90, 1000), (90, 1000))

    def test_one_with_less_than_its_part_of_the_demand(self) -> None:
        self.assert_stays((70, 500), (90, 1000), (90, 1000))

    def test_nothing_is_known_of_arrivals(self) -> None:
        self.assert_stays((90, 0), (1, 0), (1, 0))

    def test_flows_return_once_home_is_idle(self) -> None:
        idle = STAY_UTILIZATION * SLOTS - 1
        self.assert_stays((idle, 3000), (1, 100), (1, 100), crosses=True)

    def test_shares_approach_the_wanted_ones(self) -> None:
        shares: Shares = {RECIFE: 0.5, SALVADOR: 0.5}
        homes = []
        for _ in range(8):
            shares = damped_shares(shares, HOME_ONLY, Seconds(0.5))
            homes.append(shares[RECIFE])
        self.assertEqual(homes, sorted(homes))
        self.assertEqual(shares, HOME_ONLY)


class WaveOfDemand(unittest.TestCase):
    """Guards against shares that swing while a wave of 55 % passes through in turn.

    Figures come once a second and are 1.5 s old; arrivals are those of the 2 s before,
    with noise. A failure domain serves 40 requests at once, each for 0.05 s.
    """

    PERIOD, END, AGE, WINDOW, STEP = 12.0, 36.0, 1.5, 2.0, 0.1
    SERVICE_TIME = 0.05

    def run_wave(
        self, utilization: float, wave: float
    ) -> tuple[list[dict[FailureDomainId, Shares]], float]:
        """Shares of each second, and the request-seconds spent in queues."""
        draw = random.Random(5)
        usual = utilization * SLOTS / self.SERVICE_TIME
        in_flight = dict.fromkeys(DOMAINS, utilization * SLOTS)
        shares: dict[FailureDomainId, Shares] = {name: {name: 1.0} for name in DOMAINS}
        past: list[tuple[dict[FailureDomainId, float], dict[FailureDomainId, float]]]
        past, seconds, queued = [], [], 0.0
        for step in range(int(self.END / self.STEP)):
            busy = DOMAINS[int(step * self.STEP / self.PERIOD)]
            arrivals = {
                name: usual * (wave if name == busy else 1.0) * draw.uniform(0.9, 1.1)
                for name in DOMAINS
            }
            past.append((arrivals, dict(in_flight)))
            if step % round(1 / self.STEP) == 0:
                shares = self.next_shares(shares, past)
                seconds.append(shares)
            for name in DOMAINS:
                sent = sum(arrivals[n] * shares[n].get(name, 0.0) for n in DOMAINS)
                queue = max(in_flight[name] - SLOTS, 0.0)
                beyond = (sent - SLOTS / self.SERVICE_TIME) * self.STEP
                queue = max(queue + beyond, 0.0)
                in_flight[name] = min(sent * self.SERVICE_TIME, SLOTS) + queue
                queued += queue * self.STEP
        return seconds, queued

    def next_shares(
        self,
        shares: dict[FailureDomainId, Shares],
        past: list[tuple[dict[FailureDomainId, float], dict[FailureDomainId, float]]],
    ) -> dict[FailureDomainId, Shares]:
        """Shares by figures of a time ago."""
        last = len(past) - round(self.AGE / self.STEP)
        window = past[max(last - round(self.WINDOW / self.STEP), 0) : max(last, 1)]
        loads = {
            name: DomainLoad(
                SLOTS,
                window[-1][1][name],
                sum(arrivals[name] for arrivals, _ in window),
            )
            for name in DOMAINS
        }
        return {
            name: demand_shares(name, {name: 1.0}, shares[name], loads, Seconds(1.0))
            for name in DOMAINS
        }

    def turns_of(self, values: list[float]) -> int:
        """How often a sequence changes its direction by more than 0.05."""
        turns, extreme, rising = 0, values[0], True
        for value in values:
            if (value > extreme) is rising:
                extreme = value
            elif abs(value - extreme) > 0.05:
                turns, extreme, rising = turns + 1, value, not rising
        return turns

    def test_shares_follow_the_wave_without_swinging(self) -> None:
        seconds, queued = self.run_wave(0.7, 1.55)
        for number, name in enumerate(DOMAINS):
            away = [1.0 - shares[name].get(name, 0.0) for shares in seconds]
            self.assertLessEqual(self.turns_of(away), 2, name)
            begin = int(number * self.PERIOD)
            steady = away[begin + 5 : begin + int(self.PERIOD)]
            self.assertGreater(min(steady), 0.15, name)
            self.assertLess(max(steady), 0.4, name)
            quiet = away[: max(begin - 1, 0)] + away[begin + int(self.PERIOD) + 6 :]
            self.assertLess(max(quiet, default=0.0), 0.1, name)
        with unittest.mock.patch(
            "tests.test_demand.demand_shares", lambda name, stay, *_: stay
        ):
            _, without = self.run_wave(0.7, 1.55)
        self.assertLess(queued, 0.5 * without)

    def test_everything_stays_home_if_the_wave_fits(self) -> None:
        seconds, _ = self.run_wave(0.45, 1.55)
        for shares in seconds:
            self.assertEqual(shares, {name: {name: 1.0} for name in DOMAINS})


class CountedDemand(DomainCase):
    """Guards against decisions by demand without current figures, or unseen ones."""

    def know(self, *in_flight_and_arrivals: tuple[int, int], at: float = 0.0) -> None:
        """Let the balancer receive the load of each failure domain."""
        services = {
            (SEATS, name): ServiceFigures(SEATS, name, 100, in_flight, arrivals)
            for name, (in_flight, arrivals) in zip(
                DOMAINS, in_flight_and_arrivals, strict=True
            )
        }
        self.state.known_load = KnownLoad(Seconds(at), 60, {}, services)

    def domains(self, now: float) -> Counter[object]:
        """Failure domains that get new flows."""
        ports = range(int(now * 1000), int(now * 1000) + 100)
        return Counter(self.domain_of(self.tag_of(opening(p, p), now)) for p in ports)

    def busy(self, at: float) -> None:
        self.know((300, 2100), (20, 300), (20, 300), at=at)

    def test_new_flows_leave_a_busy_failure_domain(self) -> None:
        self.busy(at=0.0)
        found = self.domains(0.1)
        self.assertGreater(found[SALVADOR], 20)
        self.assertGreater(found[FORTALEZA], 20)
        self.assertGreater(found[RECIFE], 20)

    def test_without_current_figures_flows_stay(self) -> None:
        self.busy(at=0.0)
        self.assertEqual(set(self.domains(FIGURES_TTL + 0.1)), {RECIFE})

    def test_without_requirements_or_with_the_part_off_flows_stay(self) -> None:
        for self.with_requirements, sharing in ((False, True), (True, False)):
            self.make_state()
            self.state.features = Features(load_sharing=sharing)
            self.busy(at=0.0)
            self.assertEqual(set(self.domains(0.1)), {RECIFE})

    def test_operators_see_it(self) -> None:
        load_log = LoadLog(self.state)
        self.busy(at=0.0)
        self.domains(0.1)
        with unittest.mock.patch("wasabigw.tasks.load_log.log") as written:
            load_log.log_changes(Seconds(0.5))
            load_log.log_changes(Seconds(1.0))
            text = render(families_of(self.state, {}, {}, 0, 0, Seconds(1.0))).decode()
            load_log.log_changes(Seconds(FIGURES_TTL + 1))
        events = [call.args[0] for call in written.call_args_list]
        expected = [BalancerEvent.FLOWS_CROSS, BalancerEvent.FLOWS_STAY]
        self.assertEqual(events, expected)
        self.assertRegex(
            text,
            r'new_flow_share\{service="seats",failure_domain="salvador"\} 0\.[2-4]',
        )


if __name__ == "__main__":
    unittest.main()
