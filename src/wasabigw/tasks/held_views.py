"""Calls for the delivery view that a voter holds until something has changed."""

from dataclasses import dataclass

from wasabigw.core.cluster_view import view_of
from wasabigw.core.consensus import lease
from wasabigw.core.consensus.state import VoterState
from wasabigw.core.delivery_view import DeliveryView, update_since
from wasabigw.core.ids import Seconds
from wasabigw.tasks.standing import Standing
from wasabigw.tasks.voter_calls import Overloaded, ViewCall

MAX_HELD_VIEWS = 1024
"""Calls that are held at the same time; more are refused."""


@dataclass(frozen=True, slots=True)
class _HeldView:
    call: ViewCall
    received: Seconds
    until: Seconds


class HeldViews:
    """Calls of those that follow the delivery view at this voter.

    Every voter answers from its own copy and says how long that is known to be
    current.

    :param voter: its state, only read.
    """

    def __init__(self, voter: VoterState) -> None:
        self._voter = voter
        self._held: list[_HeldView] = []
        self._view = DeliveryView()

    def take(self, call: ViewCall, standing: Standing) -> None:
        """Hold a call, or answer it if something has changed."""
        if call.after != standing.cluster.revision or call.wait <= 0:
            self._answer(call, standing.now, standing)
        elif len(self._held) >= MAX_HELD_VIEWS:
            call.reply.post(Overloaded(f"{MAX_HELD_VIEWS} calls for views are held"))
        else:
            until = Seconds(standing.now + call.wait)
            self._held.append(_HeldView(call, standing.now, until))

    def answer_due(self, standing: Standing) -> None:
        """Answer the calls that have waited long enough or lack something."""
        held, self._held = self._held, []
        for entry in held:
            has_changed = entry.call.after != standing.cluster.revision
            if has_changed or standing.now >= entry.until:
                self._answer(entry.call, entry.received, standing)
            else:
                self._held.append(entry)

    def _answer(self, call: ViewCall, received: Seconds, standing: Standing) -> None:
        if self._view.revision != standing.cluster.revision:
            self._view = view_of(standing.cluster)
        rest = lease.view_lease_left(self._voter, standing.now)
        fresh_for = Seconds(standing.now - received + rest if rest > 0 else 0.0)
        update = update_since(self._view, call.after, fresh_for)
        call.reply.post(update)
