"""Where an operator's call goes next, until it is answered or its time is up.

The same request is sent to one control endpoint after the other. That is safe for
changes too, because a request id that was seen before gets its first response again.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds

MAX_REDIRECTS = 3
"""Redirects that are followed in a row; two voters may name each other."""
ROUND_DELAY = Seconds(0.5)
"""Pause after all endpoints were tried, so that an election can finish."""
MAX_RETRY_AFTER = Seconds(5.0)
NO_PAUSE = Seconds(0.0)

REDIRECT_STATUS = 307
UNAVAILABLE_STATUS = 503
SERVER_ERROR_STATUS = 500


@dataclass(frozen=True, slots=True)
class CallStarted:
    """The call begins."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """An endpoint answered.

    :param location: endpoint of a redirect.
    :param retry_after: seconds that the server asks to wait.
    """

    now: Seconds
    status: int
    location: Endpoint | None = None
    retry_after: Seconds | None = None


@dataclass(frozen=True, slots=True)
class ConnectionFailed:
    """No connection was made, so the request was not received."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request may have been received, but no answer arrived."""

    now: Seconds


CallEvent = CallStarted | ResponseReceived | ConnectionFailed | ResponseLost


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send the request.

    :param after: seconds to wait first.
    """

    endpoint: Endpoint
    after: Seconds = NO_PAUSE


@dataclass(frozen=True, slots=True)
class ReturnResponse:
    """The last answer is final."""


@dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The time is up.

    :param outcome_unknown: whether a server may have acted on the request.
    """

    outcome_unknown: bool


CallDecision = SendTo | ReturnResponse | DeadlineExceeded


@dataclass(slots=True)
class CallState:
    """Progress of one call; ``endpoints`` has at least one element."""

    endpoints: Sequence[Endpoint]
    deadline: Seconds
    next_index: int = 0
    redirects: int = 0
    maybe_received: bool = False


@singledispatch
def handle(event: CallEvent, state: CallState) -> CallDecision:
    """Decide what follows an event of the call."""
    raise TypeError(f"no handler for {type(event).__name__}")


@handle.register
def _(event: CallStarted, state: CallState) -> CallDecision:
    return _send_to_next(event.now, state, NO_PAUSE)


@handle.register
def _(event: ResponseReceived, state: CallState) -> CallDecision:
    if event.status == REDIRECT_STATUS:
        return _follow(event, state)
    if event.status < SERVER_ERROR_STATUS:
        return ReturnResponse()
    # A server error doesn't say whether the change reached the log.
    state.maybe_received = True
    pause = min(event.retry_after or NO_PAUSE, MAX_RETRY_AFTER)
    return _send_to_next(event.now, state, pause)


@handle.register
def _(event: ConnectionFailed, state: CallState) -> CallDecision:
    return _send_to_next(event.now, state, NO_PAUSE)


@handle.register
def _(event: ResponseLost, state: CallState) -> CallDecision:
    state.maybe_received = True
    return _send_to_next(event.now, state, NO_PAUSE)


def _follow(event: ResponseReceived, state: CallState) -> CallDecision:
    if event.location is None or state.redirects >= MAX_REDIRECTS:
        return _send_to_next(event.now, state, NO_PAUSE)
    state.redirects += 1
    if event.now >= state.deadline:
        return DeadlineExceeded(state.maybe_received)
    return SendTo(event.location)


def _send_to_next(now: Seconds, state: CallState, pause: Seconds) -> CallDecision:
    round_is_over = (
        state.next_index > 0 and state.next_index % len(state.endpoints) == 0
    )
    after = max(pause, ROUND_DELAY) if round_is_over else NO_PAUSE
    if now + after >= state.deadline:
        return DeadlineExceeded(state.maybe_received)
    endpoint = state.endpoints[state.next_index % len(state.endpoints)]
    state.next_index += 1
    state.redirects = 0
    return SendTo(endpoint, after)
