"""Long polls for the log, held until new entries are committed."""

from dataclasses import dataclass

from wasabigw.core.commit_times import CommitTimes, settled_revision
from wasabigw.core.consensus import lease
from wasabigw.core.consensus.messages import Snapshot
from wasabigw.core.consensus.state import VoterState
from wasabigw.core.ids import NodeId, Revision, Seconds
from wasabigw.core.log_messages import LogBatch, NotLeader
from wasabigw.core.timing import LOG_POLL_WAIT
from wasabigw.tasks.voter_calls import Overloaded, PollCall
from wasabigw.tasks.voter_context import VoterContext
from wasabigw.telemetry.events_control import ControlEvent
from wasabigw.telemetry.log_events import log

MAX_HELD_POLLS = 4096
"""Polls held at the same time, one for each balancer; more are refused."""
MAX_ENTRIES_PER_BATCH = 256
"""Entries in one answer to a log poll."""


@dataclass(frozen=True, slots=True)
class _HeldPoll:
    call: PollCall
    deadline: Seconds


class HeldPolls:
    """Log polls of the balancers that follow the log of this voter.

    :param voter: state of the voter, which is only read.
    """

    def __init__(self, voter: VoterState, commit_times: CommitTimes) -> None:
        self._voter = voter
        self._commit_times = commit_times
        self._held: dict[NodeId, _HeldPoll] = {}

    def receive(self, call: PollCall, context: VoterContext) -> None:
        """Hold a poll, or answer it if the balancer has not applied the latest entry.

        A balancer has at most one held poll; an older one is answered first.
        """
        poll = call.poll
        if poll.node.id not in self._held and len(self._held) >= MAX_HELD_POLLS:
            call.reply.post(Overloaded(f"{MAX_HELD_POLLS} log polls are held"))
            return
        replaced = self._held.pop(poll.node.id, None)
        if replaced is not None:
            self._answer(replaced.call, context)
        wait = min(poll.wait, LOG_POLL_WAIT)
        if poll.applied != context.cluster.revision or wait <= 0:
            self._answer(call, context)
            return
        self._held[poll.node.id] = _HeldPoll(call, Seconds(context.now + wait))

    def answer_due(self, context: VoterContext) -> None:
        """Answer the polls whose wait has ended or whose balancer is behind."""
        applied = context.cluster.revision
        due = [
            node
            for node, held in self._held.items()
            if not context.is_leader
            or context.now >= held.deadline
            or held.call.poll.applied != applied
        ]
        for node in due:
            self._answer(self._held.pop(node).call, context)

    def end_leadership(self, refusal: NotLeader) -> None:
        """Refuse all held polls."""
        for held in self._held.values():
            held.call.reply.post(refusal)
        self._held.clear()

    def _answer(self, call: PollCall, context: VoterContext) -> None:
        poll = call.poll
        if not context.is_leader:
            call.reply.post(context.refusal)
        elif poll.applied > self._voter.committed:
            log(
                ControlEvent.NODE_AHEAD,
                node=poll.node.id,
                applied=poll.applied,
                committed=self._voter.committed,
            )
            call.reply.post(NotLeader(None))
        else:
            call.reply.post(self._batch(poll.applied, context.now))

    def _batch(self, applied: Revision, now: Seconds) -> LogBatch:
        voter = self._voter
        snapshot: Snapshot | None = None
        if applied < voter.log.available_after:
            snapshot = voter.snapshot
            applied = snapshot.revision
        return LogBatch(
            voter.term,
            voter.committed,
            lease.fresh_for(voter, now),
            tuple(voter.log.after(applied, voter.committed, MAX_ENTRIES_PER_BATCH)),
            snapshot.state if snapshot else None,
            settled_revision(self._commit_times, now),
        )
