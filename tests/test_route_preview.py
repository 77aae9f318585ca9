"""Previews of openings: decision, page of the balancer and ``wasabigwctl route``."""

import json
import unittest
from typing import Any, cast

from typer.testing import CliRunner, Result

from tests.stub_control_server import Reply, StubControlServer
from tests.test_shared_load import SharedLoadCase
from tests.test_tag_steering import opening
from wasabigw.core.ids import Seconds
from wasabigw.core.tags.decisions import Deliver
from wasabigw.core.tags.route_preview import RoutePreview, preview_opening
from wasabigw.ctl.errors import ExitCode
from wasabigw.ctl.main import app
from wasabigw.tasks.light_http import LightRequest
from wasabigw.tasks.route_page import copy_state, respond_with_route

CALLER, KNOWN = "100.64.0.7:1", "198.18.0.1:443"
NOW = Seconds(0.5)


class _Connection:
    """Records the response to a request."""

    status = 0
    body = b""

    def respond(self, status: int, body: bytes = b"", content_type: str = "") -> None:
        self.status, self.body = status, body


class PreviewCase(SharedLoadCase):
    """A balancer with load figures whose page is asked."""

    def ask(self, query: str, now: float = NOW) -> tuple[int, Any]:
        connection = _Connection()
        request = LightRequest(cast(Any, connection), "GET", f"/route?{query}")
        respond_with_route(request, self.state, Seconds(now))
        return connection.status, json.loads(connection.body)

    def preview(self, port: int = 1) -> RoutePreview:
        flow = opening(port).flow
        listener = self.state.listeners[flow.listener, flow.listener_port]
        return preview_opening(flow, listener, self.state, NOW, copy_state)


class Previews(PreviewCase):
    """Guards against a preview that differs from the decision, or that changes it."""

    def test_the_next_opening_goes_where_the_preview_says(self) -> None:
        for port in range(1, 40):
            previewed = self.preview(port).server
            decision = self.decide(opening(port), NOW)
            assert isinstance(decision, Deliver)
            self.assertEqual(previewed, decision.server.id)

    def test_a_preview_leaves_the_balancer_as_it_was(self) -> None:
        self.decide(opening(7), NOW)
        before = repr(self.state)
        self.preview()
        self.assertEqual(repr(self.state), before)

    def test_candidates_have_figures_and_shares(self) -> None:
        candidates = self.preview().candidates
        self.assertAlmostEqual(sum(c.share or 0.0 for c in candidates), 1.0)
        self.assertTrue(all(c.has_figures for c in candidates))


class Page(PreviewCase):
    """Guards against answers that a balancer can't give, and ends of its task."""

    def test_wrong_input_and_a_stale_view_are_errors(self) -> None:
        known = f"caller={CALLER}&listener={KNOWN}"
        cases = {
            "caller=x&listener=198.18.0.1:443": 400,
            f"caller={CALLER}": 400,
            "": 400,
            f"caller={CALLER}&listener=198.18.0.1:444": 404,
            known: 200,
        }
        for query, status in cases.items():
            with self.subTest(query=query):
                found, body = self.ask(query)
                self.assertEqual(found, status)
                self.assertEqual("error" in body, status != 200)
        self.assertEqual(self.ask(known, now=5000.0)[0], 503)
        self.assertEqual(self.ask(f"{known}&stale=1", now=5000.0)[0], 200)


class Command(PreviewCase):
    """Guards against a tool that hides why there is no answer."""

    def run_tool(self, reply: Reply, *options: str) -> Result:
        with StubControlServer() as balancer:
            balancer.reply("/route", reply)
            arguments = ["route", CALLER, KNOWN, "--balancer", balancer.endpoint]
            return CliRunner().invoke(app, [*arguments, *options])

    def test_text_and_json_name_the_backend_server_and_the_reason(self) -> None:
        _, body = self.ask(f"caller={CALLER}&listener={KNOWN}")
        text = self.run_tool(Reply(body))
        self.assertEqual(text.exit_code, ExitCode.SUCCESS, text.output)
        self.assertIn(f"delivered to {body['server']}: {body['reason']}", text.stdout)
        encoded = json.loads(self.run_tool(Reply(body), "-o", "json").stdout)
        self.assertEqual(encoded, body)

    def test_each_failure_has_its_exit_code(self) -> None:
        cases = (
            (Reply({"error": "no such listener"}, 404), ExitCode.INPUT),
            (Reply({"error": "the view is stale"}, 503), ExitCode.UNAVAILABLE),
            (Reply({}, 429), ExitCode.UNAVAILABLE),
            (Reply({}, 404), ExitCode.UNEXPECTED_ANSWER),
            (Reply({"service": 5}), ExitCode.UNEXPECTED_ANSWER),
        )
        for reply, code in cases:
            with self.subTest(reply=reply):
                self.assertEqual(self.run_tool(reply).exit_code, code)

    def test_an_unreachable_balancer_is_unavailable(self) -> None:
        arguments = ["route", CALLER, KNOWN, "--balancer", "127.0.0.1:1"]
        result = CliRunner().invoke(app, arguments)
        self.assertEqual(result.exit_code, ExitCode.UNAVAILABLE)


if __name__ == "__main__":
    unittest.main()
