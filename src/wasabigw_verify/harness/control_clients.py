"""Log polls and reports of a balancer, as its HTTP tasks do them."""

from collections.abc import Hashable
from typing import Any

from wasabigw.core.cluster import Applied, Refusal
from wasabigw.core.commands import Report
from wasabigw.core.ids import NodeId, RequestId, Seconds
from wasabigw.core.log_messages import LogBatch, LogPoll, NotLeader, ReportRequest
from wasabigw.core.timing import LOG_POLL_WAIT
from wasabigw.tasks.log_follower import MIN_POLL_INTERVAL, ROUND_PAUSE
from wasabigw.tasks.report_sender import MAX_BATCH_AGE, RETRY_PAUSE, matter_of
from wasabigw.tasks.voter_calls import PollCall, ReportCall
from wasabigw_verify.harness.surroundings import BalancerProcess, Surroundings
from wasabigw_verify.harness.voters import reply_to

READ_TIMEOUT = LOG_POLL_WAIT + 1.0


class ControlCaller:
    """Calls the leader; the next voter after a timeout or a refusal."""

    def __init__(self, simulation: Surroundings, place: str) -> None:
        self._simulation = simulation
        self._place = place
        self._voters = list(simulation.disks)
        self._at = 0
        self._call = 0

    def call(self, make: Any, accept: Any, failed: Any) -> None:
        """Send a call.

        :param make: makes the message from a reply mailbox.
        :param accept: gets the answer.
        :param failed: gets the pause before the next try.
        """
        network = self._simulation.network
        self._call += 1
        number = self._call
        voter = self._voters[self._at]

        def answer(found: Any) -> None:
            if number != self._call:
                return
            self._call += 1
            if isinstance(found, NotLeader):
                network.reopen(self._place, voter)
                failed(self._follow(found))
            else:
                accept(found)

        def reply(found: Any) -> None:
            network.send(voter, self._place, lambda: answer(found), True)

        def deliver() -> None:
            running = self._simulation.voters.get(voter)
            if running is None:
                reply(NotLeader(None))
            else:
                running.receive(make(reply_to(reply)))

        def expire() -> None:
            if number == self._call:
                self._call += 1
                network.reopen(self._place, voter)
                failed(self._follow(NotLeader(None)))

        network.send(self._place, voter, deliver, True)
        network.call_later(READ_TIMEOUT, lambda: network.arrive(self._place, expire))

    def _follow(self, answer: NotLeader) -> float:
        if answer.leader is not None:
            self._at = self._voters.index(NodeId(answer.leader.address))
            return 0.0
        self._at = (self._at + 1) % len(self._voters)
        return 0.0 if self._at else ROUND_PAUSE


class Follower:
    """Polls the log for a balancer."""

    def __init__(self, simulation: Surroundings, balancer: BalancerProcess) -> None:
        self._simulation = simulation
        self._balancer = balancer
        self._control = ControlCaller(simulation, balancer.name)
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
            lambda reply: PollCall(poll, reply), self._accept, self._again
        )

    def _accept(self, batch: Any) -> None:
        if not self._balancer.alive:
            return
        assert isinstance(batch, LogBatch), batch
        self._balancer.apply_batch(batch, self._sent_at)
        due = self._sent_at + MIN_POLL_INTERVAL - self._balancer.now
        self._again(max(0.0, due))

    def _again(self, pause: float) -> None:
        network = self._simulation.network
        name = self._balancer.name
        network.call_later(pause, lambda: network.arrive(name, self.poll))


class ReportSender:
    """Sends the reports of a balancer, each batch with one id until it is accepted."""

    def __init__(self, simulation: Surroundings, balancer: BalancerProcess) -> None:
        self._simulation = simulation
        self._balancer = balancer
        self._control = ControlCaller(simulation, balancer.name)
        self._pending: dict[Hashable, Report] = {}
        self._batch: ReportRequest | None = None
        self._since = Seconds(0.0)

    def add(self, reports: tuple[Report, ...]) -> None:
        """Queue reports; a newer one replaces an older one on the same matter."""
        for report in reports:
            self._pending.pop(matter_of(report), None)
            self._pending[matter_of(report)] = report
        if self._batch is None:
            self._next()

    def _next(self) -> None:
        self._batch = None
        if not self._pending or not self._balancer.alive:
            return
        reports = tuple(self._pending.values())
        self._pending.clear()
        self._since = self._balancer.now
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
            lambda reply: ReportCall(batch, reply), self._accept, self._failed
        )

    def _accept(self, answer: Any) -> None:
        if isinstance(answer, Applied | Refusal):
            pause = RETRY_PAUSE if isinstance(answer, Refusal) else 0.0
            self._simulation.network.call_later(pause, self._next)
        else:
            self._failed(RETRY_PAUSE)

    def _failed(self, pause: float) -> None:
        late = self._balancer.now - self._since >= MAX_BATCH_AGE
        wait = max(pause, 0.05)
        batch = self._batch
        if batch is not None:
            kept = tuple(r for r in batch.reports if matter_of(r) not in self._pending)
            if len(kept) < len(batch.reports):
                self._batch = self._make_request(kept)
        self._simulation.network.call_later(wait, self._next if late else self._send)
