"""Task that sends reports to the leader in batches."""

import uuid
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from functools import singledispatch

from returns.result import Success

from wasabigw.codec.messages import encode
from wasabigw.core.cluster import Applied, Endpoint, Refusal
from wasabigw.core.commands import (
    BackendServerDown,
    BackendServerDraining,
    BackendServerOverloaded,
    BackendServerStep,
    BackendServerUp,
    Report,
)
from wasabigw.core.ids import Incarnation, NodeId, RequestId, Seconds
from wasabigw.core.log_messages import ChangeOutcome, ReportRequest
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Stop, Task
from wasabigw.runtime.timer import monotonic
from wasabigw.tasks.control_client import (
    CallProblem,
    ControlCall,
    ControlClient,
    ProblemKind,
)
from wasabigw.tasks.messages import SendReports
from wasabigw.tasks.traffic import TrafficMailbox
from wasabigw.telemetry.events_http import HttpEvent
from wasabigw.telemetry.log_events import log

MAX_PENDING = 2048
"""Maximum number of queued reports; the oldest are dropped, as homes repeat them."""
MAX_BATCH = 256
BATCH_DELAY = Seconds(0.05)
"""How long the first report of a batch is delayed to collect more."""
RETRY_PAUSE = Seconds(0.5)
COMMIT_WAIT = Seconds(3.0)
"""How long the leader may hold a request until the batch is committed."""
MAX_BATCH_AGE = Seconds(5.0)
"""Age at which a batch is dropped instead of retried.

After a partition, an outdated report that a lease expired would remove a backend
server that is available again. Homes repeat reports that still hold.
"""
SESSION_IDLE = Seconds(30.0)


@dataclass(frozen=True, slots=True)
class _Batch:
    request: ReportRequest
    since: Seconds


class ReportSender(Task[SendReports]):
    """Sends each batch with one report id and retries until the leader accepts it."""

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        endpoints: Sequence[Endpoint],
        traffic: TrafficMailbox,
    ) -> None:
        super().__init__("report-sender", Mailbox("report-sender", capacity=4096))
        self._node = node
        self._incarnation = incarnation
        self._client = ControlClient(endpoints, traffic)
        self._pending: dict[Hashable, Report] = {}
        self._batch: _Batch | None = None
        self._failed_calls = 0

    def close(self) -> None:
        """Close the connection to the leader."""
        self._client.close()

    def receive(self, message: SendReports) -> None:
        """Queue reports; each replaces a queued one with the same key."""
        for report in message.reports:
            key = report_key(report)
            self._pending.pop(key, None)
            self._pending[key] = report
        excess = len(self._pending) - MAX_PENDING
        if excess > 0:
            for key in list(self._pending)[:excess]:
                del self._pending[key]
            log(HttpEvent.REPORTS_DROPPED, count=excess, reason="too many are queued")

    def run(self) -> None:
        """Wait for reports and send them until :class:`Stop` arrives."""
        running = True
        while running:
            if self._batch is None and not self._pending:
                running = self._wait_for_reports()
            elif self._batch is None:
                running = self._collect(BATCH_DELAY)
                self._batch = self._next_batch()
            else:
                running = self._collect(self._send(self._batch))

    def _wait_for_reports(self) -> bool:
        outcome = self._mailbox.get(SESSION_IDLE)
        if isinstance(outcome, Success):
            return self._handle_message(outcome.unwrap())
        self._client.close()
        return True

    def _collect(self, seconds: Seconds) -> bool:
        """Queue reports for a time; ``False`` after :class:`Stop`."""
        until = monotonic() + seconds
        while (remaining := until - monotonic()) > 0:
            outcome = self._mailbox.get(Seconds(remaining))
            if isinstance(outcome, Success) and not self._handle_message(
                outcome.unwrap()
            ):
                return False
        return all(self._handle_message(message) for message in self._mailbox.drain())

    def _handle_message(self, message: SendReports | Stop) -> bool:
        if isinstance(message, Stop):
            return False
        self.receive(message)
        return True

    def _next_batch(self) -> _Batch:
        keys = list(self._pending)[:MAX_BATCH]
        reports = tuple(self._pending.pop(key) for key in keys)
        return self._make_batch(reports, monotonic())

    def _send(self, batch: _Batch) -> Seconds:
        """Try to send a batch; returns the pause before the next attempt or batch."""
        call = ControlCall(
            "POST",
            "/v1/reports",
            ChangeOutcome,
            body=encode(batch.request),
            wait=COMMIT_WAIT,
        )
        outcome = self._client.call(call)
        if isinstance(outcome, Success):
            return self._handle_response(batch, outcome.unwrap())
        return self._handle_problem(batch, outcome.failure())

    def _handle_response(self, batch: _Batch, response: Applied | Refusal) -> Seconds:
        if isinstance(response, Refusal):
            return self._drop(batch, response.message)
        self._batch = None
        self._failed_calls = 0
        return Seconds(0.0)

    def _handle_problem(self, batch: _Batch, problem: CallProblem) -> Seconds:
        reason = f"{problem.kind.value}: {problem.detail}"
        if problem.kind is ProblemKind.REFUSED:
            return self._drop(batch, reason)
        if monotonic() - batch.since >= MAX_BATCH_AGE:
            return self._drop(batch, f"not accepted in time, {reason}")
        self._batch = self._without_superseded(batch)
        self._failed_calls += 1
        if self._failed_calls % self._client.calls_per_round == 0:
            return RETRY_PAUSE
        return Seconds(0.0)

    def _without_superseded(self, batch: _Batch) -> _Batch | None:
        """The same batch, or a new one without the reports that newer ones replace."""
        kept = tuple(
            report
            for report in batch.request.reports
            if report_key(report) not in self._pending
        )
        if len(kept) == len(batch.request.reports):
            return batch
        return self._make_batch(kept, batch.since) if kept else None

    def _make_batch(self, reports: tuple[Report, ...], since: Seconds) -> _Batch:
        report_id = RequestId(uuid.uuid4().hex)
        request = ReportRequest(report_id, self._node, self._incarnation, reports)
        return _Batch(request, since)

    def _drop(self, batch: _Batch, reason: str) -> Seconds:
        count = len(batch.request.reports)
        log(HttpEvent.REPORTS_DROPPED, count=count, reason=reason)
        self._batch = None
        return RETRY_PAUSE


@singledispatch
def report_key(report: Report) -> Hashable:
    """Key of a report; a newer report with the same key replaces it."""
    return report


@report_key.register(BackendServerUp)
@report_key.register(BackendServerDown)
def _(report: BackendServerUp | BackendServerDown) -> Hashable:
    return "presence", report.id


@report_key.register
def _(report: BackendServerStep) -> Hashable:
    return "step", report.id


@report_key.register
def _(report: BackendServerDraining) -> Hashable:
    return "draining", report.id


@report_key.register
def _(report: BackendServerOverloaded) -> Hashable:
    return "overloaded", report.id


def make_report_sender(
    node: NodeId,
    incarnation: Incarnation,
    endpoints: Sequence[Endpoint],
    traffic: TrafficMailbox = None,
) -> ReportSender:
    """Create the task that sends the reports of a balancer.

    :param endpoints: control endpoints of the settings, at least one.
    """
    return ReportSender(node, incarnation, endpoints, traffic)
