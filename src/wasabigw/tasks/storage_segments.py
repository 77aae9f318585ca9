"""Segments of the log on disk."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from returns.result import Failure

from wasabigw.core.ids import Revision, Term
from wasabigw.core.log_messages import LogEntry
from wasabigw.tasks.storage_errors import damaged
from wasabigw.tasks.storage_files import append_to_file, remove_files, truncate_file
from wasabigw.tasks.storage_records import read_record, write_record

SEGMENT_ENTRIES = 512
"""Entries in one file; after a snapshot only whole files are removed."""


@dataclass(slots=True)
class Segment:
    """A file with consecutive entries.

    :param offsets: offset of each entry in the file.
    :param size: offset of the end of the last entry.
    """

    path: Path
    first: Revision
    offsets: list[int] = field(default_factory=list)
    terms: list[Term] = field(default_factory=list)
    size: int = 0

    @property
    def last(self) -> Revision:
        """Revision of the last entry; ``first - 1`` if the segment is empty."""
        return Revision(self.first + len(self.offsets) - 1)

    def term_at(self, revision: Revision) -> Term | None:
        """Term of an entry, ``None`` if it is not in this segment."""
        position = revision - self.first
        return self.terms[position] if 0 <= position < len(self.terms) else None

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Durably append entries to the file."""
        lines = [write_record(entry) for entry in entries]
        append_to_file(self.path, b"".join(lines))
        for entry, line in zip(entries, lines, strict=True):
            self.index(entry, len(line))

    def index(self, entry: LogEntry, length: int) -> None:
        """Add an entry that the file already holds to the index."""
        self.offsets.append(self.size)
        self.terms.append(entry.term)
        self.size += length

    def truncate(self, revision: Revision) -> None:
        """Durably remove the entries from ``revision`` on."""
        position = revision - self.first
        self.size = self.offsets[position]
        del self.offsets[position:]
        del self.terms[position:]
        truncate_file(self.path, self.size)


class SegmentedLog:
    """All segments of a data directory, in order."""

    def __init__(self, directory: Path, segments: list[Segment]) -> None:
        self._directory = directory
        self._segments = segments

    def term_at(self, revision: Revision) -> Term | None:
        """Term of an entry, ``None`` if it is not in the log."""
        for segment in self._segments:
            term = segment.term_at(revision)
            if term is not None:
                return term
        return None

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Durably append entries; start a new segment when the last one is full."""
        remaining = list(entries)
        while remaining:
            if not self._segments or len(self._segments[-1].offsets) >= SEGMENT_ENTRIES:
                first = remaining[0].revision
                self._segments.append(
                    Segment(segment_path(self._directory, first), first)
                )
            last = self._segments[-1]
            room = SEGMENT_ENTRIES - len(last.offsets)
            last.append(remaining[:room])
            del remaining[:room]

    def truncate(self, revision: Revision) -> None:
        """Durably remove the entries from ``revision`` on, the newest first."""
        while self._segments and self._segments[-1].first >= revision:
            remove_files([self._segments.pop().path])
        if self._segments and self._segments[-1].last >= revision:
            self._segments[-1].truncate(revision)

    def remove_before(self, revision: Revision) -> None:
        """Remove segments whose entries all lie before ``revision``."""
        old = [s for s in self._segments if s.last < revision]
        remove_files([segment.path for segment in old])
        del self._segments[: len(old)]


def segment_path(directory: Path, first: Revision) -> Path:
    """Path of the segment that starts at a revision."""
    return directory / f"log-{first:020d}.jsonl"


def read_segments(
    directory: Path, acknowledged: Revision
) -> tuple[list[Segment], list[LogEntry]]:
    """Read the entries up to the acknowledged revision and remove later ones.

    Later entries were never acknowledged to a leader, and the end of the file may
    not have been synced; the leader sends them again.
    """
    segments: list[Segment] = []
    entries: list[LogEntry] = []
    unacknowledged: list[Path] = []
    for path in sorted(directory.glob("log-*.jsonl")):
        first = _first_revision(path)
        if first > acknowledged:
            unacknowledged.append(path)
            continue
        if entries and first != entries[-1].revision + 1:
            message = f"starts at {first}, expected {entries[-1].revision + 1}"
            raise damaged(path, f"record {first}", message)
        segments.append(_read_segment(path, first, acknowledged, entries))
    remove_files(unacknowledged[::-1])
    return segments, entries


def _first_revision(path: Path) -> Revision:
    digits = path.stem.removeprefix("log-")
    if not digits.isdecimal():
        raise damaged(path, "", "the file name has no revision")
    return Revision(int(digits))


def _read_segment(
    path: Path, first: Revision, acknowledged: Revision, entries: list[LogEntry]
) -> Segment:
    segment = Segment(path, first)
    data = path.read_bytes()
    for revision in range(first, acknowledged + 1):
        end = data.find(b"\n", segment.size)
        if end < 0:
            if segment.size != len(data):
                raise damaged(path, f"record {revision}", "the record is incomplete")
            break
        entry = _read_entry(path, data[segment.size : end], Revision(revision))
        segment.index(entry, end + 1 - segment.size)
        entries.append(entry)
    if segment.size != len(data):
        truncate_file(path, segment.size)
    return segment


def _read_entry(path: Path, line: bytes, revision: Revision) -> LogEntry:
    result = read_record(line, LogEntry)
    if isinstance(result, Failure):
        raise damaged(path, f"record {revision}", result.failure())
    entry: LogEntry = result.unwrap()
    if entry.revision != revision:
        message = f"holds revision {entry.revision}"
        raise damaged(path, f"record {revision}", message)
    return entry
