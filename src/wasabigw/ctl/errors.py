"""Errors of the tool, with their messages and stable exit codes."""

from dataclasses import dataclass
from enum import IntEnum
from functools import singledispatch

from wasabigw.core.cluster import Refusal
from wasabigw.core.ids import RequestId, Revision
from wasabigw.core.log_messages import InForce
from wasabigw.core.problems import Problem, Problems
from wasabigw.core.states import RefusalCode


class ExitCode(IntEnum):
    """Exit codes of ``wasabigwctl``; the meaning of a code never changes."""

    SUCCESS = 0
    INTERNAL_ERROR = 1
    USAGE = 2
    INPUT = 3
    REFUSED = 4
    CONFLICT = 5
    UNAVAILABLE = 6
    OUTCOME_UNKNOWN = 7
    NOT_IN_FORCE = 8
    UNAUTHORIZED = 9
    UNEXPECTED_ANSWER = 10
    PARTIAL = 11


@dataclass(frozen=True, slots=True)
class WrongInput:
    """Settings, options or answers are invalid; nothing was sent."""

    problems: Problems


@dataclass(frozen=True, slots=True)
class ChangeRefused:
    """The leader refused the change, so it is not in the log."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No server responded, and none can have acted on a change."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may or may not have been accepted."""

    reason: str
    request_id: RequestId
    expected_revision: Revision


@dataclass(frozen=True, slots=True)
class NotInForce:
    """The change was accepted, but was not in force everywhere within the time limit.

    :param last: last known progress of the balancers.
    """

    revision: Revision
    last: InForce | None


@dataclass(frozen=True, slots=True)
class Unauthorized:
    """The server rejected the operator token."""

    status: int


@dataclass(frozen=True, slots=True)
class UnexpectedAnswer:
    """The response of a server has an unknown form."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class NotAllTold:
    """Some balancers did not confirm a local change.

    :param confirmed: balancers that confirmed it.
    :param failed: the other balancers, each with a reason.
    """

    confirmed: tuple[str, ...]
    failed: tuple[str, ...]


CtlError = (
    WrongInput
    | ChangeRefused
    | Unavailable
    | OutcomeUnknown
    | NotInForce
    | Unauthorized
    | UnexpectedAnswer
    | NotAllTold
)


def wrong_input(where: str, read: str, expected: str) -> WrongInput:
    """Error for a single invalid value."""
    return WrongInput((Problem(where, read, expected),))


@singledispatch
def exit_code(error: CtlError) -> ExitCode:
    """Exit code for an error."""
    raise TypeError(f"no exit code for {type(error).__name__}")


@exit_code.register
def _(error: WrongInput) -> ExitCode:
    return ExitCode.INPUT


@exit_code.register
def _(error: ChangeRefused) -> ExitCode:
    if error.refusal.code is RefusalCode.CONFLICT:
        return ExitCode.CONFLICT
    return ExitCode.REFUSED


@exit_code.register
def _(error: Unavailable) -> ExitCode:
    return ExitCode.UNAVAILABLE


@exit_code.register
def _(error: OutcomeUnknown) -> ExitCode:
    return ExitCode.OUTCOME_UNKNOWN


@exit_code.register
def _(error: NotInForce) -> ExitCode:
    return ExitCode.NOT_IN_FORCE


@exit_code.register
def _(error: Unauthorized) -> ExitCode:
    return ExitCode.UNAUTHORIZED


@exit_code.register
def _(error: UnexpectedAnswer) -> ExitCode:
    return ExitCode.UNEXPECTED_ANSWER


@exit_code.register
def _(error: NotAllTold) -> ExitCode:
    return ExitCode.PARTIAL


@singledispatch
def error_lines(error: CtlError) -> tuple[str, ...]:
    """Message of an error for operators: the cause and what to do."""
    raise TypeError(f"no message for {type(error).__name__}")


@error_lines.register
def _(error: WrongInput) -> tuple[str, ...]:
    return tuple(str(problem) for problem in error.problems)


@error_lines.register
def _(error: ChangeRefused) -> tuple[str, ...]:
    refusal = error.refusal
    text = f"refused ({refusal.code.value}): {refusal.message}"
    if refusal.code is not RefusalCode.CONFLICT:
        return (text,)
    return (
        text,
        f"the configuration is now at revision {refusal.configuration_revision}; "
        "check it with 'wasabigwctl state' and send the change with a new request id",
    )


@error_lines.register
def _(error: Unavailable) -> tuple[str, ...]:
    return (
        f"no server responded in time; last attempt: {error.reason}",
        "nothing was changed; check the endpoints and try again",
    )


@error_lines.register
def _(error: OutcomeUnknown) -> tuple[str, ...]:
    return (
        f"unknown whether the change was accepted; last attempt: {error.reason}",
        "to find out, repeat the command with the same change and "
        f"--request-id {error.request_id} "
        f"--expected-revision {error.expected_revision}",
    )


@error_lines.register
def _(error: NotInForce) -> tuple[str, ...]:
    text = f"accepted at revision {error.revision}, but not yet in force everywhere"
    if error.last is None:
        return (text, f"check it with 'wasabigwctl in-force {error.revision}'")
    lagging = ", ".join(node.node for node in error.last.nodes if not node.in_force)
    return (
        f"{text}; lagging: {lagging or 'none known'}",
        f"check it with 'wasabigwctl in-force {error.revision}'",
    )


@error_lines.register
def _(error: Unauthorized) -> tuple[str, ...]:
    return (
        f"the operator token was rejected (status {error.status}); "
        "check that token_file contains the same token as on the control VMs",
    )


@error_lines.register
def _(error: UnexpectedAnswer) -> tuple[str, ...]:
    return (f"unexpected response (status {error.status}): {error.detail}",)


@error_lines.register
def _(error: NotAllTold) -> tuple[str, ...]:
    return (
        *(f"not confirmed by {reason}" for reason in error.failed),
        f"confirmed by: {', '.join(error.confirmed) or 'none'}",
        "repeat the command for the others; sending a change twice is harmless",
    )
