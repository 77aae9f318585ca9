"""Search for the backend server that owns a flow without a record here."""

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
from wasabigw.core.view_lease import is_fresh

OwnerResult = Target | DropReason | RefusalReason


def local_misses(
    context: PacketContext, state: BalancerState
) -> tuple[QueriedBalancer, ...]:
    """Entries of this balancer for the candidates whose records it keeps.

    An entry is complete only under a fresh view, because under a stale one another
    balancer may have become the home, and only if no opening of the flow at the
    candidate is still unanswered.
    """
    fresh = is_fresh(state.view, context.now)
    record = state.records.records.get(context.flow)
    opening = record.target if record is not None and record.opening else None
    entries = []
    for target in context.candidates.live:
        is_previous = previous_home(state.homes, target.id) == state.node
        has_former_role = target.id in state.homes.former_roles
        if (
            not has_role(state.homes, target.id)
            and not is_previous
            and not has_former_role
        ):
            continue
        certain = fresh and target is not opening
        complete = certain and is_complete(
            state.homes, target.id, context.bucket, context.now
        )
        entries.append(QueriedBalancer(state.tag, not complete, target.index))
    return tuple(entries)


def next_balancer(
    forwarding: Forwarding, context: PacketContext, state: BalancerState
) -> NodeId | None:
    """Balancer to query next; ``None`` if all were queried.

    Queries the home of each candidate, the current one first. If a home may lack
    records, its backup and the previous home are queried as well.
    """
    for target in context.candidates.live:
        current_home = home(state.homes, target.id)
        if current_home is None or _is_unreachable(current_home, state):
            continue
        if not forwarding.was_queried(tag_of(current_home), target.index):
            return current_home
        if not forwarding.lacks_records(target.index):
            continue
        for other in _other_holders(target, current_home, state):
            if not forwarding.was_queried(tag_of(other), target.index):
                return other
    return None


def _is_unreachable(node: NodeId, state: BalancerState) -> bool:
    known = state.cluster.nodes.get(node)
    return known is not None and known.failure_domain in state.routes.unreachable


def _other_holders(
    target: Target, current_home: NodeId, state: BalancerState
) -> tuple[NodeId, ...]:
    """Previous home and backup, which may have records that the home lacks."""
    previous = previous_home(state.homes, target.id)
    backup_node = backup(state.homes, target.id)
    return tuple(
        n for n in (previous, backup_node) if n is not None and n != current_home
    )


def decide_owner(
    event: FlowData | FlowClosing,
    forwarding: Forwarding,
    context: PacketContext,
    state: BalancerState,
) -> OwnerResult:
    """Backend server of a flow that no home has recorded, or why there is none.

    The rules are applied in the order of section 4.3 of the design page.
    """
    udp = context.route.protocol is Protocol.UDP
    if not is_fresh(state.view, context.now):
        return _owner_under_stale_view(event, forwarding, context, state)
    if isinstance(event, FlowData) and event.related:
        return DropReason.UNKNOWN_FLOW
    if state.routes.healing:
        # The log may not yet list the candidates that another side of the partition
        # diverted flows to.
        return DropReason.HEALING
    if state.routes.unreachable and not udp:
        # The partition may just have ended, and the flow may have been diverted by the
        # other side to a backend server that is no candidate here.
        return DropReason.HEALING
    lacking = [t for t in context.candidates.live if _may_hold(t, forwarding)]
    if len(lacking) == 1:
        return lacking[0]
    if lacking:
        return DropReason.AMBIGUOUS
    if udp:
        return _udp_opening_target(context)
    return _owner_by_age(event, context, state)


def _may_hold(target: Target, forwarding: Forwarding) -> bool:
    """Whether a candidate may own the flow although no balancer has recorded it."""
    answered = any(queried.candidate == target.index for queried in forwarding.queried)
    return not answered or forwarding.lacks_records(target.index)


def _owner_under_stale_view(
    event: FlowData | FlowClosing,
    forwarding: Forwarding,
    context: PacketContext,
    state: BalancerState,
) -> OwnerResult:
    """Owner under a stale view, which can be determined for UDP data only.

    The bucket must have a single candidate, and this balancer must be its home and have
    complete records. All other packets are dropped, because newer tables may list other
    candidates.
    """
    current = context.candidates.current
    if context.route.protocol is not Protocol.UDP or current is None:
        return DropReason.STALE_VIEW
    if not isinstance(event, FlowData) or event.related:
        return DropReason.STALE_VIEW
    is_only = context.candidates.live == (current,)
    complete = is_complete(state.homes, current.id, context.bucket, context.now)
    homed_here = home(state.homes, current.id) == state.node
    if is_only and homed_here and complete:
        return current
    return DropReason.STALE_VIEW


def _udp_opening_target(context: PacketContext) -> OwnerResult:
    """Backend server that a UDP flow opens at."""
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
) -> OwnerResult:
    """Owner of a flow that no home has recorded although all are complete.

    The flow is older than any record can be. It belongs to the backend server that
    owned the bucket one idle timeout ago, or to one that has departed or restarted
    since.
    """
    reset = isinstance(event, FlowClosing) and event.reset
    gone: OwnerResult = DropReason.UNKNOWN_FLOW if reset else RefusalReason.FLOW_GONE
    candidates = context.candidates
    if candidates.has_departed or _has_restarted_candidate(context, state):
        # A flow of the departed or restarted backend server may be younger, but there
        # was no home to query for its record.
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
