"""Times at which a voter learned that log entries are committed."""

from collections import deque
from dataclasses import dataclass, field

from wasabigw.core.cluster import NO_REVISION
from wasabigw.core.ids import Revision, Seconds
from wasabigw.core.timing import SETTLE_TIME


@dataclass(slots=True)
class CommitTimes:
    """Commits within the last :data:`SETTLE_TIME`, and the last one before them.

    :param settled: last revision that was committed longer ago.
    :param recent: revisions of the later commits with their times.
    """

    settled: Revision = NO_REVISION
    recent: deque[tuple[Revision, Seconds]] = field(default_factory=deque)


def record_commit(times: CommitTimes, revision: Revision, now: Seconds) -> None:
    """Record that a revision is known to be committed."""
    times.recent.append((revision, now))


def settled_revision(times: CommitTimes, now: Seconds) -> Revision:
    """Last revision known to be committed for at least :data:`SETTLE_TIME`.

    All fresh views include it, so its bucket moves need no further delay.
    """
    while times.recent and now - times.recent[0][1] >= SETTLE_TIME:
        times.settled = times.recent.popleft()[0]
    return times.settled
