"""Answers of new teams: a configuration from right ones, all problems of wrong ones."""

import json
import unittest
from pathlib import Path
from typing import Any

from returns.result import Success

from wasabigw.answer_file import AnswersModel, answers_from, answers_schema
from wasabigw.core.cluster import Service
from wasabigw.core.questionnaire import GeneratedConfiguration, generate
from wasabigw.core.states import FlowLimit
from wasabigw.ctl.interview import interview

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


def example(team: str) -> dict[str, Any]:
    """Answers of one of the teams."""
    text = (EXAMPLES / f"{team}-answers.json").read_text(encoding="utf-8")
    value: dict[str, Any] = json.loads(text)
    return value


def generated(value: dict[str, Any]) -> GeneratedConfiguration:
    """Configuration for right answers."""
    return answers_from(value).bind(generate).unwrap()


def service(configuration: GeneratedConfiguration, name: str) -> Service:
    """Service of a configuration."""
    services = configuration.configuration.services
    return next(item for item in services if item.id == name)


def places(value: dict[str, Any]) -> set[str]:
    """Questions whose answers are wrong."""
    return {problem.where for problem in answers_from(value).failure()}


class RightAnswers(unittest.TestCase):
    """Guards against a configuration that differs from what the team needs."""

    def test_reservations_are_never_repeatable_and_come_first(self) -> None:
        configuration = generated(example("cavalcanti"))
        seats = service(configuration, "seats")
        documents = service(configuration, "documents")
        self.assertFalse(seats.repeatable)
        self.assertTrue(documents.repeatable)
        self.assertGreater(seats.priority, documents.priority)
        self.assertEqual(documents.request_deadline, 600)

    def test_one_request_per_flow_is_limited_by_slots(self) -> None:
        value = example("tanrend")
        value["services"][1].update(flows="one-request", peak_open_flows=9)
        syllabus = service(generated(value), "syllabus")
        self.assertIs(syllabus.limit_by, FlowLimit.SLOTS)

    def test_each_generated_value_is_explained(self) -> None:
        configuration = generated(example("tanrend"))
        explained = {item.key for item in configuration.explanations}
        fields = set(Service.__dataclass_fields__) - {"id"}
        for item in configuration.configuration.services:
            self.assertLessEqual(
                {f"services.{item.id}.{field}" for field in fields}, explained
            )

    def test_peak_that_needs_all_failure_domains_gives_advice(self) -> None:
        value = example("cavalcanti")
        value["services"][0]["peak_open_flows"] = 13_000
        self.assertIn("failure domains out of service", generated(value).advice[0])

    def test_schema_names_every_answer(self) -> None:
        self.assertEqual(set(example("tanrend")), set(answers_schema()["properties"]))


class WrongAnswers(unittest.TestCase):
    """Guards against a configuration from answers that contradict each other."""

    def test_unreadable_and_clashing_answers_are_reported_in_one_go(self) -> None:
        value = example("cavalcanti")
        seats, documents = value["services"]
        seats["port"] = "https"
        del seats["connections"]
        documents["failure_domains"] = ["recif", "salvador", "salvador"]
        documents["peak_open_flows"] = 9_999
        documents["requests"][0]["deadline_seconds"] = 0.001
        value["servics"] = []
        self.assertEqual(
            places(value),
            {
                "services[0].port",
                "services[0].connections",
                "services[1].failure_domains[0]",
                "services[1].failure_domains[2]",
                "services[1].peak_open_flows",
                "services[1].requests[0].deadline_seconds",
                "servics",
            },
        )

    def test_capacity_clash_says_what_was_read_and_what_fits(self) -> None:
        value = example("cavalcanti")
        value["services"][1]["peak_open_flows"] = 6_001
        (problem,) = answers_from(value).failure()
        self.assertEqual(problem.read, "6001")
        self.assertIn("at most 6000", problem.expected)

    def test_two_services_with_one_endpoint_or_name(self) -> None:
        value = example("tanrend")
        value["services"][1] = dict(value["services"][0])
        self.assertEqual(places(value), {"services[1].name", "services[1].port"})

    def test_new_flows_beyond_the_admission_limit(self) -> None:
        value = example("tanrend")
        value["services"][1]["peak_new_flows_per_second"] = 601
        self.assertEqual(places(value), {"services[1].peak_new_flows_per_second"})

    def test_structures_of_the_wrong_kind_are_values_not_crashes(self) -> None:
        for wrong in (5, None, True, [], {}, [5], {"a": 1}):
            for key in example("tanrend"):
                with self.subTest(key=key, wrong=wrong):
                    found = answers_from({**example("tanrend"), key: wrong}).failure()
                    self.assertTrue(any(item.where.startswith(key) for item in found))

    def test_unread_failure_domain_causes_no_further_problems(self) -> None:
        value = example("tanrend")
        value["failure_domains"][0] = 7
        self.assertEqual(places(value), {"failure_domains[0]"})


class Interview(unittest.TestCase):
    """Guards against questions whose answers differ from those of a file."""

    def test_answers_given_one_by_one_equal_the_file(self) -> None:
        expected = AnswersModel.model_validate(example("cavalcanti"))
        replies = iter(["", *self._replies(expected)])
        told: list[str] = []
        given = interview(AnswersModel, lambda *_: next(replies), told.append)
        self.assertEqual(AnswersModel.model_validate(given), expected)
        self.assertIn("expected an answer", told[0])
        self.assertIsInstance(answers_from(given), Success)

    def _replies(self, value: Any) -> list[str]:
        if hasattr(value, "model_fields_set"):
            fields = [getattr(value, name) for name in type(value).model_fields]
            return [reply for field in fields for reply in self._replies(field)]
        if isinstance(value, tuple) and value and isinstance(value[0], str):
            return [", ".join(value)]
        if isinstance(value, tuple):
            replies = [reply for item in value for reply in self._replies(item)]
            return [str(len(value)), *replies]
        if isinstance(value, bool):
            return ["yes" if value else "no"]
        return [str(getattr(value, "value", value))]
