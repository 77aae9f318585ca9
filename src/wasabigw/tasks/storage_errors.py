"""Errors of the data directory of a voter."""

from dataclasses import dataclass
from enum import Enum


class StorageProblem(Enum):
    """Kind of a storage error."""

    NOT_BOOTSTRAPPED = "not-bootstrapped"
    NOT_EMPTY = "not-empty"
    IN_USE = "in-use"
    WRONG_NODE = "wrong-node"
    DAMAGED = "damaged"
    INPUT_OUTPUT = "input-output"


READMISSION_ADVICE = (
    "Do not edit the file. Check the disk, move the directory away, run "
    "'wasabigw bootstrap' without --first on an empty directory and start the "
    "voter; it is admitted again once a majority of the other voters is up."
)


@dataclass(frozen=True, slots=True)
class StorageError:
    """The data directory could not be used.

    :param file: path of the file or directory.
    :param record: the record in the file; empty if the whole file is affected.
    :param message: description of the error.
    :param advice: remedy for the operator.
    """

    problem: StorageProblem
    file: str
    record: str
    message: str
    advice: str

    def __str__(self) -> str:
        where = f"{self.file}, {self.record}" if self.record else self.file
        return f"{where}: {self.message}. {self.advice}"


class StorageFailure(Exception):  # noqa: N818 - carries a StorageError
    """Carries an error inside the storage modules, which return it as a failure."""

    def __init__(self, error: StorageError) -> None:
        super().__init__(str(error))
        self.error = error


def damaged(file: object, record: str, message: str) -> StorageFailure:
    """Make the failure for damaged data; the voter must be admitted again."""
    error = StorageError(
        StorageProblem.DAMAGED, str(file), record, message, READMISSION_ADVICE
    )
    return StorageFailure(error)
