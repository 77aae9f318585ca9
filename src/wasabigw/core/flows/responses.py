"""Decisions about packets that backend servers send to callers."""

from functools import singledispatch

from wasabigw.core.buckets import bucket_of
from wasabigw.core.cold_start import OpeningResult
from wasabigw.core.flows import records
from wasabigw.core.flows.decisions import (
    Decision,
    DropReason,
    ForwardToNode,
    ReturnToCaller,
)
from wasabigw.core.flows.events import (
    AnswerClosing,
    AnswerData,
    AnswerEvent,
    AnswerOpened,
)
from wasabigw.core.flows.forwarding import Forwarding
from wasabigw.core.flows.homes import backup, home
from wasabigw.core.flows.records import BACKEND_CLOSED, FlowRecord
from wasabigw.core.flows.resets import is_unconfirmed
from wasabigw.core.flows.sending import drop, forward, record_closing
from wasabigw.core.flows.state import BalancerState, may_send
from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import NodeId, Seconds
from wasabigw.core.view_lease import is_fresh


def on_answer(
    event: AnswerEvent, forwarding: Forwarding, state: BalancerState
) -> list[Decision]:
    """Return a packet to its caller, through the home if that has to process it."""
    if not state.view.confirmed:
        return drop(DropReason.NO_VIEW)
    target = state.routes.targets.get(event.backend_server)
    if target is None:
        return drop(DropReason.UNKNOWN_BACKEND_SERVER)
    if not target.usable:
        return drop(DropReason.OUT_OF_SERVICE)
    owner = home(state.homes, target.id)
    first = forwarding.hops == 0
    if first and owner not in (None, state.node) and _must_pass_home(event, state):
        return _forward_through_home(owner, event, state)
    if forwarding.copy:
        _store_copy(event, target, state)
    record = state.records.records.get(event.flow)
    if record is not None and record.target is target:
        record.opening = False
        update_after_answer(event, record, state)
    elif (
        isinstance(event, AnswerClosing)
        and event.reset
        and not forwarding.copy
        and is_unconfirmed(state, event.flow, target, event.now)
    ):
        return drop(DropReason.RESET_IN_DOUBT)
    if owner == state.node and _shows_that_it_runs(event):
        state.admission.observe_answer(target.id, event.now)
    if not may_send(state, target, event.now):
        return drop(DropReason.STALE_VIEW)
    copy = backup(state.homes, target.id)
    if copy is None or owner != state.node or not is_fresh(state.view, event.now):
        return [ReturnToCaller(target)]
    if not _changes_copy(event, record):
        return [ReturnToCaller(target)]
    if record is not None:
        record.copied_at = event.now
        record.copied_to = copy
    bucket = bucket_of(event.flow)
    return forward(copy, Forwarding(forwarding.hops, bucket, copy=True), state)


def _shows_that_it_runs(event: AnswerEvent) -> bool:
    """Whether the backend server sent the packet, and not the system of its host."""
    if isinstance(event, AnswerClosing):
        return not event.reset
    return not (isinstance(event, AnswerData) and event.related)


def _changes_copy(event: AnswerEvent, record: FlowRecord | None) -> bool:
    """Whether the packet has to pass the backup, because it changes the copy.

    A retransmitted opening packet is sent directly to the backend server. The backup
    gets the record with the answer to it instead.
    """
    if isinstance(event, AnswerClosing):
        return True
    opens = isinstance(event, AnswerOpened)
    return opens and record is not None and record.copied_at is None


def _store_copy(event: AnswerEvent, target: Target, state: BalancerState) -> None:
    """Store a copy of a record that the opening packet did not bring here."""
    if not isinstance(event, AnswerOpened) or event.flow in state.records.records:
        return
    if records.is_full(state.records):
        return
    bucket = bucket_of(event.flow)
    record = FlowRecord(target, bucket, event.now, event.now, False, answered=True)
    records.insert(state.records, event.flow, record)


def _must_pass_home(event: AnswerEvent, state: BalancerState) -> bool:
    if not isinstance(event, AnswerData) or event.sampled:
        return True
    return not is_fresh(state.view, event.now)


def _forward_through_home(
    owner: NodeId | None, event: AnswerEvent, state: BalancerState
) -> list[Decision]:
    if owner is None:
        return drop(DropReason.NO_HOME)
    return [ForwardToNode(owner, Forwarding(1, bucket_of(event.flow), sample=True))]


@singledispatch
def update_after_answer(
    event: AnswerEvent, record: FlowRecord, state: BalancerState
) -> None:
    """Update the record of a flow after a packet from its backend server."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@update_after_answer.register
def _(event: AnswerOpened, record: FlowRecord, state: BalancerState) -> None:
    _observe_opening(OpeningResult.ANSWERED, record, state, event.now)
    record.last_seen = event.now


@update_after_answer.register
def _(event: AnswerData, record: FlowRecord, state: BalancerState) -> None:
    if not event.related and record.closed != records.BOTH_CLOSED:
        record.last_seen = event.now


@update_after_answer.register
def _(event: AnswerClosing, record: FlowRecord, state: BalancerState) -> None:
    if event.reset:
        _observe_opening(OpeningResult.REFUSED, record, state, event.now)
    record_closing(state, event.flow, record, BACKEND_CLOSED, event.reset, event.now)


def _observe_opening(
    result: OpeningResult, record: FlowRecord, state: BalancerState, now: Seconds
) -> None:
    """Report the result of an opening, once for each admitted flow."""
    if record.answered or record.closed:
        return
    record.answered = True
    if record.slot_held:
        latency = Seconds(now - record.opened)
        state.admission.observe(record.target.id, result, latency, now)
