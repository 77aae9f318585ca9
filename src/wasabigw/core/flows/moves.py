"""History of the bucket moves of a service, by the clock of this balancer."""

from dataclasses import dataclass, field, replace

from wasabigw.core.cluster import BucketTable
from wasabigw.core.ids import BackendServerId, BucketNumber, Seconds
from wasabigw.core.states import CandidateReason
from wasabigw.core.timing import FLOW_IDLE_TIMEOUT


@dataclass(frozen=True, slots=True)
class Move:
    """A bucket left a backend server.

    :param at: when this balancer applied the move; one ``SETTLE_TIME`` earlier if the
        move was committed at least that long before.
    :param ambiguous: there were several moves, whose order is unknown.
    """

    at: Seconds
    former: BackendServerId | None
    ambiguous: bool = False


@dataclass(slots=True)
class MoveHistory:
    """Moves of each bucket within the last :data:`FLOW_IDLE_TIMEOUT`, oldest first."""

    moves: dict[BucketNumber, list[Move]] = field(default_factory=dict)


def record_move(
    history: MoveHistory,
    bucket: BucketNumber,
    former: BackendServerId | None,
    now: Seconds,
) -> None:
    """Record that a bucket left a backend server.

    ``now`` may lie before the time of earlier moves if this move had settled when it
    was applied. Their times are lowered to it, because they happened before.
    """
    recent = [
        replace(move, at=min(move.at, now))
        for move in history.moves.get(bucket, ())
        if move.at > now - FLOW_IDLE_TIMEOUT
    ]
    recent.append(Move(now, former))
    history.moves[bucket] = recent


def start_from_snapshot(history: MoveHistory, table: BucketTable, now: Seconds) -> None:
    """Treat each bucket with former backend servers as moved now.

    A snapshot does not contain the times of moves. With several former backend
    servers the order of the moves is unknown, too.
    """
    history.moves.clear()
    for bucket, others in table.others.items():
        former = [c for c in others if c.reason is CandidateReason.FORMER]
        if former:
            move = Move(now, former[0].backend_server, len(former) > 1)
            history.moves[bucket] = [move]


def owner_before(
    history: MoveHistory, bucket: BucketNumber, since: Seconds
) -> Move | None:
    """The first move after ``since``; its ``former`` owned the bucket at ``since``.

    :returns: ``None`` if the bucket has not moved after ``since``.
    """
    for move in history.moves.get(bucket, ()):
        if move.at > since:
            return move
    return None


def moves_after(
    history: MoveHistory, bucket: BucketNumber, since: Seconds
) -> tuple[Move, ...]:
    """Moves after a time, oldest first."""
    return tuple(m for m in history.moves.get(bucket, ()) if m.at > since)
