"""Send a change and wait until it is in force, or preview it."""

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from wasabigw.core.cluster import Applied
from wasabigw.core.commands import Change, ChangeRequest
from wasabigw.core.ids import RequestId, Revision, Seconds
from wasabigw.core.log_messages import InForce
from wasabigw.core.preview import ConfigurationView, Difference, preview
from wasabigw.ctl.api import Api
from wasabigw.ctl.errors import (
    CtlError,
    NotInForce,
    OutcomeUnknown,
    Unavailable,
    WrongInput,
)
from wasabigw.runtime.timer import monotonic

IN_FORCE_CHECK_INTERVAL = Seconds(0.25)
"""Interval between checks whether a change is in force."""

BuildChange = Callable[[ConfigurationView], Result[Change, WrongInput]]
ShowProgress = Callable[[InForce], None]
ShowRequest = Callable[[RequestId, Revision], None]


@dataclass(frozen=True, slots=True)
class ChangeOptions:
    """Options of all commands that make a change.

    :param request_id: generated if ``None``.
    :param expected_revision: the revision of the current configuration if ``None``.
    """

    request_id: RequestId | None = None
    expected_revision: Revision | None = None
    dry_run: bool = False


@dataclass(frozen=True, slots=True)
class InForceChange:
    """A change that is in force everywhere."""

    request: ChangeRequest
    applied: Applied
    in_force: InForce


@dataclass(frozen=True, slots=True)
class ChangePreview:
    """Differences that a change would make; nothing was sent."""

    change: Change
    expected_revision: Revision
    differences: tuple[Difference, ...]


def new_request_id() -> RequestId:
    """Generate a random request id."""
    return RequestId(uuid.uuid4().hex)


def run_change(
    api: Api,
    build: BuildChange,
    options: ChangeOptions,
    show_request: ShowRequest,
    show_progress: ShowProgress,
) -> Result[InForceChange | ChangePreview, CtlError]:
    """Send a change and wait until it is in force, or preview it.

    :param build: builds the change from the current configuration.
    """
    fetched = api.configuration()
    if not isinstance(fetched, Success):
        return Failure(fetched.failure())
    view = fetched.unwrap()
    built = build(view)
    if not isinstance(built, Success):
        return Failure(built.failure())
    change = built.unwrap()
    expected = options.expected_revision
    if expected is None:
        expected = view.configuration_revision
    if options.dry_run:
        return _preview_change(change, view, expected)
    request = ChangeRequest(options.request_id or new_request_id(), expected, change)
    show_request(request.request_id, expected)
    return _send(api, request, show_progress)


def wait_in_force(
    api: Api, revision: Revision, show_progress: ShowProgress
) -> Result[InForce, CtlError]:
    """Poll until a revision is in force or the deadline has passed."""
    last: InForce | None = None
    while True:
        outcome = api.in_force(revision)
        if isinstance(outcome, Success):
            last = outcome.unwrap()
            show_progress(last)
            if last.in_force:
                return Success(last)
        elif not isinstance(outcome.failure(), Unavailable):
            return Failure(outcome.failure())
        if monotonic() + IN_FORCE_CHECK_INTERVAL >= api.deadline:
            return Failure(NotInForce(revision, last))
        time.sleep(IN_FORCE_CHECK_INTERVAL)


def _send(
    api: Api, request: ChangeRequest, show_progress: ShowProgress
) -> Result[InForceChange | ChangePreview, CtlError]:
    try:
        sent = api.change(request)
    except KeyboardInterrupt:
        return Failure(
            OutcomeUnknown("interrupted", request.request_id, request.expected_revision)
        )
    if not isinstance(sent, Success):
        return Failure(sent.failure())
    applied: Applied = sent.unwrap()
    try:
        waited = wait_in_force(api, applied.revision, show_progress)
    except KeyboardInterrupt:
        return Failure(NotInForce(applied.revision, None))
    if not isinstance(waited, Success):
        return Failure(waited.failure())
    return Success(InForceChange(request, applied, waited.unwrap()))


def _preview_change(
    change: Change, view: ConfigurationView, expected: Revision
) -> Result[InForceChange | ChangePreview, CtlError]:
    differences = preview(change, view)
    if not isinstance(differences, Success):
        return Failure(WrongInput(differences.failure()))
    return Success(ChangePreview(change, expected, differences.unwrap()))
