"""Starts the tasks of a process for its role and runs until it is told to stop."""

from dataclasses import dataclass

from returns.result import Failure, Result

from wasabigw.settings import Settings


@dataclass(frozen=True, slots=True)
class RoleError:
    """A role could not start, or ended because of an error.

    :param message: what was wrong, where, and what to do.
    """

    message: str

    def __str__(self) -> str:
        return self.message


def run_role(settings: Settings) -> Result[None, RoleError]:
    """Run the role of the settings until the process gets SIGTERM or SIGINT."""
    return Failure(RoleError(f"the role {settings.role.value} is not available"))
