"""Log polls that a voter holds until there is something new, or answers at once."""

from dataclasses import dataclass

from wasabigw.core.commit_times import CommitTimes, settled_revision
from wasabigw.core.consensus import lease
from wasabigw.core.consensus.messages import Snapshot
from wasabigw.core.consensus.state import VoterState
from wasabigw.core.ids import NodeId, Revision, Seconds
from wasabigw.core.log_messages import LogBatch, NotLeader
from wasabigw.core.timing import LOG_POLL_WAIT
from wasabigw.tasks.standing import Standing
from wasabigw.tasks.voter_calls import Overloaded, PollCall
from wasabigw.telemetry.events_control import ControlEvent
from wasabigw.telemetry.log_events import log

MAX_HELD_POLLS = 4096
"""Balancers whose polls are held at the same time; more are refused."""
MAX_ENTRIES_PER_BATCH = 256
"""Entries in one answer to a log poll."""


@dataclass(frozen=True, slots=True)
class _HeldPoll:
    call: PollCall
    until: Seconds


class HeldPolls:
    """Polls of the balancers that follow the log at this voter.

    :param voter: its state, only read.
    """

    def __init__(self, voter: VoterState, commit_times: CommitTimes) -> None:
        self._voter = voter
        self._commit_times = commit_times
        self._held: dict[NodeId, _HeldPoll] = {}

    def take(self, call: PollCall, standing: Standing) -> None:
        """Hold a poll, or answer it if the balancer lacks something."""
        poll = call.poll
        if poll.node.id not in self._held and len(self._held) >= MAX_HELD_POLLS:
            call.reply.post(Overloaded(f"{MAX_HELD_POLLS} log polls are held"))
            return
        replaced = self._held.pop(poll.node.id, None)
        if replaced is not None:
            self._answer(replaced.call, standing)
        wait = min(poll.wait, LOG_POLL_WAIT)
        if poll.applied != standing.cluster.revision or wait <= 0:
            self._answer(call, standing)
            return
        self._held[poll.node.id] = _HeldPoll(call, Seconds(standing.now + wait))

    def answer_due(self, standing: Standing) -> None:
        """Answer the polls that have waited long enough or lack something."""
        applied = standing.cluster.revision
        due = [
            node
            for node, held in self._held.items()
            if not (standing.is_leader or held.call.poll.relay)
            or standing.now >= held.until
            or held.call.poll.applied != applied
        ]
        for node in due:
            self._answer(self._held.pop(node).call, standing)

    def end_leadership(self, refusal: NotLeader) -> None:
        """Refuse the polls that only a leader may answer."""
        for node, held in list(self._held.items()):
            if not held.call.poll.relay:
                del self._held[node]
                held.call.reply.post(refusal)

    def _answer(self, call: PollCall, standing: Standing) -> None:
        poll = call.poll
        if not standing.is_leader and not poll.relay:
            call.reply.post(standing.refusal)
        elif poll.applied > self._voter.committed:
            self._answer_one_ahead(call)
        else:
            call.reply.post(self._batch(poll.applied, standing))

    def _answer_one_ahead(self, call: PollCall) -> None:
        poll = call.poll
        if poll.relay:
            # It followed another voter that knew of later commits.
            voter = self._voter
            call.reply.post(LogBatch(voter.term, voter.committed, Seconds(0.0)))
            return
        log(
            ControlEvent.NODE_AHEAD,
            node=poll.node.id,
            applied=poll.applied,
            committed=self._voter.committed,
        )
        call.reply.post(NotLeader(None))

    def _batch(self, applied: Revision, standing: Standing) -> LogBatch:
        voter = self._voter
        now = standing.now
        snapshot: Snapshot | None = None
        if applied < voter.log.available_after:
            snapshot = voter.snapshot
            applied = snapshot.revision
        settled = applied
        if standing.is_leader:
            settled = settled_revision(self._commit_times, now)
        return LogBatch(
            voter.term,
            voter.committed,
            Seconds(max(0.0, lease.view_for(voter, now))),
            tuple(voter.log.after(applied, voter.committed, MAX_ENTRIES_PER_BATCH)),
            snapshot.state if snapshot else None,
            settled,
        )
