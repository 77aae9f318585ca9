"""Validation of settings files, and the generated page of the settings."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from returns.result import Failure, Success

from wasabigw.core.cluster import Endpoint
from wasabigw.core.problems import Problem
from wasabigw.settings import (
    Role,
    load_settings,
    parse_settings,
    settings_from,
    settings_schema,
)
from wasabigw.settings_page import settings_page

DOCS = Path(__file__).resolve().parent.parent / "docs"


def balancer() -> dict[str, Any]:
    """Valid settings of a balancer."""
    return {
        "role": "balancer",
        "node_id": "recife-1",
        "failure_domain": "recife",
        "region": "north-east-brazil",
        "api_endpoint": "127.0.0.1:8080",
        "data_endpoint": "127.0.0.1:6081",
        "fabric_endpoint": "127.0.0.1:6082",
        "control_endpoints": ["127.0.0.1:9001"],
        "token_file": "/etc/wasabigw/token",
    }


def control() -> dict[str, Any]:
    """Valid settings of a voter."""
    return {
        "role": "control",
        "node_id": "control-1",
        "failure_domain": "recife",
        "region": "north-east-brazil",
        "api_endpoint": "127.0.0.1:9001",
        "voters": {"control-1": "127.0.0.1:9001", "control-2": "127.0.0.1:9002"},
        "data_folder": "/var/lib/wasabigw",
        "token_file": "/etc/wasabigw/token",
    }


def problems(value: dict[str, Any]) -> dict[str, Problem]:
    """Problems of invalid settings by key."""
    return {problem.where: problem for problem in settings_from(value).failure()}


class ValidSettings(unittest.TestCase):
    """Guards against a valid file that is refused or decoded wrongly."""

    def test_settings_of_both_roles_are_accepted(self) -> None:
        settings = settings_from(balancer()).unwrap()
        self.assertIs(settings.role, Role.BALANCER)
        self.assertEqual(settings.data_endpoint, Endpoint("127.0.0.1", 6081))
        self.assertIsInstance(settings_from(control()), Success)

    def test_schema_lists_every_key(self) -> None:
        self.assertLessEqual(set(control()), set(settings_schema()["properties"]))


class InvalidSettings(unittest.TestCase):
    """Guards against invalid settings that are accepted or reported one at a time."""

    def test_all_problems_are_reported_together(self) -> None:
        value = balancer()
        del value["region"], value["fabric_endpoint"]
        value.update(node_id="A B", data_endpoint="1.2.3:5", control_endpoint="x")
        value.update(trace_sample_rate="0.5", limits={"flow_cach_entries": 3})
        found = problems(value)
        self.assertEqual(
            set(found),
            {
                "region",
                "fabric_endpoint",
                "node_id",
                "data_endpoint",
                "control_endpoint",
                "trace_sample_rate",
                "limits.flow_cach_entries",
            },
        )
        self.assertIn("'control_endpoints'", found["control_endpoint"].expected)
        self.assertIn(
            "'flow_cache_entries'", found["limits.flow_cach_entries"].expected
        )
        self.assertEqual(found["node_id"].read, "'A B'")

    def test_values_outside_their_range_are_refused(self) -> None:
        value = balancer()
        value.update(trace_sample_rate=1.5, limits={"http_threads": True})
        self.assertEqual(
            set(problems(value)), {"trace_sample_rate", "limits.http_threads"}
        )

    def test_keys_of_the_other_role_are_refused(self) -> None:
        self.assertIn("voters", problems({**balancer(), "voters": {"a": "1.2.3.4:5"}}))

    def test_own_voter_that_is_missing_or_has_another_endpoint_is_refused(self) -> None:
        self.assertIn("voters", problems({**control(), "node_id": "control-3"}))
        moved = {**control(), "api_endpoint": "127.0.0.1:9"}
        self.assertIn("voters.control-1", problems(moved))

    def test_two_voters_with_the_same_endpoint_are_refused(self) -> None:
        voters = dict.fromkeys(("control-1", "control-2"), "127.0.0.1:9001")
        self.assertIn("voters", problems({**control(), "voters": voters}))

    def test_text_that_is_not_a_strict_json_object_is_refused(self) -> None:
        for text in ("{", "[]", '{"a": NaN}', "[" * 100_000):
            with self.subTest(text=text[:10]):
                self.assertIsInstance(parse_settings(text), Failure)

    def test_duplicate_key_is_refused(self) -> None:
        text = json.dumps(balancer())
        self.assertIsInstance(parse_settings(text), Success)
        twice = text.replace("{", '{"node_id": "other", ', 1)
        (problem,) = parse_settings(twice).failure()
        self.assertIn("duplicate key 'node_id'", problem.read)

    def test_unreadable_file_is_refused(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "settings.json")
            self.assertIsInstance(load_settings(path), Failure)
            path.write_bytes(b"\xff")
            self.assertIn("UTF-8", load_settings(path).failure()[0].read)
            path.write_text(json.dumps(balancer()), encoding="utf-8")
            self.assertIsInstance(load_settings(path), Success)


class SettingsPage(unittest.TestCase):
    """Guards against a page that differs from the settings model."""

    def test_page_matches_the_model(self) -> None:
        page = (DOCS / "settings.md").read_text(encoding="utf-8")
        self.assertEqual(page, settings_page())
