"""Entry point of the flow decisions: dispatches each event to its handler.

The rules are described on the design page, sections 4.2 to 4.5.
"""

from functools import singledispatch

from wasabigw.core.buckets import bucket_of
from wasabigw.core.flows.answers import on_answer
from wasabigw.core.flows.cache import lookup, remove_binding, store_binding
from wasabigw.core.flows.decisions import (
    Decision,
    DropReason,
    RefusalReason,
    Refuse,
    SendToBackend,
)
from wasabigw.core.flows.events import (
    AnswerClosing,
    AnswerData,
    AnswerOpened,
    BackendServerRenewed,
    BindingReceived,
    CallerEvent,
    FlowClosing,
    FlowData,
    FlowOpened,
    Forwarded,
    HandoverReceived,
    LogApplied,
    TakenOutLocally,
    TimerTick,
    UnknownDestination,
    ViewConfirmed,
)
from wasabigw.core.flows.forwarding import Forwarding
from wasabigw.core.flows.home_decisions import decide_at_home
from wasabigw.core.flows.homes import home, mark_copies_incomplete
from wasabigw.core.flows.limits import take_token
from wasabigw.core.flows.maintenance import (
    apply_log,
    apply_renewal,
    run_periodic_work,
    take_out_locally,
)
from wasabigw.core.flows.routes import ServiceRoute, bucket_route, compile_direct
from wasabigw.core.flows.sending import (
    PacketContext,
    drop,
    forward,
    initial_forwarding,
    record_flow,
)
from wasabigw.core.flows.state import BalancerState, is_releasing
from wasabigw.core.flows.targets import Target
from wasabigw.core.flows.transfer import receive_handover
from wasabigw.core.ids import BucketNumber, FlowKey, NodeId, Seconds
from wasabigw.core.states import Protocol
from wasabigw.core.timing import BINDING_LIFETIME, MAX_HOPS
from wasabigw.core.view import confirm, is_fresh

Event = (
    CallerEvent
    | AnswerOpened
    | AnswerData
    | AnswerClosing
    | Forwarded
    | UnknownDestination
    | BindingReceived
    | LogApplied
    | ViewConfirmed
    | BackendServerRenewed
    | HandoverReceived
    | TakenOutLocally
    | TimerTick
)


def direct_target(
    state: BalancerState,
    route: ServiceRoute,
    flow: FlowKey,
    bucket: BucketNumber,
    now: Seconds,
) -> Target | None:
    """Backend server of a packet of an open flow, from the tables of this balancer.

    May be used under a fresh view only.

    :returns: ``None`` if a home has to decide.
    """
    if route.protocol is Protocol.TCP:
        direct = route.direct or compile_direct(state.routes, route)
        target = direct[bucket]
        if target is not None:
            return target
    return lookup(state.cache, flow, now)


@singledispatch
def handle(event: Event, state: BalancerState) -> list[Decision]:
    """Decide what to do about an event and update the state."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@handle.register(FlowOpened)
@handle.register(FlowData)
@handle.register(FlowClosing)
def _(event: CallerEvent, state: BalancerState) -> list[Decision]:
    bucket = bucket_of(event.flow)
    return _on_caller_event(event, state, initial_forwarding(bucket), None)


@handle.register(AnswerOpened)
@handle.register(AnswerData)
@handle.register(AnswerClosing)
def _(
    event: AnswerOpened | AnswerData | AnswerClosing, state: BalancerState
) -> list[Decision]:
    forwarding = initial_forwarding(bucket_of(event.flow))
    return on_answer(event, forwarding, state)


@handle.register
def _(event: Forwarded, state: BalancerState) -> list[Decision]:
    inner = event.event
    if event.forwarding.hops >= MAX_HOPS:
        return drop(DropReason.HOP_LIMIT)
    if isinstance(inner, (AnswerOpened, AnswerData, AnswerClosing)):
        return on_answer(inner, event.forwarding, state)
    return _on_caller_event(inner, state, event.forwarding, event.sender)


@handle.register
def _(event: UnknownDestination, state: BalancerState) -> list[Decision]:
    if not is_fresh(state.view, event.now):
        # The destination may be a service that was added after this view.
        return drop(DropReason.STALE_VIEW)
    if not take_token(state.refusal_limit, event.now):
        return drop(DropReason.REPLY_RATE_LIMITED)
    return [Refuse(RefusalReason.UNKNOWN_DESTINATION)]


@handle.register
def _(event: BindingReceived, state: BalancerState) -> list[Decision]:
    route = state.routes.services.get(event.service)
    target = state.routes.by_index.get(event.backend_index)
    if route is None or target is None or target.service != route.id:
        return []
    bucket = bucket_of(event.flow)
    candidates = bucket_route(state.routes, route, bucket)
    if target not in candidates.live or event.sender not in state.cluster.nodes:
        return []
    if home(state.homes, target.id) == state.node:
        _record_binding(event, route, target, state)
        return []
    lifetime = min(event.lifetime, BINDING_LIFETIME)
    store_binding(state.cache, event.flow, target, Seconds(event.now + lifetime))
    return []


def _record_binding(
    event: BindingReceived, route: ServiceRoute, target: Target, state: BalancerState
) -> None:
    """Record a flow that the previous home of its backend server has recorded."""
    bucket = bucket_of(event.flow)
    known = event.flow in state.records.records
    if known or is_releasing(state, bucket, target):
        return
    context = _context(
        event.flow, route, initial_forwarding(bucket), None, event, state
    )
    record_flow(state, context, target)


@handle.register
def _(event: ViewConfirmed, state: BalancerState) -> list[Decision]:
    applied = state.cluster.revision
    if state.view.confirmed and not is_fresh(state.view, event.now):
        mark_copies_incomplete(state.homes, event.now)
    confirm(state.view, event.sent_at, event.fresh_for, event.committed, applied)
    return []


@handle.register
def _(event: LogApplied, state: BalancerState) -> list[Decision]:
    return apply_log(event, state)


@handle.register
def _(event: TakenOutLocally, state: BalancerState) -> list[Decision]:
    return take_out_locally(event, state)


@handle.register
def _(event: TimerTick, state: BalancerState) -> list[Decision]:
    return run_periodic_work(event.now, state)


@handle.register
def _(event: HandoverReceived, state: BalancerState) -> list[Decision]:
    receive_handover(event, state)
    return []


@handle.register
def _(event: BackendServerRenewed, state: BalancerState) -> list[Decision]:
    apply_renewal(event, state)
    return []


def _on_caller_event(
    event: CallerEvent,
    state: BalancerState,
    forwarding: Forwarding,
    sender: NodeId | None,
) -> list[Decision]:
    if not state.view.confirmed:
        return drop(DropReason.NO_VIEW)
    route = state.routes.services.get(event.service)
    if route is None:
        return drop(DropReason.UNKNOWN_SERVICE)
    context = _context(event.flow, route, forwarding, sender, event, state)
    if sender is None and is_fresh(state.view, event.now):
        decided = _decide_from_tables(event, context, state)
        if decided is not None:
            return decided
    if not isinstance(event, FlowData):
        remove_binding(state.cache, event.flow)
    return decide_at_home(event, context, state)


def _decide_from_tables(
    event: CallerEvent, context: PacketContext, state: BalancerState
) -> list[Decision] | None:
    """Decide on a packet of an open flow from the tables.

    Closing and sampled packets are forwarded through the home, which updates its
    record.

    :returns: ``None`` if the owner is unknown or this balancer has to act as home.
    """
    if isinstance(event, FlowOpened):
        return None
    target = direct_target(state, context.route, event.flow, context.bucket, event.now)
    if target is None:
        return None
    if isinstance(event, FlowData) and not event.sampled:
        return [SendToBackend(target)]
    owner = home(state.homes, target.id)
    if owner is None:
        return [SendToBackend(target)]
    if owner == state.node:
        return None
    if isinstance(event, FlowClosing):
        remove_binding(state.cache, event.flow)
    sample = Forwarding(0, context.bucket, sample=True)
    return forward(owner, sample, state)


def _context(
    flow: FlowKey,
    route: ServiceRoute,
    forwarding: Forwarding,
    sender: NodeId | None,
    event: CallerEvent | BindingReceived,
    state: BalancerState,
) -> PacketContext:
    bucket = bucket_of(flow)
    candidates = bucket_route(state.routes, route, bucket)
    return PacketContext(flow, route, bucket, candidates, forwarding, sender, event.now)
