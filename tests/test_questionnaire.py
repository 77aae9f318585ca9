"""Tests of the questionnaire: validation, generated configuration and interview."""

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
    """Example answers of a team."""
    text = (EXAMPLES / f"{team}-answers.json").read_text(encoding="utf-8")
    value: dict[str, Any] = json.loads(text)
    return value


def generated(value: dict[str, Any]) -> GeneratedConfiguration:
    """Configuration generated from valid answers."""
    return answers_from(value).bind(generate).unwrap()


def service(configuration: GeneratedConfiguration, name: str) -> Service:
    """Service with a name in a generated configuration."""
    services = configuration.configuration.services
    return next(item for item in services if item.id == name)


def invalid_keys(value: dict[str, Any]) -> set[str]:
    """Keys of the invalid answers."""
    return {problem.where for problem in answers_from(value).failure()}


class ValidAnswers(unittest.TestCase):
    """Guards against a generated configuration that contradicts the answers."""

    def test_reservations_are_not_repeatable_and_have_priority(self) -> None:
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

    def test_peak_that_needs_all_failure_domains_is_warned_about(self) -> None:
        value = example("cavalcanti")
        value["services"][0]["peak_open_flows"] = 13_000
        self.assertIn("failure domains out of service", generated(value).advice[0])

    def test_schema_contains_every_answer(self) -> None:
        self.assertEqual(set(example("tanrend")), set(answers_schema()["properties"]))


class InvalidAnswers(unittest.TestCase):
    """Guards against a configuration generated from inconsistent answers."""

    def test_malformed_and_inconsistent_answers_are_reported_together(self) -> None:
        value = example("cavalcanti")
        seats, documents = value["services"]
        seats["port"] = "https"
        del seats["connections"]
        documents["failure_domains"] = ["recif", "salvador", "salvador"]
        documents["peak_open_flows"] = 9_999
        documents["requests"][0]["deadline_seconds"] = 0.001
        value["servics"] = []
        self.assertEqual(
            invalid_keys(value),
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

    def test_excess_load_reports_the_value_and_the_capacity(self) -> None:
        value = example("cavalcanti")
        value["services"][1]["peak_open_flows"] = 6_001
        (problem,) = answers_from(value).failure()
        self.assertEqual(problem.read, "6001")
        self.assertIn("at most 6000", problem.expected)

    def test_duplicate_service_name_and_endpoint_are_reported(self) -> None:
        value = example("tanrend")
        value["services"][1] = dict(value["services"][0])
        self.assertEqual(invalid_keys(value), {"services[1].name", "services[1].port"})

    def test_rate_above_the_admission_limit_is_reported(self) -> None:
        value = example("tanrend")
        value["services"][1]["peak_new_flows_per_second"] = 601
        self.assertEqual(invalid_keys(value), {"services[1].peak_new_flows_per_second"})

    def test_values_of_the_wrong_type_are_reported(self) -> None:
        for malformed in (5, None, True, [], {}, [5], {"a": 1}):
            for key in example("tanrend"):
                with self.subTest(key=key, malformed=malformed):
                    found = answers_from(
                        {**example("tanrend"), key: malformed}
                    ).failure()
                    self.assertTrue(any(item.where.startswith(key) for item in found))

    def test_malformed_failure_domain_causes_no_further_problems(self) -> None:
        value = example("tanrend")
        value["failure_domains"][0] = 7
        self.assertEqual(invalid_keys(value), {"failure_domains[0]"})


class Interview(unittest.TestCase):
    """Guards against an interview that gives other answers than the answer file."""

    def test_interview_gives_the_same_answers_as_the_file(self) -> None:
        expected = AnswersModel.model_validate(example("cavalcanti"))
        replies = iter(["", *self._replies(expected)])
        printed: list[str] = []
        given = interview(AnswersModel, lambda *_: next(replies), printed.append)
        self.assertEqual(AnswersModel.model_validate(given), expected)
        self.assertIn("expected an answer", printed[0])
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
