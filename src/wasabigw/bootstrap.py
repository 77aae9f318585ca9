"""Creation of the data folder of a voter and of the operator token."""

import os
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from wasabigw.core.ids import Incarnation, NodeId
from wasabigw.settings import Role, Settings

TOKEN_BYTES = 32
INCARNATION_BYTES = 16
TOKEN_FILE_MODE = 0o600

CreateDataFolder = Callable[[Path, NodeId, Incarnation, bool], Result[Any, Any]]
"""Creates the data folder of a voter; fails if the folder isn't empty.

The last argument is whether the voter is the first one of a new cluster.
"""


@dataclass(frozen=True, slots=True)
class BootstrapError:
    """The data folder or the token file could not be created.

    :param message: description of the problem and how to correct it.
    """

    message: str

    def __str__(self) -> str:
        return self.message


@dataclass(frozen=True, slots=True)
class Bootstrapped:
    """Files that the bootstrap created or found.

    :param data_folder: ``None`` for a role without one.
    :param token_created: ``False`` if the token file existed before.
    """

    data_folder: Path | None
    token_file: Path
    token_created: bool


def bootstrap(
    settings: Settings, first: bool, create_folder: CreateDataFolder
) -> Result[Bootstrapped, BootstrapError]:
    """Create the data folder, and the operator token unless its file exists.

    An existing token file is not replaced, because all processes need the same token.

    :param first: whether the voter is the first one of a new cluster; the leader admits
        all others, and a voter whose disk was replaced.
    """
    folder = settings.data_folder if settings.role is Role.CONTROL else None
    if folder is not None:
        created = create_folder(folder, settings.node, _new_incarnation(), first)
        if not isinstance(created, Success):
            return Failure(BootstrapError(str(created.failure())))
    return _create_token(settings.token_file).map(
        lambda is_new: Bootstrapped(folder, settings.token_file, is_new)
    )


def _new_incarnation() -> Incarnation:
    return Incarnation(secrets.token_hex(INCARNATION_BYTES))


def _create_token(path: Path) -> Result[bool, BootstrapError]:
    """Write a random token to a new file that only its owner can access."""
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
        # An empty or truncated token must not be used as a valid one.
        path.unlink(missing_ok=True)
        return _token_failure(path, error)
    return Success(True)


def _token_failure(path: Path, error: Exception) -> Failure[BootstrapError]:
    return Failure(BootstrapError(f"can't write the token file {path}: {error}"))
