"""Long polls for the delivery view, held until the view changes."""

from dataclasses import dataclass

from wasabigw.core.cluster_view import view_of
from wasabigw.core.consensus import lease
from wasabigw.core.consensus.state import VoterState
from wasabigw.core.delivery_view import DeliveryView, update_since
from wasabigw.core.ids import Seconds
from wasabigw.tasks.voter_calls import Overloaded, ViewCall
from wasabigw.tasks.voter_context import VoterContext

MAX_HELD_CALLS = 1024
"""Calls held at the same time; more are refused."""


@dataclass(frozen=True, slots=True)
class _HeldCall:
    call: ViewCall
    received: Seconds
    deadline: Seconds


class HeldViewCalls:
    """Calls of the processes that follow the delivery view of this voter.

    Every voter answers, not only the leader: from its own copy of the state, and with
    the time for which that copy is known to be current.

    :param voter: state of the voter, which is only read.
    """

    def __init__(self, voter: VoterState) -> None:
        self._voter = voter
        self._held: list[_HeldCall] = []
        self._view = DeliveryView()

    def receive(self, call: ViewCall, context: VoterContext) -> None:
        """Hold a call, or answer it if the state has changed since its revision."""
        if call.after != context.cluster.revision or call.wait <= 0:
            self._answer(call, context.now, context)
        elif len(self._held) >= MAX_HELD_CALLS:
            call.reply.post(Overloaded(f"{MAX_HELD_CALLS} calls for views are held"))
        else:
            deadline = Seconds(context.now + call.wait)
            self._held.append(_HeldCall(call, context.now, deadline))

    def answer_due(self, context: VoterContext) -> None:
        """Answer the calls whose wait has ended or whose revision is outdated."""
        held, self._held = self._held, []
        for entry in held:
            has_changed = entry.call.after != context.cluster.revision
            if has_changed or context.now >= entry.deadline:
                self._answer(entry.call, entry.received, context)
            else:
                self._held.append(entry)

    def _answer(self, call: ViewCall, received: Seconds, context: VoterContext) -> None:
        if self._view.revision != context.cluster.revision:
            self._view = view_of(context.cluster)
        remaining = lease.view_lease_left(self._voter, context.now)
        fresh_for = Seconds(
            context.now - received + remaining if context.is_current else 0.0
        )
        update = update_since(self._view, call.after, fresh_for)
        call.reply.post(update)
