"""Operators that send changes and resend them if an answer is lost."""

from collections.abc import Callable
from typing import Any

from wasabigw.core.cluster import Applied, Refusal
from wasabigw.core.commands import Change, ChangeRequest
from wasabigw.core.ids import RequestId, Revision
from wasabigw.core.states import RefusalCode
from wasabigw.tasks.voter_calls import ChangeCall, StateCall, StateView
from wasabigw_verify import record as r
from wasabigw_verify.harness.control_clients import VoterClient
from wasabigw_verify.harness.environment import Environment

RETRY_INTERVAL = 0.3
HOST = "operators"


class Operator:
    """Sends one change, and resends it until the outcome is known.

    :param expected: configuration revision that the change is based on; ``None`` reads
        it from the leader, also again after a conflict.
    :param answers_lost: number of answers that are lost before one arrives.
    :param done: called with the outcome.
    """

    def __init__(
        self,
        simulation: Environment,
        change: Change,
        expected: Revision | None = None,
        answers_lost: int = 0,
        done: Callable[[Applied | Refusal], None] | None = None,
    ) -> None:
        self._simulation = simulation
        self._change = change
        self._request: ChangeRequest | None = None
        self._answers_lost = answers_lost
        self._lost_answer: Applied | Refusal | None = None
        self._done = done
        self._control = VoterClient(simulation, HOST)
        self._retry_on_conflict = expected is None
        if expected is None:
            self._read_state()
        else:
            self._prepare_request(expected)

    def _read_state(self, pause: float = 0.0) -> None:
        self._later(
            pause,
            lambda: self._control.call(StateCall, self._handle_state, self._read_state),
        )

    def _later(self, pause: float, action: Callable[[], None]) -> None:
        self._simulation.network.call_later(max(pause, 0.001), action)

    def _handle_state(self, answer: Any) -> None:
        if isinstance(answer, StateView):
            self._prepare_request(answer.configuration_revision)
        else:
            self._read_state(RETRY_INTERVAL)

    def _prepare_request(self, expected: Revision) -> None:
        self._lost_answer = None
        name = RequestId(f"change-{self._simulation.next_number()}")
        self._request = ChangeRequest(name, expected, self._change)
        self._send()

    def _send(self, pause: float = 0.0) -> None:
        request = self._request
        assert request is not None

        def make(reply: Any) -> ChangeCall:
            self._simulation.report_proposal()
            return ChangeCall(request, reply)

        self._later(
            pause, lambda: self._control.call(make, self._handle_answer, self._send)
        )

    def _handle_answer(self, answer: Any) -> None:
        if self._answers_lost:
            self._answers_lost -= 1
            if isinstance(answer, Applied | Refusal):
                self._lost_answer = self._lost_answer or answer
            self._send(RETRY_INTERVAL)
            return
        if not isinstance(answer, Applied | Refusal):
            self._send(RETRY_INTERVAL)
            return
        assert self._request is not None
        if self._lost_answer not in (None, answer):
            self._simulation.problems.append("a repeated change got another outcome")
        conflict = isinstance(answer, Refusal) and answer.code is RefusalCode.CONFLICT
        if conflict and self._retry_on_conflict:
            self._read_state(RETRY_INTERVAL)
            return
        if isinstance(answer, Applied):
            accepted = r.ChangeAccepted(
                self._simulation.network.now,
                answer.revision,
                self._change,
                self._request.request_id,
                self._request.expected_revision,
            )
            self._simulation.add(accepted)
        if self._done is not None:
            self._done(answer)
