"""Commands that were proposed on this voter and are not yet committed."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace

from opentelemetry import trace

from wasabigw.core.cluster import Applied, Refusal
from wasabigw.core.commands import Command
from wasabigw.core.durations import Durations, record_duration
from wasabigw.core.ids import RequestId, Revision, Seconds, Term
from wasabigw.core.log_messages import LogEntry, NotLeader
from wasabigw.core.view_lease import NEVER
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.voter_calls import CommandAnswer, OutcomeUnknown, Overloaded
from wasabigw.telemetry.trace_context import TraceParent

MAX_PENDING_COMMANDS = 1024
"""Proposed commands that may wait for their commit; more are refused."""
MAX_STORED_REPORTS = 4096
"""Reports whose outcome the leader keeps, to answer repetitions."""


@dataclass(frozen=True, slots=True)
class Proposal:
    """A proposed command.

    :param reply: receives the outcome; ``None`` if the voter itself proposed it.
    :param report_id: id under which the outcome is kept for repeated reports.
    :param term: term in which the command was appended to the log.
    """

    command: Command
    reply: Mailbox[CommandAnswer] | None = None
    report_id: RequestId | None = None
    parent: TraceParent | None = None
    span: trace.Span = trace.INVALID_SPAN
    term: Term = field(default=Term(0))
    proposed_at: Seconds = NEVER


class Proposals:
    """Uncommitted proposals of a leader, and outcomes of recent reports.

    :ivar commit_times: durations from the append of a command to its commit.
    """

    def __init__(self) -> None:
        self._collected: list[Proposal] = []
        self._pending: dict[Revision, Proposal] = {}
        self._reports: OrderedDict[RequestId, Applied | Refusal] = OrderedDict()
        self.commit_times = Durations()

    @property
    def pending(self) -> int:
        """Number of commands in the log that are not yet committed."""
        return len(self._pending)

    def report_outcome(self, report_id: RequestId) -> Applied | Refusal | None:
        """Outcome of a report that is already committed."""
        return self._reports.get(report_id)

    def collect(self, proposal: Proposal) -> None:
        """Queue a proposal for the next append, or refuse it if too many wait."""
        if len(self._pending) + len(self._collected) >= MAX_PENDING_COMMANDS:
            message = f"{MAX_PENDING_COMMANDS} commands wait for their commit"
            _answer(proposal, Overloaded(message))
            return
        self._collected.append(proposal)

    def refuse_collected(self, answer: NotLeader) -> None:
        """Refuse the queued proposals of a voter that does not lead any more."""
        collected, self._collected = self._collected, []
        for proposal in collected:
            _answer(proposal, answer)

    def take_collected(
        self, first: Revision, term: Term, now: Seconds
    ) -> tuple[Command, ...]:
        """Return the queued commands, to be appended from revision ``first`` on."""
        collected, self._collected = self._collected, []
        for position, proposal in enumerate(collected):
            self._pending[Revision(first + position)] = replace(
                proposal, term=term, proposed_at=now
            )
        return tuple(proposal.command for proposal in collected)

    @property
    def has_collected(self) -> bool:
        """Whether there are proposals to append."""
        return bool(self._collected)

    def commit(
        self, entry: LogEntry, outcome: Applied | Refusal, now: Seconds
    ) -> Proposal | None:
        """Answer the proposal of a committed entry.

        :returns: ``None`` if the entry was not proposed here.
        """
        proposal = self._pending.pop(entry.revision, None)
        if proposal is None:
            return None
        if proposal.term != entry.term:
            _answer(proposal, OutcomeUnknown())
            return None
        record_duration(self.commit_times, Seconds(now - proposal.proposed_at))
        proposal.span.end()
        if proposal.report_id is not None:
            self._store_outcome(proposal.report_id, outcome)
        _answer(proposal, outcome)
        return proposal

    def end_leadership(self) -> None:
        """Answer all pending proposals with an unknown outcome.

        Another leader may still commit their commands.
        """
        for proposal in self._pending.values():
            _answer(proposal, OutcomeUnknown())
        self._pending.clear()
        self._reports.clear()

    def _store_outcome(self, report_id: RequestId, outcome: Applied | Refusal) -> None:
        self._reports[report_id] = outcome
        if len(self._reports) > MAX_STORED_REPORTS:
            self._reports.popitem(last=False)


def _answer(proposal: Proposal, answer: CommandAnswer) -> None:
    if proposal.reply is not None:
        proposal.reply.post(answer)
