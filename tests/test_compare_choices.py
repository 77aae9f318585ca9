"""Comparison of ways to choose a backend server, and the feedback of the built one."""

import unittest
from itertools import pairwise
from statistics import fmean
from unittest import mock

from wasabigw_measure import _choices_world as world_module
from wasabigw_measure.compare_choices import (
    CASES,
    WAYS,
    WAYS_WITHOUT_AGE,
    Outcome,
    measure,
    shared_load,
)


def outcome_of(case: str, way: str, age: float = 2.0, balancers: int = 80) -> Outcome:
    """Figures of a way with the callers of seed 5."""
    make = {**WAYS, **WAYS_WITHOUT_AGE}[way]
    return measure(make, CASES[case], balancers, age, seed=5)


def world_of() -> world_module.World:
    """World after a run of the built choice with the callers of seed 5."""
    world = world_module.World(shared_load(), CASES["equal speeds"], 80, 2.0, seed=5)
    world.run()
    return world


class Comparison(unittest.TestCase):
    """Guards against figures of the comparison that can't be repeated."""

    def test_a_run_with_the_same_seed_gives_the_same_figures(self) -> None:
        with mock.patch.object(world_module, "HORIZON", world_module.WARM_UP + 2):
            worlds = [world_of(), world_of()]
        self.assertEqual(worlds[0].waits, worlds[1].waits)
        self.assertEqual(worlds[0].work, worlds[1].work)


class BuiltChoice(unittest.TestCase):
    """Guards against uneven load by figures that are 2 s old."""

    def test_it_is_as_even_as_two_choices_by_fresh_figures(self) -> None:
        for case in ("equal speeds", "speeds 0.7, 0.7, 1.7"):
            with self.subTest(case=case):
                built = outcome_of(case, "shared load (built)")
                fresh = outcome_of(case, "two choices, requests, fresh")
                self.assertLessEqual(built.busiest, fresh.busiest)


class Feedback(unittest.TestCase):
    """Guards against swings: a loaded one seems slow, loses its flows, seems fast."""

    def test_shares_do_not_swing_near_saturation(self) -> None:
        with mock.patch.object(world_module, "UTILIZATION", 0.85):
            world = world_of()
        periods = [range(start, start + 4) for start in range(6, 26, 4)]
        loads = [
            [sum(world.work[s, n] for s in period) for n in range(world_module.SERVERS)]
            for period in periods
        ]
        for load in loads:
            self.assertLess(max(load), 1.35 * fmean(load))
            self.assertGreater(min(load), 0.65 * fmean(load))
        for before, after in pairwise(loads):
            # A swing would turn the busiest ones into the idlest of the next period.
            busiest = sorted(range(len(before)), key=before.__getitem__)[-10:]
            self.assertGreater(fmean(after[n] for n in busiest), 0.9 * fmean(after))


if __name__ == "__main__":
    unittest.main()
