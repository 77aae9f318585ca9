"""Replication from the leader to the other voters."""

from collections.abc import Sequence

from wasabigw.core.cluster import NO_REVISION, VoterPlace
from wasabigw.core.commands import (
    Command,
    ReportBatch,
    VoterAdmitted,
    VoterPlaced,
    VoterRemoved,
)
from wasabigw.core.consensus import reconfiguration
from wasabigw.core.consensus.commit import (
    commit_by_majority,
    commit_up_to,
    update_admission,
)
from wasabigw.core.consensus.effects import (
    AnswerMessage,
    AppendEntries,
    Effect,
    InstallSnapshot,
    SendMessage,
)
from wasabigw.core.consensus.lease import fresh_for, has_leader_lease
from wasabigw.core.consensus.messages import (
    AdmissionRequest,
    AdmissionResponse,
    AnswerMark,
    AppendRequest,
    AppendResponse,
    Body,
    Envelope,
    Snapshot,
    SnapshotRequest,
)
from wasabigw.core.consensus.state import NEVER, Progress, VoterState
from wasabigw.core.ids import NodeId, Revision, Seconds
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.states import VoterRole
from wasabigw.core.timing import HEARTBEAT_INTERVAL

MAX_ENTRIES_PER_REQUEST = 64
"""Keeps an append request within the body limit of the consensus endpoint."""

MAX_DISCOVERED_PLACES = 16
"""Maximum number of places that a control VM keeps from an answer to its request."""

MAX_STANDBYS = 16
"""Maximum number of standbys that a voter remembers; the longest silent go first."""

RESEND_AFTER = Seconds(2 * HEARTBEAT_INTERVAL)
"""Time after which an unanswered request counts as lost."""


class CommittedEntryError(Exception):
    """A committed entry would be replaced; the log can't be trusted."""


def append_commands(
    state: VoterState, commands: Sequence[Command], now: Seconds
) -> list[Effect]:
    """Append commands at the leader and send them to the other voters."""
    first = state.log.last_revision + 1
    entries = tuple(
        LogEntry(Revision(first + position), state.term, command)
        for position, command in enumerate(commands)
    )
    state.log.append(entries)
    effects: list[Effect] = [AppendEntries(entries)]
    effects.extend(commit_by_majority(state))
    for peer in state.progress:
        effects.extend(send_next(state, peer, now))
    return effects


def send_next(state: VoterState, peer: NodeId, now: Seconds) -> list[Effect]:
    """Send the next entries to a voter, unless a request to it is in flight."""
    progress = state.progress[peer]
    sent_at = progress.awaiting_since
    if sent_at is not None and now - sent_at < RESEND_AFTER:
        return []
    progress.awaiting_since = now
    return [SendMessage(peer, state.envelope(_next_request(state, progress, now)))]


def send_heartbeats(state: VoterState, now: Seconds) -> list[Effect]:
    """Send a request to each voter that has none in flight."""
    state.heartbeat_at = Seconds(now + HEARTBEAT_INTERVAL)
    return [effect for peer in state.progress for effect in send_next(state, peer, now)]


def answer_append(
    state: VoterState, envelope: Envelope, request: AppendRequest, now: Seconds
) -> list[Effect]:
    """Append new entries; the answer is sent once they are durable."""
    mark = AnswerMark(state.started, now)
    if envelope.term < state.term:
        return [_append_response(state, False, NO_REVISION, request.sent_at, mark)]
    if not _matches_log(state, request):
        retry_after = state.log.conflict(request.previous_revision, state.committed)
        return [_append_response(state, False, retry_after, request.sent_at, mark)]
    effects = _append_missing(state, request.entries)
    matched = Revision(request.previous_revision + len(request.entries))
    effects.extend(commit_up_to(state, Revision(min(request.committed, matched))))
    _extend_view_lease(state, request)
    effects.append(_append_response(state, True, matched, request.sent_at, mark))
    return effects


def _extend_view_lease(state: VoterState, request: AppendRequest) -> None:
    """Extend the view lease of a follower that holds all committed entries.

    The leader sent the request after it had received the marked answer, so the lease
    that it grants did not begin before the time of the mark.
    """
    answered = request.answered
    if answered is None or answered.process != state.started:
        return
    if state.committed >= request.committed:
        until = Seconds(answered.at + request.fresh_for)
        state.view_until = max(state.view_until, until)


def answer_snapshot(
    state: VoterState, envelope: Envelope, request: SnapshotRequest
) -> list[Effect]:
    """Replace the log by a snapshot of the leader."""
    if envelope.term < state.term:
        return [_append_response(state, False, NO_REVISION, request.sent_at, None)]
    effects = _install_snapshot(state, request.snapshot)
    matched = request.snapshot.revision
    effects.append(_append_response(state, True, matched, request.sent_at, None))
    return effects


def record_append_response(
    state: VoterState, envelope: Envelope, response: AppendResponse, now: Seconds
) -> list[Effect]:
    """Record what a voter holds, commit, and send it the entries that it lacks."""
    if state.role is not VoterRole.LEADER or envelope.term != state.term:
        return []
    progress = _progress_of(state, envelope)
    if progress is None:
        return []
    progress.awaiting_since = None
    progress.admitted = envelope.admitted
    progress.last_contact = max(progress.last_contact, response.sent_at)
    progress.mark = response.mark or progress.mark
    if response.success:
        progress.matched = max(progress.matched, response.matched)
        progress.next_after = max(progress.next_after, progress.matched)
    else:
        progress.next_after = max(response.retry_after, progress.matched)
    pending = state.latest_voters().pending
    effects = commit_by_majority(state)
    effects.extend(_record_place(state, envelope, response, now))
    if progress.next_after < state.log.last_revision or not response.success:
        effects.extend(send_next(state, envelope.sender, now))
    if pending is not None and state.latest_voters().pending is None:
        # Until the new voter learns of its admission, the loss of another voter
        # leaves no majority, so do not wait for the next heartbeat.
        state.voters_changed_at = now
        effects.extend(send_heartbeats(state, now))
    return effects


def _record_place(
    state: VoterState, envelope: Envelope, response: AppendResponse, now: Seconds
) -> list[Effect]:
    """Record the place of a voter, unless the replicated state already has it."""
    place = response.place
    is_counted = state.members.get(envelope.sender) == envelope.incarnation
    if place is None or not is_counted or reconfiguration.has_uncommitted_change(state):
        return []
    if state.latest_voters().places.get(envelope.sender) == place:
        return []
    placed = VoterPlaced(envelope.sender, place)
    return append_commands(state, (ReportBatch((placed,)),), now)


def answer_admission(
    state: VoterState, envelope: Envelope, request: AdmissionRequest, now: Seconds
) -> list[Effect]:
    """Track a voter with a new data directory, and admit it if it is needed.

    A voter that does not know that its admission is committed gets the committed log
    from any voter. Its vote may be needed to elect a leader, so it must not depend on a
    leader to learn of its admission.
    """
    if state.members.get(envelope.sender) == envelope.incarnation:
        answer = _committed_log(state, request)
        return [AnswerMessage(state.envelope(answer))]
    effects: list[Effect] = []
    accepted = False
    if state.role is VoterRole.LEADER:
        _track_standby(state, envelope, request, now)
        admission = reconfiguration.admission_of(envelope.sender, state, now)
        if admission is not None:
            accepted = True
            effects.extend(_append_change(state, admission, now))
        else:
            effects.extend(send_next(state, envelope.sender, now))
    else:
        _remember_standby(state, envelope, request, now)
    known = tuple(state.latest_voters().places.items())
    answer = AdmissionResponse(accepted, voters=known)
    effects.append(AnswerMessage(state.envelope(answer)))
    return effects


def reconfigure(state: VoterState, now: Seconds) -> list[Effect]:
    """Admit a standby that is needed, or remove a surplus voter."""
    change = reconfiguration.next_change(state, now)
    if change is None:
        return []
    return _append_change(state, change, now)


def _append_change(
    state: VoterState, change: VoterAdmitted | VoterRemoved, now: Seconds
) -> list[Effect]:
    """Append a change of the voters, which applies as soon as it is in the log.

    The majority after the change may need a voter whose newest answer is old.
    """
    state.voters_changed_at = now
    if isinstance(change, VoterRemoved):
        # The added voters have taken a place now.
        for name in state.members.keys() & state.progress.keys():
            state.progress[name].is_successor = False
    return append_commands(state, (ReportBatch((change,)),), now)


def _track_standby(
    state: VoterState, envelope: Envelope, request: AdmissionRequest, now: Seconds
) -> None:
    progress = track(state, envelope, request.committed, request.place)
    progress.asked_at = now
    progress.stop_noticed_at = NEVER
    # A voter with an empty disk keeps its place and takes none.
    is_voter = envelope.sender in state.members
    progress.is_successor = request.is_successor and not is_voter


def _remember_standby(
    state: VoterState, envelope: Envelope, request: AdmissionRequest, now: Seconds
) -> None:
    """Remember a standby, which this voter has to know when it becomes the leader."""
    state.standbys.pop(envelope.sender, None)
    if len(state.standbys) >= MAX_STANDBYS:
        del state.standbys[next(iter(state.standbys))]
    state.standbys[envelope.sender] = Progress(
        next_after=request.committed,
        asked_at=now,
        place=request.place,
        is_successor=request.is_successor,
    )


def track(
    state: VoterState, envelope: Envelope, committed: Revision, place: VoterPlace | None
) -> Progress:
    """Progress of a control VM that has sent its place, known before or not.

    :param committed: revision up to which it holds the committed log.
    """
    if envelope.sender not in state.progress:
        state.progress[envelope.sender] = Progress(next_after=committed)
    progress = _progress_of(state, envelope)
    assert progress is not None
    progress.place = place
    return progress


def apply_admission_response(
    state: VoterState, response: AdmissionResponse
) -> list[Effect]:
    """Append committed entries from any voter; all voters hold the same ones."""
    state.discovered_places = (
        dict(response.voters[:MAX_DISCOVERED_PLACES]) or state.discovered_places
    )
    if state.record.admitted:
        return []
    effects: list[Effect] = []
    if response.snapshot is not None:
        effects.extend(_install_snapshot(state, response.snapshot))
    entries = response.entries
    if entries and entries[0].revision <= state.committed + 1:
        effects.extend(_append_missing(state, entries))
        effects.extend(commit_up_to(state, entries[-1].revision))
    if effects:
        # There may be more entries to fetch: send the next request at once.
        state.admission_at = NEVER
    return effects


def _committed_log(state: VoterState, request: AdmissionRequest) -> AdmissionResponse:
    after = request.committed
    snapshot = None
    if after < state.log.available_after:
        snapshot = state.snapshot
        after = snapshot.revision
    entries = state.log.after(after, state.committed, MAX_ENTRIES_PER_REQUEST)
    return AdmissionResponse(False, snapshot, tuple(entries))


def _install_snapshot(state: VoterState, snapshot: Snapshot) -> list[Effect]:
    if state.log.term_at(snapshot.revision) == snapshot.term:
        return commit_up_to(state, snapshot.revision)
    if snapshot.revision <= state.committed:
        return []
    state.log.reset(snapshot.revision, snapshot.term)
    state.snapshot = snapshot
    state.committed = snapshot.revision
    state.members = dict(snapshot.state.voters)
    state.places = dict(snapshot.state.voter_places)
    return [InstallSnapshot(snapshot), *update_admission(state)]


def _progress_of(state: VoterState, envelope: Envelope) -> Progress | None:
    progress = state.progress.get(envelope.sender)
    if progress is not None and progress.incarnation != envelope.incarnation:
        # A new data directory: entries that the earlier one held do not count.
        progress.incarnation = envelope.incarnation
        progress.admitted = False
        progress.matched = NO_REVISION
        progress.last_contact = NEVER
        progress.awaiting_since = None
        progress.mark = None
        progress.stop_noticed_at = NEVER
        progress.is_successor = False
    return progress


def _next_request(state: VoterState, progress: Progress, now: Seconds) -> Body:
    after = progress.next_after
    previous_term = state.log.term_at(after)
    if after < state.log.available_after or previous_term is None:
        return SnapshotRequest(state.snapshot, now)
    entries = tuple(state.log.after(after, limit=MAX_ENTRIES_PER_REQUEST))
    return AppendRequest(
        after,
        previous_term,
        entries,
        state.committed,
        now,
        fresh_for(state, now) if has_leader_lease(state, now) else Seconds(0.0),
        progress.mark,
    )


def _matches_log(state: VoterState, request: AppendRequest) -> bool:
    if request.previous_revision <= state.committed:
        # Committed entries are the same at all voters.
        return True
    return state.log.term_at(request.previous_revision) == request.previous_term


def _append_missing(state: VoterState, entries: tuple[LogEntry, ...]) -> list[Effect]:
    for position, entry in enumerate(entries):
        if entry.revision <= state.committed:
            own_term = state.log.term_at(entry.revision)
            if own_term not in (None, entry.term):
                raise CommittedEntryError(
                    f"committed entry {entry.revision} differs from the received one"
                )
        elif state.log.term_at(entry.revision) != entry.term:
            missing = entries[position:]
            state.log.append(missing)
            return [AppendEntries(missing)]
    return []


def _append_response(
    state: VoterState,
    success: bool,
    revision: Revision,
    sent_at: Seconds,
    mark: AnswerMark | None,
) -> AnswerMessage:
    matched = revision if success else NO_REVISION
    place = None if state.places.get(state.node) == state.place else state.place
    response = AppendResponse(success, matched, revision, sent_at, mark, place)
    return AnswerMessage(state.envelope(response))
