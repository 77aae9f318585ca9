"""Durable file operations: nothing counts before file and directory are synced."""

import os
from pathlib import Path

TEMPORARY_SUFFIX = ".tmp"


def sync_directory(folder: Path) -> None:
    """Make creations, renames and removals in a directory durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """Write a whole file so that a crash leaves the old or the new content."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_directory(path.parent)


def append_to_file(path: Path, data: bytes) -> None:
    """Append to a file, which is created if needed, and sync it."""
    created = not path.exists()
    with path.open("ab") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    if created:
        sync_directory(path.parent)


def truncate_file(path: Path, size: int) -> None:
    """Cut a file and sync it."""
    with path.open("r+b") as file:
        file.truncate(size)
        os.fsync(file.fileno())


def remove_files(paths: list[Path]) -> None:
    """Remove files of one directory in order."""
    for path in paths:
        path.unlink()
    if paths:
        sync_directory(paths[0].parent)
