"""Failover of an operator's call between control endpoints until a deadline.

The same request is sent to one control endpoint after another. This is safe for
changes too, because a repeated request id gets the stored response of the first one.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds

MAX_REDIRECTS = 3
"""Limit on consecutive redirects, since two voters may redirect to each other."""
ROUND_DELAY = Seconds(0.5)
"""Pause after each round over all endpoints, so that an election can finish."""
MAX_RETRY_AFTER = Seconds(5.0)
NO_DELAY = Seconds(0.0)

REDIRECT_STATUS = 307
UNAVAILABLE_STATUS = 503
SERVER_ERROR_STATUS = 500


@dataclass(frozen=True, slots=True)
class CallStarted:
    """The call begins."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """An endpoint responded.

    :param location: target of a redirect.
    :param retry_after: pause in seconds that the server requested.
    """

    now: Seconds
    status: int
    location: Endpoint | None = None
    retry_after: Seconds | None = None


@dataclass(frozen=True, slots=True)
class ConnectionFailed:
    """Connecting failed, so the server did not receive the request."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The server may have received the request, but no response arrived."""

    now: Seconds


CallEvent = CallStarted | ResponseReceived | ConnectionFailed | ResponseLost


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send the request to an endpoint.

    :param after: seconds to wait before sending.
    """

    endpoint: Endpoint
    after: Seconds = NO_DELAY


@dataclass(frozen=True, slots=True)
class ReturnResponse:
    """The last response is final."""


@dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The deadline passes before another attempt can start.

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
    """Update the state for an event and return the next step of the call."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@handle.register
def _(event: CallStarted, state: CallState) -> CallDecision:
    return _send_to_next(event.now, state, NO_DELAY)


@handle.register
def _(event: ResponseReceived, state: CallState) -> CallDecision:
    if event.status == REDIRECT_STATUS:
        return _follow_redirect(event, state)
    if event.status < SERVER_ERROR_STATUS:
        return ReturnResponse()
    # A server error doesn't tell whether the change was appended to the log.
    state.maybe_received = True
    pause = min(event.retry_after or NO_DELAY, MAX_RETRY_AFTER)
    return _send_to_next(event.now, state, pause)


@handle.register
def _(event: ConnectionFailed, state: CallState) -> CallDecision:
    return _send_to_next(event.now, state, NO_DELAY)


@handle.register
def _(event: ResponseLost, state: CallState) -> CallDecision:
    state.maybe_received = True
    return _send_to_next(event.now, state, NO_DELAY)


def _follow_redirect(event: ResponseReceived, state: CallState) -> CallDecision:
    if event.location is None or state.redirects >= MAX_REDIRECTS:
        return _send_to_next(event.now, state, NO_DELAY)
    state.redirects += 1
    if event.now >= state.deadline:
        return DeadlineExceeded(state.maybe_received)
    return SendTo(event.location)


def _send_to_next(now: Seconds, state: CallState, pause: Seconds) -> CallDecision:
    round_complete = (
        state.next_index > 0 and state.next_index % len(state.endpoints) == 0
    )
    after = max(pause, ROUND_DELAY) if round_complete else NO_DELAY
    if now + after >= state.deadline:
        return DeadlineExceeded(state.maybe_received)
    endpoint = state.endpoints[state.next_index % len(state.endpoints)]
    state.next_index += 1
    state.redirects = 0
    return SendTo(endpoint, after)
