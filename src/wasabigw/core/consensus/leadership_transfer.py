"""Leadership transfer, as in Raft (Ongaro, dissertation, section 3.10).

A leader that is to stop asks another voter to stand for election at once, so that the
others need not wait for an election timeout.
"""

from wasabigw.core.consensus.effects import Effect, SendMessage
from wasabigw.core.consensus.election import step_down
from wasabigw.core.consensus.lease import counted_voters
from wasabigw.core.consensus.messages import TransferRequest
from wasabigw.core.consensus.reconfiguration import is_in_contact, is_stopping
from wasabigw.core.consensus.state import VoterState
from wasabigw.core.ids import NodeId, Seconds


def pass_leadership(state: VoterState, now: Seconds, jitter: float) -> list[Effect]:
    """Pass the leadership on; no effect if no voter is ready to lead."""
    successor = _successor(state, now)
    if successor is None:
        return []
    request = SendMessage(successor, state.envelope(TransferRequest()))
    state.reset_election_timer(now, jitter)
    return [request, *step_down(state)]


def _successor(state: VoterState, now: Seconds) -> NodeId | None:
    """Voter that holds the whole log and answers, to lead next."""
    ready = counted_voters(state, state.log.last_revision) - {state.node}
    candidates = [
        name
        for name in ready
        if state.progress[name].admitted
        and is_in_contact(name, state, now)
        and not is_stopping(state.progress[name], now)
    ]
    return max(
        candidates,
        key=lambda name: (state.progress[name].last_contact, name),
        default=None,
    )
