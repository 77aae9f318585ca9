"""Why an action of the tool did not succeed, with stable exit codes."""

from dataclasses import dataclass
from enum import IntEnum
from functools import singledispatch

from wasabigw.core.cluster import Refusal
from wasabigw.core.ids import RequestId, Revision
from wasabigw.core.log_messages import InForce
from wasabigw.core.problems import Problem, Problems
from wasabigw.core.states import RefusalCode


class ExitCode(IntEnum):
    """Exit codes of ``wasabigwctl``; a code keeps its meaning."""

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
    """Settings, options or answers are wrong; nothing was sent."""

    problems: Problems


@dataclass(frozen=True, slots=True)
class ChangeRefused:
    """The change was refused and is not in the log."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No server answered, and none acted on a change."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may or may not have been accepted."""

    reason: str
    request_id: RequestId
    expected_revision: Revision


@dataclass(frozen=True, slots=True)
class NotInForce:
    """The change was accepted, but not seen in force within the time limit.

    :param last: last answer to the question whether it is in force.
    """

    revision: Revision
    last: InForce | None


@dataclass(frozen=True, slots=True)
class Unauthorized:
    """The operator token was not accepted."""

    status: int


@dataclass(frozen=True, slots=True)
class UnexpectedAnswer:
    """A server's answer has no known form."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class NotAllTold:
    """Some balancers did not confirm a local change.

    :param told: balancers that confirmed.
    :param failed: the others, each with a reason.
    """

    told: tuple[str, ...]
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
    """Error about a single wrong value."""
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
    """Text of an error for operators: what was wrong and what to do."""
    raise TypeError(f"no text for {type(error).__name__}")


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
        "look at it with 'wasabigwctl state' and send the change with a new request id",
    )


@error_lines.register
def _(error: Unavailable) -> tuple[str, ...]:
    return (
        f"no server answered in time; last: {error.reason}",
        "this command changed nothing; check the endpoints and try again",
    )


@error_lines.register
def _(error: OutcomeUnknown) -> tuple[str, ...]:
    return (
        f"it is unknown whether the change was accepted; last: {error.reason}",
        "to find out, repeat the command with the same change and "
        f"--request-id {error.request_id} "
        f"--expected-revision {error.expected_revision}",
    )


@error_lines.register
def _(error: NotInForce) -> tuple[str, ...]:
    text = f"accepted at revision {error.revision}, but not yet in force everywhere"
    if error.last is None:
        return (text, f"follow it with 'wasabigwctl in-force {error.revision}'")
    lagging = ", ".join(node.node for node in error.last.nodes if not node.in_force)
    return (
        f"{text}; lagging: {lagging or 'none known'}",
        f"follow it with 'wasabigwctl in-force {error.revision}'",
    )


@error_lines.register
def _(error: Unauthorized) -> tuple[str, ...]:
    return (
        f"the operator token was not accepted (status {error.status}); "
        "check that token_file holds the same token as the control VMs",
    )


@error_lines.register
def _(error: UnexpectedAnswer) -> tuple[str, ...]:
    return (f"unexpected answer (status {error.status}): {error.detail}",)


@error_lines.register
def _(error: NotAllTold) -> tuple[str, ...]:
    return (
        *(f"not confirmed by {reason}" for reason in error.failed),
        f"confirmed by: {', '.join(error.told) or 'none'}",
        "repeat the command for the others; telling a balancer twice does no harm",
    )
