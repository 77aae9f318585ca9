"""Faults that are planted to see whether the models find them."""

import unittest

from wasabigw.core.ids import Seconds
from wasabigw.core.tags import steering
from wasabigw.core.tags.liveness import health
from wasabigw_verify.evidence_model.fault_cases import NOT_FOUND, SCENARIOS
from wasabigw_verify.evidence_model.faults import FAULTS
from wasabigw_verify.evidence_model.runs import run
from wasabigw_verify.planted_faults import PlantedFault, PlantingError, planted
from wasabigw_verify.registration_model import fault_cases as registration_cases
from wasabigw_verify.registration_model import faults as registration_faults
from wasabigw_verify.registration_model.runs import play

TTL = PlantedFault(
    "host stays unreachable for a minute",
    "wasabigw.core.tags.liveness.health",
    "now - breaker.unreachable_at < UNREACHABLE_TTL",
    "now - breaker.unreachable_at < 60.0",
)


class Planting(unittest.TestCase):
    """Guards against a fault that is not planted, or that stays."""

    def test_importers_of_the_function_run_the_fault(self) -> None:
        breaker = health.CircuitBreaker(unreachable_at=Seconds(0.0))
        later = Seconds(10.0)
        imported = vars(steering)["is_unreachable"]
        self.assertFalse(imported(breaker, later))
        with planted(TTL):
            self.assertTrue(imported(breaker, later))
        self.assertFalse(imported(breaker, later))

    def test_condition_that_is_not_there_any_more(self) -> None:
        gone = PlantedFault("gone", TTL.module, "if the code has changed:", "")
        with self.assertRaisesRegex(PlantingError, "0 places"), planted(gone):
            pass

    def test_condition_that_is_there_twice(self) -> None:
        twice = PlantedFault("twice", TTL.module, "breaker.failures > 0", "True")
        with self.assertRaisesRegex(PlantingError, "places"), planted(twice):
            pass

    def test_change_without_effect(self) -> None:
        same = PlantedFault("same", TTL.module, TTL.condition, f"({TTL.condition})")
        with self.assertRaisesRegex(PlantingError, "no function"), planted(same):
            pass


class Conditions(unittest.TestCase):
    """Guards against a model that misses a condition that protects open flows."""

    def test_each_fault_has_a_scenario_or_a_reason(self) -> None:
        names = [fault.name for fault in FAULTS]
        self.assertCountEqual(names, [*SCENARIOS, *NOT_FOUND])

    def test_the_code_holds_in_each_scenario(self) -> None:
        for name, scenario in SCENARIOS.items():
            with self.subTest(fault=name):
                self.assertEqual(run(scenario).findings, ())

    def test_each_fault_is_found(self) -> None:
        for fault in FAULTS:
            if fault.name in NOT_FOUND:
                continue
            with self.subTest(fault=fault.name), planted(fault):
                self.assertNotEqual(run(SCENARIOS[fault.name]).findings, ())

    def test_the_others_can_be_planted(self) -> None:
        for fault in FAULTS:
            if fault.name in NOT_FOUND:
                with self.subTest(fault=fault.name), planted(fault):
                    pass


class RegistrationConditions(unittest.TestCase):
    """Guards against a model that misses a condition of the registrations."""

    def test_each_fault_has_steps_or_a_reason(self) -> None:
        names = [fault.name for fault in registration_faults.FAULTS]
        known = [*registration_cases.STEPS, *registration_cases.NOT_FOUND]
        self.assertCountEqual(names, known)

    def test_the_code_holds_in_each_run(self) -> None:
        for name, steps in registration_cases.STEPS.items():
            with self.subTest(fault=name):
                play(steps)

    def test_each_fault_is_found(self) -> None:
        for fault in registration_faults.FAULTS:
            if fault.name in registration_cases.NOT_FOUND:
                continue
            found = self.assertRaises(AssertionError)
            with self.subTest(fault=fault.name), planted(fault), found:
                play(registration_cases.STEPS[fault.name])

    def test_the_others_can_be_planted(self) -> None:
        for fault in registration_faults.FAULTS:
            if fault.name in registration_cases.NOT_FOUND:
                with self.subTest(fault=fault.name), planted(fault):
                    pass


if __name__ == "__main__":
    unittest.main()
