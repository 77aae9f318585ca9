"""Decisions about what backend servers send to callers."""

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
from wasabigw.core.flows.resets import is_in_doubt
from wasabigw.core.flows.sending import drop, forward, note_closing
from wasabigw.core.flows.state import BalancerState, may_send
from wasabigw.core.ids import NodeId, Seconds
from wasabigw.core.view import is_fresh


def on_answer(
    event: AnswerEvent, forwarding: Forwarding, state: BalancerState
) -> list[Decision]:
    """Return an answer to its caller, through the home if that has to see it."""
    if not state.view.confirmed:
        return drop(DropReason.NO_VIEW)
    target = state.routes.targets.get(event.backend_server)
    if target is None:
        return drop(DropReason.UNKNOWN_BACKEND_SERVER)
    if not target.usable:
        return drop(DropReason.OUT_OF_SERVICE)
    owner = home(state.homes, target.id)
    first = forwarding.hops == 0
    if first and owner not in (None, state.node) and _needs_home(event, state):
        return _through_home(owner, event, state)
    record = state.records.records.get(event.flow)
    if record is not None and record.target is target:
        record.opening = False
        note_answer(event, record, state)
    elif (
        isinstance(event, AnswerClosing)
        and event.reset
        and not forwarding.copy
        and is_in_doubt(state, event.flow, target, event.now)
    ):
        return drop(DropReason.RESET_IN_DOUBT)
    if not may_send(state, target, event.now):
        return drop(DropReason.STALE_VIEW)
    copy = backup(state.homes, target.id)
    closes = owner == state.node and isinstance(event, AnswerClosing)
    if closes and copy is not None and is_fresh(state.view, event.now):
        bucket = bucket_of(event.flow)
        return forward(copy, Forwarding(forwarding.hops, bucket, copy=True), state)
    return [ReturnToCaller(target)]


def _needs_home(event: AnswerEvent, state: BalancerState) -> bool:
    if not isinstance(event, AnswerData) or event.sampled:
        return True
    return not is_fresh(state.view, event.now)


def _through_home(
    owner: NodeId | None, event: AnswerEvent, state: BalancerState
) -> list[Decision]:
    if owner is None:
        return drop(DropReason.NO_HOME)
    return [ForwardToNode(owner, Forwarding(1, bucket_of(event.flow), sample=True))]


@singledispatch
def note_answer(event: AnswerEvent, record: FlowRecord, state: BalancerState) -> None:
    """Update the record of a flow after an answer."""
    raise TypeError(f"no rule for the event {type(event).__name__}")


@note_answer.register
def _(event: AnswerOpened, record: FlowRecord, state: BalancerState) -> None:
    _observe(OpeningResult.ANSWERED, record, state, event.now)
    record.last_seen = event.now


@note_answer.register
def _(event: AnswerData, record: FlowRecord, state: BalancerState) -> None:
    if not event.related and record.closed != records.BOTH_CLOSED:
        record.last_seen = event.now


@note_answer.register
def _(event: AnswerClosing, record: FlowRecord, state: BalancerState) -> None:
    if event.reset:
        _observe(OpeningResult.REFUSED, record, state, event.now)
    note_closing(state, event.flow, record, BACKEND_CLOSED, event.reset, event.now)


def _observe(
    result: OpeningResult, record: FlowRecord, state: BalancerState, now: Seconds
) -> None:
    """Report how an opening went, once for each admitted flow."""
    if record.answered or record.closed:
        return
    record.answered = True
    if record.slot_held:
        latency = Seconds(now - record.opened)
        state.admission.observe(record.target.id, result, latency, now)
