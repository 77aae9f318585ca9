"""Choice of the backend server that a new flow opens at."""

from wasabigw.core.flows.decisions import DropReason
from wasabigw.core.flows.moves import moves_after
from wasabigw.core.flows.sending import PacketContext
from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import Seconds
from wasabigw.core.states import CandidateReason
from wasabigw.core.timing import SETTLE_TIME


def opening_target(current: Target, context: PacketContext) -> Target | DropReason:
    """Backend server that gets the new flows of a bucket now.

    This is the owner of the bucket one ``SETTLE_TIME`` ago. Balancers that have not
    applied a later move yet send the packets of the bucket directly to that owner.
    """
    since = Seconds(context.now - SETTLE_TIME)
    for move in moves_after(context.route.moves, context.bucket, since):
        if move.ambiguous:
            return DropReason.SETTLING
        for target in context.candidates.live:
            if target.id == move.former:
                return target
    return current


def overflow_target(target: Target, context: PacketContext) -> Target | None:
    """OVERFLOW candidate that gets new flows while ``target`` is at its limit.

    It must have been applied at least ``SETTLE_TIME`` ago, so that all balancers with
    a fresh view have it in their tables.
    """
    for other in context.candidates.others:
        if other.reason is not CandidateReason.OVERFLOW or other.target is None:
            continue
        if other.target is target:
            return None
        if not other.target.serving:
            continue
        key = (context.bucket, other.backend_server, other.revision)
        if (
            context.route.candidate_since.get(key, context.now)
            <= context.now - SETTLE_TIME
        ):
            return other.target
    return None
