"""Decisions about caller packets that the tables of a balancer can't resolve.

The home of a backend server sends packets of recorded flows, admits new flows, and
locates the owner of a flow that it has not recorded.
"""

from functools import singledispatch

from wasabigw.core.admission import AdmissionVerdict
from wasabigw.core.flows import records
from wasabigw.core.flows.decisions import (
    Decision,
    Drop,
    DropReason,
    RefusalReason,
    Refuse,
)
from wasabigw.core.flows.events import CallerEvent, FlowClosing, FlowData, FlowOpened
from wasabigw.core.flows.forwarding import tag_of
from wasabigw.core.flows.homes import home
from wasabigw.core.flows.metrics import count_admitted, count_refused
from wasabigw.core.flows.opening import opening_target, overflow_target
from wasabigw.core.flows.records import CALLER_CLOSED, FlowRecord
from wasabigw.core.flows.search import decide_owner, local_misses, next_balancer
from wasabigw.core.flows.sending import (
    PacketContext,
    bindings,
    drop,
    forward,
    record_closing,
    record_flow,
    requesting_binding,
    send,
    send_recorded,
)
from wasabigw.core.flows.state import (
    BalancerState,
    PendingOpening,
    has_restarted,
    is_releasing,
    may_send,
)
from wasabigw.core.flows.targets import Target
from wasabigw.core.flows.waiting import end_wait, may_wait
from wasabigw.core.ids import Seconds
from wasabigw.core.states import Protocol
from wasabigw.core.timing import VIEW_LEASE
from wasabigw.core.view import NEVER, is_fresh

OPENING_TIMEOUT = Seconds(3.0)
"""An opening that its backend server has not answered by then counts as timed out."""

_VERDICT_DROPS = {
    AdmissionVerdict.NOT_ANNOUNCED: DropReason.NOT_ANNOUNCED,
    AdmissionVerdict.TAKEOVER_WAIT: DropReason.TAKEOVER_WAIT,
    AdmissionVerdict.RATE_LIMITED: DropReason.RATE_LIMITED,
}


@singledispatch
def decide_at_home(
    event: CallerEvent, context: PacketContext, state: BalancerState
) -> list[Decision]:
    """Decide on a caller packet that the tables of this balancer can't resolve."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide_at_home.register
def _(
    event: FlowOpened, context: PacketContext, state: BalancerState
) -> list[Decision]:
    if context.forwarding.copy:
        return _store_copy(event, context, state)
    record = state.records.records.get(context.flow)
    # At any other balancer the record may be a copy of an earlier flow with the same
    # key.
    if record is not None and home(state.homes, record.target.id) == state.node:
        return _reopen_flow(record, context, state)
    chosen = context.forwarding.chosen()
    if chosen is not None:
        return _accept_chosen(chosen, event, context, state)
    current = context.candidates.current
    if current is None:
        return _refuse_without_candidate(context, state)
    if current.failure_domain in state.routes.unreachable:
        return _divert_flow(event, context, state)
    owner = home(state.homes, current.id)
    if owner != state.node:
        return forward(owner, context.forwarding, state)
    return _open_flow(current, event, context, state)


def _reopen_flow(
    record: FlowRecord, context: PacketContext, state: BalancerState
) -> list[Decision]:
    """Handle a retransmitted opening packet, or a new flow that reuses a flow key."""
    if record.closed != records.BOTH_CLOSED:
        # The first opening packet may have been lost at the backup; send this one
        # directly to the backend server.
        record.copied_at = None
        return send(state, record.target, context.now)
    # Other balancers may still have a binding of the ended flow cached, so the new
    # flow may only open at the same backend server.
    if record.target is not context.candidates.current:
        return drop(DropReason.SETTLING)
    return admit_at(record.target, context, state)


@decide_at_home.register(FlowData)
@decide_at_home.register(FlowClosing)
def _(
    event: FlowData | FlowClosing, context: PacketContext, state: BalancerState
) -> list[Decision]:
    if context.forwarding.copy:
        return _store_copy(event, context, state)
    record = state.records.records.get(context.flow)
    if record is not None and record.target.usable and not record.opening:
        return _send_recorded_flow(event, record, context, state)
    chosen = context.forwarding.chosen()
    if chosen is not None:
        return _accept_chosen(chosen, event, context, state)
    return _locate_owner(event, context, state)


def _send_recorded_flow(
    event: FlowData | FlowClosing,
    record: FlowRecord,
    context: PacketContext,
    state: BalancerState,
) -> list[Decision]:
    closing = isinstance(event, FlowClosing)
    sent = send_recorded(state, context, record, copy=closing)
    if isinstance(sent[0], Drop):
        return sent
    _update_record(event, record, context, state)
    if closing:
        return sent
    return sent + bindings(state, context, record.target)


def _update_record(
    event: CallerEvent, record: FlowRecord, context: PacketContext, state: BalancerState
) -> None:
    """Update the record of a flow after a packet from its caller."""
    if isinstance(event, FlowClosing):
        record_closing(
            state, context.flow, record, CALLER_CLOSED, event.reset, context.now
        )
        return
    related = isinstance(event, FlowData) and event.related
    if not related and record.closed != records.BOTH_CLOSED:
        record.last_seen = context.now


def _store_copy(
    event: CallerEvent, context: PacketContext, state: BalancerState
) -> list[Decision]:
    """Store a copy of the home's record at its backup, and send the packet."""
    target = state.routes.by_index.get(context.forwarding.chosen() or 0)
    if target is None or target.service != context.route.id:
        return drop(DropReason.NOT_A_CANDIDATE)
    sent = send(state, target, context.now)
    if isinstance(sent[0], Drop):
        return sent
    record = state.records.records.get(context.flow)
    opens = isinstance(event, FlowOpened)
    if record is None or record.target is not target or opens:
        record = record_flow(state, context, target)
    if record is not None:
        record.answered = True
        _update_record(event, record, context, state)
    return sent


def _locate_owner(
    event: FlowData | FlowClosing, context: PacketContext, state: BalancerState
) -> list[Decision]:
    """Query the balancers that may have recorded the flow, one after the other.

    When all of them were queried, the owner is chosen by :func:`decide_owner`.
    """
    only = _only_local_candidate(context, state)
    if only is not None and not (isinstance(event, FlowData) and event.related):
        return _accept_flow(only, event, context, state)
    forwarding = requesting_binding(state, context.forwarding)
    forwarding = forwarding.with_queried(local_misses(context, state))
    receiver = next_balancer(forwarding, context, state)
    if receiver is not None:
        return forward(receiver, forwarding, state)
    located = decide_owner(event, forwarding, context, state)
    if isinstance(located, DropReason):
        return drop(located)
    if isinstance(located, RefusalReason):
        return [Refuse(located)]
    return _pass_to_home(located, event, context, state)


def _only_local_candidate(
    context: PacketContext, state: BalancerState
) -> Target | None:
    """Only candidate of a bucket, if this balancer is its home.

    No other backend server can own the flow then, so that no query is needed.
    """
    current = context.candidates.current
    if current is None or context.candidates.others:
        return None
    if context.route.protocol is not Protocol.TCP:
        return None
    if state.routes.healing or state.routes.unreachable:
        return None
    if not is_fresh(state.view, context.now):
        return None
    return current if home(state.homes, current.id) == state.node else None


def _pass_to_home(
    target: Target, event: CallerEvent, context: PacketContext, state: BalancerState
) -> list[Decision]:
    """Forward the packet to the home of a chosen backend server."""
    owner = home(state.homes, target.id)
    if owner == state.node:
        return _accept_flow(target, event, context, state)
    if owner is None:
        return drop(DropReason.NO_HOME)
    forwarding = context.forwarding
    if not isinstance(event, FlowOpened):
        forwarding = requesting_binding(state, forwarding)
    return forward(owner, forwarding.delivering(tag_of(owner), target.index), state)


def _accept_chosen(
    index: int, event: CallerEvent, context: PacketContext, state: BalancerState
) -> list[Decision]:
    target = context.candidates.candidate(index)
    if target is None:
        return drop(DropReason.NOT_A_CANDIDATE)
    owner = home(state.homes, target.id)
    if owner != state.node:
        return forward(owner, context.forwarding, state)
    return _accept_flow(target, event, context, state)


def _accept_flow(
    target: Target, event: CallerEvent, context: PacketContext, state: BalancerState
) -> list[Decision]:
    """Accept a flow for a backend server whose home is this balancer."""
    if is_releasing(state, context.bucket, target):
        return drop(DropReason.RELEASING)
    opens = context.route.protocol is Protocol.UDP and isinstance(event, FlowData)
    if isinstance(event, FlowOpened) or opens:
        return admit_at(target, context, state)
    if isinstance(event, FlowClosing) and event.reset:
        return send(state, target, context.now)
    if not may_send(state, target, context.now):
        return drop(DropReason.STALE_VIEW)
    record = record_flow(state, context, target)
    if record is None:
        return send(state, target, context.now)
    return _send_recorded_flow(event, record, context, state)


def _open_flow(
    current: Target, event: CallerEvent, context: PacketContext, state: BalancerState
) -> list[Decision]:
    """Open a flow at the backend server that gets the new flows of its bucket."""
    chosen = opening_target(current, context)
    if isinstance(chosen, DropReason):
        return drop(chosen)
    return _pass_to_home(chosen, event, context, state)


def admit_at(
    target: Target, context: PacketContext, state: BalancerState
) -> list[Decision]:
    """Admit a flow at a backend server, or forward, drop or refuse the packet."""
    owner = home(state.homes, target.id)
    if owner != state.node:
        return forward(owner, context.forwarding, state)
    known = context.flow in state.records.records
    if records.is_full(state.records) and not known:
        return _refuse(RefusalReason.TABLE_FULL, context, state)
    if not may_send(state, target, context.now) or not _is_exclusive(
        target, context, state
    ):
        return drop(DropReason.STALE_VIEW)
    if has_restarted(state, target):
        # The record would be deleted once the log contains the new boot.
        return drop(DropReason.NOT_ANNOUNCED)
    verdict = state.admission.admit(target.id, context.now)
    if verdict is AdmissionVerdict.ADMITTED:
        return _record_admitted(target, context, state)
    overflow = overflow_target(target, context)
    limited = verdict in (AdmissionVerdict.AT_LIMIT, AdmissionVerdict.RATE_LIMITED)
    if limited and overflow is not None:
        state.last_overflows[target.id] = context.now
        return _pass_to_overflow(overflow, context, state)
    if verdict is AdmissionVerdict.AT_LIMIT:
        return _wait_or_refuse(context, state)
    return drop(_VERDICT_DROPS[verdict])


def _wait_or_refuse(context: PacketContext, state: BalancerState) -> list[Decision]:
    """Drop an opening packet that TCP retransmits; refuse the flow otherwise."""
    repeats = context.route.protocol is Protocol.TCP
    if repeats and may_wait(state.waiting, context.flow, context.now):
        return drop(DropReason.WAITING)
    return _refuse(RefusalReason.AT_LIMIT, context, state)


def _record_admitted(
    target: Target, context: PacketContext, state: BalancerState
) -> list[Decision]:
    record = record_flow(state, context, target, admitted=True)
    if record is None:
        return _refuse(RefusalReason.TABLE_FULL, context, state)
    count_admitted(state.metrics, context.route.id)
    end_wait(state.waiting, context.flow)
    _note_unlogged_diversion(target, context, state)
    if context.route.protocol is Protocol.TCP:
        record.opening = True
        deadline = Seconds(context.now + OPENING_TIMEOUT)
        state.pending_openings.append(PendingOpening(deadline, context.flow, record))
    sent = send_recorded(state, context, record, copy=True)
    return sent + bindings(state, context, target)


def _note_unlogged_diversion(
    target: Target, context: PacketContext, state: BalancerState
) -> None:
    """Remember to report a backend server that the log does not list as a candidate."""
    named = {c.backend_server for c in context.route.others.get(context.bucket, ())}
    if target.id not in named | {context.route.current[context.bucket]}:
        slot = (target.service, context.bucket, target.id)
        state.unlogged_diversions.setdefault(slot, NEVER)


def _is_exclusive(target: Target, context: PacketContext, state: BalancerState) -> bool:
    """Whether no other balancer can admit flows for the backend server now.

    A new home admits flows only one view lease after the first announcement to it.
    """
    if is_fresh(state.view, context.now):
        return True
    renewal = state.renewals.get(target.id)
    return renewal is not None and context.now - renewal.at < VIEW_LEASE


def _pass_to_overflow(
    overflow: Target, context: PacketContext, state: BalancerState
) -> list[Decision]:
    owner = home(state.homes, overflow.id)
    if owner == state.node:
        return admit_at(overflow, context, state)
    if owner is None:
        return drop(DropReason.NO_HOME)
    chosen = context.forwarding.delivering(tag_of(owner), overflow.index)
    return forward(owner, chosen, state)


def _divert_flow(
    event: FlowOpened, context: PacketContext, state: BalancerState
) -> list[Decision]:
    """Open a flow elsewhere while the failure domain of its bucket is unreachable."""
    target = context.candidates.diverted
    if target is None:
        return drop(DropReason.UNREACHABLE)
    return _pass_to_home(target, event, context, state)


def _refuse_without_candidate(
    context: PacketContext, state: BalancerState
) -> list[Decision]:
    if not is_fresh(state.view, context.now):
        return drop(DropReason.STALE_VIEW)
    return _refuse(RefusalReason.NO_BACKEND_SERVER, context, state)


def _refuse(
    reason: RefusalReason, context: PacketContext, state: BalancerState
) -> list[Decision]:
    """Count and refuse a new flow."""
    count_refused(state.metrics, context.route.id)
    return [Refuse(reason)]
