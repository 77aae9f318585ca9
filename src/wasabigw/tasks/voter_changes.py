"""Log lines and counts of changes of the voters, and of the stop of this process."""

from collections.abc import Iterable

from wasabigw.core.commands import VoterAdmitted, VoterRemoved
from wasabigw.core.consensus.voters import voter_reports
from wasabigw.core.ids import NodeId, Seconds
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.states import StopOutcome
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.telemetry.events_control import ControlEvent
from wasabigw.telemetry.log_events import log


class VoterChanges:
    """Changes of the voters since the process started.

    :ivar admitted: number of admissions that were applied.
    :ivar removed: number of removals that were applied.
    :ivar without_standby: number of stops for which this leader had no standby.
    """

    def __init__(self) -> None:
        self.admitted = 0
        self.removed = 0
        self.without_standby = 0

    def record(self, entry: LogEntry, voters: Iterable[NodeId]) -> None:
        """Record the changes in a committed entry.

        :param voters: voters after the entry.
        """
        for report in voter_reports(entry.command):
            if isinstance(report, VoterAdmitted):
                self.admitted += 1
                log(
                    ControlEvent.VOTER_ADMITTED,
                    voter=report.voter,
                    incarnation=report.incarnation,
                )
            elif isinstance(report, VoterRemoved):
                self.removed += 1
                log(
                    ControlEvent.VOTER_REMOVED,
                    voter=report.voter,
                    revision=entry.revision,
                    voters=", ".join(voters),
                )

    def record_stop_without_standby(self, voter: NodeId) -> None:
        """Record that a voter stops and keeps its place among the voters."""
        self.without_standby += 1
        log(ControlEvent.STOP_WITHOUT_STANDBY, voter=voter)


class StopReplies:
    """Callers that wait until the process may stop."""

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._waiting: list[Mailbox[StopOutcome]] = []
        self._requested_at = Seconds(0.0)

    def add(self, reply: Mailbox[StopOutcome], now: Seconds) -> None:
        """Add a caller."""
        if not self._waiting:
            self._requested_at = now
        self._waiting.append(reply)

    def answer(self, outcome: StopOutcome, now: Seconds) -> None:
        """Tell all callers that the process may stop."""
        if not self._waiting:
            return
        waited = round(now - self._requested_at, 3)
        log(
            ControlEvent.STOP_READY,
            node=self._node,
            outcome=outcome.value,
            waited=waited,
        )
        for reply in self._waiting:
            reply.post(outcome)
        self._waiting.clear()
