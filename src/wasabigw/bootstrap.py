"""First files of a process: the data folder of a voter and the operator token."""

import importlib
import os
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from wasabigw.core.ids import Incarnation, NodeId
from wasabigw.settings import Role, Settings

STORAGE_MODULE = "wasabigw.tasks.storage"
STORAGE_FUNCTION = "bootstrap"
TOKEN_BYTES = 32
INCARNATION_BYTES = 16
TOKEN_FILE_MODE = 0o600

CreateDataFolder = Callable[[Path, NodeId, Incarnation, bool], Result[Any, Any]]
"""Writes the identity of a voter; refuses a folder that isn't empty.

The last argument is whether it is the first voter of a new cluster.
"""


@dataclass(frozen=True, slots=True)
class BootstrapError:
    """Nothing, or not everything, was created.

    :param message: what was wrong, where, and what to do.
    """

    message: str

    def __str__(self) -> str:
        return self.message


@dataclass(frozen=True, slots=True)
class Bootstrapped:
    """What was created.

    :param data_folder: ``None`` for a role without one.
    :param token_created: ``False`` if the token file existed and was kept.
    """

    data_folder: Path | None
    token_file: Path
    token_created: bool


def bootstrap(
    settings: Settings, first: bool, create_folder: CreateDataFolder
) -> Result[Bootstrapped, BootstrapError]:
    """Create the data folder and, unless there is one, the operator token.

    An existing token file is kept, because all processes need the same token.

    :param first: whether it is the first voter of a new cluster; all others, and
        one whose disk was replaced, are admitted by the leader.
    """
    folder = settings.data_folder if settings.role is Role.CONTROL else None
    if folder is not None:
        created = create_folder(folder, settings.node, _new_incarnation(), first)
        if not isinstance(created, Success):
            return Failure(BootstrapError(str(created.failure())))
    return _create_token(settings.token_file).map(
        lambda is_new: Bootstrapped(folder, settings.token_file, is_new)
    )


def create_data_folder(
    folder: Path, node: NodeId, incarnation: Incarnation, first: bool
) -> Result[Any, Any]:
    """Create a data folder with the function of the storage module."""
    try:
        module = importlib.import_module(STORAGE_MODULE)
        function: CreateDataFolder = getattr(module, STORAGE_FUNCTION)
    except (ModuleNotFoundError, AttributeError) as error:
        return Failure(BootstrapError(f"storage is not available: {error}"))
    return function(folder, node, incarnation, first)


def _new_incarnation() -> Incarnation:
    return Incarnation(secrets.token_hex(INCARNATION_BYTES))


def _create_token(path: Path) -> Result[bool, BootstrapError]:
    """Write a random token to a new file that only its owner can read."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, TOKEN_FILE_MODE)
    except FileExistsError:
        return Success(False)
    except (OSError, ValueError) as error:
        return _token_failure(path, error)
    try:
        with os.fdopen(descriptor, "w", encoding="ascii") as file:
            file.write(secrets.token_urlsafe(TOKEN_BYTES) + "\n")
            file.flush()
            os.fsync(file.fileno())
    except OSError as error:
        # An empty or partial token must not be taken for a valid one.
        path.unlink(missing_ok=True)
        return _token_failure(path, error)
    return Success(True)


def _token_failure(path: Path, error: Exception) -> Failure[BootstrapError]:
    return Failure(BootstrapError(f"can't write the token file {path}: {error}"))
