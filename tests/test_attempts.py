"""Tests of the failover of operators' calls between control endpoints."""

import unittest

from wasabigw.core.attempts import (
    MAX_REDIRECTS,
    CallStarted,
    CallState,
    ConnectionFailed,
    DeadlineExceeded,
    ResponseLost,
    ResponseReceived,
    ReturnResponse,
    SendTo,
    handle,
)
from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds

A = Endpoint("127.0.0.1", 1)
B = Endpoint("127.0.0.1", 2)
LEADER = Endpoint("127.0.0.1", 3)
NOW = Seconds(1.0)


class Attempts(unittest.TestCase):
    """Guards against calls that fail with the first endpoint or never end."""

    def setUp(self) -> None:
        self.state = CallState((A, B), Seconds(10.0))
        self.assertEqual(handle(CallStarted(NOW), self.state), SendTo(A))

    def test_next_endpoint_is_tried_at_once_with_a_pause_after_each_round(self) -> None:
        self.assertEqual(handle(ConnectionFailed(NOW), self.state), SendTo(B))
        decision = handle(ResponseLost(NOW), self.state)
        self.assertIsInstance(decision, SendTo)
        assert isinstance(decision, SendTo)
        self.assertEqual(decision.endpoint, A)
        self.assertGreater(decision.after, 0)

    def test_redirect_is_followed_a_limited_number_of_times(self) -> None:
        redirect = ResponseReceived(NOW, 307, LEADER)
        for _ in range(MAX_REDIRECTS):
            self.assertEqual(handle(redirect, self.state), SendTo(LEADER))
        self.assertEqual(handle(redirect, self.state), SendTo(B))

    def test_redirect_without_a_location_tries_the_next_endpoint(self) -> None:
        self.assertEqual(handle(ResponseReceived(NOW, 307), self.state), SendTo(B))

    def test_refusals_are_final(self) -> None:
        for status in (200, 400, 401, 409):
            self.assertEqual(
                handle(ResponseReceived(NOW, status), self.state), ReturnResponse()
            )

    def test_retry_after_delays_the_next_attempt(self) -> None:
        handle(ConnectionFailed(NOW), self.state)
        response = ResponseReceived(NOW, 503, retry_after=Seconds(2.0))
        self.assertEqual(handle(response, self.state), SendTo(A, Seconds(2.0)))

    def test_deadline_before_any_request_was_received_is_a_known_outcome(self) -> None:
        late = Seconds(11.0)
        self.assertEqual(
            handle(ConnectionFailed(late), self.state), DeadlineExceeded(False)
        )

    def test_lost_response_or_server_error_leaves_the_outcome_unknown(self) -> None:
        late = Seconds(11.0)
        for event in (ResponseLost(NOW), ResponseReceived(NOW, 503)):
            with self.subTest(event=event):
                state = CallState((A, B), Seconds(10.0))
                handle(CallStarted(NOW), state)
                handle(event, state)
                self.assertEqual(
                    handle(ConnectionFailed(late), state), DeadlineExceeded(True)
                )
