"""Operator token, read from a file and never printed."""

import os
import stat
from pathlib import Path

from returns.result import Failure, Result, Success

from wasabigw.core.problems import Problem, Problems

MAX_TOKEN_LENGTH = 1_024
_HEADER = "Bearer "


class Token:
    """A secret that its text representations don't contain."""

    __slots__ = ("_secret",)

    def __init__(self, secret: str) -> None:
        self._secret = secret

    def __repr__(self) -> str:
        return "Token(hidden)"

    def authorization(self) -> str:
        """Value of the ``Authorization`` header."""
        return _HEADER + self._secret


def read_token(path: Path) -> Result[Token, Problems]:
    """Read the token; a file that other users of the VM can access is rejected."""
    try:
        with path.open("rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            data = file.read(MAX_TOKEN_LENGTH + 2)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "an invalid path"
        return _failure(path, reason, "a readable token file")
    if mode & (stat.S_IROTH | stat.S_IWOTH):
        return _failure(
            path,
            f"a file with mode {stat.S_IMODE(mode):04o}",
            "a file that only its owner can read; run chmod 600 on it",
        )
    text = data.decode("ascii", errors="replace").strip()
    is_plain = text.isascii() and text.isprintable() and " " not in text
    if not (is_plain and 1 <= len(text) <= MAX_TOKEN_LENGTH):
        return _failure(
            path,
            "invalid content (not shown)",
            f"1 to {MAX_TOKEN_LENGTH} printable ASCII characters on one line",
        )
    return Success(Token(text))


def _failure(path: Path, read: str, expected: str) -> Failure[Problems]:
    return Failure((Problem(f"token_file {str(path)!a}", read, expected),))
