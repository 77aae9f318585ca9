"""Identity of a whole state, independent of the absolute time.

Times are replaced by ages, and an age that no comparison of the code tells from a
larger one is limited to the duration that it is compared with.
"""

import marshal
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import singledispatch
from hashlib import blake2b
from typing import Any

from wasabigw.core.consensus.messages import (
    AdmissionRequest,
    AdmissionResponse,
    AppendRequest,
    AppendResponse,
    Envelope,
    PreVoteRequest,
    PreVoteResponse,
    Snapshot,
    SnapshotRequest,
    StopNotice,
    StopNoticeResponse,
    TransferRequest,
    TransferResponse,
    VoteRequest,
    VoteResponse,
)
from wasabigw.core.consensus.planned_stop import (
    ANSWER_TIMEOUT,
    STOP_TIMEOUT,
    TRANSFER_TIMEOUT,
    election_delay,
)
from wasabigw.core.consensus.reconfiguration import (
    ANSWER_OVERDUE,
    DISCOVERY_TIME,
    REPLACE_AFTER,
    STOP_NOTICE_LIFETIME,
)
from wasabigw.core.consensus.replication import RESEND_AFTER
from wasabigw.core.consensus.state import (
    HeardLeader,
    PlannedStop,
    Progress,
    VoterState,
)
from wasabigw.core.consensus.voter import NO_LEADER_TIMEOUT
from wasabigw.core.ids import Seconds
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.states import VoterRole
from wasabigw.core.timing import ELECTION_TIMEOUT_MIN, STANDBY_TIMEOUT
from wasabigw_verify.log_check.disk import Disk
from wasabigw_verify.log_check.world import (
    LateFlight,
    Vm,
    VmHistory,
    World,
)

Key = Any
"""A value of tuples, texts and integers that ``marshal`` encodes in one way."""

DIGEST_BYTES = 12
MARSHAL_VERSION = 2
"""Version without references to equal objects, which would differ between runs."""
SCALE = 1000
"""Milliseconds per second."""
LEADER_AGE = max(REPLACE_AFTER, ELECTION_TIMEOUT_MIN)


@dataclass(frozen=True, slots=True)
class _EntryKey:
    """Key of an entry, which is kept so that its identity is not used again."""

    entry: LogEntry
    key: Key


_entry_keys: dict[int, _EntryKey] = {}


def fingerprint(world: World) -> bytes:
    """Digest that two states share if they behave alike."""
    return blake2b(
        marshal.dumps(_world_key(world), MARSHAL_VERSION), digest_size=DIGEST_BYTES
    ).digest()


def _world_key(world: World) -> Key:
    time = world.time
    return (
        tuple(_vm_key(vm, world) for vm in world.vms.values()),
        tuple(
            (f.recipient, f.is_answer, _envelope_key(f.envelope, time))
            for f in world.flights
        ),
        tuple(_late_key(late, world) for late in world.late),
        _entries_key(world.committed),
        tuple((t, found.incarnation) for t, found in sorted(world.leaders.items())),
        world.script_position,
        # The steps of the script that remain are due at fixed ticks.
        world.now if world.script_position < world.script_length else -1,
        tuple(_history_key(h, world.now) for h in world.histories.values()),
        world.has_lost_too_many,
    )


def _history_key(history: VmHistory, now: int) -> Key:
    return (
        history.was_filled,
        max(0, history.filled_at - now),
        history.removed_at is not None,
        max(0, history.counts_until - now),
        history.is_undisturbed,
        max(0, history.returned_until - now),
    )


def _vm_key(vm: Vm, world: World) -> Key:
    starts_in = -1 if vm.starts_at is None else vm.starts_at - world.now
    cut_for = max(0, vm.cut_until - world.now)
    state = None if vm.state is None else _state_key(vm.state, world.time)
    return (_disk_key(vm.disk), state, starts_in, cut_for)


def _late_key(late: LateFlight, world: World) -> Key:
    flight = late.flight
    envelope = _envelope_key(flight.envelope, world.time)
    return (late.due - world.now, flight.recipient, flight.is_answer, envelope)


def _disk_key(disk: Disk) -> Key:
    vote = disk.vote
    return (
        disk.incarnation,
        vote.term,
        vote.candidate,
        vote.candidate_incarnation,
        vote.admitted,
        vote.is_successor,
        _snapshot_key(disk.snapshot),
        _entries_key(disk.entries),
    )


def _state_key(state: VoterState, now: Seconds) -> Key:
    is_leader = state.role is VoterRole.LEADER
    log = state.log
    return (
        # The record, the incarnation and the snapshot are those of the disk.
        state.committed,
        log.available_after,
        _entries_key(log.after(max(state.snapshot.revision, log.available_after))),
        _map_key(state.members),
        state.role.value,
        state.leader,
        tuple(sorted(state.votes)),
        _age(state.last_contact, now, NO_LEADER_TIMEOUT),
        _left(Seconds(state.election_at + election_delay(state)), now),
        _left(state.admission_at, now),
        _leader_key(state, now) if is_leader else None,
        tuple(sorted(state.places)),
        tuple(sorted(state.discovered_places)),
        _former_key(state.last_leader, now),
        _age(state.asked_since, now, ANSWER_OVERDUE),
        _age(state.started, now, DISCOVERY_TIME),
        tuple((n, _progress_key(p, now)) for n, p in sorted(state.standbys.items())),
        _candidate_key(state, now),
        _stop_key(state.stop, now) if state.stop is not None else None,
    )


def _former_key(leader: HeardLeader | None, now: Seconds) -> Key:
    if leader is None:
        return None
    return (leader.node, _age(leader.heard_at, now, REPLACE_AFTER))


def _candidate_key(state: VoterState, now: Seconds) -> Key:
    request = state.vote_request
    if state.role not in (VoterRole.PRE_CANDIDATE, VoterRole.CANDIDATE):
        return None
    if request is None:
        return None
    answered = tuple(sorted(state.missing_vote_reasons))
    sent = _age(request.sent_at, now, RESEND_AFTER)
    return (_body_key(request.body, now), sent, answered)


def _stop_key(stop: PlannedStop, now: Seconds) -> Key:
    return (
        _age(stop.requested_at, now, STOP_TIMEOUT),
        stop.was_voter,
        _age(stop.heard_at, now, ANSWER_TIMEOUT),
        _left(stop.notice_at, now),
        stop.is_passing,
        -1 if stop.passed_at is None else _age(stop.passed_at, now, TRANSFER_TIMEOUT),
        None if stop.outcome is None else stop.outcome.value,
    )


def _leader_key(state: VoterState, now: Seconds) -> Key:
    return (
        _age(state.leader_since, now, LEADER_AGE),
        _age(state.voters_changed_at, now, LEADER_AGE),
        _left(state.heartbeat_at, now),
        tuple((name, _progress_key(p, now)) for name, p in state.progress.items()),
    )


def _progress_key(progress: Progress, now: Seconds) -> Key:
    awaiting = progress.awaiting_since
    return (
        progress.next_after,
        progress.incarnation,
        progress.admitted,
        progress.matched,
        _age(progress.last_contact, now, LEADER_AGE),
        -1 if awaiting is None else _age(awaiting, now, RESEND_AFTER),
        _age(progress.asked_at, now, STANDBY_TIMEOUT),
        progress.place is not None,
        progress.is_successor,
        _age(progress.heard_before, now, REPLACE_AFTER),
        _age(progress.stop_noticed_at, now, STOP_NOTICE_LIFETIME),
    )


def _envelope_key(envelope: Envelope, now: Seconds) -> Key:
    return (
        envelope.sender,
        envelope.incarnation,
        envelope.admitted,
        envelope.term,
        _body_key(envelope.body, now),
    )


@singledispatch
def _body_key(body: object, now: Seconds) -> Key:
    raise TypeError(f"not a consensus message: {body!r}")


@_body_key.register
def _(body: PreVoteRequest, now: Seconds) -> Key:
    return ("pre-vote", body.candidate_term, body.last_revision, body.last_term)


@_body_key.register
def _(body: PreVoteResponse, now: Seconds) -> Key:
    return ("pre-voted", body.candidate_term, body.granted)


@_body_key.register
def _(body: VoteRequest, now: Seconds) -> Key:
    return ("vote", body.last_revision, body.last_term, body.is_transfer)


@_body_key.register
def _(body: VoteResponse, now: Seconds) -> Key:
    return ("voted", body.granted)


@_body_key.register
def _(body: AppendRequest, now: Seconds) -> Key:
    return (
        "append",
        body.previous_revision,
        body.previous_term,
        _entries_key(body.entries),
        body.committed,
        _age(body.sent_at, now, LEADER_AGE),
    )


@_body_key.register
def _(body: SnapshotRequest, now: Seconds) -> Key:
    sent = _age(body.sent_at, now, LEADER_AGE)
    return ("snapshot", _snapshot_key(body.snapshot), sent)


@_body_key.register
def _(body: AppendResponse, now: Seconds) -> Key:
    sent = _age(body.sent_at, now, LEADER_AGE)
    has_place = body.place is not None
    return ("appended", body.success, body.matched, body.retry_after, sent, has_place)


@_body_key.register
def _(body: AdmissionRequest, now: Seconds) -> Key:
    return ("admission", body.committed, body.place is not None, body.is_successor)


@_body_key.register
def _(body: AdmissionResponse, now: Seconds) -> Key:
    snapshot = None if body.snapshot is None else _snapshot_key(body.snapshot)
    names = tuple(name for name, _ in body.voters)
    return ("admitted", body.accepted, snapshot, _entries_key(body.entries), names)


@_body_key.register
def _(body: StopNotice, now: Seconds) -> Key:
    return ("stop", body.committed, body.place is not None)


@_body_key.register
def _(body: StopNoticeResponse, now: Seconds) -> Key:
    return ("stop answered", body.status.value)


@_body_key.register
def _(body: TransferRequest, now: Seconds) -> Key:
    return ("transfer",)


@_body_key.register
def _(body: TransferResponse, now: Seconds) -> Key:
    return ("transferred", body.accepted)


def _snapshot_key(snapshot: Snapshot) -> Key:
    voters = _map_key(snapshot.state.voters)
    places = tuple(sorted(snapshot.state.voter_places))
    return (snapshot.revision, snapshot.term, voters, places)


def _map_key(members: Mapping[Any, Any]) -> Key:
    return tuple(sorted(members.items()))


def _entries_key(entries: Iterable[LogEntry]) -> Key:
    return tuple(map(_entry_key, entries))


def _entry_key(entry: LogEntry) -> Key:
    # Hashing an entry takes longer than its key, so the identity of the object serves.
    known = _entry_keys.get(id(entry))
    if known is None:
        key = (entry.revision, entry.term, repr(entry.command))
        known = _entry_keys[id(entry)] = _EntryKey(entry, key)
    return known.key


def _age(time: Seconds, now: Seconds, limit: Seconds) -> int:
    return round(min(now - time, limit) * SCALE)


def _left(time: Seconds, now: Seconds) -> int:
    return round(max(0.0, time - now) * SCALE)
