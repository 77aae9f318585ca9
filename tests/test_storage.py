"""A data directory recovers all acknowledged data, or opening it fails."""

import os
import shutil
import tempfile
import unittest
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from pathlib import Path
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from tests.voter_network import change
from wasabigw.codec.messages import decode, encode
from wasabigw.core.cluster import ClusterState
from wasabigw.core.consensus.effects import VoteRecord
from wasabigw.core.consensus.messages import Snapshot
from wasabigw.core.ids import Incarnation, NodeId, Revision, Term
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.timing import LOG_KEPT_BEHIND_SNAPSHOT, SNAPSHOT_INTERVAL
from wasabigw.tasks import storage_segments
from wasabigw.tasks.storage import (
    ACKNOWLEDGED_FILE,
    VOTE_FILE,
    Identity,
    Recovered,
    Storage,
    bootstrap,
    create_data_directory,
    open_storage,
)
from wasabigw.tasks.storage_errors import StorageError, StorageProblem

NODE = NodeId("a")
VOTE = VoteRecord(Term(3), NodeId("b"), Incarnation("b1"), admitted=True)


def entries(first: int, last: int, term: int = 1) -> list[LogEntry]:
    """Log entries from ``first`` to ``last``."""
    return [
        LogEntry(Revision(r), Term(term), change(r)) for r in range(first, last + 1)
    ]


def snapshot(revision: int, term: int) -> Snapshot:
    """Snapshot with an empty state."""
    state = ClusterState(revision=Revision(revision))
    return Snapshot(Revision(revision), Term(term), state)


class StorageCase(unittest.TestCase):
    """A bootstrapped data directory for each test."""

    def setUp(self) -> None:
        self._base = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self._base)
        self.folder = self._base / "data"
        bootstrap(self.folder, NODE, Incarnation("a1"), first=True).unwrap()

    def open(self, folder: Path | None = None) -> Storage:
        """Opened data directory, closed at the end of the test."""
        storage = open_storage(folder or self.folder, NODE).unwrap()
        self.addCleanup(storage.close)
        return storage

    def recovered(self, folder: Path | None = None) -> Recovered:
        """Contents that a new process recovers."""
        with self.open(folder) as storage:
            return storage.recovered

    def error(self) -> StorageError:
        """Error that a new process gets."""
        result = open_storage(self.folder, NODE)
        self.assertIsInstance(result, Failure)
        return result.failure()

    def fill(self) -> None:
        """Write a vote, entries in several segments and a conflict."""
        short = mock.patch.object(storage_segments, "SEGMENT_ENTRIES", 3)
        with short, self.open() as storage:
            storage.save_vote(VOTE).unwrap()
            storage.append(entries(2, 9)).unwrap()
            storage.append(entries(7, 8, term=2)).unwrap()
            storage.append(entries(9, 9, term=3)).unwrap()

    def expected(self) -> list[LogEntry]:
        """Entries that :meth:`fill` leaves."""
        return entries(2, 6) + entries(7, 8, term=2) + entries(9, 9, term=3)


class Recovery(StorageCase):
    """Guards against a restart that loses or changes acknowledged data."""

    def test_reopening_recovers_written_data(self) -> None:
        self.fill()
        found = self.recovered()
        self.assertEqual(found.vote, VOTE)
        self.assertEqual(list(found.entries), self.expected())
        self.assertEqual(found.snapshot.revision, 1)

    def test_unacknowledged_entries_are_removed(self) -> None:
        self.fill()
        path = sorted(self.folder.glob("log-*"))[-1]
        size = path.stat().st_size
        for tail in (b'{"crc32":"0', b"\n\n", b"\xff" * 10):
            with self.subTest(tail=tail):
                path.write_bytes(path.read_bytes() + tail)
                self.assertEqual(list(self.recovered().entries), self.expected())
                self.assertEqual(path.stat().st_size, size)

    def test_abandoned_temporary_file_is_ignored(self) -> None:
        self.fill()
        (self.folder / f"{VOTE_FILE}.tmp").write_bytes(b"{half")
        self.assertEqual(self.recovered().vote, VOTE)
        self.assertEqual(list(self.folder.glob("*.tmp")), [])

    def test_torn_write_keeps_acknowledged_entries(self) -> None:
        self.fill()

        def torn(path: Path, data: bytes) -> None:
            with path.open("ab") as file:
                file.write(data[: len(data) // 2])
            raise OSError(5, "Input/output error")

        torn_write = mock.patch.object(storage_segments, "append_to_file", torn)
        with self.open() as storage, torn_write:
            self.assertIsInstance(storage.append(entries(10, 12, 3)), Failure)
        self.assertEqual(list(self.recovered().entries), self.expected())

    def test_size_is_bounded_by_snapshots(self) -> None:
        with self.open() as storage:
            for first in range(2, 5002, SNAPSHOT_INTERVAL):
                last = first + SNAPSHOT_INTERVAL - 1
                storage.append(entries(first, last)).unwrap()
                storage.save_snapshot(snapshot(last, 1)).unwrap()
        self.assertEqual(len(list(self.folder.glob("snapshot-*"))), 1)
        kept = LOG_KEPT_BEHIND_SNAPSHOT // storage_segments.SEGMENT_ENTRIES
        self.assertLessEqual(len(list(self.folder.glob("log-*"))), kept + 2)
        found = self.recovered()
        self.assertEqual(found.entries[-1].revision, found.snapshot.revision)

    def test_installed_snapshot_replaces_the_log(self) -> None:
        self.fill()
        with self.open() as storage:
            storage.install_snapshot(snapshot(50, 4)).unwrap()
            storage.append(entries(51, 52, term=4)).unwrap()
        found = self.recovered()
        self.assertEqual(found.snapshot, snapshot(50, 4))
        self.assertEqual(list(found.entries), entries(51, 52, term=4))


class AddedVoters(StorageCase):
    """Guards against a control VM that forgets that it was added to a cluster."""

    def test_the_mark_survives_a_restart_and_later_votes(self) -> None:
        added = self._base / "added"
        identity = Identity(NODE, Incarnation("a2"))
        create_data_directory(added, identity, None, is_successor=True).unwrap()
        with self.open(added) as storage:
            vote = storage.recovered.vote
            self.assertTrue(vote.is_successor)
            storage.save_vote(replace(vote, term=Term(4))).unwrap()
        with self.open(added) as storage:
            self.assertTrue(storage.recovered.vote.is_successor)

    def test_a_vote_of_an_earlier_version_is_read(self) -> None:
        field = b',"is_successor":false'
        self.assertIn(field, encode(VOTE))
        decoded = decode(encode(VOTE).replace(field, b""), VoteRecord)
        self.assertEqual(decoded.unwrap(), VOTE)


class Damage(StorageCase):
    """Guards against a damaged file that is accepted as valid."""

    def assert_recovers_or_fails(self, path: Path, data: bytes, what: object) -> None:
        """Open a copy with one changed file: it must recover everything or fail."""
        with tempfile.TemporaryDirectory() as name:
            copy = Path(name) / "data"
            shutil.copytree(self.folder, copy)
            (copy / path.name).write_bytes(data)
            result = open_storage(copy, NODE)
            if isinstance(result, Failure):
                error = result.failure()
                self.assertIs(error.problem, StorageProblem.DAMAGED)
                self.assertIn(str(copy), error.file)
                self.assertTrue(error.advice)
                return
            with result.unwrap() as storage:
                found = storage.recovered
            self.assertEqual(found, self._before, what)

    def setUp(self) -> None:
        super().setUp()
        self.fill()
        self._before = self.recovered()
        self._files = [p for p in sorted(self.folder.iterdir()) if p.is_file()]

    @given(st.data())
    def test_flipped_bit(self, data: st.DataObject) -> None:
        path = data.draw(st.sampled_from(self._files))
        content = bytearray(path.read_bytes())
        position = data.draw(st.integers(0, len(content) - 1))
        content[position] ^= 1 << data.draw(st.integers(0, 7))
        self.assert_recovers_or_fails(path, bytes(content), (path.name, position))

    @given(st.data())
    def test_cut_file(self, data: st.DataObject) -> None:
        path = data.draw(st.sampled_from(self._files))
        content = path.read_bytes()
        size = data.draw(st.integers(0, len(content)))
        self.assert_recovers_or_fails(path, content[:size], (path.name, size))

    def test_each_missing_file_is_an_error(self) -> None:
        for path in self._files:
            with self.subTest(path=path.name):
                data = path.read_bytes()
                path.unlink()
                self.assertIn(str(self.folder), self.error().file)
                path.write_bytes(data)

    def test_error_names_file_record_and_remedy(self) -> None:
        path = sorted(self.folder.glob("log-*"))[0]
        lines = path.read_bytes().splitlines(keepends=True)
        lines[1] = lines[1].replace(b"domain-3", b"domain-4")
        path.write_bytes(b"".join(lines))
        error = self.error()
        self.assertEqual((error.file, error.record), (str(path), "record 3"))
        self.assertIn("wasabigw bootstrap", str(error))

    def test_log_without_its_last_acknowledged_entry(self) -> None:
        path = sorted(self.folder.glob("log-*"))[-1]
        lines = path.read_bytes().splitlines(keepends=True)
        path.write_bytes(b"".join(lines[:-1]))
        self.assertIn("was acknowledged", self.error().message)


class Interruption(StorageCase):
    """Guards against a crash between two steps of one write."""

    def assert_recovers_at_each_step(
        self,
        action: Callable[[Storage], object],
        allowed: Sequence[Callable[[Recovered], bool]],
    ) -> None:
        """Fail each sync in turn, then check what a new process recovers."""
        self.fill()
        for step in range(100):
            with tempfile.TemporaryDirectory() as name:
                folder = Path(name) / "data"
                shutil.copytree(self.folder, folder)
                if self._interrupt(folder, action, step):
                    self.assertGreater(step, 2)
                    return
                found = self.recovered(folder)
                self.assertTrue(any(test(found) for test in allowed), step)
        self.fail("the action did not succeed within 100 syncs")

    def _interrupt(
        self, folder: Path, action: Callable[[Storage], object], step: int
    ) -> bool:
        """Run an action in which sync ``step`` fails; return whether it succeeded."""
        syncs = iter(range(1000))
        sync = os.fsync

        def failing(descriptor: int) -> None:
            if next(syncs) == step:
                raise OSError(5, "Input/output error")
            sync(descriptor)

        with self.open(folder) as storage, mock.patch("os.fsync", failing):
            result = action(storage)
            if isinstance(result, Success):
                return True
            # The state of the disk is unknown, so later writes must fail too.
            self.assertIsInstance(storage.save_vote(VoteRecord()), Failure)
            return False

    def test_append(self) -> None:
        before = self.expected()
        new = entries(10, 11, term=3)
        self.assert_recovers_at_each_step(
            lambda storage: storage.append(new),
            [
                lambda found: list(found.entries) == before,
                lambda found: list(found.entries) == before + new,
            ],
        )

    def test_replacement_of_entries(self) -> None:
        before = self.expected()
        new = entries(5, 10, term=4)
        self.assert_recovers_at_each_step(
            lambda storage: storage.append(new),
            [
                lambda found: list(found.entries) == before,
                lambda found: list(found.entries) == before[:3],
                lambda found: list(found.entries) == before[:3] + new,
            ],
        )

    def test_installation_of_a_snapshot(self) -> None:
        before = self.expected()
        for revision in (5, 9, 40):
            installed = snapshot(revision, 7)
            self.assert_recovers_at_each_step(
                partial(Storage.install_snapshot, snapshot=installed),
                [
                    lambda found: list(found.entries) == before,
                    lambda found: not found.entries and found.snapshot.term == 7,
                ],
            )

    def test_vote(self) -> None:
        new = VoteRecord(Term(9), NODE, Incarnation("a1"), admitted=True)
        self.fill()
        for step in range(2):
            with self.subTest(step=step):
                self._interrupt(self.folder, lambda s: s.save_vote(new), step)
                self.assertIn(self.recovered().vote, (VOTE, new))


class Opening(StorageCase):
    """Guards against a voter that opens a wrong or shared data directory."""

    def test_directory_without_identity(self) -> None:
        empty = self.folder.parent / "empty"
        empty.mkdir()
        error = open_storage(empty, NODE).failure()
        self.assertIs(error.problem, StorageProblem.NOT_BOOTSTRAPPED)
        self.assertIn("wasabigw bootstrap", error.advice)

    def test_directory_of_another_node(self) -> None:
        error = open_storage(self.folder, NodeId("z")).failure()
        self.assertIs(error.problem, StorageProblem.WRONG_NODE)

    def test_directory_in_use(self) -> None:
        with self.open():
            self.assertIs(self.error().problem, StorageProblem.IN_USE)

    def test_bootstrap_keeps_an_existing_directory(self) -> None:
        before = (self.folder / ACKNOWLEDGED_FILE).read_bytes()
        result = bootstrap(self.folder, NODE, Incarnation("a2"), first=False)
        self.assertIs(result.failure().problem, StorageProblem.NOT_EMPTY)
        self.assertEqual((self.folder / ACKNOWLEDGED_FILE).read_bytes(), before)

    def test_only_the_first_voter_starts_admitted(self) -> None:
        self.assertTrue(self.recovered().vote.admitted)
        other = self.folder.parent / "other"
        bootstrap(other, NODE, Incarnation("a2"), first=False).unwrap()
        found = self.recovered(other)
        self.assertEqual((found.vote.admitted, found.snapshot.revision), (False, 0))
