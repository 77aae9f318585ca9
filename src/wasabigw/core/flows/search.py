"""Search for the owner of a flow that this balancer has not recorded."""

from wasabigw.core.flows.decisions import DropReason, RefusalReason
from wasabigw.core.flows.events import FlowClosing, FlowData
from wasabigw.core.flows.forwarding import Forwarding, QueriedBalancer, tag_of
from wasabigw.core.flows.homes import backup, has_role, home, is_complete, previous_home
from wasabigw.core.flows.moves import owner_before
from wasabigw.core.flows.opening import opening_target
from wasabigw.core.flows.sending import PacketContext
from wasabigw.core.flows.state import BalancerState
from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import NodeId, Seconds
from wasabigw.core.states import CandidateReason, Protocol
from wasabigw.core.timing import FLOW_IDLE_TIMEOUT
from wasabigw.core.view import is_fresh

Found = Target | DropReason | RefusalReason


def local_misses(
    context: PacketContext, state: BalancerState
) -> tuple[QueriedBalancer, ...]:
    """Candidates for which this balancer says that it does not know the flow.

    Under a stale view it may have been succeeded, so that it can't vouch for its
    completeness. Neither can it for a backend server that has not yet answered.
    """
    fresh = is_fresh(state.view, context.now)
    record = state.records.records.get(context.flow)
    opening = record.target if record is not None and record.opening else None
    answers = []
    for target in context.candidates.live:
        former = previous_home(state.homes, target.id) == state.node
        had_role = target.id in state.homes.former_roles
        if not has_role(state.homes, target.id) and not former and not had_role:
            continue
        certain = fresh and target is not opening
        complete = certain and is_complete(
            state.homes, target.id, context.bucket, context.now
        )
        answers.append(QueriedBalancer(state.tag, not complete, target.index))
    return tuple(answers)


def next_balancer(
    forwarding: Forwarding, context: PacketContext, state: BalancerState
) -> NodeId | None:
    """Balancer to ask next: homes, and on a lack of records those that may have them.

    The current candidate comes first.
    """
    for target in context.candidates.live:
        present = home(state.homes, target.id)
        if present is None or _is_cut_off(present, state):
            continue
        if not forwarding.was_queried(tag_of(present), target.index):
            return present
        if not forwarding.lacks_records(target.index):
            continue
        for other in _other_holders(target, present, state):
            if not forwarding.was_queried(tag_of(other), target.index):
                return other
    return None


def _is_cut_off(node: NodeId, state: BalancerState) -> bool:
    known = state.cluster.nodes.get(node)
    return known is not None and known.failure_domain in state.routes.unreachable


def _other_holders(
    target: Target, present: NodeId, state: BalancerState
) -> tuple[NodeId, ...]:
    """Previous home and backup; they may hold records that the home lacks."""
    former = previous_home(state.homes, target.id)
    second = backup(state.homes, target.id)
    return tuple(n for n in (former, second) if n is not None and n != present)


def decide_owner(
    event: FlowData | FlowClosing,
    forwarding: Forwarding,
    context: PacketContext,
    state: BalancerState,
) -> Found:
    """Backend server of a flow that no home knows.

    The rules are those of the design page, section 4.3, in their order.
    """
    udp = context.route.protocol is Protocol.UDP
    if not is_fresh(state.view, context.now):
        return _owner_under_stale_view(event, forwarding, context, state)
    if isinstance(event, FlowData) and event.related:
        return DropReason.UNKNOWN_FLOW
    if state.routes.healing:
        # Another side of the partition may hold the flow and not have said so yet.
        return DropReason.HEALING
    lacking = [t for t in context.candidates.live if _may_hold(t, forwarding)]
    if len(lacking) == 1:
        return lacking[0]
    if lacking:
        return DropReason.AMBIGUOUS
    if udp:
        return _opening_place(context)
    if state.routes.unreachable:
        # It may have been diverted there, and the partition may just have ended.
        return DropReason.HEALING
    return _owner_by_age(event, context, state)


def _may_hold(target: Target, forwarding: Forwarding) -> bool:
    """Whether a flow may be at a candidate although no home knows it."""
    answered = any(queried.candidate == target.index for queried in forwarding.queried)
    return not answered or forwarding.lacks_records(target.index)


def _owner_under_stale_view(
    event: FlowData | FlowClosing,
    forwarding: Forwarding,
    context: PacketContext,
    state: BalancerState,
) -> Found:
    """Nothing is proven, but a lone home may open flows without connections."""
    current = context.candidates.current
    if context.route.protocol is not Protocol.UDP or current is None:
        return DropReason.STALE_VIEW
    if not isinstance(event, FlowData) or event.related:
        return DropReason.STALE_VIEW
    alone = context.candidates.live == (current,)
    complete = is_complete(state.homes, current.id, context.bucket, context.now)
    homed_here = home(state.homes, current.id) == state.node
    if alone and homed_here and complete:
        return current
    return DropReason.STALE_VIEW


def _opening_place(context: PacketContext) -> Found:
    """Where a flow without connections opens."""
    current = context.candidates.current
    if current is None:
        return RefusalReason.NO_BACKEND_SERVER
    return opening_target(current, context)


def _has_restarted_candidate(context: PacketContext, state: BalancerState) -> bool:
    since = Seconds(context.now - FLOW_IDLE_TIMEOUT)
    live = {target.id for target in context.candidates.live}
    return any(
        state.restarted_at[name] > since for name in live & state.restarted_at.keys()
    )


def _owner_by_age(
    event: FlowData | FlowClosing, context: PacketContext, state: BalancerState
) -> Found:
    """All homes are complete, so the flow is older than any record can be.

    It belongs to the backend server that owned the bucket one idle timeout ago, or
    to one that has departed or restarted since.
    """
    reset = isinstance(event, FlowClosing) and event.reset
    gone: Found = DropReason.UNKNOWN_FLOW if reset else RefusalReason.FLOW_GONE
    candidates = context.candidates
    if candidates.has_departed or _has_restarted_candidate(context, state):
        # Nobody could be queried about its flows, whose records are younger.
        return gone
    since = Seconds(context.now - FLOW_IDLE_TIMEOUT)
    move = owner_before(context.route.moves, context.bucket, since)
    if move is not None and not move.ambiguous:
        if candidates.current is not None and candidates.current.id == move.former:
            return candidates.current
        for other in candidates.others:
            if other.backend_server == move.former:
                return other.target or gone
    for other in candidates.others:
        if other.reason is CandidateReason.FORMER and other.target is not None:
            return other.target
    if candidates.current is not None:
        return candidates.current
    return DropReason.UNKNOWN_FLOW if reset else RefusalReason.NO_BACKEND_SERVER
