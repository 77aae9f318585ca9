"""Clients of the control voters, with the rules of the HTTP tasks of the product."""

from collections.abc import Hashable
from typing import Any

from wasabigw.core.cluster import Applied, Refusal
from wasabigw.core.commands import Report
from wasabigw.core.ids import NodeId, RequestId, Seconds
from wasabigw.core.log_messages import LogBatch, LogPoll, NotLeader, ReportRequest
from wasabigw.core.timing import LOG_POLL_WAIT
from wasabigw.tasks.log_follower import MIN_POLL_INTERVAL, ROUND_DELAY
from wasabigw.tasks.report_sender import MAX_BATCH_AGE, RETRY_DELAY, report_key
from wasabigw.tasks.voter_calls import PollCall, ReportCall
from wasabigw_verify.harness.environment import BalancerProcess, Environment
from wasabigw_verify.harness.voters import callback_mailbox

READ_TIMEOUT = LOG_POLL_WAIT + 1.0


class VoterClient:
    """Sends calls to the leader.

    After a timeout or a refusal without a leader it turns to the next voter.
    """

    def __init__(self, simulation: Environment, host: str) -> None:
        self._simulation = simulation
        self._host = host
        self._voters = list(simulation.disks)
        self._voter_index = 0
        self._call_number = 0

    def call(self, make_message: Any, on_answer: Any, on_failure: Any) -> None:
        """Send a call.

        :param make_message: makes the message for a given reply mailbox.
        :param on_answer: called with the answer.
        :param on_failure: called with the pause before the next attempt.
        """
        network = self._simulation.network
        self._call_number += 1
        number = self._call_number
        voter = self._voters[self._voter_index]

        def answer(message: Any) -> None:
            if number != self._call_number:
                return
            self._call_number += 1
            if isinstance(message, NotLeader):
                network.close_connections(self._host, voter)
                on_failure(self._choose_voter(message))
            else:
                on_answer(message)

        def reply(message: Any) -> None:
            network.send(voter, self._host, lambda: answer(message), True)

        def deliver() -> None:
            running = self._simulation.voters.get(voter)
            if running is None:
                reply(NotLeader(None))
            else:
                running.receive(make_message(callback_mailbox(reply)))

        def expire() -> None:
            if number == self._call_number:
                self._call_number += 1
                network.close_connections(self._host, voter)
                on_failure(self._choose_voter(NotLeader(None)))

        network.send(self._host, voter, deliver, True)
        network.call_later(READ_TIMEOUT, lambda: network.dispatch(self._host, expire))

    def _choose_voter(self, answer: NotLeader) -> float:
        if answer.leader is not None:
            self._voter_index = self._voters.index(NodeId(answer.leader.address))
            return 0.0
        self._voter_index = (self._voter_index + 1) % len(self._voters)
        return 0.0 if self._voter_index else ROUND_DELAY


class LogFollower:
    """Polls the replicated log for a balancer."""

    def __init__(self, simulation: Environment, balancer: BalancerProcess) -> None:
        self._simulation = simulation
        self._balancer = balancer
        self._control = VoterClient(simulation, balancer.name)
        self._sent_at = Seconds(0.0)

    def poll(self) -> None:
        """Send a log poll."""
        balancer = self._balancer
        if not balancer.alive:
            return
        self._sent_at = balancer.now
        applied = balancer.state.cluster.revision
        poll = LogPoll(balancer.node, applied, LOG_POLL_WAIT)
        self._control.call(
            lambda reply: PollCall(poll, reply),
            self._handle_answer,
            self._schedule_poll,
        )

    def _handle_answer(self, batch: Any) -> None:
        if not self._balancer.alive:
            return
        assert isinstance(batch, LogBatch), batch
        self._balancer.apply_batch(batch, self._sent_at)
        due = self._sent_at + MIN_POLL_INTERVAL - self._balancer.now
        self._schedule_poll(max(0.0, due))

    def _schedule_poll(self, pause: float) -> None:
        network = self._simulation.network
        name = self._balancer.name
        network.call_later(pause, lambda: network.dispatch(name, self.poll))


class ReportSender:
    """Sends the reports of a balancer.

    A batch without an answer is resent with the same id, or with a new id without the
    reports that newer ones replace. It is dropped after ``MAX_BATCH_AGE``.
    """

    def __init__(self, simulation: Environment, balancer: BalancerProcess) -> None:
        self._simulation = simulation
        self._balancer = balancer
        self._control = VoterClient(simulation, balancer.name)
        self._pending: dict[Hashable, Report] = {}
        self._batch: ReportRequest | None = None
        self._batch_started_at = Seconds(0.0)

    def add(self, reports: tuple[Report, ...]) -> None:
        """Queue reports; a report replaces an older one on the same subject."""
        for report in reports:
            self._pending.pop(report_key(report), None)
            self._pending[report_key(report)] = report
        if self._batch is None:
            self._send_next_batch()

    def _send_next_batch(self) -> None:
        self._batch = None
        if not self._pending or not self._balancer.alive:
            return
        reports = tuple(self._pending.values())
        self._pending.clear()
        self._batch_started_at = self._balancer.now
        self._batch = self._make_request(reports)
        self._send()

    def _make_request(self, reports: tuple[Report, ...]) -> ReportRequest:
        node = self._balancer.node
        name = RequestId(f"report-{self._simulation.next_number()}")
        return ReportRequest(name, node.id, node.incarnation, reports)

    def _send(self) -> None:
        batch = self._batch
        if batch is None or not self._balancer.alive:
            return
        self._control.call(
            lambda reply: ReportCall(batch, reply),
            self._handle_answer,
            self._handle_failure,
        )

    def _handle_answer(self, answer: Any) -> None:
        if isinstance(answer, Applied | Refusal):
            pause = RETRY_DELAY if isinstance(answer, Refusal) else 0.0
            self._simulation.network.call_later(pause, self._send_next_batch)
        else:
            self._handle_failure(RETRY_DELAY)

    def _handle_failure(self, pause: float) -> None:
        expired = self._balancer.now - self._batch_started_at >= MAX_BATCH_AGE
        delay = max(pause, 0.05)
        batch = self._batch
        if batch is not None:
            kept = tuple(r for r in batch.reports if report_key(r) not in self._pending)
            if len(kept) < len(batch.reports):
                self._batch = self._make_request(kept)
        self._simulation.network.call_later(
            delay, self._send_next_batch if expired else self._send
        )
