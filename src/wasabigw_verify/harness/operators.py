"""Operators, who send changes, race with each other and repeat lost ones."""

from collections.abc import Callable
from typing import Any

from wasabigw.core.cluster import Applied, Refusal
from wasabigw.core.commands import Change, ChangeRequest
from wasabigw.core.ids import RequestId, Revision
from wasabigw.core.states import RefusalCode
from wasabigw.tasks.voter_calls import ChangeCall, StateCall, StateView
from wasabigw_verify import record as r
from wasabigw_verify.harness.control_clients import ControlCaller
from wasabigw_verify.harness.surroundings import Surroundings

RETRY = 0.3
PLACE = "operators"


class Operator:
    """Sends one change until its outcome is known.

    :param expected: revision that the operator saw; read from the leader if ``None``.
    :param answers_lost: first answers that never arrive.
    :param done: gets the outcome.
    """

    def __init__(
        self,
        simulation: Surroundings,
        change: Change,
        expected: Revision | None = None,
        answers_lost: int = 0,
        done: Callable[[Applied | Refusal], None] | None = None,
    ) -> None:
        self._simulation = simulation
        self._change = change
        self._request: ChangeRequest | None = None
        self._answers_lost = answers_lost
        self._lost: Applied | Refusal | None = None
        self._done = done
        self._control = ControlCaller(simulation, PLACE)
        self._may_read = expected is None
        if expected is None:
            self._read()
        else:
            self._prepare(expected)

    def _read(self, pause: float = 0.0) -> None:
        self._later(
            pause, lambda: self._control.call(StateCall, self._seen, self._read)
        )

    def _later(self, pause: float, action: Callable[[], None]) -> None:
        self._simulation.network.call_later(max(pause, 0.001), action)

    def _seen(self, answer: Any) -> None:
        if isinstance(answer, StateView):
            self._prepare(answer.configuration_revision)
        else:
            self._read(RETRY)

    def _prepare(self, expected: Revision) -> None:
        self._lost = None
        name = RequestId(f"change-{self._simulation.next_number()}")
        self._request = ChangeRequest(name, expected, self._change)
        self._send()

    def _send(self, pause: float = 0.0) -> None:
        request = self._request
        assert request is not None

        def make(reply: Any) -> ChangeCall:
            self._simulation.reached_proposal()
            return ChangeCall(request, reply)

        self._later(pause, lambda: self._control.call(make, self._answered, self._send))

    def _answered(self, answer: Any) -> None:
        if self._answers_lost:
            self._answers_lost -= 1
            if isinstance(answer, Applied | Refusal):
                self._lost = self._lost or answer
            self._send(RETRY)
            return
        if not isinstance(answer, Applied | Refusal):
            self._send(RETRY)
            return
        assert self._request is not None
        if self._lost not in (None, answer):
            self._simulation.problems.append("a repeated change got another outcome")
        conflict = isinstance(answer, Refusal) and answer.code is RefusalCode.CONFLICT
        if conflict and self._may_read:
            self._read(RETRY)
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
