"""Durable file operations, which sync files and directories before they return."""

import os
from collections.abc import Sequence

TEMPORARY_SUFFIX = ".tmp"

FilePath = str | os.PathLike[str]


def sync_directory(directory: FilePath) -> None:
    """Make file creations, renames and removals in a directory durable."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: FilePath, data: bytes) -> None:
    """Replace a file atomically: a crash leaves the old or the new content."""
    temporary = os.fspath(path) + TEMPORARY_SUFFIX
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_directory(os.path.dirname(path))


def append_to_file(path: FilePath, data: bytes) -> None:
    """Append to a file and sync it; create the file if it does not exist."""
    is_new = not os.path.exists(path)
    with open(path, "ab") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    if is_new:
        sync_directory(os.path.dirname(path))


def truncate_file(path: FilePath, size: int) -> None:
    """Truncate a file and sync it."""
    with open(path, "r+b") as file:
        file.truncate(size)
        os.fsync(file.fileno())


def remove_files(paths: Sequence[FilePath]) -> None:
    """Remove files of one directory in the given order and sync the directory."""
    for path in paths:
        os.unlink(path)
    if paths:
        sync_directory(os.path.dirname(paths[0]))
