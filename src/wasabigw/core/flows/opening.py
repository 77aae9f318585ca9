"""Where new flows of a bucket open."""

from wasabigw.core.flows.decisions import DropReason
from wasabigw.core.flows.moves import moves_after
from wasabigw.core.flows.sending import PacketContext
from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import Seconds
from wasabigw.core.states import CandidateReason
from wasabigw.core.timing import SETTLE_TIME


def opening_target(current: Target, context: PacketContext) -> Target | DropReason:
    """Backend server that takes the new flows of a bucket now.

    It is the one that owned the bucket one ``SETTLE_TIME`` ago, because until then
    other balancers may send the packets of its flows straight there.
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
    """OVERFLOW candidate that takes the flows that ``target`` can't.

    It must be older than ``SETTLE_TIME``, so that all balancers know of it.
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
