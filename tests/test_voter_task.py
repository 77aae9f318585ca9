"""The voter task answers calls from committed state only."""

import shutil
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from returns.result import Failure, Result, Success

from tests.test_membership import node
from tests.voter_network import change
from wasabigw.core import cluster, commands, ids
from wasabigw.core.apply import apply
from wasabigw.core.cluster import Applied, Refusal
from wasabigw.core.ids import Incarnation, NodeId, RequestId, Revision, Seconds
from wasabigw.core.log_messages import (
    BootAnnouncement,
    InForce,
    LogBatch,
    LogEntry,
    LogPoll,
    NotLeader,
    ReportRequest,
)
from wasabigw.core.states import RefusalCode
from wasabigw.core.timing import LOG_POLL_WAIT, VIEW_LEASE
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import Tick, TimerService
from wasabigw.tasks.storage import Storage, bootstrap, open_storage
from wasabigw.tasks.storage_errors import StorageError, StorageProblem
from wasabigw.tasks.voter_calls import (
    ChangeCall,
    InForceCall,
    PollCall,
    RegistrationCall,
    ReportCall,
    Settled,
    StateCall,
    StateView,
    reply_mailbox,
)
from wasabigw.tasks.voter_settings import VoterSettings
from wasabigw.tasks.voter_task import VoterTask, make_voter_task
from wasabigw.telemetry.events_control import ControlEvent

NODE = NodeId("a")
BALANCER = node("n1")


def fake_apply(
    command: commands.Command, revision: Revision, state: cluster.ClusterState
) -> Result[Applied, Refusal]:
    """Minimal replicated state: the first change to a revision succeeds."""
    state.revision = revision
    current = state.configuration_revision
    if isinstance(command, commands.ReportBatch):
        for report in command.reports:
            if isinstance(report, commands.NodeUp):
                state.nodes[report.node.id] = report.node
            if isinstance(report, commands.VoterAdmitted):
                state.voters[report.voter] = report.incarnation
    if not isinstance(command, commands.ChangeRequest):
        return Success(Applied(revision, current))
    if command.request_id not in state.requests:
        outcome: Applied | Refusal = Refusal(RefusalCode.CONFLICT, "old", current)
        if command.expected_revision == current:
            outcome = Applied(revision, revision)
            state.configuration_revision = revision
        state.requests[command.request_id] = outcome
    known = state.requests[command.request_id]
    return Success(known) if isinstance(known, Applied) else Failure(known)


class VoterTaskCase(unittest.TestCase):
    """One voter, called directly instead of by its thread, with a simulated clock."""

    apply_command = staticmethod(fake_apply)

    def setUp(self) -> None:
        base = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, base)
        self.folder = base / "data"
        bootstrap(self.folder, NODE, Incarnation("a1"), first=True).unwrap()
        self.now = Seconds(100.0)
        self.start()

    def start(self) -> None:
        self.storage: Storage = open_storage(self.folder, NODE).unwrap()
        self.addCleanup(self.storage.close)
        settings = VoterSettings(NODE, {NODE: cluster.Endpoint("127.0.0.1", 1)})
        self.voter: VoterTask = make_voter_task(
            settings,
            Mailbox("voter"),
            self.storage,
            {},
            self.apply_command,
            TimerService(),
            clock=lambda: self.now,
            jitter=lambda: 0.5,
        )
        self.advance(2.0)

    def advance(self, seconds: float) -> None:
        self.now = Seconds(self.now + seconds)
        self.voter.receive(Tick("voter", self.now))
        self.voter.flush()

    def ask(self, kind: Any, *arguments: Any) -> Any:
        reply = self.post(kind, *arguments)
        self.voter.flush()
        return self.answer(reply)

    def post(self, kind: Any, *arguments: Any) -> Mailbox[Any]:
        reply = reply_mailbox("test")
        self.voter.receive(kind(*arguments, reply))
        return reply

    def answer(self, reply: Mailbox[Any]) -> Any:
        return next(iter(reply.drain()), None)

    def register(self) -> None:
        self.ask(PollCall, LogPoll(BALANCER, Revision(0), Seconds(0.0)))

    def change(self, name: str, expected: int = 0) -> commands.ChangeRequest:
        return commands.ChangeRequest(
            RequestId(name), Revision(expected), change(1).change
        )


class Registrations(VoterTaskCase):
    """Guards against acknowledging registrations that the leader has not recorded."""

    apply_command = staticmethod(apply)

    def announce(self) -> Any:
        notification = BootAnnouncement(
            ids.BackendServerId("b-1"),
            ids.ServiceId("seats"),
            ids.FailureDomainId("recife"),
            cluster.Endpoint("10.0.0.1", 80),
            1000,
            4,
            False,
            Seconds(0.0),
            1,
        )
        return self.ask(RegistrationCall, notification)

    def test_the_leader_registers_and_acknowledges(self) -> None:
        self.assertEqual(self.announce(), Settled())

    def test_a_voter_without_a_current_copy_refuses(self) -> None:
        self.announce()
        error = StorageError(StorageProblem.INPUT_OUTPUT, "log", "", "full", "free it")
        with mock.patch.object(self.storage, "append", return_value=Failure(error)):
            self.ask(ChangeCall, self.change("r1"))
        self.assertEqual(self.announce(), NotLeader(None))


class Changes(VoterTaskCase):
    """Guards against changes that run twice or get lost, and conflicting successes."""

    def test_repeated_request_gets_the_first_outcome(self) -> None:
        first = self.ask(ChangeCall, self.change("r1"))
        self.assertIsInstance(first, Applied)
        self.ask(ChangeCall, self.change("r2", first.configuration_revision))
        self.assertEqual(self.ask(ChangeCall, self.change("r1")), first)

    def test_racing_operators_get_one_success(self) -> None:
        replies = [self.post(ChangeCall, self.change(f"r{n}")) for n in range(5)]
        self.voter.flush()
        outcomes = [self.answer(reply) for reply in replies]
        self.assertIsInstance(outcomes[0], Applied)
        self.assertTrue(all(isinstance(o, Refusal) for o in outcomes[1:]))

    def test_proposals_of_one_batch_are_synced_together(self) -> None:
        with mock.patch.object(
            self.storage, "append", wraps=self.storage.append
        ) as append:
            for number in range(20):
                self.post(ChangeCall, self.change(f"r{number}"))
            self.voter.flush()
        self.assertEqual(append.call_count, 1)

    def test_nothing_is_acknowledged_after_a_storage_error(self) -> None:
        error = StorageError(StorageProblem.INPUT_OUTPUT, "log", "", "full", "free it")
        with mock.patch.object(self.storage, "append", return_value=Failure(error)):
            answer = self.ask(ChangeCall, self.change("r1"))
        self.assertNotIsInstance(answer, Applied)
        self.assertEqual(
            self.ask(ChangeCall, self.change("r2")),
            NotLeader(None),
        )
        self.assertEqual(self.ask(StateCall), NotLeader(None))

    def test_voter_resumes_once_its_disk_works_again(self) -> None:
        before = self.ask(ChangeCall, self.change("r1"))
        error = StorageError(StorageProblem.INPUT_OUTPUT, "log", "", "full", "free it")
        with mock.patch.object(self.storage, "append", return_value=Failure(error)):
            self.ask(ChangeCall, self.change("r2", before.configuration_revision))
        for _ in range(6):
            self.advance(0.5)
        after = self.ask(StateCall)
        self.assertIsInstance(after, StateView)
        self.assertEqual(after.configuration_revision, before.configuration_revision)
        repeated = self.ask(ChangeCall, self.change("r1"))
        self.assertEqual(repeated, before)

    def test_restart_after_hundreds_of_changes(self) -> None:
        revision = 0
        for number in range(700):
            outcome = self.ask(ChangeCall, self.change(f"r{number}", revision))
            revision = outcome.configuration_revision
        before = self.ask(StateCall)
        self.storage.close()
        self.start()
        after = self.ask(StateCall)
        self.assertIsInstance(after, StateView)
        self.assertEqual(after.configuration_revision, before.configuration_revision)
        self.assertGreater(after.revision, before.revision)
        repeated = self.ask(ChangeCall, self.change("r699"))
        self.assertEqual(repeated, outcome)


class Restart(VoterTaskCase):
    """Guards against logging recovered events again after a restart."""

    def test_known_admission_is_not_logged_again(self) -> None:
        self.storage.close()
        stored = open_storage(self.folder, NODE).unwrap()
        last = stored.recovered.entries[-1]
        admitted = commands.VoterAdmitted(NODE, Incarnation("a1"))
        command = commands.ReportBatch((admitted,))
        entry = LogEntry(Revision(last.revision + 1), last.term, command)
        stored.append((entry,)).unwrap()
        stored.close()
        with mock.patch("wasabigw.tasks.voter_task.log") as written:
            self.start()
        events = [call.args[0] for call in written.call_args_list]
        self.assertIn(ControlEvent.ROLE_CHANGED, events)
        self.assertNotIn(ControlEvent.VOTER_ADMITTED, events)


class Polls(VoterTaskCase):
    """Guards against balancers that miss entries, and polls held without a limit."""

    def poll(
        self, applied: int, wait: float = 0.5, who: cluster.Node = BALANCER
    ) -> LogPoll:
        return LogPoll(who, Revision(applied), Seconds(wait))

    def test_poll_without_new_entries_is_held_until_a_commit(self) -> None:
        self.register()
        revision = self.ask(StateCall).revision
        reply = self.post(PollCall, self.poll(revision))
        self.assertIsNone(self.answer(reply))
        self.ask(ChangeCall, self.change("r1"))
        batch = self.answer(reply)
        self.assertIsInstance(batch, LogBatch)
        self.assertEqual([e.revision for e in batch.entries], [revision + 1])
        self.assertEqual(batch.fresh_for, VIEW_LEASE)

    def test_poll_is_held_no_longer_than_the_limit(self) -> None:
        self.register()
        revision = self.ask(StateCall).revision
        reply = self.post(PollCall, self.poll(revision, wait=60.0))
        self.advance(LOG_POLL_WAIT)
        self.assertEqual(self.answer(reply).entries, ())

    def test_balancer_far_behind_gets_the_snapshot_and_what_follows(self) -> None:
        for number in range(2000):
            self.post(ChangeCall, self.change(f"r{number}"))
            if number % 100 == 0:
                self.voter.flush()
        self.voter.flush()
        batch = self.ask(PollCall, self.poll(1, wait=0.0))
        self.assertIsNotNone(batch.snapshot)
        expected = batch.snapshot.revision + 1
        for entry in batch.entries:
            self.assertEqual(entry.revision, expected)
            expected += 1

    def test_balancer_that_is_ahead_gets_no_view(self) -> None:
        answer = self.ask(PollCall, self.poll(10_000))
        self.assertEqual(answer, NotLeader(None))

    def test_change_is_in_force_once_each_balancer_applied_it(self) -> None:
        self.register()
        outcome = self.ask(ChangeCall, self.change("r1"))
        lagging = self.ask(InForceCall, None)
        self.assertIsInstance(lagging, InForce)
        self.assertFalse(lagging.in_force)
        self.assertEqual([n.node for n in lagging.nodes], [BALANCER.id])
        self.advance(VIEW_LEASE + 0.1)
        self.assertTrue(self.ask(InForceCall, None).in_force)
        self.post(PollCall, self.poll(outcome.revision - 1))
        self.assertFalse(self.ask(InForceCall, None).in_force)
        self.post(PollCall, self.poll(outcome.revision))
        self.assertTrue(self.ask(InForceCall, None).in_force)


class Reports(VoterTaskCase):
    """Guards against duplicate reports and reports from unauthorized processes."""

    def request(self, name: str, *reports: commands.Report) -> ReportRequest:
        return ReportRequest(
            RequestId(name), BALANCER.id, BALANCER.incarnation, reports
        )

    def setUp(self) -> None:
        super().setUp()
        self.down = commands.BackendServerDown(
            ids.BackendServerId("s1"), ids.BootId("x")
        )

    def test_repeated_report_gets_the_first_outcome(self) -> None:
        self.ask(
            PollCall,
            LogPoll(BALANCER, Revision(0), Seconds(0.0)),
        )
        first = self.ask(ReportCall, self.request("p1", self.down))
        self.assertIsInstance(first, Applied)
        self.assertEqual(self.ask(ReportCall, self.request("p1", self.down)), first)

    def test_reports_of_the_leader_are_refused(self) -> None:
        self.ask(
            PollCall,
            LogPoll(BALANCER, Revision(0), Seconds(0.0)),
        )
        for report in (
            commands.NodeDown(BALANCER.id, BALANCER.incarnation),
            commands.VoterAdmitted(NODE, Incarnation("x")),
        ):
            answer = self.ask(ReportCall, self.request("p1", report))
            self.assertIs(answer.code, RefusalCode.INVALID)
