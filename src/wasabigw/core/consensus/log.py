"""The replicated log as a voter keeps it in memory."""

from collections.abc import Iterable, Sequence

from wasabigw.core.cluster import NO_REVISION
from wasabigw.core.consensus.messages import NO_TERM
from wasabigw.core.ids import Revision, Term
from wasabigw.core.log_messages import LogEntry


class ReplicatedLog:
    """A contiguous sequence of entries and the position of a snapshot.

    Entries before the snapshot may be kept for voters that lag behind. There is no gap
    between the snapshot and the first entry after it.

    :param revision: revision of the snapshot; 0 without one.
    :param term: term of the entry at ``revision``.
    """

    def __init__(
        self,
        revision: Revision = NO_REVISION,
        term: Term = NO_TERM,
        entries: Iterable[LogEntry] = (),
    ) -> None:
        self._snapshot_revision = revision
        self._snapshot_term = term
        self._entries = list(entries)

    @property
    def last_revision(self) -> Revision:
        """Revision of the last entry, or of the snapshot."""
        return self._entries[-1].revision if self._entries else self._snapshot_revision

    @property
    def last_term(self) -> Term:
        """Term of the entry at :attr:`last_revision`."""
        return self._entries[-1].term if self._entries else self._snapshot_term

    @property
    def available_after(self) -> Revision:
        """Lowest revision after which no entry is missing."""
        if not self._entries:
            return self._snapshot_revision
        return Revision(self._entries[0].revision - 1)

    def term_at(self, revision: Revision) -> Term | None:
        """Term of the entry at a revision, ``None`` if it is not known."""
        if revision == self._snapshot_revision:
            return self._snapshot_term
        position = revision - self.available_after - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return NO_TERM if revision == 0 else None

    def after(
        self,
        revision: Revision,
        up_to: Revision | None = None,
        limit: int | None = None,
    ) -> Sequence[LogEntry]:
        """Entries that follow ``revision``.

        :param revision: at least :attr:`available_after`.
        """
        start = max(0, revision - self.available_after)
        end = len(self._entries)
        if up_to is not None:
            end = min(end, up_to - self.available_after)
        if limit is not None:
            end = min(end, start + limit)
        return self._entries[start : max(start, end)]

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries, replacing all from the revision of the first one on."""
        if not entries:
            return
        keep = entries[0].revision - self.available_after - 1
        del self._entries[max(0, keep) :]
        self._entries.extend(entries)

    def conflict(self, revision: Revision, lowest: Revision) -> Revision:
        """Revision after which the leader should continue after a mismatch.

        Skips all entries of the conflicting term, but does not go below ``lowest``.

        :param revision: revision at which the entry is missing or differs.
        """
        if revision > self.last_revision:
            return self.last_revision
        term = self.term_at(revision)
        while revision > lowest and self.term_at(revision) == term:
            revision = Revision(revision - 1)
        return max(revision, lowest)

    def compact(self, revision: Revision, term: Term, keep: int) -> None:
        """Move the snapshot forward; remove entries ``keep`` or more before it."""
        drop = revision - keep - self.available_after
        if drop > 0:
            del self._entries[:drop]
        self._snapshot_revision = revision
        self._snapshot_term = term

    def reset(self, revision: Revision, term: Term) -> None:
        """Remove all entries and continue after a snapshot."""
        self._entries.clear()
        self._snapshot_revision = revision
        self._snapshot_term = term
