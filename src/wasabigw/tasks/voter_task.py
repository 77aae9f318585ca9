"""Voter task, which owns the data directory, the log and the replicated state."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from functools import singledispatchmethod
from itertools import islice
from typing import Any

from opentelemetry import trace
from returns.result import Failure, Result, Success

from wasabigw.core import membership
from wasabigw.core.cluster import (
    Applied,
    ClusterState,
    Endpoint,
    Refusal,
)
from wasabigw.core.cluster_view import out_of_service
from wasabigw.core.commands import (
    ChangeRequest,
    Command,
    Report,
    ReportBatch,
)
from wasabigw.core.commit_times import CommitTimes, record_commit
from wasabigw.core.consensus import lease
from wasabigw.core.consensus.effects import (
    AnswerMessage,
    AppendEntries,
    ApplyEntries,
    Effect,
    ElectionFailed,
    InstallSnapshot,
    RoleChanged,
    SaveSnapshot,
    SaveVote,
    SendMessage,
    StopReady,
    StopWithoutStandby,
)
from wasabigw.core.consensus.events import (
    ClockTick,
    EnvelopeReceived,
    Proposed,
    SeedsChanged,
    SnapshotTaken,
    StopRequested,
    VoterEvent,
)
from wasabigw.core.consensus.messages import Envelope, Snapshot
from wasabigw.core.consensus.reconfiguration import ready_standbys, silent_voters
from wasabigw.core.consensus.replication import CommittedEntryError
from wasabigw.core.consensus.state import VoterState, make_voter_state
from wasabigw.core.consensus.voter import handle
from wasabigw.core.copying import copy_state
from wasabigw.core.durations import Durations, record_duration
from wasabigw.core.ids import NodeId, Revision, Seconds
from wasabigw.core.log_messages import (
    InForce,
    LogEntry,
    NodeProgress,
    NotLeader,
)
from wasabigw.core.orders import is_in_effect
from wasabigw.core.report_checks import report_refusal
from wasabigw.core.report_summary import summarize
from wasabigw.core.states import StopOutcome, VoterRole
from wasabigw.core.timing import SNAPSHOT_INTERVAL
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Stop, Task
from wasabigw.runtime.timer import Tick, TimerService, monotonic
from wasabigw.tasks.held_polls import HeldPolls
from wasabigw.tasks.held_view_calls import HeldViewCalls
from wasabigw.tasks.in_force_tracker import InForceTracker
from wasabigw.tasks.proposals import Proposal, Proposals
from wasabigw.tasks.registration_handler import RegistrationHandler
from wasabigw.tasks.storage import Storage
from wasabigw.tasks.storage_errors import StorageError
from wasabigw.tasks.tag_codec import DocumentDecoder
from wasabigw.tasks.voter_calls import (
    ChangeCall,
    DocumentCall,
    DocumentView,
    InForceCall,
    LinkAnswer,
    OrderCall,
    PeerMessage,
    PollCall,
    RegistrationCall,
    RegistrationsForwarded,
    ReportCall,
    StateCall,
    StopCall,
    ViewCall,
    VoterEndpointsChanged,
    VoterMessage,
    VoterStatus,
    VoterStatusCall,
    state_view,
)
from wasabigw.tasks.voter_changes import StopReplies, VoterChanges
from wasabigw.tasks.voter_context import VoterContext
from wasabigw.tasks.voter_links import FixedLinks, VoterLinks
from wasabigw.tasks.voter_settings import VoterSettings
from wasabigw.telemetry.events_control import ControlEvent
from wasabigw.telemetry.log_events import log
from wasabigw.telemetry.tracing import begin_span, make_disabled_tracer

ApplyCommand = Callable[[Command, Revision, ClusterState], Result[Applied, Refusal]]
"""Applies one command to the replicated state, as ``core.apply`` does."""

TICK_PERIOD = Seconds(0.05)
MEMBERSHIP_PERIOD = Seconds(0.5)
"""How often the leader looks for silent balancers and ended quarantines."""
MAX_MESSAGES_PER_BATCH = 256
"""Messages handled before their proposals are appended with one disk sync."""
REOPEN_INTERVAL = Seconds(0.5)
"""How often a voter tries to open its data directory after a storage error."""


class VoterTask(Task[VoterMessage]):
    """Drives the consensus state machine and answers the control API.

    After a storage error the voter is suspended: it takes no part in the consensus and
    refuses all calls that need the leader, until its data directory can be opened
    again. It then continues from what the disk holds, as after a restart.
    """

    def __init__(
        self,
        settings: VoterSettings,
        mailbox: Mailbox[VoterMessage | Stop],
        storage: Storage,
        links: VoterLinks,
        apply_command: ApplyCommand,
        timer: TimerService,
        clock: Callable[[], Seconds],
        jitter: Callable[[], float],
        registration_sender: Mailbox[Any] | None = None,
        metrics: Mailbox[Any] | None = None,
        tracer: trace.Tracer | None = None,
        decode_document: DocumentDecoder | None = None,
    ) -> None:
        super().__init__(f"voter-{settings.node}", mailbox)
        self._settings = settings
        self._storage = storage
        self._links = links
        self._apply = apply_command
        self._timer = timer
        self._clock = clock
        self._jitter = jitter
        self._tracer = tracer or make_disabled_tracer()
        self._in_force = InForceTracker(metrics, self._tracer)
        self._membership = membership.MembershipState()
        self._next_membership_tick = Seconds(0.0)
        self._proposals = Proposals()
        self._registrations = RegistrationHandler(
            settings.announcement_lease,
            registration_sender,
            self._propose_reports,
            decode_document,
        )
        self._peer_reply: Mailbox[Envelope] | None = None
        self._suspended = False
        self._next_reopen = Seconds(0.0)
        self._sync_durations = Durations()
        self._changes = VoterChanges()
        self._stop_replies = StopReplies(settings.node)
        self._load(storage)

    def _load(self, storage: Storage) -> None:
        """Start from the contents of an opened data directory."""
        self._storage = storage
        self._voter = self._make_voter_state()
        self._cluster = copy_state(self._voter.snapshot.state)
        self._commit_times = CommitTimes()
        self._held_polls = HeldPolls(self._voter, self._commit_times)
        self._held_view_calls = HeldViewCalls(self._voter)
        self._recovered_until = self._voter.log.last_revision

    def open(self) -> None:
        """Subscribe to the timer."""
        self._log_opened()
        self._timer.subscribe(self.mailbox, TICK_PERIOD, "voter")

    def close(self) -> None:
        """Release the data directory."""
        self._storage.close()

    def run(self) -> None:
        """Handle messages in batches until :class:`Stop` arrives."""
        while True:
            first = self._mailbox.get().unwrap()
            rest = islice(self._mailbox.drain(), MAX_MESSAGES_PER_BATCH - 1)
            for message in (first, *rest):
                if isinstance(message, Stop):
                    return
                self.receive(message)
            self.flush()

    def receive(self, message: VoterMessage) -> None:
        """Handle one message; its proposals are appended by :meth:`flush`."""
        self._receive(message)

    def flush(self) -> None:
        """Append all commands proposed since the last call."""
        if not self._proposals.has_collected:
            return
        if self._suspended or not self._voter.accepts_commands:
            self._proposals.refuse_collected(self._not_leader())
            return
        now = self._clock()
        first = Revision(self._voter.log.last_revision + 1)
        commands = self._proposals.take_collected(first, self._voter.term, now)
        self._process_event(Proposed(commands, now))

    # Messages

    @singledispatchmethod
    def _receive(self, message: object) -> None:
        raise TypeError(f"not a voter message: {message!r}")

    @_receive.register
    def _(self, message: PeerMessage) -> None:
        self._peer_reply = message.reply
        self._receive_envelope(message.envelope)
        self._peer_reply = None

    @_receive.register
    def _(self, message: LinkAnswer) -> None:
        self._receive_envelope(message.envelope)

    @_receive.register
    def _(self, message: Tick) -> None:
        now = self._clock()
        if self._suspended and now >= self._next_reopen:
            self._reopen(now)
        self._process_event(ClockTick(now, self._jitter()))
        context = self._context(now)
        self._held_polls.answer_due(context)
        self._held_view_calls.answer_due(context)
        self._registrations.tick(context)
        self._in_force.check(lambda revision: self._progress(revision, now), now)
        if now >= self._next_membership_tick and self._has_leader_lease(now):
            self._next_membership_tick = Seconds(now + MEMBERSHIP_PERIOD)
            self._propose_membership(membership.MembershipTick(now, self._cluster))

    @_receive.register
    def _(self, message: ChangeCall) -> None:
        request = message.request
        if not self._has_leader_lease(self._clock()):
            message.reply.post(self._not_leader())
            return
        known = self._cluster.requests.get(request.request_id)
        if known is not None:
            message.reply.post(known)
            return
        span = begin_span(self._tracer, "control.commit", message.parent)
        self._proposals.collect(
            Proposal(request, message.reply, parent=message.parent, span=span)
        )

    @_receive.register
    def _(self, message: ReportCall) -> None:
        request = message.request
        if not self._has_leader_lease(self._clock()):
            message.reply.post(self._not_leader())
            return
        known = self._proposals.report_outcome(request.report_id)
        answer = known or report_refusal(request, self._cluster)
        if answer is not None:
            message.reply.post(answer)
            return
        batch = ReportBatch(request.reports)
        self._proposals.collect(Proposal(batch, message.reply, request.report_id))

    @_receive.register
    def _(self, message: PollCall) -> None:
        now = self._clock()
        if not self._has_leader_lease(now):
            message.reply.post(self._not_leader())
            return
        poll = message.poll
        self._propose_membership(
            membership.BalancerPolled(poll.node, poll.applied, now, self._cluster)
        )
        self._held_polls.receive(message, self._context(now))

    @_receive.register
    def _(self, message: ViewCall) -> None:
        self._held_view_calls.receive(message, self._context(self._clock()))

    @_receive.register
    def _(self, message: OrderCall) -> None:
        if not self._has_leader_lease(self._clock()):
            message.reply.post(self._not_leader())
        elif is_in_effect(message.order.change, self._cluster):
            revision = self._cluster.revision
            applied = Applied(revision, self._cluster.configuration_revision)
            message.reply.post(applied)
        else:
            self._proposals.collect(Proposal(message.order, message.reply))

    @_receive.register
    def _(self, message: DocumentCall) -> None:
        if self._has_leader_lease(self._clock()):
            message.reply.post(DocumentView(self._cluster.declared))
        else:
            message.reply.post(self._not_leader())

    @_receive.register
    def _(self, message: RegistrationCall) -> None:
        self._registrations.receive(message, self._context(self._clock()))

    @_receive.register
    def _(self, message: RegistrationsForwarded) -> None:
        self._registrations.receive_forwarded(
            message.batch, self._context(self._clock())
        )

    @_receive.register
    def _(self, message: StateCall) -> None:
        if self._has_leader_lease(self._clock()):
            message.reply.post(state_view(self._cluster))
        else:
            message.reply.post(self._not_leader())

    @_receive.register
    def _(self, message: InForceCall) -> None:
        now = self._clock()
        if not self._has_leader_lease(now):
            message.reply.post(self._not_leader())
            return
        revision = message.revision
        if revision is None:
            revision = self._cluster.configuration_revision
        nodes = self._progress(revision, now)
        applied = revision <= self._cluster.revision
        in_force = applied and all(node.in_force for node in nodes)
        message.reply.post(InForce(revision, in_force, nodes))

    @_receive.register
    def _(self, message: VoterStatusCall) -> None:
        cluster, voter, now = self._cluster, self._voter, self._clock()
        message.reply.post(
            VoterStatus(
                voter.role,
                voter.term,
                cluster.revision,
                voter.log.last_revision - voter.committed,
                len(voter.members),
                voter.without_address,
                self._proposals.pending,
                self._declared_version,
                self._context(now).is_current,
                out_of_service(cluster),
                self._sync_durations,
                self._proposals.commit_times,
                len(silent_voters(voter, now)),
                len(ready_standbys(voter, now)),
                self._changes.admitted,
                self._changes.removed,
                self._changes.without_standby,
            )
        )

    @_receive.register
    def _(self, message: VoterEndpointsChanged) -> None:
        self._settings = replace(self._settings, voters=message.endpoints)
        self._process_event(SeedsChanged(self._configured_peers()))

    @_receive.register
    def _(self, message: StopCall) -> None:
        now = self._clock()
        self._stop_replies.add(message.reply, now)
        if self._suspended:
            self._stop_replies.answer(StopOutcome.SUSPENDED, now)
        else:
            self._process_event(StopRequested(now))

    # Effects

    @singledispatchmethod
    def _execute(self, effect: object) -> StorageError | None:
        raise TypeError(f"not a voter effect: {effect!r}")

    @_execute.register
    def _(self, effect: SaveVote) -> StorageError | None:
        return _error_of(self._storage.save_vote(effect.record))

    @_execute.register
    def _(self, effect: AppendEntries) -> StorageError | None:
        began = self._clock()
        error = _error_of(self._storage.append(effect.entries))
        record_duration(self._sync_durations, Seconds(self._clock() - began))
        return error

    @_execute.register
    def _(self, effect: SaveSnapshot) -> StorageError | None:
        log(ControlEvent.SNAPSHOT_TAKEN, revision=effect.snapshot.revision)
        return _error_of(self._storage.save_snapshot(effect.snapshot))

    @_execute.register
    def _(self, effect: InstallSnapshot) -> StorageError | None:
        error = _error_of(self._storage.install_snapshot(effect.snapshot))
        if error is None:
            log(ControlEvent.SNAPSHOT_INSTALLED, revision=effect.snapshot.revision)
            self._cluster = copy_state(effect.snapshot.state)
            record_commit(self._commit_times, effect.snapshot.revision, self._clock())
        return error

    @_execute.register
    def _(self, effect: ApplyEntries) -> StorageError | None:
        for entry in effect.entries:
            self._apply_entry(entry)
        return None

    @_execute.register
    def _(self, effect: SendMessage) -> StorageError | None:
        recipient = effect.recipient
        self._links.send(recipient, self._endpoint_of(recipient), effect.envelope)
        return None

    @_execute.register
    def _(self, effect: AnswerMessage) -> StorageError | None:
        if self._peer_reply is not None:
            self._peer_reply.post(effect.envelope)
        return None

    @_execute.register
    def _(self, effect: RoleChanged) -> StorageError | None:
        log(
            ControlEvent.ROLE_CHANGED,
            node=self._settings.node,
            role=effect.role.value,
            term=effect.term,
            leader=effect.leader,
        )
        if effect.role is VoterRole.LEADER:
            gained = membership.LeadershipGained(self._clock(), self._cluster)
            membership.handle(gained, self._membership)
            self._registrations.begin_leadership(self._cluster, self._clock())
        else:
            self._end_leadership()
        return None

    @_execute.register
    def _(self, effect: ElectionFailed) -> StorageError | None:
        missing = (f"{m.voter} {m.reason.value}" for m in effect.missing)
        log(
            ControlEvent.ELECTION_FAILED,
            node=self._settings.node,
            term=effect.term,
            votes=effect.votes,
            voters=effect.voters,
            missing=", ".join(missing),
        )
        return None

    @_execute.register
    def _(self, effect: StopWithoutStandby) -> StorageError | None:
        self._changes.record_stop_without_standby(effect.voter)
        return None

    @_execute.register
    def _(self, effect: StopReady) -> StorageError | None:
        self._stop_replies.answer(effect.outcome, self._clock())
        return None

    # Event processing

    def _make_voter_state(self) -> VoterState:
        recovered = self._storage.recovered
        node = self._settings.node
        return make_voter_state(
            node,
            recovered.identity.incarnation,
            self._configured_peers(),
            recovered.vote,
            recovered.snapshot,
            recovered.entries,
            self._clock(),
            self._jitter(),
            self._settings.target_voters,
            self._settings.place,
        )

    def _configured_peers(self) -> tuple[NodeId, ...]:
        settings = self._settings
        return tuple(voter for voter in settings.voters if voter != settings.node)

    def _receive_envelope(self, envelope: Envelope) -> None:
        admits_voters = self._settings.target_voters is not None
        if admits_voters or envelope.sender in self._voter.peers:
            self._process_event(
                EnvelopeReceived(envelope, self._clock(), self._jitter())
            )

    def _process_event(self, event: VoterEvent) -> None:
        if self._suspended:
            return
        try:
            effects = handle(event, self._voter)
        except CommittedEntryError as error:
            self._suspend(str(error))
            return
        before, declared = self._cluster.revision, self._declared_version
        self._execute_effects(effects)
        if self._declared_version != declared:
            self._log_declared(declared)
        if self._cluster.revision != before:
            context = self._context(self._clock())
            self._held_polls.answer_due(context)
            self._held_view_calls.answer_due(context)
            self._registrations.answer_settled(self._cluster)
        if self._is_snapshot_due():
            self._take_snapshot()

    def _execute_effects(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            error = self._execute(effect)
            if error is not None:
                # The remaining effects require that this one is durable.
                self._suspend(str(error))
                return

    def _log_opened(self) -> None:
        log(
            ControlEvent.VOTER_OPENED,
            node=self._settings.node,
            revision=self._voter.log.last_revision,
            term=self._storage.recovered.vote.term,
            admitted=self._storage.recovered.vote.admitted,
            voters=", ".join(self._voter.latest_voters().members),
        )

    @property
    def _declared_version(self) -> int | None:
        declared = self._cluster.declared
        return declared.version if declared is not None else None

    def _log_declared(self, before: int | None) -> None:
        log(
            ControlEvent.DOCUMENT_APPLIED,
            node=self._settings.node,
            version=self._declared_version,
            before=before,
            revision=self._cluster.revision,
        )

    def _reopen(self, now: Seconds) -> None:
        """Try to open the data directory again after a storage error."""
        self._next_reopen = Seconds(now + REOPEN_INTERVAL)
        reopened = self._storage.reopen()
        if isinstance(reopened, Success):
            self._load(reopened.unwrap())
            self._suspended = False
            self._log_opened()

    def _suspend(self, reason: str) -> None:
        self._suspended = True
        self._next_reopen = Seconds(self._clock() + REOPEN_INTERVAL)
        log(ControlEvent.VOTER_STOPPED, node=self._settings.node, reason=reason)
        self._stop_replies.answer(StopOutcome.SUSPENDED, self._clock())
        self._end_leadership()

    def _has_leader_lease(self, now: Seconds) -> bool:
        return not self._suspended and lease.has_leader_lease(self._voter, now)

    def _not_leader(self) -> NotLeader:
        leader = self._voter.leader
        if self._suspended or leader is None or leader == self._settings.node:
            return NotLeader(None)
        return NotLeader(self._endpoint_of(leader))

    def _endpoint_of(self, name: NodeId) -> Endpoint | None:
        place = self._voter.place_of(name)
        return place.api if place is not None else self._settings.voters.get(name)

    def _propose_membership(self, event: object) -> None:
        for decision in membership.handle(event, self._membership):
            self._propose_reports(decision.reports)

    def _propose_reports(self, reports: tuple[Report, ...]) -> None:
        kinds = ", ".join(summarize(report) for report in reports)
        log(ControlEvent.PROPOSED_REPORTS, reports=kinds)
        self._proposals.collect(Proposal(ReportBatch(reports)))

    def _context(self, now: Seconds) -> VoterContext:
        is_current = not self._suspended and lease.view_lease_left(self._voter, now) > 0
        return VoterContext(
            self._has_leader_lease(now),
            is_current,
            self._not_leader().leader,
            self._cluster,
            now,
        )

    def _apply_entry(self, entry: LogEntry) -> None:
        record_commit(self._commit_times, entry.revision, self._clock())
        outcome = self._apply(entry.command, entry.revision, self._cluster)
        # A restarted voter applies the recovered entries again; their changes of the
        # voters were logged before.
        if entry.revision > self._recovered_until:
            self._changes.record(entry, self._cluster.voters)
        proposal = self._proposals.commit(entry, _value_of(outcome), self._clock())
        if proposal is None:
            return
        if isinstance(entry.command, ChangeRequest) and isinstance(outcome, Success):
            self._in_force.track(entry.revision, proposal.parent, self._clock())

    def _progress(self, revision: Revision, now: Seconds) -> tuple[NodeProgress, ...]:
        return membership.node_progress(self._membership, self._cluster, revision, now)

    def _end_leadership(self) -> None:
        self._in_force.clear()
        self._proposals.end_leadership()
        self._held_polls.end_leadership(self._not_leader())

    def _is_snapshot_due(self) -> bool:
        taken = self._voter.snapshot.revision
        return not self._suspended and (
            self._voter.committed - taken >= SNAPSHOT_INTERVAL
        )

    def _take_snapshot(self) -> None:
        revision = self._voter.committed
        term = self._voter.log.term_at(revision)
        if term is None:
            return
        snapshot = Snapshot(revision, term, copy_state(self._cluster))
        self._execute_effects(handle(SnapshotTaken(snapshot), self._voter))


def make_voter_task(
    settings: VoterSettings,
    mailbox: Mailbox[VoterMessage | Stop],
    storage: Storage,
    links: VoterLinks | Mapping[NodeId, Mailbox[Any]],
    apply_command: ApplyCommand,
    timer: TimerService,
    clock: Callable[[], Seconds] = monotonic,
    jitter: Callable[[], float] = random.random,
    registration_sender: Mailbox[Any] | None = None,
    metrics: Mailbox[Any] | None = None,
    tracer: trace.Tracer | None = None,
    decode_document: DocumentDecoder | None = None,
) -> VoterTask:
    """Make the voter task, which takes ownership of the opened data directory.

    :param links: links to the other voters, or the mailbox of each link.
    :param registration_sender: mailbox of the task that forwards calls of backend
        servers to the leader; ``None`` if this control VM accepts no such calls.
    :param metrics: mailbox of the metrics task.
    :param tracer: records spans for the commit of traced changes.
    :param decode_document: decoder of the declared configuration; ``None`` if the
        front end has none.
    """
    return VoterTask(
        settings,
        mailbox,
        storage,
        FixedLinks(links) if isinstance(links, Mapping) else links,
        apply_command,
        timer,
        clock,
        jitter,
        registration_sender,
        metrics,
        tracer,
        decode_document,
    )


def _error_of(result: Result[None, StorageError]) -> StorageError | None:
    return result.failure() if isinstance(result, Failure) else None


def _value_of(outcome: Result[Applied, Refusal]) -> Applied | Refusal:
    if isinstance(outcome, Failure):
        refusal: Refusal = outcome.failure()
        return refusal
    return outcome.unwrap()
