"""Deterministic application of log entries to the replicated state."""

from functools import singledispatch

from returns.result import Failure, Result, Success

from wasabigw.core.apply_changes import apply_change
from wasabigw.core.apply_reports import apply_report
from wasabigw.core.cluster import Applied, ClusterState, Refusal
from wasabigw.core.commands import (
    Change,
    ChangeRequest,
    Command,
    LeaderElected,
    Order,
    OrderedChange,
    ReportBatch,
)
from wasabigw.core.endpoint_checks import Problem
from wasabigw.core.ids import Revision
from wasabigw.core.states import RefusalCode
from wasabigw.core.timing import MAX_STORED_REQUESTS
from wasabigw.core.transition import Transition

Outcome = Result[Applied, Refusal]


def apply(command: Command, revision: Revision, state: ClusterState) -> Outcome:
    """Apply the entry of the log at ``revision`` to ``state``, in place.

    The revision of the state advances whatever the outcome is.

    :returns: the outcome for the proposer of the command. A repeated request id
        gets the stored outcome of the first request and is not applied again.
    """
    outcome = _apply(command, revision, state)
    state.revision = revision
    return outcome


@singledispatch
def _apply(command: Command, revision: Revision, state: ClusterState) -> Outcome:
    raise TypeError(f"unsupported command type: {type(command).__name__}")


@_apply.register
def _(command: LeaderElected, revision: Revision, state: ClusterState) -> Outcome:
    return Success(Applied(revision, state.configuration_revision))


@_apply.register
def _(command: ReportBatch, revision: Revision, state: ClusterState) -> Outcome:
    transition = Transition(state, revision)
    for report in command.reports:
        apply_report(report, transition)
    transition.finish()
    return Success(Applied(revision, state.configuration_revision))


@_apply.register
def _(command: ChangeRequest, revision: Revision, state: ClusterState) -> Outcome:
    stored = state.requests.get(command.request_id)
    if stored is not None:
        return Success(stored) if isinstance(stored, Applied) else Failure(stored)
    outcome = _apply_change(command, revision, state)
    _store_outcome(command, outcome, state)
    return outcome


@_apply.register
def _(command: Order, revision: Revision, state: ClusterState) -> Outcome:
    return _execute(command.change, revision, state)


def _apply_change(
    command: ChangeRequest, revision: Revision, state: ClusterState
) -> Outcome:
    if command.expected_revision != state.configuration_revision:
        return Failure(_refusal(_conflict(command, state), state))
    return _execute(command.change, revision, state)


def _execute(
    change: Change | OrderedChange, revision: Revision, state: ClusterState
) -> Outcome:
    transition = Transition(state, revision)
    outcome = apply_change(change, transition)
    if not isinstance(outcome, Success):
        return Failure(_refusal(outcome.failure(), state))
    transition.finish()
    state.configuration_revision = revision
    return Success(Applied(revision, revision))


def _conflict(command: ChangeRequest, state: ClusterState) -> Problem:
    return (
        RefusalCode.CONFLICT,
        f"the change expects configuration revision {command.expected_revision}, "
        f"but it is {state.configuration_revision}; read the current configuration, "
        "check the change against it and send it with a new request id",
    )


def _refusal(problem: Problem, state: ClusterState) -> Refusal:
    code, message = problem
    return Refusal(code, message, state.configuration_revision)


def _store_outcome(
    command: ChangeRequest, outcome: Outcome, state: ClusterState
) -> None:
    while len(state.requests) >= MAX_STORED_REQUESTS:
        del state.requests[next(iter(state.requests))]
    value = outcome.unwrap() if isinstance(outcome, Success) else outcome.failure()
    # The message of a refusal is replicated state. During an upgrade voters of two
    # versions apply the same entry, so rewording a message makes their states differ.
    state.requests[command.request_id] = value
