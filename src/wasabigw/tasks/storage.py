"""Data directory of a voter: identity, vote, acknowledged revision, log, snapshot.

Every method returns only after its data is durable. After a failed write or sync
the state of the disk is unknown, so the storage refuses all further writes until
the directory is opened again and its files are read from the disk.
"""

import fcntl
import os
from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass, replace
from pathlib import Path
from types import TracebackType
from typing import Any

from returns.result import Failure, Result, Success

from wasabigw.core.cluster import NO_REVISION, ClusterState
from wasabigw.core.consensus.effects import VoteRecord
from wasabigw.core.consensus.messages import NO_TERM, Snapshot
from wasabigw.core.ids import Incarnation, NodeId, Revision, Term
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.timing import LOG_KEPT_BEHIND_SNAPSHOT
from wasabigw.tasks.storage_errors import (
    StorageError,
    StorageFailure,
    StorageProblem,
    damaged,
)
from wasabigw.tasks.storage_files import (
    TEMPORARY_SUFFIX,
    remove_files,
    replace_file,
    sync_directory,
)
from wasabigw.tasks.storage_records import read_single_record, write_record
from wasabigw.tasks.storage_segments import SegmentedLog, read_segments

IDENTITY_FILE = "identity.json"
VOTE_FILE = "vote.json"
ACKNOWLEDGED_FILE = "acknowledged.json"
FIRST_REVISION = Revision(1)
FIRST_TERM = Term(1)


@dataclass(frozen=True, slots=True)
class Identity:
    """Owner of a data directory.

    :param incarnation: random value drawn when the directory was created.
    """

    node: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """Last entry that this voter acknowledged to a leader, or counted as the leader."""

    revision: Revision = NO_REVISION
    term: Term = NO_TERM


@dataclass(frozen=True, slots=True)
class Recovered:
    """Contents of the data directory when it was opened.

    :param snapshot: latest snapshot; revision 0 and an empty state if there is none.
    :param entries: contiguous entries up to the acknowledged revision.
    """

    identity: Identity
    vote: VoteRecord
    snapshot: Snapshot
    entries: tuple[LogEntry, ...]


class Storage(AbstractContextManager["Storage"]):
    """Open data directory, made by :func:`open_storage`.

    :param lock: descriptor of the directory, which holds an exclusive lock.
    """

    def __init__(
        self,
        directory: Path,
        lock: int,
        recovered: Recovered,
        log: SegmentedLog,
        acknowledged: Acknowledged,
    ) -> None:
        self._directory = directory
        self._lock: int | None = lock
        self._recovered = recovered
        self._log = log
        self._acknowledged = acknowledged
        self._snapshot_position = (recovered.snapshot.revision, recovered.snapshot.term)
        self._failed: StorageError | None = None

    @property
    def recovered(self) -> Recovered:
        """Contents of the data directory when it was opened."""
        return self._recovered

    def save_vote(self, record: VoteRecord) -> Result[None, StorageError]:
        """Persist the vote record."""
        path = self._directory / VOTE_FILE
        return self._write(lambda: replace_file(path, write_record(record)))

    def append(self, entries: Sequence[LogEntry]) -> Result[None, StorageError]:
        """Persist entries; first remove stored ones from the first revision on."""
        return self._write(lambda: self._append(entries))

    def save_snapshot(self, snapshot: Snapshot) -> Result[None, StorageError]:
        """Persist a snapshot; remove older snapshots and log files far before it."""
        return self._write(lambda: self._save_snapshot(snapshot))

    def install_snapshot(self, snapshot: Snapshot) -> Result[None, StorageError]:
        """Persist a snapshot that replaces the whole log."""
        return self._write(lambda: self._install_snapshot(snapshot))

    def reopen(self) -> Result["Storage", StorageError]:
        """Close this object and open the directory again after an error.

        A directory that can be read but not written counts as an error as well: a voter
        that takes part but can't store anything only delays the others.
        """
        self.close()
        opened = open_storage(self._directory, self._recovered.identity.node)
        if not isinstance(opened, Success):
            return opened
        storage = opened.unwrap()
        written = storage.save_vote(storage.recovered.vote)
        if isinstance(written, Failure):
            storage.close()
            return written
        return opened

    def close(self) -> None:
        """Release the lock on the directory."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def _append(self, entries: Sequence[LogEntry]) -> None:
        if not entries:
            return
        first = entries[0].revision
        if first <= self._acknowledged.revision:
            # Lower the acknowledged revision first: a log that ends before it
            # counts as damaged.
            before = Revision(first - 1)
            self._acknowledge(Acknowledged(before, self._term_at(before)))
            self._log.truncate(first)
        self._log.append(entries)
        self._acknowledge(Acknowledged(entries[-1].revision, entries[-1].term))

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        self._replace_snapshot(snapshot)
        self._log.remove_before(
            Revision(snapshot.revision - LOG_KEPT_BEHIND_SNAPSHOT + 1)
        )

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        # open_storage detects an interruption after each of these steps, because
        # the log then does not contain the entry of the snapshot.
        self._replace_snapshot(snapshot)
        self._acknowledge(Acknowledged(snapshot.revision, snapshot.term))
        self._log.truncate(NO_REVISION)

    def _replace_snapshot(self, snapshot: Snapshot) -> None:
        path = _snapshot_path(self._directory, snapshot.revision)
        replace_file(path, write_record(snapshot))
        _remove_old_snapshots(self._directory, path)
        self._snapshot_position = (snapshot.revision, snapshot.term)

    def _acknowledge(self, acknowledged: Acknowledged) -> None:
        replace_file(self._directory / ACKNOWLEDGED_FILE, write_record(acknowledged))
        self._acknowledged = acknowledged

    def _term_at(self, revision: Revision) -> Term:
        if revision == self._snapshot_position[0]:
            return self._snapshot_position[1]
        return self._log.term_at(revision) or NO_TERM

    def _write(self, action: Callable[[], None]) -> Result[None, StorageError]:
        if self._failed is not None:
            return Failure(self._failed)
        try:
            action()
        except OSError as error:
            self._failed = _input_output_error(self._directory, error)
            return Failure(self._failed)
        return Success(None)


def bootstrap(
    directory: Path, node: NodeId, incarnation: Incarnation, first: bool
) -> Result[Identity, StorageError]:
    """Create the data directory of a voter.

    :param incarnation: random value, not used for any other directory.
    :param first: whether this is the first voter of a new cluster. The leader admits
        all other voters and those whose disk was replaced.
    """
    identity = Identity(node, incarnation)
    initial_state = ClusterState(voters={node: incarnation}) if first else None
    return create_data_directory(directory, identity, initial_state)


def create_data_directory(
    directory: Path,
    identity: Identity,
    initial_state: ClusterState | None,
    is_successor: bool = False,
) -> Result[Identity, StorageError]:
    """Create the data directory of a voter.

    :param initial_state: initial state of a new cluster, identical on each of its first
        voters; ``None`` for a voter that the leader has to admit.
    :param is_successor: whether the control VM is added to a running cluster.
    """
    vote = VoteRecord(is_successor=is_successor)
    try:
        return Success(_create_data_directory(directory, identity, initial_state, vote))
    except StorageFailure as failure:
        return Failure(failure.error)
    except OSError as error:
        return Failure(_input_output_error(directory, error))


def open_storage(directory: Path, node: NodeId) -> Result[Storage, StorageError]:
    """Open a data directory with exactly the acknowledged entries, or fail."""
    try:
        lock = _lock(directory)
    except StorageFailure as failure:
        return Failure(failure.error)
    except OSError as error:
        return Failure(_input_output_error(directory, error))
    try:
        return Success(_open(directory, lock, node))
    except StorageFailure as failure:
        os.close(lock)
        return Failure(failure.error)
    except OSError as error:
        os.close(lock)
        return Failure(_input_output_error(directory, error))


def remove_incomplete_directory(directory: Path) -> Result[None, StorageError]:
    """Remove the files of an interrupted creation; keep a complete directory.

    The identity is written last, so a directory without it acknowledged nothing.
    """
    if not directory.exists() or (directory / IDENTITY_FILE).exists():
        return Success(None)
    try:
        remove_files(sorted(directory.iterdir()))
    except OSError as error:
        return Failure(_input_output_error(directory, error))
    return Success(None)


def _create_data_directory(
    directory: Path,
    identity: Identity,
    initial_state: ClusterState | None,
    vote: VoteRecord,
) -> Identity:
    created = not directory.exists()
    directory.mkdir(parents=True, exist_ok=True)
    if created:
        sync_directory(directory.parent)
    found = [p.name for p in directory.iterdir() if p.suffix != TEMPORARY_SUFFIX]
    if found:
        message = f"the directory already holds {', '.join(sorted(found)[:5])}"
        raise StorageFailure(
            StorageError(
                StorageProblem.NOT_EMPTY,
                str(directory),
                "",
                message,
                "Start the voter with it, or choose an empty directory.",
            )
        )
    acknowledged = Acknowledged()
    if initial_state is not None:
        state = replace(initial_state, revision=FIRST_REVISION)
        snapshot = Snapshot(FIRST_REVISION, FIRST_TERM, state)
        path = _snapshot_path(directory, FIRST_REVISION)
        replace_file(path, write_record(snapshot))
        vote = VoteRecord(FIRST_TERM, admitted=True)
        acknowledged = Acknowledged(FIRST_REVISION, FIRST_TERM)
    replace_file(directory / VOTE_FILE, write_record(vote))
    replace_file(directory / ACKNOWLEDGED_FILE, write_record(acknowledged))
    # Written last, so that an interrupted bootstrap cannot be opened.
    replace_file(directory / IDENTITY_FILE, write_record(identity))
    return identity


def _lock(directory: Path) -> int:
    if not (directory / IDENTITY_FILE).exists():
        raise StorageFailure(
            StorageError(
                StorageProblem.NOT_BOOTSTRAPPED,
                str(directory / IDENTITY_FILE),
                "",
                "the file does not exist",
                "Run 'wasabigw bootstrap' on an empty directory. If this voter had "
                "a data directory before, its disk was lost or is not mounted.",
            )
        )
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(descriptor)
        raise StorageFailure(
            StorageError(
                StorageProblem.IN_USE,
                str(directory),
                "",
                "another process uses the directory",
                "Stop that process, or give each voter its own directory.",
            )
        ) from error
    return descriptor


def _open(directory: Path, lock: int, node: NodeId) -> Storage:
    remove_files(sorted(directory.glob(f"*{TEMPORARY_SUFFIX}")))
    identity: Identity = _read_file(directory / IDENTITY_FILE, Identity)
    if identity.node != node:
        raise StorageFailure(
            StorageError(
                StorageProblem.WRONG_NODE,
                str(directory / IDENTITY_FILE),
                "",
                f"the directory belongs to {identity.node}, not to {node}",
                "Correct the node id or the data directory in the settings.",
            )
        )
    vote: VoteRecord = _read_file(directory / VOTE_FILE, VoteRecord)
    acknowledged: Acknowledged = _read_file(directory / ACKNOWLEDGED_FILE, Acknowledged)
    snapshot = _read_snapshot(directory)
    segments, entries = read_segments(directory, acknowledged.revision)
    log = SegmentedLog(directory, segments)
    if _install_was_interrupted(snapshot, acknowledged, entries):
        acknowledged = Acknowledged(snapshot.revision, snapshot.term)
        replace_file(directory / ACKNOWLEDGED_FILE, write_record(acknowledged))
        log.truncate(NO_REVISION)
        entries = []
    _check_complete(directory, snapshot, acknowledged, entries)
    recovered = Recovered(identity, vote, snapshot, tuple(entries))
    return Storage(directory, lock, recovered, log, acknowledged)


def _install_was_interrupted(
    snapshot: Snapshot, acknowledged: Acknowledged, entries: Sequence[LogEntry]
) -> bool:
    if acknowledged.revision < snapshot.revision:
        return True
    if not entries or entries[0].revision > snapshot.revision:
        return False
    if entries[-1].revision < snapshot.revision:
        return acknowledged.revision == snapshot.revision
    at_snapshot = entries[snapshot.revision - entries[0].revision]
    return at_snapshot.term != snapshot.term


def _check_complete(
    directory: Path,
    snapshot: Snapshot,
    acknowledged: Acknowledged,
    entries: Sequence[LogEntry],
) -> None:
    last = (snapshot.revision, snapshot.term)
    if entries:
        if entries[0].revision > snapshot.revision + 1:
            missing = f"record {snapshot.revision + 1}"
            raise damaged(directory, missing, "the log does not continue the snapshot")
        last = (entries[-1].revision, entries[-1].term)
    expected = (acknowledged.revision, acknowledged.term)
    if last != expected:
        message = (
            f"revision {expected[0]} of term {expected[1]} was acknowledged, but the "
            f"log ends at revision {last[0]} of term {last[1]}"
        )
        raise damaged(directory, f"record {last[0] + 1}", message)


def _read_file(path: Path, expected: Any) -> Any:
    if not path.exists():
        raise damaged(path, "", "the file does not exist")
    result = read_single_record(path.read_bytes(), expected)
    if isinstance(result, Failure):
        raise damaged(path, "record 1", result.failure())
    return result.unwrap()


def _read_snapshot(directory: Path) -> Snapshot:
    found = sorted(directory.glob("snapshot-*.json"))
    if not found:
        return Snapshot(NO_REVISION, NO_TERM, ClusterState())
    snapshot: Snapshot = _read_file(found[-1], Snapshot)
    if found[-1] != _snapshot_path(directory, snapshot.revision):
        raise damaged(found[-1], "record 1", f"holds revision {snapshot.revision}")
    _remove_old_snapshots(directory, found[-1])
    return snapshot


def _remove_old_snapshots(directory: Path, newest: Path) -> None:
    old = [p for p in directory.glob("snapshot-*.json") if p != newest]
    remove_files(sorted(old))


def _snapshot_path(directory: Path, revision: Revision) -> Path:
    return directory / f"snapshot-{revision:020d}.json"


def _input_output_error(directory: Path, error: OSError) -> StorageError:
    return StorageError(
        StorageProblem.INPUT_OUTPUT,
        str(error.filename or directory),
        "",
        f"{type(error).__name__}: {error.strerror or error}",
        "Check the disk, its free space and the permissions, then start again.",
    )
