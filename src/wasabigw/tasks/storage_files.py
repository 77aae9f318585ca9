"""Durable file operations: nothing counts before file and directory are synced."""

import os
from collections.abc import Sequence

TEMPORARY_SUFFIX = ".tmp"

FilePath = str | os.PathLike[str]


def sync_directory(directory: FilePath) -> None:
    """Make creations, renames and removals in a directory durable."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: FilePath, data: bytes) -> None:
    """Write a whole file so that a crash leaves the old or the new content."""
    temporary = os.fspath(path) + TEMPORARY_SUFFIX
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_directory(os.path.dirname(path))


def append_to_file(path: FilePath, data: bytes) -> None:
    """Append to a file, which is created if needed, and sync it."""
    is_new = not os.path.exists(path)
    with open(path, "ab") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    if is_new:
        sync_directory(os.path.dirname(path))


def truncate_file(path: FilePath, size: int) -> None:
    """Cut a file and sync it."""
    with open(path, "r+b") as file:
        file.truncate(size)
        os.fsync(file.fileno())


def remove_files(paths: Sequence[FilePath]) -> None:
    """Remove files of one directory in order."""
    for path in paths:
        os.unlink(path)
    if paths:
        sync_directory(os.path.dirname(paths[0]))
